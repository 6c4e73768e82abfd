//! A carrier's right to act, by its own clock.
//!
//! It holds while a majority of the votes is fresh and the term since the last
//! answered renewal has not run out. Votes and renewals count from moments
//! that are certainly not later than the voter's own, so every wait of the next
//! carrier covers them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::Delegation;
use crate::ids;
use crate::timing;

/// Votes and term of one carrier.
#[derive(Clone, Debug)]
pub struct PrimaryLease {
    vm: ids::VmName,
    voters: Vec<ids::VmName>,
    tiebreak: bool,
    term: Duration,
    votes: BTreeMap<ids::VmName, Instant>,
    renewed: Option<Instant>,
}

impl PrimaryLease {
    /// The right of the delegation's carrier, without a vote yet.
    pub fn new(delegation: &Delegation) -> Self {
        Self {
            vm: Arc::clone(&delegation.primary),
            voters: delegation.voters.clone(),
            tiebreak: delegation.tiebreak,
            term: delegation.term,
            votes: BTreeMap::new(),
            renewed: None,
        }
    }

    /// Goes on under a higher epoch of the same carrier.
    pub fn update(&mut self, delegation: &Delegation) {
        self.voters.clone_from(&delegation.voters);
        self.tiebreak = delegation.tiebreak;
        self.term = delegation.term;
    }

    /// Takes a voter's vote, counted from that instant.
    pub fn record_vote(&mut self, vm: &ids::VmName, counted_from: Instant) {
        raise(
            self.votes.entry(Arc::clone(vm)).or_insert(counted_from),
            counted_from,
        );
    }

    /// Takes the leader's answer to a renewal sent at that instant.
    pub fn record_renewal(&mut self, sent_at: Instant) {
        raise(self.renewed.get_or_insert(sent_at), sent_at);
    }

    /// Until when the carrier may act; `None` if it may not act now.
    pub fn valid_until(&self, now: Instant) -> Option<Instant> {
        self.expiry().filter(|end| now < *end)
    }

    /// When the right ends or ended; `None` if it never held.
    pub fn expiry(&self) -> Option<Instant> {
        let term_end = self.renewed? + self.term;
        match self.majority_expiry()? {
            Majority::Own => Some(term_end),
            Majority::Until(end) => Some(end.min(term_end)),
        }
    }

    /// Until when a majority of the votes is fresh.
    fn majority_expiry(&self) -> Option<Majority> {
        let count = self.voters.len() + usize::from(self.tiebreak);
        let needed = count / 2 + 1;
        let own = usize::from(self.voters.contains(&self.vm));
        let Some(others) = needed.checked_sub(own + 1) else {
            return Some(Majority::Own);
        };
        let control = self.renewed.filter(|_| self.tiebreak);
        let peers = self.voters.iter().filter(|vm| **vm != self.vm);
        let counted = peers.filter_map(|vm| self.votes.get(vm).copied());
        let mut fresh: Vec<_> = counted.chain(control).collect();
        fresh.sort_unstable_by(|a, b| b.cmp(a));
        let last = fresh.get(others)?;
        Some(Majority::Until(*last + timing::CARRIER_LEASE))
    }
}

enum Majority {
    /// The own vote is enough.
    Own,
    /// Fresh votes of others are needed.
    Until(Instant),
}

fn raise(held: &mut Instant, to: Instant) {
    *held = to.max(*held);
}
