//! How a new carrier waits out those before it.
//!
//! A prior carrier acts no more once a majority of its votes is barred and the
//! youngest of these has run out, or once its term has. Which comes first is
//! worked out here from what voters answered; the calls are made by
//! [`super::carrier`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::{Delegation, Predecessor, PromiseRequest, PromiseResponse};
use crate::ids;
use crate::timing;

/// What a new carrier knows of those before it.
#[derive(Clone, Debug)]
pub struct Takeover {
    request: PromiseRequest,
    waits: Vec<Wait>,
}

/// One prior carrier.
#[derive(Clone, Debug)]
struct Wait {
    predecessor: Predecessor,
    /// When this process first saw that the carrier was replaced.
    seen: Instant,
    /// Barred voters, each with an instant that is certainly not before its last vote.
    barred: BTreeMap<ids::VmName, Instant>,
}

impl Takeover {
    /// Begins to wait for the prior carriers of a delegation that is first seen now.
    pub fn new(now: Instant, delegation: &Delegation) -> Self {
        let waits = delegation.predecessors.iter().map(|predecessor| Wait {
            predecessor: predecessor.clone(),
            seen: now,
            barred: BTreeMap::new(),
        });
        Self {
            request: PromiseRequest {
                service: Arc::clone(&delegation.service),
                zone: Arc::clone(&delegation.zone),
                epoch: delegation.epoch,
            },
            waits: waits.collect(),
        }
    }

    /// Goes on under a higher epoch; its voters have to be asked again.
    #[must_use]
    pub fn rebased(&self, now: Instant, delegation: &Delegation) -> Self {
        let mut next = Self::new(now, delegation);
        for wait in &mut next.waits {
            let known = self
                .waits
                .iter()
                .find(|w| w.predecessor == wait.predecessor);
            wait.seen = known.map_or(now, |w| w.seen);
        }
        next
    }

    /// The question to voters.
    pub const fn request(&self) -> &PromiseRequest {
        &self.request
    }

    /// Voters that have to be asked.
    pub fn voters(&self) -> BTreeSet<ids::VmName> {
        let waits = self.waits.iter().filter(|w| !w.predecessor.resigned);
        let voters = waits.flat_map(|w| w.predecessor.voters.iter());
        voters.map(Arc::clone).collect()
    }

    /// Takes in a voter's answer to [`Self::request`] that arrived at that instant.
    ///
    /// A voter that has not voted since it started may have voted right before.
    pub fn answered(&mut self, arrived: Instant, vm: &ids::VmName, answer: &PromiseResponse) {
        let age = Duration::from_millis(answer.voted_ms.unwrap_or(answer.running_ms));
        let last = arrived.checked_sub(age).unwrap_or(arrived);
        let waits = self.waits.iter_mut();
        for wait in waits.filter(|w| w.predecessor.voters.contains(vm)) {
            wait.barred.insert(Arc::clone(vm), last);
        }
    }

    /// Instant from which no prior carrier acts, as far as is known; `None` if there was none.
    pub fn end(&self) -> Option<Instant> {
        self.waits.iter().map(Wait::end).max()
    }
}

impl Wait {
    fn end(&self) -> Instant {
        if self.predecessor.resigned {
            return self.seen;
        }
        let term_end = self.seen + self.predecessor.term + timing::CLOCK_ALLOWANCE;
        let votes_end = self.votes_end().unwrap_or(term_end);
        votes_end.min(term_end)
    }

    /// When the prior carrier has no majority left; the control vote ran out before the change.
    fn votes_end(&self) -> Option<Instant> {
        let tiebreak = usize::from(self.predecessor.tiebreak);
        let count = self.predecessor.voters.len() + tiebreak;
        let needed = count / 2 + 1;
        let mut votes: Vec<_> = self.barred.values().copied().collect();
        votes.sort_unstable();
        let youngest = votes.get(needed.checked_sub(tiebreak + 1)?)?;
        Some(*youngest + timing::CARRIER_LEASE + timing::CLOCK_ALLOWANCE)
    }
}
