//! Moves of shards away from live servers, by drains and rebalancing, and splits at hot hashes.

use std::time::{Duration, Instant};

use super::shard::{MoveCause, Shard, ShardState};
use super::state::State;
use crate::ids;
use crate::keys;
use crate::place;
use crate::route::messages::SpanLoad;
use crate::timeline::Event;

/// Concurrent moves that are always allowed; see [`SHARDS_PER_MOVE`].
const MIN_CONCURRENT_MOVES: usize = 4;

/// Shards per concurrent move, once that allows more than [`MIN_CONCURRENT_MOVES`].
const SHARDS_PER_MOVE: usize = 32;

/// Time within which the move of every shard of a draining server starts.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Interval of load passes, which update request rates and rebalance.
const LOAD_PASS_INTERVAL: Duration = Duration::from_secs(1);

/// Weight of the newest load pass in the smoothed rate.
const SMOOTHING_FACTOR: f64 = 0.3;

/// Time for which a shard that was moved to rebalance load is not moved again.
const REBALANCE_COOLDOWN: Duration = Duration::from_secs(30);

/// Hot hashes of one shard that are kept after a load pass.
const MAX_HOT_HASHES: usize = 8;

/// Limit of shards that have a single hash.
const MAX_SINGLE_HASH_SHARDS: usize = 256;

impl State {
    /// Starts the moves that are due.
    pub(super) fn start_moves(&mut self, now: Instant) {
        self.start_drain_moves(now);
        let due = self
            .last_load_pass
            .is_none_or(|l| now >= l + LOAD_PASS_INTERVAL);
        if due {
            let elapsed = self
                .last_load_pass
                .map(|l| now.saturating_duration_since(l));
            self.last_load_pass = Some(now);
            self.update_rates(elapsed.unwrap_or(LOAD_PASS_INTERVAL));
            self.rebalance(now);
        }
    }

    /// Records the load that an entry VM reports; ignores spans outside of the key space.
    pub(super) fn record_loads(&mut self, loads: &[SpanLoad]) {
        let is_valid = |l: &&SpanLoad| l.span.start <= l.span.end && l.span.end < keys::HASH_SPACE;
        for load in loads.iter().filter(is_valid) {
            let width = place::model::width(load.span);
            let overlapping = |s: &&mut Shard| s.span.overlaps(&load.span);
            for shard in self.shards.values_mut().filter(overlapping) {
                let start = shard.span.start.max(load.span.start);
                let end = shard.span.end.min(load.span.end);
                let share = place::model::width(keys::Span { start, end }) / width;
                shard.recent_requests += capped(load.requests) * share;
                let span = shard.span;
                let hot = load.hot_hashes.iter().filter(|(h, _)| span.contains(*h));
                for (hash, requests) in hot {
                    shard.count_hash(*hash, capped(*requests));
                }
            }
        }
    }

    fn update_rates(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(0.001);
        let smooth = |old: f64, new: f64| old + SMOOTHING_FACTOR * (new / seconds - old);
        for shard in self.shards.values_mut() {
            shard.request_rate = smooth(
                shard.request_rate,
                std::mem::take(&mut shard.recent_requests),
            );
            for hot in &mut shard.hot_hashes {
                hot.request_rate =
                    smooth(hot.request_rate, std::mem::take(&mut hot.recent_requests));
            }
            shard
                .hot_hashes
                .sort_by(|a, b| b.request_rate.total_cmp(&a.request_rate));
            shard.hot_hashes.truncate(MAX_HOT_HASHES);
        }
    }

    /// Number of moves that may start now.
    fn free_move_slots(&self) -> usize {
        let moving = |s: &&Shard| {
            let planned = |c: &MoveCause| matches!(c, MoveCause::Drain | MoveCause::Rebalance);
            matches!(&s.state, ShardState::Revoking { cause, .. } if planned(cause))
        };
        let moving = self.shards.values().filter(moving).count();
        let limit = MIN_CONCURRENT_MOVES.max(self.shards.len() / SHARDS_PER_MOVE);
        limit.saturating_sub(moving)
    }

