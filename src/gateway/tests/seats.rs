//! Replays of load patterns at one owner of keys: ordered by rank, and first come, first served.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::clock;
use crate::gateway::seats::{Decision, MAX_WAITING, SeatId, SeatRequest, Seats};
use crate::table::model::Rank;

const STEP: Duration = Duration::from_millis(1);

/// Kind of request in a replay.
#[derive(Clone, Copy, Debug)]
struct Kind {
    name: &'static str,
    rank: Rank,
    work_ms: f64,
    target_ms: u64,
    deadline_ms: u64,
    per_sec: f64,
}

/// 56 ms with a target of 200 ms, more urgent than [`LONG`].
const SHORT: Kind = Kind {
    name: "short",
    rank: 1,
    work_ms: 56.0,
    target_ms: 200,
    deadline_ms: 800,
    per_sec: 2.1,
};

const LONG: Kind = Kind {
    name: "long",
    rank: 2,
    work_ms: 360.0,
    target_ms: 1200,
    deadline_ms: 5000,
    per_sec: 2.1,
};

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    arrived: u32,
    in_time: u32,
    served: u32,
    refused: u32,
    /// Sum of the times from arrival to refusal.
    refused_ms: u64,
}

impl Tally {
    fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }

    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.arrived.max(1))
    }

    fn mean_refusal_ms(&self) -> u64 {
        self.refused_ms / u64::from(self.refused.max(1))
    }
}

/// Request in flight at the simulated server.
struct Job {
    id: SeatId,
    kind: Kind,
    arrived_ms: u64,
    left_ms: f64,
}

enum Policy {
    ByRank(Box<Seats>),
    /// The server's own queue; requests whose deadline has passed are cancelled.
    ByArrival(VecDeque<SeatId>),
}

/// Replays 300 s at a server of two slots and returns the tally of each kind.
///
/// `load` is the factor of the arrival rate, and `slowness` that of the work, at a time in
/// milliseconds.
fn replay<L, S>(
    by_rank: bool,
    kinds: &[Kind],
    load: L,
    slowness: S,
) -> BTreeMap<&'static str, Tally>
where
    L: Fn(u64) -> f64,
    S: Fn(u64) -> f64,
{
    const SLOTS: usize = 2;
    let start = clock::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut random = fastrand::Rng::with_seed(7);
    let mut policy = if by_rank {
        Policy::ByRank(Box::new(Seats::new(2, start)))
    } else {
        Policy::ByArrival(VecDeque::new())
    };
    let mut waiting: BTreeMap<SeatId, (Kind, u64)> = BTreeMap::new();
    let mut running: Vec<Job> = Vec::new();
    let mut tallies = BTreeMap::new();
    let mut next_id = 0;
    for ms in 0..300_000 {
        let now = at(ms);
        // Waiting requests are looked at again when nothing happens for a while.
        let mut changed = ms % 100 == 0;
        for kind in kinds {
            if random.f64() >= kind.per_sec * load(ms) / 1000.0 {
                continue;
            }
            let tally: &mut Tally = tallies.entry(kind.name).or_default();
            tally.arrived += 1;
            changed = true;
            let id = match &mut policy {
                Policy::ByRank(seats) => seats.arrive(request(kind, now), now),
                Policy::ByArrival(queue) => {
                    next_id += 1;
                    queue.push_back(next_id);
                    next_id
                }
            };
            waiting.insert(id, (*kind, ms));
        }
        let speed = 1.0 / slowness(ms);
        for job in &mut running {
            job.left_ms -= speed;
        }
        let (ended, rest): (Vec<_>, Vec<_>) = running
            .into_iter()
            .partition(|job| job.left_ms <= 0.0 || ms >= job.arrived_ms + job.kind.deadline_ms);
        running = rest;
        changed |= !ended.is_empty();
        for job in ended {
            let served = job.left_ms <= 0.0;
            let tally: &mut Tally = tallies.entry(job.kind.name).or_default();
            tally.served += u32::from(served);
            tally.in_time += u32::from(served && ms <= job.arrived_ms + job.kind.target_ms);
            if let Policy::ByRank(seats) = &mut policy {
                seats.finish(job.id, served, now);
            }
        }
        let decisions = match &mut policy {
            Policy::ByRank(seats) if changed => seats.decide(now),
            Policy::ByRank(_) => Vec::new(),
            Policy::ByArrival(queue) => {
                let expired =
                    |id: &SeatId| waiting.get(id).is_none_or(|(k, t)| ms >= t + k.deadline_ms);
                let mut decisions = Vec::new();
                for id in queue.iter().filter(|id| expired(id)) {
                    decisions.push((*id, Decision::Refuse(Duration::ZERO)));
                }
                queue.retain(|id| !expired(id));
                let free = SLOTS.saturating_sub(running.len()).min(queue.len());
                decisions.extend(queue.drain(..free).map(|id| (id, Decision::Start)));
                decisions
            }
        };
        for (id, decision) in decisions {
            let (kind, arrived_ms) = waiting.remove(&id).expect("decided once");
            match decision {
                Decision::Start => {
                    // Work varies by half around its mean.
                    let left_ms = kind.work_ms * (0.5 + random.f64());
                    running.push(Job {
                        id,
                        kind,
                        arrived_ms,
                        left_ms,
                    });
                }
                Decision::Refuse(_) => {
                    let tally = tallies.entry(kind.name).or_default();
                    tally.refused += 1;
                    tally.refused_ms += ms - arrived_ms;
                }
            }
        }
        assert!(running.len() <= SLOTS, "more in flight than slots");
    }
    tallies
}

