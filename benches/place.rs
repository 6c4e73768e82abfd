//! Measures placement: how many keys change owner and how uneven the load is.
//!
//! Prints one JSON line for each way to place keys, event, size and seed.
//! Keys have Zipf load; reports to the policy are noisy. All times are rounds
//! of one second, nothing is measured by the clock.

use std::collections::HashMap;

use agateyoke::keys::{self, Span};
use agateyoke::place::{self, Server, Shard, Weights, baseline};

/// Keys of the service.
const KEYS: u64 = 100_000;

/// Exponent of the Zipf law.
const ZIPF: f64 = 0.9;

/// Requests a second over all keys.
const RATE: f64 = 2000.0;

/// Spans that the key space is first cut into.
const SPANS: u64 = 256;

/// Slots of each server.
const SLOTS: f64 = 6.0;

/// Sizes measured.
const SIZES: [u64; 3] = [10, 15, 20];

/// Seeds measured.
const SEEDS: u64 = 5;

/// Rounds after each event.
const ROUNDS: u64 = 90;

/// Rounds after which moves count as late.
const LATE: u64 = 60;

/// Rounds for which a moved span stays.
const COOLDOWN: u64 = 30;

/// Rounds in which a server warms up.
const WARM: u64 = 8;

/// Weight of the newest report in the smoothed rate.
const SMOOTHING: f64 = 0.3;

/// Noise of a report, as a share of the rate.
const NOISE: f64 = 0.2;

/// Hot hashes in a report.
const HOT: usize = 8;

/// What is to be even.
type Measure = fn(&Key) -> f64;

/// Something that happens to the servers.
type Happen = fn(&mut Policy);

/// A key.
struct Key {
    hash: keys::KeyHash,
    rate: f64,
}

/// A span under the policy.
struct Part {
    piece: Shard,
    moved: Option<u64>,
}

/// The policy at work.
struct Policy {
    keys: Vec<Key>,
    parts: Vec<Part>,
    servers: Vec<Server>,
    started: Vec<u64>,
    uneven: u32,
    round: u64,
    moves: u64,
    rng: fastrand::Rng,
}

fn main() {
    for size in SIZES {
        for seed in 1..=SEEDS {
            let weights = [("equal", 1, 1, 1), ("dark", 1, 1, 4), ("churn", 1, 4, 1)];
            for (name, imbalance, churn, unavailable) in weights {
                let weights = Weights {
                    imbalance,
                    churn,
                    unavailable,
                };
                policy(name, weights, size, seed);
            }
            baselines(size, seed);
        }
    }
}

/// Keys in order of their hashes, with Zipf load.
fn zipf(seed: u64) -> Vec<Key> {
    let rank = |i: u64| f64::from(u32::try_from(i).unwrap_or(u32::MAX)).powf(-ZIPF);
    let total: f64 = (1..=KEYS).map(rank).sum();
    let key = |i| Key {
        hash: keys::hash(&format!("key-{seed}/{i}")),
        rate: rank(i) / total * RATE,
    };
    let mut keys: Vec<_> = (1..=KEYS).map(key).collect();
    keys.sort_by_key(|k| k.hash);
    keys
}

/// Share of keys whose owner differs.
fn churn(before: &[Option<u64>], after: &[Option<u64>]) -> f64 {
    let pairs = before.iter().zip(after);
    let changed = pairs.filter(|(b, a)| b != a).count();
    float(changed) / float(before.len())
}

/// Load of the fullest of `servers` servers over the fair share, as a share of it.
fn imbalance(keys: &[Key], owners: &[Option<u64>], servers: u64, measure: Measure) -> f64 {
    let mut loads: HashMap<u64, f64> = HashMap::new();
    for (key, owner) in keys.iter().zip(owners) {
        if let Some(owner) = owner {
            *loads.entry(*owner).or_default() += measure(key);
        }
    }
    let most = loads.values().copied().fold(0.0, f64::max);
    let total: f64 = keys.iter().map(measure).sum();
    most / (total / float(usize::try_from(servers).unwrap_or(1))) - 1.0
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// One line of the result.
#[derive(serde::Serialize)]
struct Line<'a> {
    way: &'a str,
    event: &'a str,
    servers: u64,
    seed: u64,
    churn: f64,
    churn_floor: f64,
    imbalance_before: f64,
    imbalance: f64,
    imbalance_keys: f64,
    moves: u64,
    late_moves: u64,
}

