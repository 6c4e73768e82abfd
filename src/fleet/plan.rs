//! Planning of which key ranges move to which backend servers.

use std::collections::HashMap;
use std::time::Duration;

use super::load::LoadShares;
use super::model::{Incarnation, Key, KeyRange};
use super::ranges::{Move, RangeMap};

/// Maximum number of ranges per backend server in a rebalancing, so that responses to its
/// heartbeats stay small.
pub const MAX_RANGES_PER_SERVER: usize = 64;

/// Ranges per backend server from which on keys without an owner go to the owner of the keys next to
/// them, and neighbouring ranges of an owner are joined; many ranges are left when servers leave.
pub const JOINED_RANGES: usize = 48;

/// Least ratio of a load to the mean from which on a backend server gives away keys.
const OVERLOAD_RATIO: f64 = 1.4;

/// Greatest ratio of a load to the mean below which a backend server gets more keys.
const UNDERLOAD_RATIO: f64 = 0.5;

/// Ratio of a load to the mean below which a backend server always gets more keys, as a new one
/// does.
const IDLE_RATIO: f64 = 0.05;

/// Ratio of a load to the mean up to which a backend server gets more keys.
const FILL_RATIO: f64 = 1.1;

/// Least limit of moves per rebalancing: a few busy keys may carry the load of many servers.
const MIN_MOVE_LIMIT: usize = 16;

/// Backend servers per allowed move of a rebalancing: busy keys spread over a part of all servers.
const SERVERS_PER_MOVE: usize = 4;

/// Most ranges that a backend server gets in the first assignment. Busy keys are close to one
/// another, so many small ranges spread them, but each range costs bytes in every heartbeat.
const MAX_INITIAL_RANGES: usize = 16;

/// Least number of such ranges.
const MIN_INITIAL_RANGES: usize = 3;

/// Ranges of all backend servers after the first assignment: many servers spread neighbouring keys
/// with few ranges each.
const INITIAL_RANGES: usize = 1024;

/// Ranges that the mean load of a server is divided into when unowned keys are assigned.
const RANGES_PER_MEAN_LOAD: f64 = 3.0;

/// A backend server that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Incarnation of the server.
    pub incarnation: Incarnation,
    /// Capacity relative to the other candidates.
    pub weight: f64,
    /// Whether the server may get more keys; one that doesn't answer calls only keeps what it has.
    pub accepts_keys: bool,
}

/// Share of the capacity that warm candidates need to have for cold ones to get no keys: servers
/// take about twice their usual load.
const WARM_CAPACITY_RATIO: f64 = 0.5;

/// Gives no more keys to candidates that are cold, as long as the warm ones have spare capacity.
pub fn spare_cold<F>(candidates: &mut [Candidate], is_cold: F)
where
    F: Fn(&Incarnation) -> bool,
{
    let weights = candidates.iter().map(|c| c.weight);
    let total: f64 = weights.sum();
    let is_warm = |c: &&Candidate| c.accepts_keys && !is_cold(&c.incarnation);
    let warm: f64 = candidates.iter().filter(is_warm).map(|c| c.weight).sum();
    if warm < total * WARM_CAPACITY_RATIO {
        return;
    }
    for candidate in candidates.iter_mut().filter(|c| is_cold(&c.incarnation)) {
        candidate.accepts_keys = false;
    }
}

/// A key range and its planned owner.
#[derive(Clone, Debug)]
struct PlannedRange {
    from: Key,
    to: Key,
    /// Index of the planned owner in the candidates.
    target: Option<usize>,
    /// Whether this plan changes the owner.
    moved: bool,
    /// Whether the log already names the planned owner as the next one.
    pending: bool,
}

/// Most keys that are moved each second just to even out the load; requests for a key that moves
/// wait for up to about a second. The keys of one mean server may always move, so that a server
/// that joins a small fleet gets its keys soon.
pub const MAX_BALANCE_KEYS_PER_SEC: f64 = 8192.0;

