//! Spans that leave a living server: drains, even load, hot hashes split out.

use std::time::{Duration, Instant};

use super::piece::{Cause, Hold, Piece};
use super::state::State;
use crate::ids;
use crate::keys;
use crate::place;
use crate::route::messages::SpanLoad;
use crate::timeline::Event;

/// Moves in flight at a time; a duty with many spans allows more.
const MOVES_IN_FLIGHT: usize = 4;

/// Spans for which one more move is allowed.
const SPANS_PER_MOVE: usize = 32;

/// Time in which every span of a draining server has begun to leave.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Time between looks at the load.
const ROUND: Duration = Duration::from_secs(1);

/// Weight of the newest look in the smoothed rate.
const SMOOTHING: f64 = 0.3;

/// Time for which a span that was moved to even out load stays where it is.
const COOLDOWN: Duration = Duration::from_secs(30);

/// Hot hashes remembered for one span.
const HOT_KEPT: usize = 8;

/// Spans split out for one hash, at most.
const SPLITS_LIMIT: usize = 256;

impl State {
    /// Starts the moves that are due.
    pub(super) fn move_on(&mut self, now: Instant) {
        self.move_drained(now);
        let due = self.rounded.is_none_or(|r| now >= r + ROUND);
        if due {
            let passed = self.rounded.map(|r| now.saturating_duration_since(r));
            self.rounded = Some(now);
            self.smooth(passed.unwrap_or(ROUND));
            self.balance(now);
        }
    }

    /// Takes in the load that an entry VM saw.
    pub(super) fn take_loads(&mut self, loads: &[SpanLoad]) {
        let sane = |l: &&SpanLoad| l.span.start <= l.span.end && l.span.end < keys::SPACE;
        for load in loads.iter().filter(sane) {
            let width = place::model::width(load.span);
            let touched = |p: &&mut Piece| p.span.overlaps(&load.span);
            for piece in self.pieces.values_mut().filter(touched) {
                let start = piece.span.start.max(load.span.start);
                let end = piece.span.end.min(load.span.end);
                let share = place::model::width(keys::Span { start, end }) / width;
                piece.requests += number(load.requests) * share;
                let span = piece.span;
                let hot = load.hot_hashes.iter().filter(|(h, _)| span.contains(*h));
                for (hash, requests) in hot {
                    piece.heat(*hash, number(*requests));
                }
            }
        }
    }

    fn smooth(&mut self, passed: Duration) {
        let seconds = passed.as_secs_f64().max(0.001);
        let blend = |old: f64, new: f64| old + SMOOTHING * (new / seconds - old);
        for piece in self.pieces.values_mut() {
            piece.rate = blend(piece.rate, std::mem::take(&mut piece.requests));
            for hot in &mut piece.hot {
                hot.rate = blend(hot.rate, std::mem::take(&mut hot.requests));
            }
            piece.hot.sort_by(|a, b| b.rate.total_cmp(&a.rate));
            piece.hot.truncate(HOT_KEPT);
        }
    }

    /// Moves that may start now.
    fn vacancies(&self) -> usize {
        let moving = |p: &&Piece| {
            let chosen = |c: &Cause| matches!(c, Cause::Drain | Cause::Balance);
            matches!(&p.hold, Hold::Leaving { cause, .. } if chosen(cause))
        };
        let moving = self.pieces.values().filter(moving).count();
        let limit = MOVES_IN_FLIGHT.max(self.pieces.len() / SPANS_PER_MOVE);
        limit.saturating_sub(moving)
    }

    /// Takes spans from draining servers, the hottest first.
    fn move_drained(&mut self, now: Instant) {
        let mut vacancies = self.vacancies();
        let names: Vec<_> = self.servers.keys().cloned().collect();
        for name in names {
            let owned = self.owned(&name);
            let Some(server) = self.servers.get_mut(&name) else {
                continue;
            };
            let overdue = server.drain_due(now, owned.len(), DRAIN_TIME);
            let begun = owned.len().min(vacancies.max(overdue));
            if !server.alive || !server.draining() {
                continue;
            }
            vacancies = vacancies.saturating_sub(begun);
            for start in owned.into_iter().take(begun) {
                self.leave(start, Cause::Drain, None);
            }
        }
    }

    /// Pieces that a server holds, the hottest first.
    fn owned(&self, name: &ids::ServerName) -> Vec<keys::KeyHash> {
        let own = |p: &&Piece| p.holder().is_some_and(|o| o.server == *name);
        let mut pieces: Vec<_> = self.pieces.values().filter(own).collect();
        pieces.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        pieces.iter().map(|p| p.span.start).collect()
    }

    /// Evens out load.
    fn balance(&mut self, now: Instant) {
        let (pieces, names, servers) = self.scene(now);
        let weights = place::Weights::from(&self.document.placement);
        let plan = place::rebalance(&pieces, &servers, weights, &mut self.uneven);
        let vacancies = self.vacancies();
        for choice in plan.moves.iter().take(vacancies) {
            let chosen = (pieces.get(choice.shard), names.get(choice.server));
            if let (Some(piece), Some(next)) = chosen {
                let next = ids::ServerName::clone(next);
                self.leave(piece.span.start, Cause::Balance, Some(next));
                if let Some(piece) = self.pieces.get_mut(&piece.span.start) {
                    piece.moved = Some(now);
                }
            }
        }
        for split in plan.splits {
            if let Some(piece) = pieces.get(split.shard) {
                self.split(piece.span.start, split.hash);
            }
        }
    }

    /// Whether a piece may be moved to even out load.
    pub(super) fn movable(&self, piece: &Piece, now: Instant) -> bool {
        let cool = piece.moved.is_none_or(|m| now >= m + COOLDOWN);
        cool && piece.published() && !self.wanted(piece.span)
    }

    /// Splits one hash out of a piece; all parts stay with its owner under new fences.
    pub(super) fn split(&mut self, start: keys::KeyHash, hash: keys::KeyHash) {
        let singles = self.pieces.values().filter(|p| p.span.width() == 1);
        let full = singles.count() >= SPLITS_LIMIT;
        let wide = |p: &&Piece| p.span.width() > 1 && p.span.contains(hash);
        let piece = self.pieces.get(&start).filter(wide);
        let owner = piece.and_then(|p| p.holder().cloned());
        let (Some(owner), false) = (owner, full) else {
            return;
        };
        self.note("grant.split", start);
        let Some(piece) = self.take(start) else {
            return;
        };
        let one = keys::Span::one(hash);
        for part in piece.span.without(hash).into_iter().chain([one]) {
            self.put(piece.part(part));
            self.give(part.start, &owner);
        }
    }

    /// Starts or stops draining a server on an operator's behalf.
    pub(super) fn drain(&mut self, name: &str, on: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            server.drained = on;
            let detail = if on { "on" } else { "off" };
            let event = Event::new("grant.drain").server(&server.info.server);
            self.record(event.detail(detail));
        }
    }
}

/// A reported number of requests, capped at `u32::MAX`.
fn number(requests: u64) -> f64 {
    f64::from(u32::try_from(requests).unwrap_or(u32::MAX))
}
