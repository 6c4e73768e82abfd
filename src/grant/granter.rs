//! Grants the spans of one service in one zone to backend servers.
//!
//! All state is in memory; what must survive a restart is in the delegation's
//! epoch. Time is passed in, and [`LeaseHooks`] tell whether the primary may
//! act. Without a valid primary lease it answers no server and publishes no map.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Instant;

use super::messages::{LeaseRequest, LeaseResponse};
use super::overview::Overview;
use super::state::State;
use crate::clock;
use crate::delegate::messages::{Delegation, DelegationReport};
use crate::document::Document;
use crate::ids;
use crate::keys;
use crate::notify::Notify;
use crate::route::{self, PullRequest, PullResponse};
use crate::timeline::Journal;

/// Initial state of a granter.
#[derive(Clone, Debug, Default)]
pub struct InheritedState {
    /// Routes of the map that this VM holds as a subscriber, which must not have requested
    /// another map from the predecessor since.
    pub routes: Vec<route::Route>,
    /// Servers of the map that this VM holds as a subscriber.
    pub servers: Vec<route::ServerInfo>,
    /// Whether the map had not expired when the predecessor's primary lease ended.
    pub map_valid: bool,
    /// Instant since which the predecessor certainly does not act; `None` without a predecessor.
    pub predecessor_end: Option<Instant>,
}

/// End of the primary lease as of an instant; `None` if the primary may not act then.
pub type ValidUntil = Box<dyn Fn(Instant) -> Option<Instant>>;

/// Records a vote of an entry VM, valid from an instant.
pub type RecordVote = Box<dyn Fn(&ids::VmName, Instant)>;

/// Access to the primary lease.
pub struct LeaseHooks {
    /// Returns the end of the primary lease; `None` if the primary may not act.
    pub valid_until: ValidUntil,
    /// Records a subscriber's vote.
    pub record_vote: RecordVote,
}

impl fmt::Debug for LeaseHooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LeaseHooks").finish_non_exhaustive()
    }
}

/// Why a pull request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullError {
    /// The requesting VM knows a higher epoch than this primary.
    Outdated,
    /// The primary gave up the delegation.
    Resigned,
}

/// Grants the spans of one service in one zone on behalf of the primary.
#[derive(Debug)]
pub struct Granter {
    service: ids::ServiceName,
    zone: ids::ZoneName,
    pub(super) state: RefCell<State>,
    changed: Notify,
    lease_hooks: LeaseHooks,
    resigned: Cell<bool>,
    was_active: Cell<bool>,
}

