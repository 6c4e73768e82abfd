//! The entry VM's task that serves the delegations to this VM.
//!
//! It reconciles the delegations that it serves with the view: takes a
//! delegation over once the leases of the predecessors have expired, follows a
//! delegation to a higher epoch, and stops serving one that went to another VM.
//! It resigns delegations that this VM cannot serve after a restart or when it
//! stops.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::{Delegation, DelegationReport, RenewResponse};
use super::planner::{self, ServiceZone};
use super::renew::RenewalReport;
use super::served::{Phase, ServedDelegation};
use super::takeover::Takeover;
use super::view::View;
use super::voter::{self, Voter};
use crate::clock;
use crate::grant::{Granter, Granters, InheritedState};
use crate::ids;
use crate::rpc::Peer;
use crate::timeline::{Event, Journal};
use crate::timing;

/// Timeout of a request for a voter's promise.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause before a voter is asked again.
const PROMISE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Returns the routes that this VM has of a service and zone, with
/// [`InheritedState::predecessor_end`] unset.
pub type Inherit = Box<dyn Fn(&str, &str) -> InheritedState>;

/// Requests a promise of a voter until the voter has responded or the takeover is dropped.
pub type AskVoter = Box<dyn Fn(Weak<RefCell<Takeover>>, ids::VmName)>;

/// Serves the delegations to this VM.
pub struct DelegationManager {
    vm: ids::VmName,
    view: Rc<View>,
    voter: Rc<Voter>,
    granters: Rc<Granters>,
    inherit: Inherit,
    ask_voter: AskVoter,
    journal: Journal,
    served: RefCell<BTreeMap<ServiceZone, ServedDelegation>>,
    /// Epochs of delegations to this VM that it resigns.
    resigned: RefCell<BTreeMap<ServiceZone, ids::Epoch>>,
    started: Cell<bool>,
    stopping: Cell<bool>,
}

impl DelegationManager {
    /// Manager without delegations; `ask_voter` is [`ask_voters`] except in tests.
    pub fn new(
        view: Rc<View>,
        voter: Rc<Voter>,
        granters: Rc<Granters>,
        inherit: Inherit,
        ask_voter: AskVoter,
        journal: Journal,
    ) -> Self {
        Self {
            vm: Arc::clone(journal.vm()),
            view,
            voter,
            granters,
            inherit,
            ask_voter,
            journal,
            served: RefCell::default(),
            resigned: RefCell::default(),
            started: Cell::new(false),
            stopping: Cell::new(false),
        }
    }

    /// Serves delegations, forever.
    pub async fn run(&self) {
        loop {
            self.advance(clock::now());
            self.view.changed.wait(timing::GRANT_PASS_INTERVAL).await;
        }
    }

    /// Reconciles the served delegations with the view and runs a pass of every granter.
    pub fn advance(&self, now: Instant) {
        if self.view.index() == 0 {
            return;
        }
        if !self.started.replace(true) {
            self.resign_earlier();
        }
        for delegation in self.view.all_delegations() {
            self.apply_delegation(now, &delegation);
        }
        self.complete_takeovers(now);
        for served in self.served.borrow().values() {
            served.run_pass(now, &self.view);
        }
        self.remove_resigned(now);
    }

    /// Report for the next renewal at the leader.
    pub fn renewal_report(&self, now: Instant) -> RenewalReport {
        let served = self.served.borrow();
        let resigned = self.resigned.borrow();
        let reports = served.values().map(|s| s.report(now));
        let resignations = resigned
            .iter()
            .map(|((service, zone), epoch)| DelegationReport {
                service: Arc::clone(service),
                zone: Arc::clone(zone),
                epoch: *epoch,
                servers: 0,
                slots: 0,
                released: Vec::new(),
                resigned: true,
            });
        RenewalReport {
            delegations: reports.chain(resignations).collect(),
            active_epochs: served
                .values()
                .filter_map(ServedDelegation::active_epoch)
                .collect(),
        }
    }

