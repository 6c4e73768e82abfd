//! One delegation that this VM serves or takes over.

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
use crate::grant::{Granter, LeaseHooks};
use crate::ids;
use crate::timeline::{Event, Journal};
use crate::timing;

/// A delegation to this VM, its lease and the phase of its service.
pub(super) struct ServedDelegation {
    pub(super) delegation: Rc<Delegation>,
    pub(super) phase: Phase,
    lease: Rc<RefCell<PrimaryLease>>,
    epoch: Rc<Cell<ids::Epoch>>,
    /// When this process stopped serving an earlier epoch of the delegation, if it did.
    own_end: Option<Instant>,
    was_active: Cell<bool>,
    version: Cell<ids::Version>,
    drains: RefCell<Vec<Drain>>,
    voter: Rc<Voter>,
    journal: Journal,
}

/// Phase of the service of a delegation.
pub(super) enum Phase {
    /// Waiting for the leases of the predecessors to expire.
    TakingOver(Rc<RefCell<Takeover>>),
    /// Granting keys while the lease is valid.
    Active(Rc<Granter>),
}

impl ServedDelegation {
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
            was_active: Cell::new(false),
            version: Cell::new(0),
            drains: RefCell::default(),
            voter,
            journal,
        }
    }

    pub(super) fn epoch(&self) -> ids::Epoch {
        self.epoch.get()
    }

    /// The epoch, if the takeover is complete.
    pub(super) fn active_epoch(&self) -> Option<ids::Epoch> {
        matches!(self.phase, Phase::Active(_)).then(|| self.epoch())
    }

    /// Whether the takeover is complete and the lease is valid.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.active_epoch().is_some() && self.lease_until(now).is_some()
    }

    /// Past or future expiry of the lease; `None` if it was never valid.
    pub(super) fn lease_expiry(&self) -> Option<Instant> {
        self.lease.borrow().expiry()
    }

    /// Whether this VM has been the primary without interruption up to `delegation`.
    ///
    /// If the lease expired long ago, spans may have moved to another zone and back.
    pub(super) fn can_continue(&self, now: Instant, delegation: &Delegation) -> bool {
        let since = |epoch| epoch >= self.epoch();
        let mut later = delegation.predecessors.iter().filter(|p| since(p.epoch));
        let uninterrupted = later.all(|p| p.primary == delegation.primary && !p.resigned);
        let taking_over = matches!(self.phase, Phase::TakingOver(_));
        let recent = |expiry| now < expiry + timing::SERVER_LEASE;
        uninterrupted && (taking_over || self.lease_expiry().is_some_and(recent))
    }

    /// Follows the delegation to a higher epoch; false if the granter cannot continue.
    pub(super) fn update(&mut self, now: Instant, delegation: &Rc<Delegation>) -> bool {
        match &mut self.phase {
            Phase::TakingOver(takeover) => {
                let updated = takeover.borrow().with_delegation(now, delegation);
                *takeover = Rc::new(RefCell::new(updated));
            }
            Phase::Active(granter) if granter.apply_delegation(delegation) => {}
            Phase::Active(_) => return false,
        }
        self.delegation = Rc::clone(delegation);
        self.epoch.set(delegation.epoch);
        self.lease.borrow_mut().update(delegation);
        if self.active_epoch().is_some() {
            self.set_primary(true);
        }
        true
    }

    /// Expiry of the predecessors' leases, once it has passed and the takeover is not yet complete.
    #[expect(clippy::option_option, reason = "a delegation may have no predecessor")]
    pub(super) fn predecessor_expiry(&self, now: Instant) -> Option<Option<Instant>> {
        let Phase::TakingOver(takeover) = &self.phase else {
            return None;
        };
        let expiry = takeover.borrow().expiry().max(self.own_end);
        expiry.is_none_or(|at| now >= at).then_some(expiry)
    }

    /// Completes the takeover: the granter serves the delegation from now on.
    pub(super) fn activate(&mut self, granter: Rc<Granter>) {
        self.phase = Phase::Active(granter);
        self.set_primary(true);
    }

    /// Stops serving the delegation.
    pub(super) fn stop(&self) {
        if let Phase::Active(granter) = &self.phase {
            granter.resign();
        }
        self.set_primary(false);
    }

    /// The lease as the granter uses it.
    pub(super) fn lease_hooks(&self) -> LeaseHooks {
        let (service, zone) = self.service_zone();
        let (voter, epoch) = (Rc::clone(&self.voter), Rc::clone(&self.epoch));
        let (lease, recorder) = (Rc::clone(&self.lease), Rc::clone(&self.lease));
        LeaseHooks {
            valid_until: Box::new(move |now| {
                lease_until(&lease, &voter, (&service, &zone), epoch.get(), now)
            }),
            record_vote: Box::new(move |vm, at| recorder.borrow_mut().record_vote(vm, at)),
        }
    }

    /// Records that the leader renewed the delegation.
    pub(super) fn record_renewal(&self, sent: Instant, renewed: &RenewedDelegation) {
        if renewed.epoch != self.epoch() {
            return;
        }
        self.lease.borrow_mut().record_renewal(sent);
        if let Phase::Active(granter) = &self.phase {
            granter.request_release(&renewed.release);
        }
    }

    pub(super) fn report(&self, now: Instant) -> DelegationReport {
        if let Phase::Active(granter) = &self.phase {
            return granter.report(now);
        }
        let (service, zone) = self.service_zone();
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

    /// Runs a pass of the granter with the document and drains in force.
    pub(super) fn run_pass(&self, now: Instant, view: &View) {
        let Phase::Active(granter) = &self.phase else {
            return;
        };
        let service = &self.delegation.service;
        match view.document(service) {
            Some(current) if current.version > self.version.get() => {
                self.version.set(current.version);
                granter.set_document(current.document);
            }
            _ => {}
        }
        let drains = view.drains(service);
        if drains != *self.drains.borrow() {
            for drain in &drains {
                granter.set_draining(&drain.server, drain.draining);
            }
            *self.drains.borrow_mut() = drains;
        }
        granter.run_pass(now);
        self.record_lease_change(now);
    }

    fn lease_until(&self, now: Instant) -> Option<Instant> {
        let (service, zone) = self.service_zone();
        lease_until(
            &self.lease,
            &self.voter,
            (&service, &zone),
            self.epoch(),
            now,
        )
    }

    fn record_lease_change(&self, now: Instant) {
        let active = self.lease_until(now).is_some();
        if self.was_active.replace(active) == active {
            return;
        }
        let kind = if active {
            "delegate.right_gained"
        } else {
            "delegate.right_lost"
        };
        let (service, zone) = self.service_zone();
        let event = Event::new(kind).service(&service).zone(&zone);
        self.journal.record(event.epoch(self.epoch()));
    }

    fn set_primary(&self, primary: bool) {
        let epoch = primary.then(|| self.epoch());
        self.voter
            .set_primary_epoch(&self.delegation.service, &self.delegation.zone, epoch);
    }

    fn service_zone(&self) -> (ids::ServiceName, ids::ZoneName) {
        (
            Arc::clone(&self.delegation.service),
            Arc::clone(&self.delegation.zone),
        )
    }
}

impl fmt::Debug for ServedDelegation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServedDelegation")
            .field("epoch", &self.epoch)
            .field("acting", &self.active_epoch().is_some())
            .finish_non_exhaustive()
    }
}

/// Expiry of the lease, if it is valid now.
///
/// `None` once this VM has promised a higher epoch, since its own vote no longer counts then.
fn lease_until(
    lease: &RefCell<PrimaryLease>,
    voter: &Voter,
    (service, zone): (&str, &str),
    epoch: ids::Epoch,
    now: Instant,
) -> Option<Instant> {
    let expiry = lease.borrow().valid_until(now);
    expiry.filter(|_| !voter.promised_above(service, zone, epoch))
}
