//! State transitions of a shard: granted, revoked, freed.

use std::time::Instant;

use super::shard::{MoveCause, Owner, ShardState};
use super::state::{State, granted};
use crate::ids;
use crate::keys;
use crate::timeline::Event;

impl State {
    /// Grants a shard to a server under a new fence; does nothing once the fences are exhausted.
    pub(super) fn grant(&mut self, start: keys::KeyHash, owner: &Owner) {
        let Some(fence) = self.next_fence() else {
            return;
        };
        self.set_state(start, granted(owner, false, false));
        if let Some(shard) = self.shards.get_mut(&start) {
            shard.fence = fence;
            self.record_shard("grant.given", start);
        }
    }

    /// Withdraws the route of a granted shard and stops listing the grant.
    pub(super) fn revoke(
        &mut self,
        start: keys::KeyHash,
        cause: MoveCause,
        next_owner: Option<ids::ServerName>,
    ) {
        let Some(shard) = self.shards.get(&start) else {
            return;
        };
        let ShardState::Granted { owner, .. } = shard.state.clone() else {
            return;
        };
        let server = self.servers.get(&owner.server);
        let Some((checks_fences, lease_end)) = server.map(|s| (s.info.checks_fences, s.lease_end))
        else {
            return;
        };
        self.record_shard("grant.leaving", start);
        let state = match () {
            () if shard.in_use => ShardState::Revoking {
                owner,
                checks_fences,
                cause,
                lease_end,
                unrouted_since: None,
                next_owner,
            },
            () => ShardState::Free {
                last_owner: next_owner,
            },
        };
        self.set_state(start, state);
    }

    /// Frees a shard whose last owner has certainly given up the grant.
    pub(super) fn free(&mut self, now: Instant, start: keys::KeyHash) {
        let Some(shard) = self.shards.get(&start) else {
            return;
        };
        let last_owner = match &shard.state {
            ShardState::Revoking { next_owner, .. } => next_owner.clone(),
            ShardState::Granted { owner, .. } => Some(ids::ServerName::clone(&owner.server)),
            _ => None,
        };
        let state = match shard.earliest_free {
            Some(until) if now < until => ShardState::PriorGrant { until },
            _ => ShardState::Free { last_owner },
        };
        self.set_state(start, state);
        self.record_shard("grant.free", start);
    }

    /// Records an event of one shard.
    pub(super) fn record_shard(&self, kind: &str, start: keys::KeyHash) {
        let Some(shard) = self.shards.get(&start) else {
            return;
        };
        let event = Event::new(kind).span(shard.span).fence(shard.fence);
        self.record(match &shard.state {
            ShardState::Granted { owner, .. } => event.server(&owner.server),
            ShardState::Revoking { owner, cause, .. } => {
                event.server(&owner.server).detail(cause.as_str())
            }
            _ => event,
        });
    }
}