impl Granter {
    /// A granter under a delegation to this VM.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the caller does not need the inherited state afterwards"
    )]
    pub fn new(
        delegation: &Delegation,
        document: Rc<Document>,
        inherited: InheritedState,
        lease_hooks: LeaseHooks,
        journal: Journal,
    ) -> Rc<Self> {
        Rc::new(Self {
            service: ids::ServiceName::clone(&delegation.service),
            zone: ids::ZoneName::clone(&delegation.zone),
            state: RefCell::new(State::new(delegation, document, &inherited, journal)),
            changed: Notify::default(),
            lease_hooks,
            resigned: Cell::new(false),
            was_active: Cell::new(false),
        })
    }

    /// Service.
    pub const fn service(&self) -> &ids::ServiceName {
        &self.service
    }

    /// Availability zone.
    pub const fn zone(&self) -> &ids::ZoneName {
        &self.zone
    }

    /// Current epoch.
    pub fn epoch(&self) -> ids::Epoch {
        self.state.borrow().epoch()
    }

    /// Answers a backend server's heartbeat; `None` if the primary may not act now, or the
    /// heartbeat is out of order, from a replaced incarnation, or from one server too many.
    pub fn renew_lease(&self, now: Instant, request: &LeaseRequest) -> Option<LeaseResponse> {
        if !self.may_act(now) {
            return None;
        }
        self.update(|s| s.renew_lease(now, request))
    }

    /// Answers an entry VM, immediately if the map changed, else after at most
    /// [`PullRequest::max_wait`].
    pub async fn handle_pull(&self, request: PullRequest) -> Result<PullResponse, PullError> {
        let received = clock::now();
        self.record_pull(received, &request)?;
        while !self.should_respond(clock::now(), &request) {
            let remaining = request.max_wait.saturating_sub(clock::now() - received);
            let woken = !remaining.is_zero() && self.changed.wait(remaining).await;
            if !woken {
                break;
            }
        }
        self.pull_response(clock::now(), &request)
    }

    /// Records an entry VM's map version, load and vote.
    pub fn record_pull(&self, now: Instant, request: &PullRequest) -> Result<(), PullError> {
        self.check_pull(request)?;
        let sent_at = self.state.borrow_mut().record_pull(now, request);
        match sent_at {
            Some(sent_at) if request.votes && request.epoch == self.epoch() => {
                (self.lease_hooks.record_vote)(&request.vm, sent_at);
            }
            _ => {}
        }
        Ok(())
    }

    /// Builds the response to an entry VM, with the changes since its map.
    pub fn pull_response(
        &self,
        now: Instant,
        request: &PullRequest,
    ) -> Result<PullResponse, PullError> {
        self.check_pull(request)?;
        let has_map = self.may_act(now);
        Ok(self.state.borrow_mut().pull_response(now, request, has_map))
    }

    /// Expires leases, advances shards, and assigns and moves spans.
    pub fn run_pass(&self, now: Instant) {
        let may_act = self.may_act(now);
        self.update(|s| s.run_pass(now, may_act));
        if may_act && !self.was_active.replace(may_act) {
            self.changed.wake();
        }
        self.was_active.set(may_act);
    }

    /// Continues under a delegation with a higher epoch to the same primary.
    ///
    /// Returns false if the delegation's predecessors show that another primary may have acted
    /// since this granter began; its state is then void, and a new granter must take over.
    pub fn apply_delegation(&self, delegation: &Delegation) -> bool {
        let continues = self.state.borrow().continues_from(delegation);
        if continues {
            self.update(|s| s.apply_delegation(delegation));
            self.resigned.set(false);
        }
        continues
    }

    /// Applies a newer document.
    pub fn set_document(&self, document: Rc<Document>) {
        self.update(|s| s.set_document(document));
    }

    /// Revokes spans that another zone takes over; replaces earlier requests.
    ///
    /// A span that is no longer requested is granted again, even if it was reported released.
    pub fn request_release(&self, spans: &[keys::Span]) {
        self.update(|s| s.request_release(spans));
    }

    /// Gives up the delegation, as when this VM is stopping; the next report says so.
    pub fn resign(&self) {
        self.resigned.set(true);
        self.changed.wake();
    }

    /// Report for the leader; resigns first if the epoch's fences are exhausted.
    ///
    /// A primary that reports itself as resigned does not act any more.
    pub fn report(&self, now: Instant) -> DelegationReport {
        if self.state.borrow().fences_exhausted() {
            self.resign();
        }
        let report = self.state.borrow_mut().report(now);
        DelegationReport {
            service: ids::ServiceName::clone(&self.service),
            zone: ids::ZoneName::clone(&self.zone),
            resigned: self.resigned.get(),
            ..report
        }
    }

    /// Starts or stops draining a backend server on an operator's behalf.
    pub fn set_draining(&self, server: &str, on: bool) {
        self.update(|s| s.set_draining(server, on));
    }

    /// Overview for operators.
    pub fn overview(&self) -> Overview {
        let (servers, moves, unrouted) = self.state.borrow().overviews();
        Overview {
            service: ids::ServiceName::clone(&self.service),
            zone: ids::ZoneName::clone(&self.zone),
            epoch: self.epoch(),
            version: self.state.borrow().version(),
            servers,
            moves,
            unrouted,
        }
    }

    fn may_act(&self, now: Instant) -> bool {
        let until = (self.lease_hooks.valid_until)(now);
        !self.resigned.get()
            && until.is_some_and(|u| u > now)
            && self.state.borrow().predecessor_ended(now)
    }

    fn check_pull(&self, request: &PullRequest) -> Result<(), PullError> {
        match () {
            () if self.resigned.get() => Err(PullError::Resigned),
            () if request.epoch > self.epoch() => Err(PullError::Outdated),
            () => Ok(()),
        }
    }

    fn should_respond(&self, now: Instant, request: &PullRequest) -> bool {
        let is_first = request.last_response == 0;
        let has_changes = self.may_act(now) && self.state.borrow().has_changes(request);
        self.resigned.get() || is_first || has_changes
    }

    /// Runs `change` on the state and wakes waiting pulls if the map version changed.
    fn update<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut State) -> T,
    {
        let before = self.state.borrow().version();
        let result = change(&mut self.state.borrow_mut());
        if self.state.borrow().version() != before {
            self.changed.wake();
        }
        result
    }
}
