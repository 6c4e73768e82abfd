//! Queue of the requests for one backend server, ordered by rank.
//!
//! Addresses the load pattern of two kinds of request at one owner of keys: urgent and short ones
//! that would wait behind long and less urgent ones. The relay VM of an owner sends at most as many
//! requests as the server has slots, so the order is decided here and not by the server's queue.
//! Nothing here does I/O or reads the clock.

use std::collections::BTreeMap;
use std::ops::RangeBounds;
use std::time::{Duration, Instant};

use crate::table::model::Rank;

/// Time for which a rank counts as present after a request of it arrived.
const RECENT: Duration = Duration::from_secs(4);

/// Part of its latency target after which a request may take the last place.
const LAST_PLACE_RATIO: f64 = 0.25;

/// A rank gets the next place while it is served less than this part as often as all. The rule is a
/// quarter; the rest is a margin for counts that lag.
const FAIR_SHARE: f64 = 0.4;

/// Time in which counts of arrivals and starts fade to 1/e.
const COUNT_LIFETIME: Duration = Duration::from_secs(8);

/// Weight of a new sample in the average work of a kind.
const EWMA_WEIGHT: f64 = 0.2;

/// Part of its expected work that a request in flight counts with when it has taken longer.
const OVERDUE_RATIO: f64 = 0.25;

/// Largest share of the server by which more urgent ranks lengthen an expected wait.
const MAX_URGENT_SHARE: f64 = 0.8;

/// Requests that wait for one server at most, whatever the expected work.
pub const MAX_WAITING: u32 = 128;

/// Kinds of request whose work is remembered for one server.
const MAX_KINDS: usize = 64;

/// Bounds of the time after which a refused caller should return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Requests that take similar time: those of one rank and latency target. Many routes may lead to a
/// service, and one of them seldom to one server.
type Kind = (Rank, Duration);

/// Identifies a request of one queue; a later request has a greater one.
pub type SeatId = u64;

/// Request that asks for a place.
#[derive(Clone, Debug)]
pub struct SeatRequest {
    /// Rank of the route.
    pub rank: Rank,
    /// Latency target of the route.
    pub target: Duration,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// When a response is of no more use.
    pub deadline: Instant,
}

impl SeatRequest {
    fn kind(&self) -> Kind {
        (self.rank, self.target)
    }
}

/// What becomes of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is sent now.
    Start,
    /// It would not be served in time; time until capacity is expected.
    Refuse(Duration),
}

/// Request in flight.
#[derive(Debug)]
struct Running {
    id: SeatId,
    kind: Kind,
    started_at: Instant,
}

/// Arrivals and starts of a rank, which fade.
#[derive(Clone, Copy, Debug)]
struct RankCounts {
    arrivals: f64,
    starts: f64,
    /// Work that has arrived, in seconds.
    work: f64,
    last_arrival: Instant,
}

/// Places of one backend server and the requests that wait for them.
#[derive(Debug)]
pub struct Seats {
    limit: u32,
    /// Least time between two starts.
    pace: Duration,
    next_start: Instant,
    next_id: SeatId,
    running: Vec<Running>,
    waiting: BTreeMap<(Rank, SeatId), SeatRequest>,
    /// Average work of each kind, in seconds.
    work: BTreeMap<Kind, f64>,
    ranks: BTreeMap<Rank, RankCounts>,
    faded_at: Instant,
}

impl Seats {
    /// Creates the places of a server with `limit` slots.
    pub fn new(limit: u32, now: Instant) -> Self {
        Self {
            limit: limit.max(1),
            pace: Duration::ZERO,
            next_start: now,
            next_id: 0,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            work: BTreeMap::new(),
            ranks: BTreeMap::new(),
            faded_at: now,
        }
    }

