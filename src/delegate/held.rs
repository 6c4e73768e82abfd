//! One delegation that this VM carries or takes over.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use super::bar::BarDesk;
use super::messages::{Delegation, Drain, DutyReport, Renewed};
use super::right::Right;
use super::takeover::Takeover;
use super::view::View;
use crate::grant::{Granter, LeaseHooks};
use crate::ids;
use crate::timeline::{Event, Journal};
use crate::timing;

/// A delegation to this VM, the right to act and how far the duty has come.
pub(super) struct Held {
    pub(super) delegation: Rc<Delegation>,
    pub(super) phase: Phase,
    right: Rc<RefCell<Right>>,
    epoch: Rc<Cell<ids::Epoch>>,
    /// When an earlier duty of this process under this delegation ended.
    own_end: Option<Instant>,
    acted: Cell<bool>,
    version: Cell<ids::Version>,
    drains: RefCell<Vec<Drain>>,
    desk: Rc<BarDesk>,
    journal: Journal,
}

/// How far a duty has come.
pub(super) enum Phase {
    /// The carriers before are being waited out.
    TakingOver(Rc<RefCell<Takeover>>),
    /// The duty is carried.
    Acting(Rc<Granter>),
}

impl Held {
    pub(super) fn new(
        delegation: &Rc<Delegation>,
        takeover: Takeover,
        own_end: Option<Instant>,
        desk: Rc<BarDesk>,
        journal: Journal,
    ) -> Self {
        Self {
            delegation: Rc::clone(delegation),
            phase: Phase::TakingOver(Rc::new(RefCell::new(takeover))),
            right: Rc::new(RefCell::new(Right::new(delegation))),
            epoch: Rc::new(Cell::new(delegation.epoch)),
            own_end,
            acted: Cell::new(false),
            version: Cell::new(0),
            drains: RefCell::default(),
            desk,
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
    pub(super) fn right_end(&self) -> Option<Instant> {
        self.right.borrow().end()
    }

    /// Whether the delegation is the same duty, only further.
    ///
    /// A right that ended long ago may mean that spans went to another zone and came back.
    pub(super) fn continues(&self, now: Instant, delegation: &Delegation) -> bool {
        let since = |epoch| epoch >= self.epoch();
        let mut later = delegation.prior.iter().filter(|p| since(p.epoch));
        let alone = later.all(|p| p.carrier == delegation.carrier && !p.resigned);
        let taking_over = matches!(self.phase, Phase::TakingOver(_));
        let lately = |end| now < end + timing::SERVER_LEASE;
        alone && (taking_over || self.right_end().is_some_and(lately))
    }

    /// Follows the delegation to a higher epoch; false if the duty can't go on.
    pub(super) fn rebase(&mut self, now: Instant, delegation: &Rc<Delegation>) -> bool {
        match &mut self.phase {
            Phase::TakingOver(takeover) => {
                let rebased = takeover.borrow().rebased(now, delegation);
                *takeover = Rc::new(RefCell::new(rebased));
            }
            Phase::Acting(duty) if duty.apply_delegation(delegation) => {}
            Phase::Acting(_) => return false,
        }
        self.delegation = Rc::clone(delegation);
        self.epoch.set(delegation.epoch);
        self.right.borrow_mut().rebase(delegation);
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
    pub(super) fn act(&mut self, duty: Rc<Granter>) {
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
    pub(super) fn rights(&self) -> LeaseHooks {
        let (service, zone) = self.names();
        let (desk, epoch) = (Rc::clone(&self.desk), Rc::clone(&self.epoch));
        let (right, voted) = (Rc::clone(&self.right), Rc::clone(&self.right));
        LeaseHooks {
            valid_until: Box::new(move |now| {
                until(&right, &desk, (&service, &zone), epoch.get(), now)
            }),
            record_vote: Box::new(move |vm, at| voted.borrow_mut().vote(vm, at)),
        }
    }

    /// Takes in that the leader renewed the duty.
    pub(super) fn renewed(&self, sent: Instant, renewed: &Renewed) {
        if renewed.epoch != self.epoch() {
            return;
        }
        self.right.borrow_mut().renewed(sent);
        if let Phase::Acting(duty) = &self.phase {
            duty.request_release(&renewed.release);
        }
    }

    pub(super) fn report(&self, now: Instant) -> DutyReport {
        if let Phase::Acting(duty) = &self.phase {
            return duty.report(now);
        }
        let (service, zone) = self.names();
        DutyReport {
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
                duty.set_document(held.document);
            }
            _ => {}
        }
        let drains = view.drains(service);
        if drains != *self.drains.borrow() {
            for drain in &drains {
                duty.set_draining(&drain.server, drain.on);
            }
            *self.drains.borrow_mut() = drains;
        }
        duty.tick(now);
        self.note_right(now);
    }

    fn until(&self, now: Instant) -> Option<Instant> {
        let (service, zone) = self.names();
        until(
            &self.right,
            &self.desk,
            (&service, &zone),
            self.epoch(),
            now,
        )
    }

    fn note_right(&self, now: Instant) {
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
        self.desk
            .carries(&self.delegation.service, &self.delegation.zone, epoch);
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
    right: &RefCell<Right>,
    desk: &BarDesk,
    (service, zone): (&str, &str),
    epoch: ids::Epoch,
    now: Instant,
) -> Option<Instant> {
    let end = right.borrow().until(now);
    end.filter(|_| !desk.barred(service, zone, epoch))
}
