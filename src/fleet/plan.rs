//! Which keys are to change hands.

use std::collections::HashMap;

use super::load::LoadShares;
use super::model::{Incarnation, Key, KeyRange};
use super::ranges::{Move, RangeMap};

/// RangeMap that one backend server holds at most, so that an answer to it stays small.
pub const ROWS_PER_SERVER: usize = 64;

/// ServiceLoad against the mean from which on keys move away for balance.
///
/// Less would follow the noise of some hundred requests.
const UNEVEN: f64 = 1.4;

/// ServiceLoad against the mean below which a backend server is given more, as one that is new.
const BARE: f64 = 0.5;

/// ServiceLoad against the mean that a backend server is filled up to.
const FILLED: f64 = 1.1;

/// Least moves for balance in one round: a few busy keys may be worth many servers.
const MOVES: usize = 16;

/// Backend servers for each further move in a round: busy keys spread over a part of all.
const SERVERS_PER_MOVE: usize = 4;

/// RangeMap that each backend server is dealt: busy keys are close to one another, so
/// that many small ranges spread them, and each range costs bytes in every heartbeat.
const DEALT: usize = 16;

/// Pieces that the mean load is cut into when lost keys find new ranges.
const PIECES: f64 = 3.0;

/// A backend server that may hold keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Which.
    pub incarnation: Incarnation,
    /// What it can do, against the others.
    pub weight: f64,
}

/// A span in a plan: where it is meant to be.
#[derive(Clone, Debug)]
struct Span {
    from: Key,
    to: Key,
    /// Who is to hold it; an index of the candidates.
    place: Option<usize>,
    /// Whether that is a change.
    moved: bool,
    /// Whether it is on its way already.
    pending: bool,
}

/// Plans for the ranges of one service; `even` also moves keys for balance alone.
pub fn plan(
    ranges: &RangeMap,
    candidates: &[Candidate],
    shares: &LoadShares,
    even: bool,
) -> Vec<Move> {
    if candidates.is_empty() {
        return Vec::new();
    }
    let places: Places<'_> = candidates.iter().map(|c| &c.incarnation).zip(0..).collect();
    let mut plan = Plan {
        spans: ranges.iter().map(|r| span(r, &places)).collect(),
        candidates,
        shares,
    };
    if plan.spans.iter().all(|s| s.place.is_none()) {
        plan.deal();
    } else {
        plan.place_lost();
    }
    if even {
        plan.even();
    }
    plan.moves()
}

/// Indexes of candidates by their lives.
type Places<'a> = HashMap<&'a Incarnation, usize>;

fn span(range: &KeyRange, places: &Places<'_>) -> Span {
    let index = |incarnation: &Incarnation| places.get(incarnation).copied();
    let next = range.next.as_ref().and_then(|n| index(&n.incarnation));
    let held = range.owner.as_ref().filter(|_| range.next.is_none());
    Span {
        from: range.from,
        to: range.to,
        place: next.or_else(|| held.and_then(index)),
        moved: false,
        pending: next.is_some(),
    }
}

struct Plan<'a> {
    spans: Vec<Span>,
    candidates: &'a [Candidate],
    shares: &'a LoadShares,
}