    /// Sets the number of requests that may be in flight, at least 1.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1);
    }

    /// Sets the least time between two starts, for a server that is cold; zero for no limit.
    pub fn set_pace(&mut self, pace: Duration) {
        self.pace = pace;
    }

    /// When the next request may start if places are free.
    pub fn next_start(&self) -> Instant {
        self.next_start
    }

    /// Whether no request is in flight or waits.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Requests in flight.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request to the queue; [`Seats::decide`] follows.
    pub fn arrive(&mut self, request: SeatRequest, now: Instant) -> SeatId {
        self.fade(now);
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        let work = self.work_secs(request.kind());
        let counts = self.ranks.entry(request.rank).or_insert(RankCounts {
            arrivals: 0.0,
            starts: 0.0,
            work: 0.0,
            last_arrival: now,
        });
        counts.arrivals += 1.0;
        counts.work += work;
        counts.last_arrival = now;
        self.waiting.insert((request.rank, id), request);
        id
    }

    /// Removes a waiting request whose caller has gone.
    pub fn leave(&mut self, id: SeatId) {
        self.waiting.retain(|(_, waiting), _| *waiting != id);
    }

    /// Frees the place of a request; `served` if it took as long as its work.
    pub fn finish(&mut self, id: SeatId, served: bool, now: Instant) {
        let Some(position) = self.running.iter().position(|r| r.id == id) else {
            return;
        };
        let running = self.running.swap_remove(position);
        let secs = now
            .saturating_duration_since(running.started_at)
            .as_secs_f64();
        let has_room = self.work.len() < MAX_KINDS;
        match self.work.get_mut(&running.kind) {
            Some(average) if served || secs > *average => {
                *average += EWMA_WEIGHT * (secs - *average);
            }
            None if served && has_room => {
                self.work.insert(running.kind, secs);
            }
            Some(_) | None => {}
        }
    }

    /// Decides which waiting requests start and which are refused.
    pub fn decide(&mut self, now: Instant) -> Vec<(SeatId, Decision)> {
        self.fade(now);
        let mut decisions = Vec::new();
        // A request that can't be served any more must not take a place.
        self.refuse_late(now, &mut decisions);
        while self.running.len() < self.limit as usize && now >= self.next_start {
            let Some(key) = self.next_to_start(now) else {
                break;
            };
            let Some(request) = self.waiting.remove(&key) else {
                break;
            };
            if let Some(counts) = self.ranks.get_mut(&key.0) {
                counts.starts += 1.0;
            }
            self.running.push(Running {
                id: key.1,
                kind: request.kind(),
                started_at: now,
            });
            self.next_start = now + self.pace;
            decisions.push((key.1, Decision::Start));
        }
        decisions
    }

    /// When a waiting request may take the last place.
    pub fn last_place_at(request: &SeatRequest) -> Instant {
        request.arrived_at + request.target.mul_f64(LAST_PLACE_RATIO)
    }

    /// Returns the request that gets the next free place.
    fn next_to_start(&self, now: Instant) -> Option<(Rank, SeatId)> {
        let firsts = self.first_of_ranks(now);
        let starving = firsts.iter().rev().find(|key| self.is_starving(key.0));
        if let Some(key) = starving {
            return Some(*key);
        }
        let is_last_place = self.limit > 1 && self.running.len() + 1 >= self.limit as usize;
        let may_start = |key: &&(Rank, SeatId)| {
            let request = self.waiting.get(key);
            !is_last_place
                || !self.has_more_urgent(key.0, now)
                || request.is_some_and(|r| now >= Self::last_place_at(r))
        };
        firsts.iter().find(may_start).copied()
    }

    /// The next waiting request of each rank, the most urgent rank first.
    fn first_of_ranks(&self, now: Instant) -> Vec<(Rank, SeatId)> {
        let mut firsts: Vec<((Rank, SeatId), bool)> = Vec::new();
        for (key, request) in &self.waiting {
            let is_late = self.is_late(request, now);
            match firsts.last_mut() {
                Some((first, _)) if first.0 != key.0 => firsts.push((*key, is_late)),
                Some(first) if first.1 && !is_late => *first = (*key, false),
                Some(_) => {}
                None => firsts.push((*key, is_late)),
            }
        }
        firsts.into_iter().map(|(key, _)| key).collect()
    }

    /// Whether a request misses its latency target even if it starts now.
    ///
    /// Late requests yield to those of their rank that can still be in time: in a queue that never
    /// drains, all responses would otherwise be late.
    fn is_late(&self, request: &SeatRequest, now: Instant) -> bool {
        let work = Duration::from_secs_f64(self.work_secs(request.kind()));
        now + work > request.arrived_at + request.target
    }

    /// Whether a more urgent rank has had requests recently.
    fn has_more_urgent(&self, rank: Rank, now: Instant) -> bool {
        let more_urgent = self.ranks.range(..rank);
        more_urgent
            .map(|(_, counts)| counts)
            .any(|c| now.saturating_duration_since(c.last_arrival) < RECENT)
    }

    /// Whether a rank lacks at least one start of its share.
    fn is_starving(&self, rank: Rank) -> bool {
        let Some(counts) = self.ranks.get(&rank) else {
            return false;
        };
        let arrivals: f64 = self.ranks.values().map(|c| c.arrivals).sum();
        let starts: f64 = self.ranks.values().map(|c| c.starts).sum();
        let served_ratio = (starts / arrivals.max(1.0)).min(1.0);
        counts.starts + 1.0 <= FAIR_SHARE * served_ratio * counts.arrivals
    }

    /// Refuses the waiting requests that would not be served by their deadline, and those over the
    /// bound of the queue.
    fn refuse_late(&mut self, now: Instant, decisions: &mut Vec<(SeatId, Decision)>) {
        let mut places = self.expected_free(now);
        // A starving rank gets the next place, so its oldest request is first in line.
        let firsts = self.first_of_ranks(now);
        let starving = firsts.iter().rev().find(|key| self.is_starving(key.0));
        let starving = starving.copied();
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|(key, request)| {
                (
                    Some(*key) != starving,
                    key.0,
                    self.is_late(request, now),
                    *key,
                )
            })
            .collect();
        order.sort_unstable();
        let mut kept = 0_u32;
        for (_, rank, is_late, key) in order {
            let Some(request) = self.waiting.get(&key) else {
                continue;
            };
            let work = self.work_secs(request.kind());
            let urgent_share = match starving {
                Some(first) if first == key => 0.0,
                _ if is_late => self.share_of(..=rank),
                _ => self.share_of(..rank),
            };
            let left = request.deadline.saturating_duration_since(now);
            let left = left.as_secs_f64();
            let Some(place) = places.iter_mut().min_by(|a, b| a.total_cmp(b)) else {
                continue;
            };
            let paced = self.next_start.saturating_duration_since(now).as_secs_f64()
                + self.pace.as_secs_f64() * f64::from(kept);
            let wait = (*place / (1.0 - urgent_share)).max(paced);
            let excess = wait + work - left;
            // A request that can start now is sent even if its work seems too long, as nothing else
            // would correct an estimate that is too high.
            let misses_deadline = excess > 0.0 && wait > 0.0;
            if misses_deadline || left <= 0.0 || kept >= MAX_WAITING {
                self.waiting.remove(&key);
                let retry_after = Duration::from_secs_f64(excess.clamp(0.0, 60.0));
                let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
                decisions.push((key.1, Decision::Refuse(retry_after)));
            } else {
                kept += 1;
                *place += work;
            }
        }
    }

    /// Seconds until each place is expected to be free.
    fn expected_free(&self, now: Instant) -> Vec<f64> {
        let mut places: Vec<_> = self
            .running
            .iter()
            .map(|running| {
                let work = self.work_secs(running.kind);
                let elapsed = now.saturating_duration_since(running.started_at);
                (work - elapsed.as_secs_f64()).max(work * OVERDUE_RATIO)
            })
            .collect();
        places.sort_by(f64::total_cmp);
        let limit = self.limit as usize;
        // Requests over a lowered limit end first without freeing a place.
        let excess = places.len().saturating_sub(limit);
        places.drain(..excess);
        places.resize(limit, 0.0);
        places
    }

    /// Share of the server that requests of the ranks take, as far as it is considered.
    fn share_of<R>(&self, ranks: R) -> f64
    where
        R: RangeBounds<Rank>,
    {
        let work: f64 = self.ranks.range(ranks).map(|(_, c)| c.work).sum();
        let capacity = f64::from(self.limit) * COUNT_LIFETIME.as_secs_f64();
        (work / capacity).min(MAX_URGENT_SHARE)
    }

    /// Expected work of a kind in seconds, 0 until a request of it was served.
    fn work_secs(&self, kind: Kind) -> f64 {
        self.work.get(&kind).copied().unwrap_or(0.0)
    }

    fn fade(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.faded_at);
        let factor = (-elapsed.as_secs_f64() / COUNT_LIFETIME.as_secs_f64()).exp();
        self.faded_at = self.faded_at.max(now);
        for counts in self.ranks.values_mut() {
            counts.arrivals *= factor;
            counts.starts *= factor;
            counts.work *= factor;
        }
        self.ranks.retain(|_, counts| counts.arrivals > 0.01);
    }
}