fn request(kind: &Kind, now: Instant) -> SeatRequest {
    SeatRequest {
        rank: kind.rank,
        target: Duration::from_millis(kind.target_ms),
        arrived_at: now,
        deadline: now + Duration::from_millis(kind.deadline_ms),
    }
}

/// Asserts the rules that hold under any load.
fn assert_rules(tallies: &BTreeMap<&'static str, Tally>) {
    let all = tallies.values().fold(Tally::default(), |sum, t| Tally {
        arrived: sum.arrived + t.arrived,
        served: sum.served + t.served,
        ..sum
    });
    for (name, tally) in tallies {
        assert!(
            tally.served_share() >= all.served_share() / 4.0,
            "{name} starves: {tallies:?}"
        );
    }
    let (short, long) = (tallies["short"], tallies["long"]);
    assert!(
        short.served_share() >= long.served_share() - 0.01,
        "the less urgent kind is served better: {tallies:?}"
    );
}

fn steady(_: u64) -> f64 {
    1.0
}

/// Runs a pattern under both policies, prints the shares and checks the rules.
fn compare<L, S>(
    name: &str,
    kinds: &[Kind],
    load: L,
    slowness: S,
) -> [BTreeMap<&'static str, Tally>; 2]
where
    L: Fn(u64) -> f64,
    S: Fn(u64) -> f64,
{
    let results = [true, false].map(|by_rank| replay(by_rank, kinds, &load, &slowness));
    for (policy, tallies) in ["by rank", "by arrival"].iter().zip(&results) {
        for (kind, tally) in tallies {
            println!(
                "{name}, {policy}, {kind}: in time {:.3} served {:.3} refused after {} ms",
                tally.in_time_share(),
                tally.served_share(),
                tally.mean_refusal_ms()
            );
        }
    }
    assert_rules(&results[0]);
    results
}

/// Fails if urgent requests wait behind longer ones of a lower rank at the usual load.
#[test]
fn short_requests_do_not_wait_behind_long_ones() {
    let [ranked, fifo] = compare("usual", &[SHORT, LONG], steady, steady);
    assert!(ranked["short"].in_time_share() >= 0.93);
    assert!(ranked["short"].in_time_share() >= fifo["short"].in_time_share() + 0.08);
    assert!(ranked["long"].in_time_share() >= 0.9);
}

/// Fails if waves of 55 % up and down in 15 s take the urgent requests over their target.
#[test]
fn waves_reach_the_less_urgent_requests_only() {
    let wave = |ms: u64| {
        1.6 * (1.0
            + 0.55
                * (f64::from(u32::try_from(ms % 15_000).unwrap()) / 15_000.0
                    * std::f64::consts::TAU)
                    .sin())
    };
    let [ranked, fifo] = compare("waves", &[SHORT, LONG], wave, steady);
    assert!(ranked["short"].in_time_share() >= 0.7);
    assert!(ranked["short"].in_time_share() >= fifo["short"].in_time_share() + 0.2);
}

/// Fails if periods of 400 ms in which the server is three times slower reach the urgent requests
/// more than with the server's own queue, or if the estimate of the work never recovers.
#[test]
fn slow_periods_of_the_server_are_passed_over() {
    let slow = |ms: u64| if ms % 2_000 < 400 { 3.0 } else { 1.0 };
    let [ranked, fifo] = compare("slow", &[SHORT, LONG], steady, slow);
    assert!(ranked["short"].in_time_share() >= fifo["short"].in_time_share() + 0.08);
    assert!(ranked["long"].served_share() >= 0.97);
}

/// Fails if the estimate of the work stays high after the server was slow for a long time.
#[test]
fn the_estimate_recovers_after_a_long_slow_period() {
    let slow = |ms: u64| if ms < 60_000 { 8.0 } else { 1.0 };
    let [ranked, fifo] = compare("recovery", &[SHORT, LONG], steady, slow);
    // A fifth of the time neither policy can serve them in time.
    assert!(ranked["short"].in_time_share() >= 0.7);
    assert!(ranked["short"].in_time_share() >= fifo["short"].in_time_share() + 0.02);
}

/// Fails if a kind starves or waits long for its refusal while the server gets nearly twice the
/// work that it can do.
#[test]
fn overload_refuses_the_least_urgent_early_and_starves_no_rank() {
    let [ranked, fifo] = compare("overload", &[SHORT, LONG], |_| 4.0, steady);
    assert!(ranked["short"].in_time_share() >= 0.5);
    assert!(ranked["short"].in_time_share() >= fifo["short"].in_time_share() + 0.4);
    assert!(ranked["long"].mean_refusal_ms() <= 1000);
    let flood = Kind {
        per_sec: 60.0,
        ..SHORT
    };
    compare("flood", &[flood, LONG], steady, steady);
}

/// Fails if a server with one slot keeps its only place free.
#[test]
fn a_single_slot_is_not_kept_free() {
    let now = clock::now();
    let mut seats = Seats::new(1, now);
    let urgent = seats.arrive(request(&SHORT, now), now);
    assert_eq!(seats.decide(now), [(urgent, Decision::Start)]);
    seats.finish(urgent, true, now + STEP);
    let long = seats.arrive(request(&LONG, now), now + STEP);
    assert_eq!(seats.decide(now + STEP), [(long, Decision::Start)]);
}

/// Fails if the last place is kept from less urgent requests when none is more urgent, or for
/// longer than a quarter of their target.
#[test]
fn the_last_place_is_kept_for_a_quarter_of_the_target() {
    let now = clock::now();
    let mut seats = Seats::new(2, now);
    for _ in 0..2 {
        seats.arrive(request(&LONG, now), now);
    }
    assert_eq!(seats.decide(now).len(), 2, "no other rank is present");
    let mut seats = Seats::new(2, now);
    let urgent = seats.arrive(request(&SHORT, now), now);
    seats.decide(now);
    seats.finish(urgent, true, now);
    let first = seats.arrive(request(&LONG, now), now);
    let second = seats.arrive(request(&LONG, now), now);
    assert_eq!(seats.decide(now), [(first, Decision::Start)]);
    assert_eq!(seats.decide(now + Duration::from_millis(299)), []);
    let decisions = seats.decide(now + Duration::from_millis(300));
    assert_eq!(decisions, [(second, Decision::Start)]);
}

/// Fails if the queue grows without bound while the work of a kind is unknown.
#[test]
fn the_queue_is_bounded() {
    let now = clock::now();
    let mut seats = Seats::new(2, now);
    let bound = MAX_WAITING as usize;
    for _ in 0..bound * 2 {
        seats.arrive(request(&LONG, now), now);
        seats.decide(now);
    }
    assert!(seats.waiting_count() <= bound);
    assert!(seats.running_count() <= 2);
}

/// Fails if a cold server gets more requests than it can handle, or if what it can't handle in time
/// waits.
#[test]
fn a_cold_server_gets_requests_at_its_pace() {
    let start = clock::now();
    let mut seats = Seats::new(6, start);
    seats.set_pace(Duration::from_millis(240));
    let (mut started, mut refused) = (0, 0);
    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        if ms % 50 == 0 {
            seats.arrive(request(&SHORT, now), now);
        }
        for (id, decision) in seats.decide(now) {
            match decision {
                Decision::Start => {
                    seats.finish(id, true, now);
                    started += 1;
                }
                Decision::Refuse(_) => refused += 1,
            }
        }
        assert!(seats.waiting_count() <= 4, "800 ms at one in 240 ms");
    }
    // 4.2 a second of 20.
    assert!((40..=42).contains(&started), "{started}");
    assert!(refused >= 150, "{refused}");
}

/// Fails if a request that has left keeps its place in the queue, or one that ended twice frees two
/// places.
#[test]
fn left_and_ended_requests_are_forgotten() {
    let now = clock::now();
    let mut seats = Seats::new(1, now);
    let first = seats.arrive(request(&LONG, now), now);
    seats.decide(now);
    let second = seats.arrive(request(&LONG, now), now);
    let third = seats.arrive(request(&LONG, now), now);
    seats.leave(second);
    seats.finish(first, false, now);
    seats.finish(first, false, now);
    assert_eq!(seats.decide(now), [(third, Decision::Start)]);
    seats.finish(third, false, now);
    assert!(seats.is_empty());
}