/// Relative standard deviation of a learned speed, of which about fifteen samples count.
const LATENCY_NOISE: f64 = 1.0 / 7.0;

/// Least factor by which the greater load of two servers drops if a busy key moves between them.
const MIN_BUSY_KEY_GAIN: f64 = 1.4;

/// Most keys that a rebalancing may move if the last one was `interval` ago.
pub fn balance_keys(candidates: usize, interval: Duration) -> u32 {
    let mean_keys = f64::from(u32::from(Key::MAX) + 1) / to_f64(candidates.max(1));
    let keys = MAX_BALANCE_KEYS_PER_SEC.max(mean_keys) * interval.as_secs_f64();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "between 0 and the number of keys"
    )]
    let keys = keys.clamp(1.0, f64::from(Key::MAX)) as u32;
    keys
}

/// Plans the moves of one service; `rebalance` also moves keys just to even out the load.
pub fn plan(
    ranges: &RangeMap,
    candidates: &[Candidate],
    shares: &LoadShares,
    rebalance: bool,
) -> Vec<Move> {
    let balance_keys = rebalance.then_some(u32::MAX);
    plan_bounded(ranges, candidates, shares, balance_keys)
}

/// Plans the moves of one service; moves at most `balance_keys` keys just to even out the load.
pub fn plan_bounded(
    ranges: &RangeMap,
    candidates: &[Candidate],
    shares: &LoadShares,
    balance_keys: Option<u32>,
) -> Vec<Move> {
    if !candidates.iter().any(|c| c.accepts_keys) {
        return Vec::new();
    }
    let indexes: CandidateIndexes<'_> =
        candidates.iter().map(|c| &c.incarnation).zip(0..).collect();
    let mut plan = Plan {
        ranges: ranges.iter().map(|r| planned_range(r, &indexes)).collect(),
        candidates,
        shares,
        balance_keys: balance_keys.unwrap_or(0),
    };
    if plan.ranges.iter().all(|r| r.target.is_none()) {
        plan.assign_all();
    } else {
        plan.assign_unowned();
    }
    if balance_keys.is_some() {
        plan.rebalance();
    }
    plan.moves()
}

type CandidateIndexes<'a> = HashMap<&'a Incarnation, usize>;

fn planned_range(range: &KeyRange, indexes: &CandidateIndexes<'_>) -> PlannedRange {
    let index = |incarnation: &Incarnation| indexes.get(incarnation).copied();
    let next = range.next.as_ref().and_then(|n| index(&n.incarnation));
    let owner = range.owner.as_ref().filter(|_| range.next.is_none());
    PlannedRange {
        from: range.from,
        to: range.to,
        target: next.or_else(|| owner.and_then(index)),
        moved: false,
        pending: next.is_some(),
    }
}

struct Plan<'a> {
    ranges: Vec<PlannedRange>,
    candidates: &'a [Candidate],
    shares: &'a LoadShares,
    /// Keys that may still be moved just to even out the load.
    balance_keys: u32,
}

