//! The server's side of its lease: what it holds and until when.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use agateyoke::grant::Grant;
use agateyoke::{ids, keys};

use crate::refused::Refused;

/// Grants, the lease over them, and the work in flight under each fence.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    until: Option<Instant>,
    grants: Vec<Grant>,
    highest: ids::Fence,
    dropped: Vec<Grant>,
    in_flight: HashMap<ids::Fence, u32>,
}

impl Lease {
    /// Drops every grant once the lease has run out.
    pub(crate) fn expire(&mut self, now: Instant) {
        if self.until.is_none_or(|until| now >= until) {
            self.dropped.append(&mut self.grants);
        }
        let in_flight = &self.in_flight;
        self.dropped.retain(|g| in_flight.contains_key(&g.fence));
    }

    /// Grants held now.
    pub(crate) fn holds(&mut self, now: Instant) -> Vec<Grant> {
        self.expire(now);
        self.grants.clone()
    }

    /// Dropped grants with work still in flight.
    pub(crate) fn finishing(&mut self, now: Instant) -> Vec<Grant> {
        self.expire(now);
        self.dropped.clone()
    }

    /// Takes in an answer to a question sent at `sent`; whether the grants changed.
    pub(crate) fn renew(
        &mut self,
        sent: Instant,
        now: Instant,
        length: Duration,
        listed: &[Grant],
    ) -> bool {
        self.expire(now);
        let until = sent + length;
        if now >= until {
            return false;
        }
        let before = self.grants.clone();
        let floor = self.highest;
        let may_hold = |g: &&Grant| before.contains(g) || g.fence > floor;
        self.grants = listed.iter().filter(may_hold).copied().collect();
        let gone = before.iter().filter(|g| !self.grants.contains(g));
        self.dropped.extend(gone.copied());
        let fences = self.grants.iter().map(|g| g.fence);
        self.highest = fences.max().unwrap_or(0).max(self.highest);
        self.until = self.until.max(Some(until));
        self.grants != before
    }

    /// Whether a request for `hash` under `fence` may run now.
    pub(crate) fn check(
        &mut self,
        hash: keys::KeyHash,
        fence: ids::Fence,
        now: Instant,
    ) -> Result<(), Refused> {
        self.expire(now);
        let is_held = |g: &Grant| g.fence == fence && g.span.contains(hash);
        match self.until {
            Some(until) if now < until && self.grants.iter().any(is_held) => Ok(()),
            Some(until) if now < until => Err(Refused::Fence),
            _ => Err(Refused::Lease),
        }
    }

    /// Counts work that starts under a fence.
    pub(crate) fn start(&mut self, fence: ids::Fence) {
        *self.in_flight.entry(fence).or_default() += 1;
    }

    /// Counts work that ends under a fence.
    pub(crate) fn end(&mut self, fence: ids::Fence) {
        if let Some(count) = self.in_flight.get_mut(&fence) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&fence);
            }
        }
    }
}
