//! A primary's lease, measured by the primary's own clock.
//!
//! The lease is valid while a majority of the votes is unexpired and the lease
//! term has not passed since the last answered renewal. Votes and renewals are
//! timed from instants that are certainly not later than the voter's own record
//! of them, so the wait of the next primary always covers them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::Delegation;
use crate::ids;
use crate::timing;

/// Votes and lease term of one primary.
#[derive(Clone, Debug)]
pub struct PrimaryLease {
    vm: ids::VmName,
    voters: Vec<ids::VmName>,
    tiebreak: bool,
    term: Duration,
    votes: BTreeMap<ids::VmName, Instant>,
    last_renewal: Option<Instant>,
}

impl PrimaryLease {
    /// The lease of the delegation's primary, without any vote yet.
    pub fn new(delegation: &Delegation) -> Self {
        Self {
            vm: Arc::clone(&delegation.primary),
            voters: delegation.voters.clone(),
            tiebreak: delegation.tiebreak,
            term: delegation.term,
            votes: BTreeMap::new(),
            last_renewal: None,
        }
    }

    /// Adopts voters and term of a higher epoch of the same primary; votes and renewals are kept.
    pub fn update(&mut self, delegation: &Delegation) {
        self.voters.clone_from(&delegation.voters);
        self.tiebreak = delegation.tiebreak;
        self.term = delegation.term;
    }

    /// Records a vote that is valid from `valid_from` on.
    pub fn record_vote(&mut self, vm: &ids::VmName, valid_from: Instant) {
        advance(
            self.votes.entry(Arc::clone(vm)).or_insert(valid_from),
            valid_from,
        );
    }

    /// Records that the leader answered a renewal sent at `sent_at`.
    pub fn record_renewal(&mut self, sent_at: Instant) {
        advance(self.last_renewal.get_or_insert(sent_at), sent_at);
    }

    /// Expiry of the lease; `None` if it is not valid now.
    pub fn valid_until(&self, now: Instant) -> Option<Instant> {
        self.expiry().filter(|expiry| now < *expiry)
    }

    /// Past or future expiry of the lease; `None` if it was never valid.
    pub fn expiry(&self) -> Option<Instant> {
        let term_expiry = self.last_renewal? + self.term;
        match self.majority_expiry()? {
            Majority::OwnVote => Some(term_expiry),
            Majority::Until(expiry) => Some(expiry.min(term_expiry)),
        }
    }

    /// Expiry of the majority of votes; `None` if there never was one.
    fn majority_expiry(&self) -> Option<Majority> {
        let count = self.voters.len() + usize::from(self.tiebreak);
        let needed = count / 2 + 1;
        let own_vote = usize::from(self.voters.contains(&self.vm));
        let Some(last_needed) = needed.checked_sub(own_vote + 1) else {
            return Some(Majority::OwnVote);
        };
        let control_vote = self.last_renewal.filter(|_| self.tiebreak);
        let peers = self.voters.iter().filter(|vm| **vm != self.vm);
        let peer_votes = peers.filter_map(|vm| self.votes.get(vm).copied());
        let mut latest: Vec<_> = peer_votes.chain(control_vote).collect();
        latest.sort_unstable_by(|a, b| b.cmp(a));
        let oldest_needed = latest.get(last_needed)?;
        Some(Majority::Until(*oldest_needed + timing::PRIMARY_LEASE))
    }
}

enum Majority {
    /// The primary's own vote is a majority.
    OwnVote,
    /// The votes of other voters are needed and expire then.
    Until(Instant),
}

fn advance(instant: &mut Instant, to: Instant) {
    *instant = to.max(*instant);
}