impl Plan<'_> {
    /// Gives every candidate some spans, by its weight.
    fn deal(&mut self) {
        let total: f64 = self.candidates.iter().map(|c| c.weight).sum();
        let last = (DEALT, self.candidates.len());
        let mut from = Some(0);
        self.spans.clear();
        for round in 1..=DEALT {
            for (i, candidate) in self.candidates.iter().enumerate() {
                let Some(first) = from else { return };
                let share = candidate.weight / total / count(DEALT);
                let upto = if (round, i + 1) == last {
                    Some(Key::MAX)
                } else {
                    self.shares.prefix_end(first, Key::MAX, share)
                };
                let Some(to) = upto else { continue };
                self.spans.push(Span {
                    from: first,
                    to,
                    place: Some(i),
                    moved: true,
                    pending: false,
                });
                from = to.checked_add(1);
            }
        }
    }

    /// Finds ranges for keys that have none.
    fn place_lost(&mut self) {
        let piece = 1.0 / PIECES / count(self.candidates.len());
        let mut loads = self.loads();
        let mut spans = Vec::new();
        for span in std::mem::take(&mut self.spans) {
            if span.place.is_some() {
                spans.push(span);
                continue;
            }
            let mut from = Some(span.from);
            while let Some(first) = from.filter(|f| *f <= span.to) {
                let upto = self.shares.prefix_end(first, span.to, piece);
                let last = upto.unwrap_or(first);
                let place = coldest(&loads);
                if let Some(load) = place.and_then(|p| loads.get_mut(p)) {
                    let weight = place.and_then(|p| self.candidates.get(p));
                    *load +=
                        self.shares.range_share(first, last) / weight.map_or(1.0, |c| c.weight);
                }
                spans.push(Span {
                    from: first,
                    to: last,
                    place,
                    moved: true,
                    pending: false,
                });
                from = last.checked_add(1);
            }
        }
        self.spans = spans;
    }

    /// Moves keys from the most to the least loaded.
    fn even(&mut self) {
        let weights: f64 = self.candidates.iter().map(|c| c.weight).sum();
        let mean = 1.0 / weights;
        let mut loads = self.loads();
        for _ in 0..MOVES.max(self.candidates.len() / SERVERS_PER_MOVE) {
            let (Some(hot), Some(cold)) = (hottest(&loads), coldest(&loads)) else {
                return;
            };
            let load = |i: usize| loads.get(i).copied().unwrap_or(0.0);
            let over = (load(hot) - mean) * self.weight(hot);
            let room = (FILLED * mean - load(cold)) * self.weight(cold);
            let uneven = load(hot) >= UNEVEN * mean || load(cold) < BARE * mean;
            if !uneven || room <= 0.0 {
                return;
            }
            let Some(moved) = self.shift(hot, cold, over.min(room)) else {
                // Nothing of it can be moved; the next one may have something.
                if let Some(load) = loads.get_mut(hot) {
                    *load = mean;
                }
                continue;
            };
            for (place, share) in [(hot, -moved), (cold, moved)] {
                let weight = self.weight(place);
                if let Some(load) = loads.get_mut(place) {
                    *load += share / weight;
                }
            }
        }
    }

    fn weight(&self, candidate: usize) -> f64 {
        self.candidates.get(candidate).map_or(1.0, |c| c.weight)
    }

    /// Moves keys of about `share` from one candidate to another; their share, if any can be.
    fn shift(&mut self, hot: usize, cold: usize, share: f64) -> Option<f64> {
        let ranges = |place| self.spans.iter().filter(|s| s.place == Some(place)).count();
        if ranges(cold) >= ROWS_PER_SERVER || ranges(hot) >= ROWS_PER_SERVER {
            return None;
        }
        let shares = self.shares;
        let free = |s: &&Span| s.place == Some(hot) && !s.pending && !s.moved;
        let load = |s: &Span| shares.range_share(s.from, s.to);
        let by_load = |a: &&Span, b: &&Span| load(a).total_cmp(&load(b));
        let spans = || self.spans.iter().filter(free);
        let whole = spans().filter(|s| load(s) <= share).max_by(by_load);
        let largest = spans().max_by(by_load)?;
        let start = shares.prefix_end(largest.from, largest.to, share);
        // A busy key near its start leaves little of the largest span to move.
        let pieces = [whole.map(|s| (s, s.to)), start.map(|last| (largest, last))];
        let worth = |piece: &(&Span, Key)| shares.range_share(piece.0.from, piece.1);
        let pieces = pieces.into_iter().flatten();
        let (span, last) = pieces.max_by(|a, b| worth(a).total_cmp(&worth(b)))?;
        let span = span.clone();
        let moving = Span {
            to: last,
            place: Some(cold),
            moved: true,
            ..span
        };
        let moved = load(&moving);
        let at = self.spans.iter().position(|s| s.from == span.from)?;
        let rest = last.checked_add(1).filter(|rest| *rest <= span.to);
        match (rest, self.spans.get_mut(at)) {
            (_, None) => return None,
            (None, Some(span)) => *span = moving,
            (Some(rest), Some(span)) => {
                span.from = rest;
                self.spans.insert(at, moving);
            }
        }
        Some(moved)
    }

    /// ServiceLoad of each candidate, against its weight.
    fn loads(&self) -> Vec<f64> {
        let mut loads = vec![0.0; self.candidates.len()];
        for span in &self.spans {
            if let Some(load) = span.place.and_then(|p| loads.get_mut(p)) {
                *load += self.shares.range_share(span.from, span.to);
            }
        }
        let weighed = loads.iter().zip(self.candidates);
        weighed.map(|(l, c)| l / c.weight).collect()
    }

    fn moves(&self) -> Vec<Move> {
        let moved = self.spans.iter().filter(|s| s.moved);
        let release = |s: &Span| {
            let next = self.candidates.get(s.place?)?;
            Some(Move {
                from: s.from,
                to: s.to,
                next: next.incarnation.clone(),
            })
        };
        moved.filter_map(release).collect()
    }
}

/// A count of servers or ranges, which is small.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
const fn count(number: usize) -> f64 {
    number as f64
}

fn coldest(loads: &[f64]) -> Option<usize> {
    let loads = loads.iter().enumerate();
    loads.min_by(|a, b| a.1.total_cmp(b.1)).map(|(i, _)| i)
}

fn hottest(loads: &[f64]) -> Option<usize> {
    let loads = loads.iter().enumerate();
    loads.max_by(|a, b| a.1.total_cmp(b.1)).map(|(i, _)| i)
}