fn print(mut line: Line<'_>) {
    for value in [
        &mut line.churn,
        &mut line.churn_floor,
        &mut line.imbalance_before,
        &mut line.imbalance,
        &mut line.imbalance_keys,
    ] {
        *value = (*value * 10_000.0).round() / 10_000.0;
    }
    println!("{}", serde_json::to_string(&line).unwrap_or_default());
}

fn policy(name: &str, weights: Weights, size: u64, seed: u64) {
    let mut policy = Policy::new(size, seed);
    let way = format!("policy-{name}");
    policy.assign();
    let events: [(&str, Happen); 4] = [
        ("settle", |_| {}),
        ("kill", Policy::kill),
        ("return", Policy::start),
        ("scale-up", Policy::add),
    ];
    for (event, happen) in events {
        let before = policy.owners();
        let uneven = policy.imbalance(|k| k.rate);
        happen(&mut policy);
        let floor = policy.floor(event, &before);
        let mut late = 0;
        let begun = policy.moves;
        for round in 0..ROUNDS {
            let moves = policy.moves;
            policy.look(weights);
            late += if round >= LATE {
                policy.moves - moves
            } else {
                0
            };
        }
        print(Line {
            way: &way,
            event,
            servers: size,
            seed,
            churn: churn(&before, &policy.owners()),
            churn_floor: floor,
            imbalance_before: uneven,
            imbalance: policy.imbalance(|k| k.rate),
            imbalance_keys: policy.imbalance(|_| 1.0),
            moves: policy.moves - begun,
            late_moves: late,
        });
    }
}

