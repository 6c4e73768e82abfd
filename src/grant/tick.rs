//! What a carrier does at each tick: ends leases, advances waits, places spans.

use std::time::{Duration, Instant};

use super::server::Server;
use super::shard::{MoveCause, Owner, Shard, ShardState};
use super::state::State;
use crate::ids;
use crate::keys;
use crate::place;
use crate::timeline::Event;
use crate::timing;

/// Time from the first server heard until spans are first placed.
pub(super) const DISCOVERY_DELAY: Duration = Duration::from_millis(250);

/// Time without a look after which servers are given [`DISCOVERY_DELAY`] to come back.
const MAX_TICK_GAP: Duration = Duration::from_millis(250);

/// How long a lost server that owns nothing is remembered.
const LOST_RETENTION: Duration = Duration::from_mins(1);

impl State {
    /// Advances all that waits for time to pass.
    pub(super) fn tick(&mut self, now: Instant, may_act: bool) {
        if !may_act {
            self.last_tick = None;
            return;
        }
        let paused = self.last_tick.is_none_or(|t| now > t + MAX_TICK_GAP);
        if paused && self.assign_after.is_some() {
            self.assign_after = Some(now + DISCOVERY_DELAY);
        }
        self.last_tick = Some(now);
        self.expire_leases(now);
        self.update_warmup(now);
        self.advance_waiting(now);
        if self.assign_after.is_some_and(|p| now >= p) {
            self.start_moves(now);
            self.assign_free(now);
        }
    }

    /// Ends the leases that have run out.
    fn expire_leases(&mut self, now: Instant) {
        let out = |s: &&mut Server| s.alive && now >= s.lease_end;
        let mut lost = Vec::new();
        for server in self.servers.values_mut().filter(out) {
            server.alive = false;
            lost.push(server.owner());
        }
        for owner in lost {
            self.record(Event::new("grant.server.lost").server(&owner.server));
            for start in self.starts_where(|p| p.owner() == Some(&owner)) {
                self.revoke(start, MoveCause::LeaseExpired, None);
            }
        }
        let names: Vec<_> = self.servers.keys().cloned().collect();
        for name in names {
            let bound = |p: &Shard| p.owner_or_revoked().is_some_and(|o| o.server == name);
            let old = |s: &Server| !s.alive && now >= s.lease_end + LOST_RETENTION;
            if self.servers.get(&name).is_some_and(old) && !self.shards.values().any(bound) {
                self.servers.remove(&name);
            }
        }
        self.subscribers
            .retain(|_, s| now < s.map_expiry + LOST_RETENTION);
    }

    /// Grows the usable share of servers that warm up.
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
        let waiting = |p: &Shard| {
            matches!(
                p.state,
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
        let silent = self.older_maps_expired(shard.withdrawn_version, now);
        let settle = self.max_deadline + timing::CLOCK_ALLOWANCE;
        match shard.state.clone() {
            ShardState::PriorGrant { until } if now >= until && shard.clear_of_predecessor(now) => {
                self.set_state(start, ShardState::Free { last_owner: None });
                self.record_shard("grant.free", start);
            }
            ShardState::Revoking {
                checks_fences: true,
                lease_end: over,
                ..
            } if now >= over => self.free(now, start),
            ShardState::Revoking {
                checks_fences: false,
                unrouted_since: Some(quiet),
                ..
            } if now >= quiet + settle => self.free(now, start),
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
            } if silent => {
                if let Some(Shard {
                    state:
                        ShardState::Revoking {
                            unrouted_since: quiet,
                            ..
                        },
                    ..
                }) = self.shards.get_mut(&start)
                {
                    *quiet = Some(now);
                }
            }
            _ => {}
        }
    }

    /// Whether a server that was lost came back as the same start.
    fn has_returned(&self, owner: &Owner) -> bool {
        let server = self.servers.get(&owner.server);
        server.is_some_and(|s| s.is_assignable() && s.info.incarnation == owner.incarnation)
    }

    /// Places free spans on servers.
    fn assign_free(&mut self, now: Instant) {
        let free = |p: &Shard| {
            matches!(p.state, ShardState::Free { .. }) && !self.release_requested(p.span)
        };
        let free = self.starts_where(free);
        if free.is_empty() {
            return;
        }
        let (shards, names, servers) = self.placement_input(now);
        for choice in place::assign(&shards, &servers) {
            let (Some(shard), Some(name)) = (shards.get(choice.shard), names.get(choice.server))
            else {
                continue;
            };
            let start = shard.span.start;
            let Some(server) = self.servers.get(name) else {
                continue;
            };
            let withdrawn = self.shards.get(&start).map_or(0, |p| p.withdrawn_version);
            let may = server.info.checks_fences || self.older_maps_expired(withdrawn, now);
            let owner = server.owner();
            if may && free.contains(&start) {
                self.grant(start, &owner);
            }
        }
    }

    /// Pieces and servers as the placement policy sees them.
    pub(super) fn placement_input(
        &self,
        now: Instant,
    ) -> (Vec<place::Shard>, Vec<ids::ServerName>, Vec<place::Server>) {
        let names: Vec<_> = self.servers.keys().cloned().collect();
        let index = |name: &ids::ServerName| names.binary_search(name).ok();
        let shard = |p: &Shard| {
            let (owner, last) = match &p.state {
                ShardState::Granted { owner, .. } => (index(&owner.server), None),
                ShardState::Revoking {
                    next_owner: next, ..
                } => (next.as_ref().and_then(index), None),
                ShardState::Free { last_owner: last } => (None, last.as_ref().and_then(index)),
                ShardState::PriorGrant { .. } => (None, None),
            };
            place::Shard {
                span: p.span,
                owner,
                last_owner: last,
                free: matches!(p.state, ShardState::Free { .. }) && !self.release_requested(p.span),
                movable: self.is_movable(p, now),
                request_rate: p.request_rate,
                hot_hashes: p
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
