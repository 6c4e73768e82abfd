//! Lease of the server: its grants and their expiry.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use agateyoke::grant::Grant;
use agateyoke::{ids, keys};

use crate::refusal::RefusalReason;

/// Grants, the expiry of their lease, and the number of requests in flight under each fence.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    expires: Option<Instant>,
    grants: Vec<Grant>,
    highest_fence: ids::Fence,
    dropped: Vec<Grant>,
    in_flight: HashMap<ids::Fence, u32>,
}

impl Lease {
    /// Drops every grant once the lease has expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        if self.expires.is_none_or(|expires| now >= expires) {
            self.dropped.append(&mut self.grants);
        }
        let in_flight = &self.in_flight;
        self.dropped.retain(|g| in_flight.contains_key(&g.fence));
    }

    /// Grants held now.
    pub(crate) fn held(&mut self, now: Instant) -> Vec<Grant> {
        self.expire(now);
        self.grants.clone()
    }

    /// Dropped grants with requests still in flight.
    pub(crate) fn finishing(&mut self, now: Instant) -> Vec<Grant> {
        self.expire(now);
        self.dropped.clone()
    }

    /// Applies the response to a heartbeat sent at `sent`; returns whether the grants changed.
    ///
    /// The lease counts from `sent`. A grant that was dropped is held again only under a fence
    /// higher than any held before.
    pub(crate) fn renew(
        &mut self,
        sent: Instant,
        now: Instant,
        length: Duration,
        granted: &[Grant],
    ) -> bool {
        self.expire(now);
        let expires = sent + length;
        if now >= expires {
            return false;
        }
        let before = self.grants.clone();
        let highest = self.highest_fence;
        let may_hold = |g: &&Grant| before.contains(g) || g.fence > highest;
        self.grants = granted.iter().filter(may_hold).copied().collect();
        let removed = before.iter().filter(|g| !self.grants.contains(g));
        self.dropped.extend(removed.copied());
        let fences = self.grants.iter().map(|g| g.fence);
        self.highest_fence = fences.max().unwrap_or(0).max(self.highest_fence);
        self.expires = self.expires.max(Some(expires));
        self.grants != before
    }

    /// Whether a request for `hash` under `fence` may run now.
    pub(crate) fn check(
        &mut self,
        hash: keys::KeyHash,
        fence: ids::Fence,
        now: Instant,
    ) -> Result<(), RefusalReason> {
        self.expire(now);
        let is_held = |g: &Grant| g.fence == fence && g.span.contains(hash);
        match self.expires {
            Some(expires) if now < expires && self.grants.iter().any(is_held) => Ok(()),
            Some(expires) if now < expires => Err(RefusalReason::Fence),
            _ => Err(RefusalReason::Lease),
        }
    }

    /// Counts a request that starts under a fence.
    pub(crate) fn start(&mut self, fence: ids::Fence) {
        *self.in_flight.entry(fence).or_default() += 1;
    }

    /// Counts a request that ends under a fence.
    pub(crate) fn end(&mut self, fence: ids::Fence) {
        if let Some(count) = self.in_flight.get_mut(&fence) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&fence);
            }
        }
    }
}