impl Plan<'_> {
    /// Assigns all keys anew, to each candidate by its weight.
    fn assign_all(&mut self) {
        let accepting = self.candidates.iter().enumerate();
        let accepting: Vec<_> = accepting.filter(|(_, c)| c.accepts_keys).collect();
        let total: f64 = accepting.iter().map(|(_, c)| c.weight).sum();
        let rounds = INITIAL_RANGES / accepting.len().max(1);
        let rounds = rounds.clamp(MIN_INITIAL_RANGES, MAX_INITIAL_RANGES);
        let final_turn = (rounds, accepting.len());
        let mut from = Some(0);
        self.ranges.clear();
        for round in 1..=rounds {
            for (turn, &(i, candidate)) in accepting.iter().enumerate() {
                let Some(first) = from else { return };
                let share = candidate.weight / total / to_f64(rounds);
                let end = if (round, turn + 1) == final_turn {
                    Some(Key::MAX)
                } else {
                    self.shares.prefix_end(first, Key::MAX, share)
                };
                let Some(to) = end else { continue };
                self.ranges.push(PlannedRange {
                    from: first,
                    to,
                    target: Some(i),
                    moved: true,
                    pending: false,
                });
                from = to.checked_add(1);
            }
        }
    }

    /// Assigns the keys that have no owner among the candidates.
    fn assign_unowned(&mut self) {
        let max_share = 1.0 / RANGES_PER_MEAN_LOAD / to_f64(self.candidates.len());
        let mut loads = self.loads();
        let mut counts = self.range_counts();
        let mut ranges: Vec<PlannedRange> = Vec::new();
        let mut rest = std::mem::take(&mut self.ranges).into_iter().peekable();
        while let Some(range) = rest.next() {
            if range.target.is_some() {
                ranges.push(range);
                continue;
            }
            let behind = rest.peek().and_then(|r| r.target);
            let mut from = Some(range.from);
            while let Some(first) = from.filter(|f| *f <= range.to) {
                let end = self.shares.prefix_end(first, range.to, max_share);
                let last = end.unwrap_or(first);
                let before = ranges.last().and_then(|r| r.target);
                let target = self.least_loaded(&loads).map(|least| {
                    let is_full = counts.get(least).is_some_and(|c| *c >= JOINED_RANGES);
                    let neighbour = self.free_neighbour([before, behind], &loads);
                    neighbour.filter(|_| is_full).unwrap_or(least)
                });
                if let Some(count) = target.and_then(|t| counts.get_mut(t)) {
                    *count += 1;
                }
                if let Some(load) = target.and_then(|t| loads.get_mut(t)) {
                    let weight = target.and_then(|t| self.candidates.get(t));
                    *load +=
                        self.shares.range_share(first, last) / weight.map_or(1.0, |c| c.weight);
                }
                ranges.push(PlannedRange {
                    from: first,
                    to: last,
                    target,
                    moved: true,
                    pending: false,
                });
                from = last.checked_add(1);
            }
        }
        self.ranges = ranges;
    }

    /// Ratios of loads to the mean below and above which keys are moved.
    ///
    /// Answers the load pattern of many servers with few requests each: the busiest and the idlest
    /// of them are off the mean by chance, the more so the more servers there are.
    fn tolerated_ratios(&self) -> (f64, f64) {
        let servers = self.candidates.len();
        let expected_extreme = (2.0 * to_f64(servers.max(2)).ln()).sqrt();
        let deviation = expected_extreme * self.shares.noise(servers).hypot(LATENCY_NOISE);
        (
            (1.0 - deviation).clamp(IDLE_RATIO, UNDERLOAD_RATIO),
            (1.0 + deviation).max(OVERLOAD_RATIO),
        )
    }

    /// Moves keys from the most to the least loaded candidates.
    fn rebalance(&mut self) {
        let (underload, overload) = self.tolerated_ratios();
        let weights: f64 = self.candidates.iter().map(|c| c.weight).sum();
        let mean = 1.0 / weights;
        let mut loads = self.loads();
        for _ in 0..MIN_MOVE_LIMIT.max(self.candidates.len() / SERVERS_PER_MOVE) {
            let (Some(donor), Some(recipient)) = (most_loaded(&loads), self.least_loaded(&loads))
            else {
                return;
            };
            let load = |i: usize| loads.get(i).copied().unwrap_or(0.0);
            let excess = (load(donor) - mean) * self.weight(donor);
            let headroom = (FILL_RATIO * mean - load(recipient)) * self.weight(recipient);
            let unbalanced = load(donor) >= overload * mean || load(recipient) < underload * mean;
            if !unbalanced || headroom <= 0.0 {
                return;
            }
            let moved = self
                .move_load(donor, recipient, excess.min(headroom))
                .map(|moved| (recipient, moved))
                .or_else(|| self.move_busy_key(donor, &loads));
            let Some((recipient, moved)) = moved else {
                // This candidate has nothing to move; the next one may.
                if let Some(load) = loads.get_mut(donor) {
                    *load = mean;
                }
                continue;
            };
            for (target, share) in [(donor, -moved), (recipient, moved)] {
                let weight = self.weight(target);
                if let Some(load) = loads.get_mut(target) {
                    *load += share / weight;
                }
            }
        }
    }

    /// The least loaded candidate that accepts keys.
    fn least_loaded(&self, loads: &[f64]) -> Option<usize> {
        let loads = loads.iter().zip(self.candidates).enumerate();
        let accepting = loads.filter(|(_, (_, candidate))| candidate.accepts_keys);
        accepting
            .min_by(|a, b| a.1.0.total_cmp(b.1.0))
            .map(|(i, _)| i)
    }

    /// The less loaded one of the owners next to a range that accepts keys and is not overloaded.
    fn free_neighbour(&self, owners: [Option<usize>; 2], loads: &[f64]) -> Option<usize> {
        let (_, overload) = self.tolerated_ratios();
        let weights: f64 = self.candidates.iter().map(|c| c.weight).sum();
        let accepting = owners
            .into_iter()
            .flatten()
            .filter(|i| self.candidates.get(*i).is_some_and(|c| c.accepts_keys));
        let with_loads = accepting.filter_map(|i| Some((i, *loads.get(i)?)));
        let free = with_loads.filter(|(_, load)| *load < overload / weights);
        free.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
    }

    fn weight(&self, candidate: usize) -> f64 {
        self.candidates.get(candidate).map_or(1.0, |c| c.weight)
    }

    /// Moves keys with at most about `share` of the load; returns their share if any moved.
    fn move_load(&mut self, donor: usize, recipient: usize, share: f64) -> Option<f64> {
        let range_count = |target| {
            self.ranges
                .iter()
                .filter(|r| r.target == Some(target))
                .count()
        };
        if range_count(recipient) >= MAX_RANGES_PER_SERVER
            || range_count(donor) >= MAX_RANGES_PER_SERVER
            || self.balance_keys == 0
        {
            return None;
        }
        let shares = self.shares;
        let is_movable = |r: &&PlannedRange| r.target == Some(donor) && !r.pending && !r.moved;
        let load = |r: &PlannedRange| shares.range_share(r.from, r.to);
        let by_load = |a: &&PlannedRange, b: &&PlannedRange| load(a).total_cmp(&load(b));
        let movable = || self.ranges.iter().filter(is_movable);
        let fitting = movable().filter(|r| load(r) <= share).max_by(by_load);
        let largest = movable().max_by(by_load)?;
        let part_from = |first: Key| {
            let end = shares.prefix_end(first, largest.to, share);
            end.map(|last| (largest, first, last))
        };
        // If a busy key is near the start of the largest range, its prefix carries little load; if it
        // is the first one, it stays, and the keys behind it may move.
        let prefix = part_from(largest.from);
        let behind = largest.from.checked_add(1).filter(|f| *f <= largest.to);
        let parts = [
            fitting.map(|r| (r, r.from, r.to)),
            prefix,
            behind.filter(|_| prefix.is_none()).and_then(part_from),
        ];
        let part_load = |part: &(&PlannedRange, Key, Key)| shares.range_share(part.1, part.2);
        let parts = parts.into_iter().flatten();
        let (range, first, last) = parts.max_by(|a, b| part_load(a).total_cmp(&part_load(b)))?;
        let most = Key::try_from(self.balance_keys.saturating_sub(1)).unwrap_or(Key::MAX);
        let last = last.min(first.saturating_add(most));
        let range = range.clone();
        self.move_part(&range, first, last, recipient)
    }

    /// Moves the busiest range of a candidate that has nothing else to move to one that has more
    /// capacity for it, as a faster or less loaded one; returns the new owner and the share of the
    /// load.
    ///
    /// Answers the load pattern of a key with a large part of a service's requests at a slow server.
    fn move_busy_key(&mut self, donor: usize, loads: &[f64]) -> Option<(usize, f64)> {
        let shares = self.shares;
        let load = |r: &PlannedRange| shares.range_share(r.from, r.to);
        let movable = self
            .ranges
            .iter()
            .filter(|r| r.target == Some(donor) && !r.pending && !r.moved);
        let range = movable.max_by(|a, b| load(a).total_cmp(&load(b)))?.clone();
        let share = load(&range);
        let candidates = self.candidates.iter().zip(loads).enumerate();
        let accepting = candidates.filter(|(i, (c, _))| c.accepts_keys && *i != donor);
        let loads_with = accepting.map(|(i, (c, load))| (i, load + share / c.weight));
        let (recipient, with) = loads_with.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let limit = loads.get(donor)? / MIN_BUSY_KEY_GAIN;
        let keys = u32::from(range.to.saturating_sub(range.from)) + 1;
        if with > limit || keys > self.balance_keys {
            return None;
        }
        let moved = self.move_part(&range, range.from, range.to, recipient)?;
        Some((recipient, moved))
    }

    /// Moves the keys `first..=last` of a range; returns their share of the load.
    fn move_part(
        &mut self,
        range: &PlannedRange,
        first: Key,
        last: Key,
        recipient: usize,
    ) -> Option<f64> {
        let at = self.ranges.iter().position(|r| r.from == range.from)?;
        let part = |from, to| PlannedRange {
            from,
            to,
            ..range.clone()
        };
        let moving = PlannedRange {
            target: Some(recipient),
            moved: true,
            ..part(first, last)
        };
        let before = first.checked_sub(1).filter(|end| *end >= range.from);
        let rest = last.checked_add(1).filter(|rest| *rest <= range.to);
        let before = before.map(|end| part(range.from, end));
        let rest = rest.map(|from| part(from, range.to));
        let parts = before.into_iter().chain([moving]).chain(rest);
        self.ranges.splice(at..=at, parts);
        let keys = u32::from(last.saturating_sub(first)) + 1;
        self.balance_keys = self.balance_keys.saturating_sub(keys);
        Some(self.shares.range_share(first, last))
    }

    /// Number of ranges of each candidate.
    fn range_counts(&self) -> Vec<usize> {
        let mut counts = vec![0; self.candidates.len()];
        for target in self.ranges.iter().filter_map(|r| r.target) {
            if let Some(count) = counts.get_mut(target) {
                *count += 1;
            }
        }
        counts
    }

    /// Load of each candidate, divided by its weight.
    fn loads(&self) -> Vec<f64> {
        let mut loads = vec![0.0; self.candidates.len()];
        for range in &self.ranges {
            if let Some(load) = range.target.and_then(|t| loads.get_mut(t)) {
                *load += self.shares.range_share(range.from, range.to);
            }
        }
        let weighted = loads.iter().zip(self.candidates);
        weighted.map(|(l, c)| l / c.weight).collect()
    }

    fn moves(&self) -> Vec<Move> {
        let moved = self.ranges.iter().filter(|r| r.moved);
        let to_move = |r: &PlannedRange| {
            let next = self.candidates.get(r.target?)?;
            Some(Move {
                from: r.from,
                to: r.to,
                next: next.incarnation.clone(),
            })
        };
        moved.filter_map(to_move).collect()
    }
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
pub(super) const fn to_f64(number: usize) -> f64 {
    number as f64
}

fn most_loaded(loads: &[f64]) -> Option<usize> {
    let loads = loads.iter().enumerate();
    loads.max_by(|a, b| a.1.total_cmp(b.1)).map(|(i, _)| i)
}