    /// Starts to move shards off draining servers, those with the highest request rate first.
    fn start_drain_moves(&mut self, now: Instant) {
        let mut free_slots = self.free_move_slots();
        let names: Vec<_> = self.servers.keys().cloned().collect();
        for name in names {
            let owned = self.owned_shards(&name);
            let Some(server) = self.servers.get_mut(&name) else {
                continue;
            };
            let overdue = server.drain_due(now, owned.len(), DRAIN_TIME);
            let started = owned.len().min(free_slots.max(overdue));
            if !server.alive || !server.is_draining() {
                continue;
            }
            free_slots = free_slots.saturating_sub(started);
            for start in owned.into_iter().take(started) {
                self.revoke(start, MoveCause::Drain, None);
            }
        }
    }

    /// Start hashes of a server's shards, those with the highest request rate first.
    fn owned_shards(&self, name: &ids::ServerName) -> Vec<keys::KeyHash> {
        let own = |s: &&Shard| s.owner().is_some_and(|o| o.server == *name);
        let mut shards: Vec<_> = self.shards.values().filter(own).collect();
        shards.sort_by(|a, b| b.request_rate.total_cmp(&a.request_rate));
        shards.iter().map(|s| s.span.start).collect()
    }

    /// Starts the moves and splits that the placement policy asks for.
    fn rebalance(&mut self, now: Instant) {
        let (shards, names, servers) = self.placement_input(now);
        let weights = place::Weights::from(&self.document.placement);
        let plan = place::rebalance(&shards, &servers, weights, &mut self.imbalanced_passes);
        let free_slots = self.free_move_slots();
        for assignment in plan.moves.iter().take(free_slots) {
            let target = (shards.get(assignment.shard), names.get(assignment.server));
            if let (Some(shard), Some(next_owner)) = target {
                let next_owner = ids::ServerName::clone(next_owner);
                self.revoke(shard.span.start, MoveCause::Rebalance, Some(next_owner));
                if let Some(shard) = self.shards.get_mut(&shard.span.start) {
                    shard.last_rebalanced = Some(now);
                }
            }
        }
        for split in plan.splits {
            if let Some(shard) = shards.get(split.shard) {
                self.split(shard.span.start, split.hash);
            }
        }
    }

    /// Whether a shard may be moved to rebalance load.
    pub(super) fn is_movable(&self, shard: &Shard, now: Instant) -> bool {
        let cooled_down = shard
            .last_rebalanced
            .is_none_or(|l| now >= l + REBALANCE_COOLDOWN);
        cooled_down && shard.is_routed() && !self.release_requested(shard.span)
    }

    /// Splits one hash out of a shard; all parts stay with the owner, under new fences.
    pub(super) fn split(&mut self, start: keys::KeyHash, hash: keys::KeyHash) {
        let singles = self.shards.values().filter(|s| s.span.width() == 1);
        let at_limit = singles.count() >= MAX_SINGLE_HASH_SHARDS;
        let can_split = |s: &&Shard| s.span.width() > 1 && s.span.contains(hash);
        let shard = self.shards.get(&start).filter(can_split);
        let owner = shard.and_then(|s| s.owner().cloned());
        let (Some(owner), false) = (owner, at_limit) else {
            return;
        };
        self.record_shard("grant.split", start);
        let Some(shard) = self.remove_shard(start) else {
            return;
        };
        let single = keys::Span::single(hash);
        for part in shard.span.without(hash).into_iter().chain([single]) {
            self.insert_shard(shard.restrict(part));
            self.grant(part.start, &owner);
        }
    }

    /// Records servers that leave, as entry VMs saw in their responses.
    pub(super) fn record_leaving(&mut self, leaving: &[ids::Incarnation]) {
        for server in self.servers.values_mut() {
            let incarnation = &server.info.incarnation;
            if leaving.contains(incarnation) {
                server.seen_leaving = Some(ids::Incarnation::clone(incarnation));
            }
        }
    }

    /// Starts or stops draining a server on an operator's behalf.
    pub(super) fn set_draining(&mut self, name: &str, on: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            server.operator_drain = on;
            let detail = if on { "on" } else { "off" };
            let event = Event::new("grant.drain").server(&server.info.server);
            self.record(event.detail(detail));
        }
    }
}

/// Reported number of requests, capped at `u32::MAX`.
fn capped(requests: u64) -> f64 {
    f64::from(u32::try_from(requests).unwrap_or(u32::MAX))
}
