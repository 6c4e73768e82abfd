//! A new primary's wait for the leases of its predecessors to expire.
//!
//! A predecessor is no longer active once a majority of its voters has promised
//! a higher epoch and the latest vote of these voters has expired, or once the
//! lease term has expired. The earlier of the two is computed here from the
//! voters' responses; the calls are made by [`super::manager`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::{Delegation, Predecessor, PromiseRequest, PromiseResponse};
use crate::ids;
use crate::timing;

/// State of a takeover: the predecessors and the promises of their voters.
#[derive(Clone, Debug)]
pub struct Takeover {
    request: PromiseRequest,
    waits: Vec<PredecessorWait>,
}

/// Wait for the lease of one predecessor to expire.
#[derive(Clone, Debug)]
struct PredecessorWait {
    predecessor: Predecessor,
    /// When this process first saw that the predecessor was replaced.
    replaced_seen_at: Instant,
    /// Latest possible instant of the last vote of each voter that has promised a higher epoch.
    last_votes: BTreeMap<ids::VmName, Instant>,
}

impl Takeover {
    /// Starts to wait for the predecessors in a delegation that is first seen at `now`.
    pub fn new(now: Instant, delegation: &Delegation) -> Self {
        let waits = delegation
            .predecessors
            .iter()
            .map(|predecessor| PredecessorWait {
                predecessor: predecessor.clone(),
                replaced_seen_at: now,
                last_votes: BTreeMap::new(),
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

    /// The takeover in a higher epoch; promises have to be requested again.
    #[must_use]
    pub fn with_delegation(&self, now: Instant, delegation: &Delegation) -> Self {
        let mut next = Self::new(now, delegation);
        for wait in &mut next.waits {
            let earlier = self
                .waits
                .iter()
                .find(|w| w.predecessor == wait.predecessor);
            wait.replaced_seen_at = earlier.map_or(now, |w| w.replaced_seen_at);
        }
        next
    }

    /// Request to the voters.
    pub const fn request(&self) -> &PromiseRequest {
        &self.request
    }

    /// Voters whose promises are needed.
    pub fn voters(&self) -> BTreeSet<ids::VmName> {
        let waits = self.waits.iter().filter(|w| !w.predecessor.resigned);
        let voters = waits.flat_map(|w| w.predecessor.voters.iter());
        voters.map(Arc::clone).collect()
    }

    /// Records a voter's response to [`Self::request`] that arrived at `arrived`.
    ///
    /// A voter that has not voted since it started may have voted right before the start.
    pub fn record_promise(
        &mut self,
        arrived: Instant,
        vm: &ids::VmName,
        response: &PromiseResponse,
    ) {
        let age = Duration::from_millis(response.voted_ms.unwrap_or(response.running_ms));
        let last_vote = arrived.checked_sub(age).unwrap_or(arrived);
        let waits = self.waits.iter_mut();
        for wait in waits.filter(|w| w.predecessor.voters.contains(vm)) {
            wait.last_votes.insert(Arc::clone(vm), last_vote);
        }
    }

    /// Earliest instant from which no predecessor is active; `None` if there is no predecessor.
    pub fn expiry(&self) -> Option<Instant> {
        self.waits.iter().map(PredecessorWait::expiry).max()
    }
}

impl PredecessorWait {
    fn expiry(&self) -> Instant {
        if self.predecessor.resigned {
            return self.replaced_seen_at;
        }
        let term_expiry = self.replaced_seen_at + self.predecessor.term + timing::CLOCK_ALLOWANCE;
        let votes_expiry = self.votes_expiry().unwrap_or(term_expiry);
        votes_expiry.min(term_expiry)
    }

    /// Instant from which the predecessor has no majority; `None` while too few voters have promised.
    ///
    /// The vote of the control VMs expired before they replaced the predecessor.
    fn votes_expiry(&self) -> Option<Instant> {
        let tiebreak = usize::from(self.predecessor.tiebreak);
        let count = self.predecessor.voters.len() + tiebreak;
        let needed = count / 2 + 1;
        let mut votes: Vec<_> = self.last_votes.values().copied().collect();
        votes.sort_unstable();
        let latest = votes.get(needed.checked_sub(tiebreak + 1)?)?;
        Some(*latest + timing::PRIMARY_LEASE + timing::CLOCK_ALLOWANCE)
    }
}
