//! One delegation that this VM carries or takes over.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use super::lease::PrimaryLease;
use super::messages::{Delegation, DelegationReport, Drain, RenewedDelegation};
use super::takeover::Takeover;
use super::view::View;
use super::voter::Voter;
use crate::grant::{Duty, Rights};
use crate::ids;
use crate::timeline::{Event, Journal};
use crate::timing;

/// A delegation to this VM, the right to act and how far the duty has come.
pub(super) struct Held {
    pub(super) delegation: Rc<Delegation>,
    pub(super) phase: Phase,
    lease: Rc<RefCell<PrimaryLease>>,
    epoch: Rc<Cell<ids::Epoch>>,
    /// When an earlier duty of this process under this delegation ended.
    own_end: Option<Instant>,
    acted: Cell<bool>,
    version: Cell<ids::Version>,
    drains: RefCell<Vec<Drain>>,
    voter: Rc<Voter>,
    journal: Journal,
}

/// How far a duty has come.
pub(super) enum Phase {
    /// The carriers before are being waited out.
    TakingOver(Rc<RefCell<Takeover>>),
    /// The duty is carried.
    Acting(Rc<Duty>),
}

impl Held {
    pub(super) fn new(
        delegation: &Rc<Delegation>,
        takeover: Takeover,
        own_end: Option<Instant>,
        voter: Rc<Voter>,
        journal: Journal,
    ) -> Self {
        Self {
            delegation: Rc::clone(delegation),
            phase: Phase::TakingOver(Rc::new(RefCell::new(takeover))),
            lease: Rc::new(RefCell::new(PrimaryLease::new(delegation))),
            epoch: Rc::new(Cell::new(delegation.epoch)),
            own_end,
            acted: Cell::new(false),
            version: Cell::new(0),
            drains: RefCell::default(),
            voter,
            journal,
        }
    }

    pub(super) fn epoch(&self) -> ids::Epoch {
        self.epoch.get()
    }

    /// The epoch, if every carrier before was waited out.
    pub(super) fn acting(&self) -> Option<ids::Epoch> {
        matches!(self.phase, Phase::Acting(_)).then(|| self.epoch())
    }

    /// Whether the duty is carried and the right to act holds.
    pub(super) fn may_act(&self, now: Instant) -> bool {
        self.acting().is_some() && self.until(now).is_some()
    }

    /// When the right ends or ended; `None` if it never held.
    pub(super) fn lease_expiry(&self) -> Option<Instant> {
        self.lease.borrow().expiry()
    }

    /// Whether the delegation is the same duty, only further.
    ///
    /// A right that ended long ago may mean that spans went to another zone and came back.
    pub(super) fn continues(&self, now: Instant, delegation: &Delegation) -> bool {
        let since = |epoch| epoch >= self.epoch();
        let mut later = delegation.predecessors.iter().filter(|p| since(p.epoch));
        let alone = later.all(|p| p.primary == delegation.primary && !p.resigned);
        let taking_over = matches!(self.phase, Phase::TakingOver(_));
        let lately = |end| now < end + timing::SERVER_LEASE;
        alone && (taking_over || self.lease_expiry().is_some_and(lately))
    }

    /// Follows the delegation to a higher epoch; false if the duty can't go on.
    pub(super) fn rebase(&mut self, now: Instant, delegation: &Rc<Delegation>) -> bool {
        match &mut self.phase {
            Phase::TakingOver(takeover) => {
                let rebased = takeover.borrow().rebased(now, delegation);
                *takeover = Rc::new(RefCell::new(rebased));
            }
            Phase::Acting(duty) if duty.rebase(delegation) => {}
            Phase::Acting(_) => return false,
        }
        self.delegation = Rc::clone(delegation);
        self.epoch.set(delegation.epoch);
        self.lease.borrow_mut().update(delegation);
        if self.acting().is_some() {
            self.carries(true);
        }
        true
    }

    /// The end of the carriers before, once it has passed and the duty is not yet carried.
    #[expect(clippy::option_option, reason = "a duty may have no carrier before it")]
    pub(super) fn waited_out(&self, now: Instant) -> Option<Option<Instant>> {
        let Phase::TakingOver(takeover) = &self.phase else {
            return None;
        };
        let end = takeover.borrow().end().max(self.own_end);
        end.is_none_or(|end| now >= end).then_some(end)
    }

