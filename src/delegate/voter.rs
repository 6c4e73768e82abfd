//! Votes and promises of an entry VM.
//!
//! A new primary requests a promise from the voters of its predecessors. From
//! then on they vote for no lower epoch, and they respond when they last did so.
//! A VM that has just started does not vote before it has received the current
//! epoch from the leader.

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
use crate::rpc::{RpcResult, server};

/// RPC method by which a new primary requests a promise.
pub const METHOD: &str = "delegate.bar";

/// Maximum number of epochs whose last vote is kept, for each service and zone.
const MAX_VOTED_EPOCHS: usize = 8;

/// Promises and votes of this VM, by service and zone.
#[derive(Debug)]
pub struct Voter {
    started: Instant,
    ballots: RefCell<BTreeMap<ServiceZone, Ballot>>,
}

#[derive(Debug, Default)]
struct Ballot {
    /// Lowest epoch that may still get a vote.
    promised: ids::Epoch,
    /// Last vote for each epoch.
    votes: BTreeMap<ids::Epoch, Instant>,
    /// Epoch in which this VM itself is the primary.
    primary_epoch: Option<ids::Epoch>,
}

impl Voter {
    /// Voter of a process that started at `started` and has not voted.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            ballots: RefCell::default(),
        }
    }

    /// Promises the epoch of a new primary, method `delegate.bar`.
    pub fn promise(&self, now: Instant, request: &PromiseRequest) -> PromiseResponse {
        self.with_ballot(&request.service, &request.zone, |ballot| {
            ballot.promised = ballot.promised.max(request.epoch);
            let own_vote = ballot
                .primary_epoch
                .filter(|e| *e < request.epoch)
                .map(|_| now);
            let voted = ballot.votes.range(..request.epoch).map(|(_, at)| *at).max();
            let last = own_vote.or(voted);
            PromiseResponse {
                voted_ms: last.map(|at| clock::as_ms(now.saturating_duration_since(at))),
                running_ms: clock::as_ms(now.saturating_duration_since(self.started)),
            }
        })
    }

    /// Answers an RPC; `None` if the method is not handled here.
    pub fn answer(&self, method: &str, body: &RawValue) -> Option<RpcResult> {
        (method == METHOD).then(|| {
            let request = server::decode_params(body)?;
            server::encode_result(&self.promise(clock::now(), &request))
        })
    }

    /// Whether this VM may vote for `epoch` now.
    pub fn may_vote(&self, view: &View, service: &str, zone: &str, epoch: ids::Epoch) -> bool {
        let current = view.delegation(service, zone).map(|d| d.epoch);
        let is_current = current.is_some_and(|c| c <= epoch);
        is_current && !self.promised_above(service, zone, epoch)
    }

    /// Whether this VM promised an epoch above `epoch`.
    pub fn promised_above(&self, service: &str, zone: &str, epoch: ids::Epoch) -> bool {
        let ballots = self.ballots.borrow();
        let ballot = ballots.get(&(Arc::from(service), Arc::from(zone)));
        ballot.is_some_and(|b| b.promised > epoch)
    }

    /// Records a vote; must be called before the vote is sent.
    pub fn record_vote(&self, service: &str, zone: &str, epoch: ids::Epoch, at: Instant) {
        self.with_ballot(service, zone, |ballot| {
            ballot.promised = ballot.promised.max(epoch);
            ballot.votes.insert(epoch, at);
            while ballot.votes.len() > MAX_VOTED_EPOCHS {
                ballot.votes.pop_first();
            }
        });
    }

    /// Records the epoch in which this VM is the primary, if any.
    ///
    /// A primary counts as voting for itself at every moment.
    pub fn set_primary_epoch(&self, service: &str, zone: &str, epoch: Option<ids::Epoch>) {
        self.with_ballot(service, zone, |ballot| ballot.primary_epoch = epoch);
    }

    fn with_ballot<F, T>(&self, service: &str, zone: &str, update: F) -> T
    where
        F: FnOnce(&mut Ballot) -> T,
    {
        let mut ballots = self.ballots.borrow_mut();
        update(
            ballots
                .entry((Arc::from(service), Arc::from(zone)))
                .or_default(),
        )
    }
}
