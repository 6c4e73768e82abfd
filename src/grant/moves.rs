//! Spans that leave a living server: drains, even load, hot hashes split out.

use std::time::{Duration, Instant};

use super::shard::{MoveCause, Shard, ShardState};
use super::state::State;
use crate::ids;
use crate::keys;
use crate::place;
use crate::route::messages::SpanLoad;
use crate::timeline::Event;

/// Moves in flight at a time; a duty with many spans allows more.
const MIN_CONCURRENT_MOVES: usize = 4;

/// Spans for which one more move is allowed.
const SHARDS_PER_MOVE: usize = 32;

/// Time in which every span of a draining server has begun to leave.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Time between looks at the load.
const LOAD_PASS_INTERVAL: Duration = Duration::from_secs(1);

/// Weight of the newest look in the smoothed rate.
const SMOOTHING_FACTOR: f64 = 0.3;

/// Time for which a span that was moved to even out load stays where it is.
const REBALANCE_COOLDOWN: Duration = Duration::from_secs(30);

/// HotHash hashes remembered for one span.
const MAX_HOT_HASHES: usize = 8;

/// Spans split out for one hash, at most.
const MAX_SINGLE_HASH_SHARDS: usize = 256;

impl State {
    /// Starts the moves that are due.
    pub(super) fn start_moves(&mut self, now: Instant) {
        self.start_drain_moves(now);
        let due = self
            .last_load_pass
            .is_none_or(|r| now >= r + LOAD_PASS_INTERVAL);
        if due {
            let passed = self
                .last_load_pass
                .map(|r| now.saturating_duration_since(r));
            self.last_load_pass = Some(now);
            self.update_rates(passed.unwrap_or(LOAD_PASS_INTERVAL));
            self.rebalance(now);
        }
    }

    /// Takes in the load that an entry VM saw.
    pub(super) fn record_loads(&mut self, loads: &[SpanLoad]) {
        let sane = |l: &&SpanLoad| l.span.start <= l.span.end && l.span.end < keys::SPACE;
        for load in loads.iter().filter(sane) {
            let width = place::model::width(load.span);
            let touched = |p: &&mut Shard| p.span.overlaps(&load.span);
            for shard in self.shards.values_mut().filter(touched) {
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

    fn update_rates(&mut self, passed: Duration) {
        let seconds = passed.as_secs_f64().max(0.001);
        let blend = |old: f64, new: f64| old + SMOOTHING_FACTOR * (new / seconds - old);
        for shard in self.shards.values_mut() {
            shard.request_rate = blend(
                shard.request_rate,
                std::mem::take(&mut shard.recent_requests),
            );
            for hot in &mut shard.hot_hashes {
                hot.request_rate =
                    blend(hot.request_rate, std::mem::take(&mut hot.recent_requests));
            }
            shard
                .hot_hashes
                .sort_by(|a, b| b.request_rate.total_cmp(&a.request_rate));
            shard.hot_hashes.truncate(MAX_HOT_HASHES);
        }
    }

    /// Moves that may start now.
    fn free_move_slots(&self) -> usize {
        let moving = |p: &&Shard| {
            let chosen = |c: &MoveCause| matches!(c, MoveCause::Drain | MoveCause::Rebalance);
            matches!(&p.state, ShardState::Revoking { cause, .. } if chosen(cause))
        };
        let moving = self.shards.values().filter(moving).count();
        let limit = MIN_CONCURRENT_MOVES.max(self.shards.len() / SHARDS_PER_MOVE);
        limit.saturating_sub(moving)
    }

    /// Takes spans from draining servers, the hottest first.
    fn start_drain_moves(&mut self, now: Instant) {
        let mut vacancies = self.free_move_slots();
        let names: Vec<_> = self.servers.keys().cloned().collect();
        for name in names {
            let owned = self.owned_shards(&name);
            let Some(server) = self.servers.get_mut(&name) else {
                continue;
            };
            let overdue = server.drain_due(now, owned.len(), DRAIN_TIME);
            let begun = owned.len().min(vacancies.max(overdue));
            if !server.alive || !server.is_draining() {
                continue;
            }
            vacancies = vacancies.saturating_sub(begun);
            for start in owned.into_iter().take(begun) {
                self.revoke(start, MoveCause::Drain, None);
            }
        }
    }

    /// Pieces that a server holds, the hottest first.
    fn owned_shards(&self, name: &ids::ServerName) -> Vec<keys::KeyHash> {
        let own = |p: &&Shard| p.owner().is_some_and(|o| o.server == *name);
        let mut shards: Vec<_> = self.shards.values().filter(own).collect();
        shards.sort_by(|a, b| b.request_rate.total_cmp(&a.request_rate));
        shards.iter().map(|p| p.span.start).collect()
    }

    /// Evens out load.
    fn rebalance(&mut self, now: Instant) {
        let (shards, names, servers) = self.placement_input(now);
        let weights = place::Weights::from(&self.document.placement);
        let plan = place::rebalance(&shards, &servers, weights, &mut self.imbalanced_passes);
        let vacancies = self.free_move_slots();
        for choice in plan.moves.iter().take(vacancies) {
            let chosen = (shards.get(choice.shard), names.get(choice.server));
            if let (Some(shard), Some(next)) = chosen {
                let next = ids::ServerName::clone(next);
                self.revoke(shard.span.start, MoveCause::Rebalance, Some(next));
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

    /// Whether a shard may be moved to even out load.
    pub(super) fn is_movable(&self, shard: &Shard, now: Instant) -> bool {
        let cool = shard
            .last_rebalanced
            .is_none_or(|m| now >= m + REBALANCE_COOLDOWN);
        cool && shard.is_routed() && !self.release_requested(shard.span)
    }

    /// Splits one hash out of a shard; all parts stay with its owner under new fences.
    pub(super) fn split(&mut self, start: keys::KeyHash, hash: keys::KeyHash) {
        let singles = self.shards.values().filter(|p| p.span.width() == 1);
        let full = singles.count() >= MAX_SINGLE_HASH_SHARDS;
        let wide = |p: &&Shard| p.span.width() > 1 && p.span.contains(hash);
        let shard = self.shards.get(&start).filter(wide);
        let owner = shard.and_then(|p| p.owner().cloned());
        let (Some(owner), false) = (owner, full) else {
            return;
        };
        self.record_shard("grant.split", start);
        let Some(shard) = self.remove_shard(start) else {
            return;
        };
        let one = keys::Span::one(hash);
        for part in shard.span.without(hash).into_iter().chain([one]) {
            self.insert_shard(shard.restrict(part));
            self.grant(part.start, &owner);
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

/// A reported number of requests, capped at `u32::MAX`.
fn capped(requests: u64) -> f64 {
    f64::from(u32::try_from(requests).unwrap_or(u32::MAX))
}