    /// Carries the duty from now on.
    pub(super) fn act(&mut self, duty: Rc<Duty>) {
        self.phase = Phase::Acting(duty);
        self.carries(true);
    }

    /// Stops acting.
    pub(super) fn end(&self) {
        if let Phase::Acting(duty) = &self.phase {
            duty.resign();
        }
        self.carries(false);
    }

    /// The right as the duty asks for it.
    pub(super) fn rights(&self) -> Rights {
        let (service, zone) = self.names();
        let (voter, epoch) = (Rc::clone(&self.voter), Rc::clone(&self.epoch));
        let (lease, voted) = (Rc::clone(&self.lease), Rc::clone(&self.lease));
        Rights {
            until: Box::new(move |now| until(&lease, &voter, (&service, &zone), epoch.get(), now)),
            vote: Box::new(move |vm, at| voted.borrow_mut().record_vote(vm, at)),
        }
    }

    /// Takes in that the leader renewed the duty.
    pub(super) fn renewed(&self, sent: Instant, renewed: &RenewedDelegation) {
        if renewed.epoch != self.epoch() {
            return;
        }
        self.lease.borrow_mut().record_renewal(sent);
        if let Phase::Acting(duty) = &self.phase {
            duty.release(&renewed.release);
        }
    }

    pub(super) fn report(&self, now: Instant) -> DelegationReport {
        if let Phase::Acting(duty) = &self.phase {
            return duty.report(now);
        }
        let (service, zone) = self.names();
        DelegationReport {
            service,
            zone,
            epoch: self.epoch(),
            servers: 0,
            slots: 0,
            released: Vec::new(),
            resigned: false,
        }
    }

    /// Lets time pass for the duty, and hands it the document and drains in force.
    pub(super) fn tick(&self, now: Instant, view: &View) {
        let Phase::Acting(duty) = &self.phase else {
            return;
        };
        let service = &self.delegation.service;
        match view.document(service) {
            Some(held) if held.version > self.version.get() => {
                self.version.set(held.version);
                duty.document(held.document);
            }
            _ => {}
        }
        let drains = view.drains(service);
        if drains != *self.drains.borrow() {
            for drain in &drains {
                duty.drain(&drain.server, drain.draining);
            }
            *self.drains.borrow_mut() = drains;
        }
        duty.tick(now);
        self.record_lease_change(now);
    }

    fn until(&self, now: Instant) -> Option<Instant> {
        let (service, zone) = self.names();
        until(
            &self.lease,
            &self.voter,
            (&service, &zone),
            self.epoch(),
            now,
        )
    }

    fn record_lease_change(&self, now: Instant) {
        let acts = self.until(now).is_some();
        if self.acted.replace(acts) == acts {
            return;
        }
        let kind = if acts {
            "delegate.right_gained"
        } else {
            "delegate.right_lost"
        };
        let (service, zone) = self.names();
        let event = Event::new(kind).service(&service).zone(&zone);
        self.journal.record(event.epoch(self.epoch()));
    }

    fn carries(&self, on: bool) {
        let epoch = on.then(|| self.epoch());
        self.voter
            .set_primary_epoch(&self.delegation.service, &self.delegation.zone, epoch);
    }

    fn names(&self) -> (ids::ServiceName, ids::ZoneName) {
        (
            Arc::clone(&self.delegation.service),
            Arc::clone(&self.delegation.zone),
        )
    }
}

impl fmt::Debug for Held {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Held")
            .field("epoch", &self.epoch)
            .field("acting", &self.acting().is_some())
            .finish_non_exhaustive()
    }
}

/// Until when the carrier may act; its own vote is gone once it is barred itself.
fn until(
    lease: &RefCell<PrimaryLease>,
    voter: &Voter,
    (service, zone): (&str, &str),
    epoch: ids::Epoch,
    now: Instant,
) -> Option<Instant> {
    let end = lease.borrow().valid_until(now);
    end.filter(|_| !voter.promised_above(service, zone, epoch))
}