    /// Records the leader's response to a renewal sent at `sent`.
    ///
    /// A delegation that is not in the response is not renewed; the view shows whether it went to
    /// another VM or to a higher epoch.
    pub fn record_renewals(&self, sent: Instant, response: &RenewResponse) {
        let served = self.served.borrow();
        for renewed in &response.renewed {
            let key = (Arc::clone(&renewed.service), Arc::clone(&renewed.zone));
            if let Some(served) = served.get(&key) {
                served.record_renewal(sent, renewed);
            }
        }
    }

    /// Resigns every delegation and takes no other, as this VM stops.
    pub fn resign(&self) {
        self.stopping.set(true);
        let keys: Vec<_> = self.served.borrow().keys().cloned().collect();
        for key in keys {
            self.resign_one(&key);
        }
    }

    /// Waits at most `timeout` until every resigned delegation has gone to another VM.
    pub async fn wait_handover(&self, timeout: Duration) {
        let start = clock::now();
        while !self.resigned.borrow().is_empty() && clock::now() < start + timeout {
            self.view.changed.wait(timing::GRANT_PASS_INTERVAL).await;
        }
    }

    /// Delegations for which this VM has a valid lease now, with their epochs.
    pub fn active(&self, now: Instant) -> Vec<(ServiceZone, ids::Epoch)> {
        let served = self.served.borrow();
        let active = served.iter().filter(|(_, s)| s.is_active(now));
        active
            .filter_map(|(key, s)| Some((key.clone(), s.active_epoch()?)))
            .collect()
    }

    /// Resigns delegations of an earlier process of this VM, whose record of grants is lost.
    fn resign_earlier(&self) {
        let delegations = self.view.all_delegations();
        for delegation in delegations.iter().filter(|d| d.primary == self.vm) {
            let key = planner::service_zone(delegation);
            self.record_event("delegate.resigned", &key, delegation.epoch);
            self.resigned.borrow_mut().insert(key, delegation.epoch);
        }
    }

    fn apply_delegation(&self, now: Instant, delegation: &Rc<Delegation>) {
        let key = planner::service_zone(delegation);
        if delegation.primary != self.vm {
            self.resigned.borrow_mut().remove(&key);
            self.stop(&key, "delegate.ended");
            return;
        }
        let served_epoch = self.served.borrow().get(&key).map(ServedDelegation::epoch);
        match served_epoch {
            Some(epoch) if epoch == delegation.epoch => {}
            Some(_) => self.update(now, &key, delegation),
            None if self.may_start(&key, delegation) => self.take_over(now, &key, delegation, None),
            None => {}
        }
    }

    /// Whether this process may serve the delegation; if not, the delegation is resigned.
    fn may_start(&self, key: &ServiceZone, delegation: &Delegation) -> bool {
        let mut resigned = self.resigned.borrow_mut();
        let resigned_epoch = resigned.get(key).copied();
        let replaced = |epoch| delegation.predecessors.iter().any(|p| p.epoch >= epoch);
        let may_serve = resigned_epoch.is_none_or(replaced);
        if may_serve && !self.stopping.get() {
            resigned.remove(key);
            return true;
        }
        resigned.insert(key.clone(), delegation.epoch);
        false
    }

    fn take_over(
        &self,
        now: Instant,
        key: &ServiceZone,
        delegation: &Rc<Delegation>,
        own_end: Option<Instant>,
    ) {
        self.record_event("delegate.appointed", key, delegation.epoch);
        let takeover = Takeover::new(now, delegation);
        let served = ServedDelegation::new(
            delegation,
            takeover,
            own_end,
            Rc::clone(&self.voter),
            self.journal.clone(),
        );
        self.request_promises(now, &served);
        self.served.borrow_mut().insert(key.clone(), served);
    }

    /// Follows the delegation to a higher epoch, if no other VM was primary in between.
    fn update(&self, now: Instant, key: &ServiceZone, delegation: &Rc<Delegation>) {
        let mut served = self.served.borrow_mut();
        let Some(current) = served.get_mut(key) else {
            return;
        };
        if current.can_continue(now, delegation) && current.update(now, delegation) {
            self.request_promises(now, current);
            return;
        }
        let end = current.lease_expiry().map_or(now, |expiry| expiry.min(now));
        drop(served);
        self.stop(key, "delegate.ended");
        self.take_over(now, key, delegation, Some(end));
    }

