//! The voter's side: which epochs this VM still votes for.
//!
//! A new carrier bars the voters of the one before it. From then on they vote
//! for no lower epoch, and say when they last did. A VM that has just started
//! votes for nobody until the leader told it the present epoch.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use serde_json::value::RawValue;

use super::messages::{PromiseRequest, PromiseResponse};
use super::planner::ServiceZone;
use super::view::View;
use crate::clock;
use crate::ids;
use crate::rpc::{Answer, server};

/// Method by which a voter is barred.
pub const METHOD: &str = "delegate.bar";

/// Epochs whose last vote is remembered, for each service and zone.
const VOTES_KEPT: usize = 8;

/// What this VM promised and voted.
#[derive(Debug)]
pub struct Voter {
    started: Instant,
    ballots: RefCell<BTreeMap<ServiceZone, Ballot>>,
}

#[derive(Debug, Default)]
struct Ballot {
    /// No lower epoch gets a vote any more.
    promised: ids::Epoch,
    /// Last vote for each epoch.
    votes: BTreeMap<ids::Epoch, Instant>,
    /// Epoch under which this VM itself is the carrier.
    primary_epoch: Option<ids::Epoch>,
}

impl Voter {
    /// The desk of a process that started then and has not voted.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            ballots: RefCell::default(),
        }
    }

    /// Answers a new carrier, method `delegate.bar`.
    pub fn promise(&self, now: Instant, request: &PromiseRequest) -> PromiseResponse {
        self.ballot(&request.service, &request.zone, |ballot| {
            ballot.promised = ballot.promised.max(request.epoch);
            let carried = ballot
                .primary_epoch
                .filter(|e| *e < request.epoch)
                .map(|_| now);
            let voted = ballot.votes.range(..request.epoch).map(|(_, at)| *at).max();
            let last = carried.or(voted);
            PromiseResponse {
                voted_ms: last.map(|at| clock::as_ms(now.saturating_duration_since(at))),
                running_ms: clock::as_ms(now.saturating_duration_since(self.started)),
            }
        })
    }

    /// Answers a call; `None` if the method belongs to another slice.
    pub fn answer(&self, method: &str, body: &RawValue) -> Option<Answer> {
        (method == METHOD).then(|| {
            let request = server::params(body)?;
            server::result(&self.promise(clock::now(), &request))
        })
    }

    /// Whether this VM may vote for that epoch now.
    pub fn may_vote(&self, view: &View, service: &str, zone: &str, epoch: ids::Epoch) -> bool {
        let current = view.delegation(service, zone).map(|d| d.epoch);
        let known = current.is_some_and(|c| c <= epoch);
        known && !self.promised_above(service, zone, epoch)
    }

    /// Whether this VM promised to vote for a higher epoch only.
    pub fn promised_above(&self, service: &str, zone: &str, epoch: ids::Epoch) -> bool {
        let ballots = self.ballots.borrow();
        let ballot = ballots.get(&(Arc::from(service), Arc::from(zone)));
        ballot.is_some_and(|b| b.promised > epoch)
    }

    /// Notes a vote, before it is sent.
    pub fn record_vote(&self, service: &str, zone: &str, epoch: ids::Epoch, at: Instant) {
        self.ballot(service, zone, |ballot| {
            ballot.promised = ballot.promised.max(epoch);
            ballot.votes.insert(epoch, at);
            while ballot.votes.len() > VOTES_KEPT {
                ballot.votes.pop_first();
            }
        });
    }

    /// Notes under which epoch this VM is the carrier itself, as its own vote is always fresh.
    pub fn set_primary_epoch(&self, service: &str, zone: &str, epoch: Option<ids::Epoch>) {
        self.ballot(service, zone, |ballot| ballot.primary_epoch = epoch);
    }

    fn ballot<F, T>(&self, service: &str, zone: &str, work: F) -> T
    where
        F: FnOnce(&mut Ballot) -> T,
    {
        let mut ballots = self.ballots.borrow_mut();
        work(
            ballots
                .entry((Arc::from(service), Arc::from(zone)))
                .or_default(),
        )
    }
}