impl Policy {
    fn new(size: u64, seed: u64) -> Self {
        let part = |span| Part {
            piece: Shard {
                span,
                owner: None,
                last_owner: None,
                free: true,
                movable: true,
                request_rate: 0.0,
                hot_hashes: Vec::new(),
            },
            moved: None,
        };
        let server = Server {
            capacity: SLOTS,
            assignable: true,
        };
        let count = usize::try_from(size).unwrap_or(0);
        Self {
            keys: zipf(seed),
            parts: Span::split_evenly(SPANS).into_iter().map(part).collect(),
            servers: vec![server; count],
            started: vec![0; count],
            uneven: 0,
            round: WARM,
            moves: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn pieces(&self) -> Vec<Shard> {
        let cool = |p: &Part| p.moved.is_none_or(|m| self.round >= m + COOLDOWN);
        let piece = |p: &Part| Shard {
            movable: cool(p),
            ..p.piece.clone()
        };
        self.parts.iter().map(piece).collect()
    }

    /// Gives free spans to servers.
    fn assign(&mut self) {
        for choice in place::assign(&self.pieces(), &self.servers) {
            if let Some(part) = self.parts.get_mut(choice.shard) {
                part.piece.owner = Some(choice.server);
                part.piece.free = false;
            }
        }
    }

    /// The first server dies.
    fn kill(&mut self) {
        if let Some(server) = self.servers.first_mut() {
            server.assignable = false;
        }
        for part in &mut self.parts {
            if part.piece.owner == Some(0) {
                part.piece.owner = None;
                part.piece.free = true;
            }
        }
        self.assign();
    }

    /// The first server comes back, cold.
    fn start(&mut self) {
        if let (Some(server), Some(started)) = (self.servers.first_mut(), self.started.first_mut())
        {
            server.assignable = true;
            *started = self.round;
        }
    }

    /// One more server comes, cold.
    fn add(&mut self) {
        self.servers.push(Server {
            capacity: SLOTS,
            assignable: true,
        });
        self.started.push(self.round);
    }

    /// Least share of keys that must change owner.
    fn floor(&self, event: &str, before: &[Option<u64>]) -> f64 {
        let open = float(self.servers.iter().filter(|s| s.assignable).count());
        let dead = before.iter().filter(|o| **o == Some(0)).count();
        match event {
            "settle" => 0.0,
            "kill" => float(dead) / float(before.len()),
            _ => 1.0 / open,
        }
    }

    /// One look at noisy reports.
    fn look(&mut self, weights: Weights) {
        self.round += 1;
        for (server, started) in self.servers.iter_mut().zip(&self.started) {
            let warm = (self.round - started).min(WARM);
            let share = float(usize::try_from(warm).unwrap_or(0)) / 8.0;
            server.capacity = SLOTS * (0.2 + 0.8 * share);
        }
        self.report();
        let pieces = self.pieces();
        let plan = place::rebalance(&pieces, &self.servers, weights, &mut self.uneven);
        for choice in plan.moves {
            if let Some(part) = self.parts.get_mut(choice.shard) {
                part.piece.owner = Some(choice.server);
                part.moved = Some(self.round);
                self.moves += 1;
            }
        }
        let mut splits = plan.splits;
        splits.sort_by_key(|s| std::cmp::Reverse(s.shard));
        for split in splits {
            self.split(split);
        }
    }

    fn report(&mut self) {
        for part in &mut self.parts {
            let first = self
                .keys
                .partition_point(|k| k.hash < part.piece.span.start);
            let tail = self.keys.iter().skip(first);
            let own = tail.take_while(|k| k.hash <= part.piece.span.end);
            let noise = 1.0 + NOISE * (self.rng.f64() * 2.0 - 1.0);
            let mut own: Vec<_> = own.map(|k| (k.hash, k.rate)).collect();
            let rate: f64 = own.iter().map(|(_, r)| r).sum();
            part.piece.request_rate += SMOOTHING * (rate * noise - part.piece.request_rate);
            own.sort_by(|a, b| b.1.total_cmp(&a.1));
            own.truncate(HOT);
            part.piece.hot_hashes = own;
        }
    }

    fn split(&mut self, split: place::Split) {
        if split.shard >= self.parts.len() {
            return;
        }
        let old = self.parts.swap_remove(split.shard);
        let spans = old.piece.span.without(split.hash);
        for span in spans.into_iter().chain([Span::single(split.hash)]) {
            let share = place::model::width(span) / place::model::width(old.piece.span);
            self.parts.push(Part {
                piece: Shard {
                    span,
                    request_rate: old.piece.request_rate * share,
                    ..old.piece.clone()
                },
                moved: old.moved,
            });
        }
    }

    /// Owner of each key.
    fn owners(&self) -> Vec<Option<u64>> {
        let mut parts: Vec<_> = self.parts.iter().map(|p| &p.piece).collect();
        parts.sort_by_key(|p| p.span);
        let owner = |key: &Key| {
            let next = parts.partition_point(|p| p.span.end < key.hash);
            u64::try_from(parts.get(next)?.owner?).ok()
        };
        self.keys.iter().map(owner).collect()
    }

    fn imbalance(&self, measure: Measure) -> f64 {
        let open = self.servers.iter().filter(|s| s.assignable).count();
        let open = u64::try_from(open).unwrap_or(1);
        imbalance(&self.keys, &self.owners(), open, measure)
    }
}

/// The same events under plain ways to place keys.
fn baselines(size: u64, seed: u64) {
    let keys = zipf(seed);
    let all: Vec<u64> = (0..size).collect();
    let less: Vec<u64> = (1..size).collect();
    let more: Vec<u64> = (0..=size).collect();
    let events = [
        ("kill", &all, &less),
        ("return", &less, &all),
        ("scale-up", &all, &more),
    ];
    let modulo = |servers: &[u64]| -> Vec<Option<u64>> {
        let owner = |k: &Key| baseline::modulo_owner(k.hash, servers);
        keys.iter().map(owner).collect()
    };
    let consistent = |servers: &[u64]| -> Vec<Option<u64>> {
        let ring = baseline::hash_ring(servers);
        let owner = |k: &Key| baseline::ring_owner(k.hash, &ring);
        keys.iter().map(owner).collect()
    };
    for (event, from, to) in events {
        for way in ["modulo", "consistent"] {
            let place = |servers: &[u64]| match way {
                "modulo" => modulo(servers),
                _ => consistent(servers),
            };
            let (before, after) = (place(from), place(to));
            let count = |servers: &[u64]| u64::try_from(servers.len()).unwrap_or(1);
            let dead = before.iter().filter(|o| **o == Some(0)).count();
            let floor = match event {
                "kill" => float(dead) / float(before.len()),
                _ => 1.0 / float(to.len()),
            };
            print(Line {
                way,
                event,
                servers: size,
                seed,
                churn: churn(&before, &after),
                churn_floor: floor,
                imbalance_before: imbalance(&keys, &before, count(from), |k| k.rate),
                imbalance: imbalance(&keys, &after, count(to), |k| k.rate),
                imbalance_keys: imbalance(&keys, &after, count(to), |_| 1.0),
                moves: 0,
                late_moves: 0,
            });
        }
    }
}