    fn request_promises(&self, now: Instant, served: &ServedDelegation) {
        let Phase::TakingOver(takeover) = &served.phase else {
            return;
        };
        let (voters, request) = {
            let takeover = takeover.borrow();
            (takeover.voters(), takeover.request().clone())
        };
        for vm in voters {
            if vm == self.vm {
                let response = self.voter.promise(now, &request);
                takeover.borrow_mut().record_promise(now, &vm, &response);
            } else {
                (self.ask_voter)(Rc::downgrade(takeover), vm);
            }
        }
    }

    /// Activates delegations whose predecessors' leases have expired.
    fn complete_takeovers(&self, now: Instant) {
        for (key, served) in self.served.borrow_mut().iter_mut() {
            let Some(document) = self.view.document(&key.0) else {
                continue;
            };
            let Some(predecessor_end) = served.predecessor_expiry(now) else {
                continue;
            };
            let inherited = match predecessor_end {
                Some(_) => (self.inherit)(&key.0, &key.1),
                None => InheritedState::default(),
            };
            let inherited = InheritedState {
                predecessor_end,
                ..inherited
            };
            let granter = Granter::new(
                &served.delegation,
                document.document,
                inherited,
                served.lease_hooks(),
                self.journal.clone(),
            );
            self.granters.insert(Rc::clone(&granter));
            served.activate(granter);
            self.record_event("delegate.carried", key, served.epoch());
        }
    }

    /// Removes delegations whose granters have resigned, for example without fences left.
    fn remove_resigned(&self, now: Instant) {
        let served = self.served.borrow();
        let resigned = served.iter().filter(|(_, s)| s.report(now).resigned);
        let resigned: Vec<_> = resigned.map(|(key, _)| key.clone()).collect();
        drop(served);
        for key in resigned {
            self.resign_one(&key);
        }
    }

    fn resign_one(&self, key: &ServiceZone) {
        let epoch = self.served.borrow().get(key).map(ServedDelegation::epoch);
        if let Some(epoch) = epoch {
            self.stop(key, "delegate.resigned");
            self.resigned.borrow_mut().insert(key.clone(), epoch);
        }
    }

    /// Stops serving a delegation.
    fn stop(&self, key: &ServiceZone, event: &str) {
        let Some(served) = self.served.borrow_mut().remove(key) else {
            return;
        };
        served.stop();
        self.granters.remove(&key.0, &key.1);
        self.record_event(event, key, served.epoch());
    }

    fn record_event(&self, kind: &str, key: &ServiceZone, epoch: ids::Epoch) {
        let event = Event::new(kind).service(&key.0).zone(&key.1).epoch(epoch);
        self.journal.record(event);
    }
}

impl fmt::Debug for DelegationManager {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DelegationManager")
            .field("vm", &self.vm)
            .field("held", &self.served)
            .finish_non_exhaustive()
    }
}

/// Requests promises by RPCs to the voters, one task for each.
pub fn ask_voters(view: Rc<View>, journal: Journal) -> AskVoter {
    Box::new(move |takeover, vm| {
        monoio::spawn(ask_voter(takeover, vm, Rc::clone(&view), journal.clone()));
    })
}

async fn ask_voter(
    takeover: Weak<RefCell<Takeover>>,
    vm: ids::VmName,
    view: Rc<View>,
    journal: Journal,
) {
    while let Some(pending) = takeover.upgrade() {
        let request = pending.borrow().request().clone();
        drop(pending);
        if let Some(entry_vm) = view.entry_vm(&vm) {
            let peer = Peer::new(entry_vm.peer, journal.clone());
            let response = peer.call(voter::METHOD, &request, PROMISE_TIMEOUT).await;
            match (response, takeover.upgrade()) {
                (Ok(response), Some(takeover)) => {
                    takeover
                        .borrow_mut()
                        .record_promise(clock::now(), &vm, &response);
                    return;
                }
                (_, None) => return,
                (Err(_), Some(_)) => {}
            }
        }
        monoio::time::sleep(PROMISE_RETRY_DELAY).await;
    }
}
