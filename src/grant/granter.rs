//! The granting duty of a carrier for one service in one zone.
//!
//! Everything is kept in memory: what must survive stands in the delegation's
//! epoch. Time is passed in, and [`LeaseHooks`] say whether the carrier may act;
//! without a right it answers no server and publishes no map.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Instant;

use super::messages::{LeaseRequest, LeaseResponse};
use super::overview::Overview;
use super::state::State;
use crate::clock;
use crate::delegate::messages::{Delegation, DutyReport};
use crate::document::Document;
use crate::ids;
use crate::keys;
use crate::notify::Notify;
use crate::route::{self, PullRequest, PullResponse};
use crate::timeline::Journal;

/// What a carrier starts from.
#[derive(Clone, Debug, Default)]
pub struct InheritedState {
    /// Routes of the map that this VM holds as a subscriber; it must have asked the prior carrier
    /// for no other since.
    pub routes: Vec<route::Route>,
    /// Servers of that map.
    pub servers: Vec<route::ServerInfo>,
    /// Whether that map had not run out when the prior carrier's right ended.
    pub map_valid: bool,
    /// Instant since which the prior carrier surely acts no more; `None` if there was none.
    pub predecessor_end: Option<Instant>,
}

/// ValidUntil when a carrier may act, asked at an instant.
pub type ValidUntil = Box<dyn Fn(Instant) -> Option<Instant>>;

/// Takes an entry VM's vote, counted from an instant.
pub type RecordVote = Box<dyn Fn(&ids::VmName, Instant)>;

/// The carrier's right to act, kept elsewhere.
pub struct LeaseHooks {
    /// ValidUntil when the carrier may act; `None` if it may not act now.
    pub valid_until: ValidUntil,
    /// Takes a subscriber's vote, counted from that instant.
    pub record_vote: RecordVote,
}

impl fmt::Debug for LeaseHooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LeaseHooks").finish_non_exhaustive()
    }
}

/// Why a question for routes is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullError {
    /// The asking VM knows a higher epoch than this carrier.
    Outdated,
    /// The carrier gave up the duty.
    Resigned,
}

/// A carrier's duty for one service in one zone.
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
    /// A duty under a delegation to this VM.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the caller has no further use for what was inherited"
    )]
    pub fn new(
        delegation: &Delegation,
        document: Rc<Document>,
        inherited: InheritedState,
        rights: LeaseHooks,
        journal: Journal,
    ) -> Rc<Self> {
        Rc::new(Self {
            service: ids::ServiceName::clone(&delegation.service),
            zone: ids::ZoneName::clone(&delegation.zone),
            state: RefCell::new(State::new(delegation, document, &inherited, journal)),
            changed: Notify::default(),
            lease_hooks: rights,
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

    /// Epoch under which the carrier acts.
    pub fn epoch(&self) -> ids::Epoch {
        self.state.borrow().epoch()
    }

    /// Answers a backend server; `None` if the carrier may not act now.
    pub fn renew_lease(&self, now: Instant, request: &LeaseRequest) -> Option<LeaseResponse> {
        if !self.may_act(now) {
            return None;
        }
        self.update(|s| s.renew_lease(now, request))
    }

    /// Answers an entry VM, at once if there is news, else within the time it gave.
    pub async fn handle_pull(&self, request: PullRequest) -> Result<PullResponse, PullError> {
        let asked = clock::now();
        self.record_pull(asked, &request)?;
        while !self.should_respond(clock::now(), &request) {
            let left = request.max_wait.saturating_sub(clock::now() - asked);
            let woken = !left.is_zero() && self.changed.wait(left).await;
            if !woken {
                break;
            }
        }
        self.pull_response(clock::now(), &request)
    }

    /// Takes in what an entry VM says of itself with its question.
    pub fn record_pull(&self, now: Instant, request: &PullRequest) -> Result<(), PullError> {
        self.check_pull(request)?;
        let sent = self.state.borrow_mut().record_pull(now, request);
        match sent {
            Some(sent) if request.votes && request.epoch == self.epoch() => {
                (self.lease_hooks.record_vote)(&request.vm, sent);
            }
            _ => {}
        }
        Ok(())
    }

    /// Answers an entry VM with the changes since the map it holds.
    pub fn pull_response(
        &self,
        now: Instant,
        request: &PullRequest,
    ) -> Result<PullResponse, PullError> {
        self.check_pull(request)?;
        let mapped = self.may_act(now);
        Ok(self.state.borrow_mut().pull_response(now, request, mapped))
    }

    /// Advances everything that waits for time to pass.
    pub fn tick(&self, now: Instant) {
        let may_act = self.may_act(now);
        self.update(|s| s.tick(now, may_act));
        if may_act && !self.was_active.replace(may_act) {
            self.changed.wake();
        }
        self.was_active.set(may_act);
    }

    /// Goes on under a delegation with a higher epoch to the same carrier.
    ///
    /// False if another carrier may have acted since this duty began, which `prior` tells: the
    /// duty is then worth nothing, and a new one has to take over.
    pub fn apply_delegation(&self, delegation: &Delegation) -> bool {
        let goes_on = self.state.borrow().continues_from(delegation);
        if goes_on {
            self.update(|s| s.apply_delegation(delegation));
            self.resigned.set(false);
        }
        goes_on
    }

    /// Puts a newer document in force.
    pub fn set_document(&self, document: Rc<Document>) {
        self.update(|s| s.set_document(document));
    }

    /// Takes spans from their owners for another zone; replaces what was asked before.
    ///
    /// A span that was reported released and is asked for no longer is granted again.
    pub fn request_release(&self, spans: &[keys::Span]) {
        self.update(|s| s.request_release(spans));
    }

    /// Gives up the duty, because this VM is stopping; the next report says so.
    pub fn resign(&self) {
        self.resigned.set(true);
        self.changed.wake();
    }

    /// State for the leader; a carrier that reports itself resigned acts no more.
    pub fn report(&self, now: Instant) -> DutyReport {
        if self.state.borrow().fences_exhausted() {
            self.resign();
        }
        let report = self.state.borrow_mut().report(now);
        DutyReport {
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

    /// State for operators.
    pub fn overview(&self) -> Overview {
        let (servers, moves, dark) = self.state.borrow().overviews();
        Overview {
            service: ids::ServiceName::clone(&self.service),
            zone: ids::ZoneName::clone(&self.zone),
            epoch: self.epoch(),
            version: self.state.borrow().version(),
            servers,
            moves,
            unrouted: dark,
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
        let first = request.last_response == 0;
        let newer = self.may_act(now) && self.state.borrow().has_changes(request);
        self.resigned.get() || first || newer
    }

    fn update<F, T>(&self, work: F) -> T
    where
        F: FnOnce(&mut State) -> T,
    {
        let before = self.state.borrow().version();
        let out = work(&mut self.state.borrow_mut());
        if self.state.borrow().version() != before {
            self.changed.wake();
        }
        out
    }
}
