//! Work of a granter in each pass: expires leases, advances shards, assigns free ones.

use std::time::{Duration, Instant};

use super::server::Server;
use super::shard::{MoveCause, Owner, Shard, ShardState};
use super::state::State;
use crate::ids;
use crate::keys;
use crate::place;
use crate::timeline::Event;
use crate::timing;

/// Delay from the first heartbeat until spans are first assigned.
pub(super) const DISCOVERY_DELAY: Duration = Duration::from_millis(250);

/// Gap between passes after which [`DISCOVERY_DELAY`] starts again, so that servers have time to
/// send heartbeats.
const MAX_PASS_GAP: Duration = Duration::from_millis(250);

/// How long the state of a lost server that owns nothing, or of a lost subscriber, is kept.
const LOST_RETENTION: Duration = Duration::from_mins(1);

impl State {
    /// Does all that depends on time; does nothing while the primary may not act.
    pub(super) fn run_pass(&mut self, now: Instant, may_act: bool) {
        if !may_act {
            self.last_pass = None;
            return;
        }
        let paused = self.last_pass.is_none_or(|p| now > p + MAX_PASS_GAP);
        if paused && self.assign_after.is_some() {
            self.assign_after = Some(now + DISCOVERY_DELAY);
        }
        self.last_pass = Some(now);
        self.expire_leases(now);
        self.update_warmup(now);
        self.advance_waiting(now);
        if self.assign_after.is_some_and(|after| now >= after) {
            self.start_moves(now);
            self.assign_free(now);
        }
    }

    /// Ends expired leases and removes servers and subscribers lost long ago.
    fn expire_leases(&mut self, now: Instant) {
        let expired = |s: &&mut Server| s.alive && now >= s.lease_end;
        let mut lost = Vec::new();
        for server in self.servers.values_mut().filter(expired) {
            server.alive = false;
            lost.push(server.owner());
        }
        for owner in lost {
            self.record(Event::new("grant.server.lost").server(&owner.server));
            for start in self.starts_where(|s| s.owner() == Some(&owner)) {
                self.revoke(start, MoveCause::LeaseExpired, None);
            }
        }
        let names: Vec<_> = self.servers.keys().cloned().collect();
        for name in names {
            let has_shard = |s: &Shard| s.owner_or_revoked().is_some_and(|o| o.server == name);
            let outdated = |s: &Server| !s.alive && now >= s.lease_end + LOST_RETENTION;
            if self.servers.get(&name).is_some_and(outdated) && !self.shards.values().any(has_shard)
            {
                self.servers.remove(&name);
            }
        }
        self.subscribers
            .retain(|_, s| now < s.map_expiry + LOST_RETENTION);
    }

    /// Raises the usable share of slots of servers that warm up.
    fn update_warmup(&mut self, now: Instant) {
        for server in self.servers.values_mut() {
            let percent = server.warm_percent(now);
            if server.alive && server.info.warm_percent != percent {
                self.version += 1;
                server.info.warm_percent = percent;
                server.changed_version = self.version;
            }
        }
    }

    /// Advances shards that wait for the end of a grant.
    fn advance_waiting(&mut self, now: Instant) {
        let waiting = |s: &Shard| {
            matches!(
                s.state,
                ShardState::PriorGrant { .. } | ShardState::Revoking { .. }
            )
        };
        for start in self.starts_where(waiting) {
            self.advance_shard(now, start);
        }
    }

    fn advance_shard(&mut self, now: Instant, start: keys::KeyHash) {
        let Some(shard) = self.shards.get(&start) else {
            return;
        };
        let is_unrouted = self.older_maps_expired(shard.withdrawn_version, now);
        let request_time = self.max_deadline + timing::CLOCK_ALLOWANCE;
        match shard.state.clone() {
            ShardState::PriorGrant { until } if now >= until && shard.clear_of_predecessor(now) => {
                self.set_state(start, ShardState::Free { last_owner: None });
                self.record_shard("grant.free", start);
            }
            ShardState::Revoking {
                checks_fences: true,
                lease_end,
                ..
            } if now >= lease_end => self.free(now, start),
            ShardState::Revoking {
                checks_fences: false,
                unrouted_since: Some(since),
                ..
            } if now >= since + request_time => self.free(now, start),
            ShardState::Revoking {
                owner,
                checks_fences: false,
                cause: MoveCause::LeaseExpired,
                ..
            } if self.has_returned(&owner) => self.grant(start, &owner),
            ShardState::Revoking {
                checks_fences: false,
                unrouted_since: None,
                ..
            } if is_unrouted => {
                if let Some(Shard {
                    state: ShardState::Revoking { unrouted_since, .. },
                    ..
                }) = self.shards.get_mut(&start)
                {
                    *unrouted_since = Some(now);
                }
            }
            _ => {}
        }
    }

    /// Whether a lost server came back as the same incarnation.
    fn has_returned(&self, owner: &Owner) -> bool {
        let server = self.servers.get(&owner.server);
        server.is_some_and(|s| s.is_assignable() && s.info.incarnation == owner.incarnation)
    }

    fn assign_free(&mut self, now: Instant) {
        let free = |s: &Shard| {
            matches!(s.state, ShardState::Free { .. }) && !self.release_requested(s.span)
        };
        let free = self.starts_where(free);
        if free.is_empty() {
            return;
        }
        let (shards, names, servers) = self.placement_input(now);
        for assignment in place::assign(&shards, &servers) {
            let (Some(shard), Some(name)) =
                (shards.get(assignment.shard), names.get(assignment.server))
            else {
                continue;
            };
            let start = shard.span.start;
            let Some(server) = self.servers.get(name) else {
                continue;
            };
            let withdrawn = self.shards.get(&start).map_or(0, |s| s.withdrawn_version);
            let may_grant = server.info.checks_fences || self.older_maps_expired(withdrawn, now);
            let owner = server.owner();
            if may_grant && free.contains(&start) {
                self.grant(start, &owner);
            }
        }
    }

    /// Shards, server names and servers as input for the placement policy.
    pub(super) fn placement_input(
        &self,
        now: Instant,
    ) -> (Vec<place::Shard>, Vec<ids::ServerName>, Vec<place::Server>) {
        let names: Vec<_> = self.servers.keys().cloned().collect();
        // `None` for a server that is not in the list of known servers any more.
        let index = |name: &ids::ServerName| names.binary_search(name).ok();
        let shard = |s: &Shard| {
            let (owner, last_owner) = match &s.state {
                ShardState::Granted { owner, .. } => (index(&owner.server), None),
                ShardState::Revoking { next_owner, .. } => {
                    (next_owner.as_ref().and_then(index), None)
                }
                ShardState::Free { last_owner } => (None, last_owner.as_ref().and_then(index)),
                ShardState::PriorGrant { .. } => (None, None),
            };
            place::Shard {
                span: s.span,
                owner,
                last_owner,
                free: matches!(s.state, ShardState::Free { .. }) && !self.release_requested(s.span),
                movable: self.is_movable(s, now),
                request_rate: s.request_rate,
                hot_hashes: s
                    .hot_hashes
                    .iter()
                    .map(|h| (h.hash, h.request_rate))
                    .collect(),
            }
        };
        let server = |s: &Server| place::Server {
            capacity: s.capacity(),
            assignable: s.is_assignable(),
        };
        let shards = self.shards.values().map(shard).collect();
        let servers = self.servers.values().map(server).collect();
        (shards, names, servers)
    }
}
