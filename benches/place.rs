//! Measures placement: the share of keys that change owner and the load imbalance.
//!
//! Prints one JSON line for each placement method, event, number of servers and seed.
//! Keys have Zipf load; the rates that the policy sees are noisy. Time is simulated in passes of
//! one second.

use std::collections::HashMap;

use agateyoke::keys::{self, Span};
use agateyoke::place::{self, Server, Shard, Weights, baseline};

/// Number of keys of the service.
const KEYS: u64 = 100_000;

/// Exponent of the Zipf distribution of load over keys.
const ZIPF_EXPONENT: f64 = 0.9;

/// Requests per second over all keys.
const REQUESTS_PER_SECOND: f64 = 2000.0;

/// Initial number of spans.
const INITIAL_SPANS: u64 = 256;

const SLOTS_PER_SERVER: f64 = 6.0;

/// Measured numbers of servers.
const SERVER_COUNTS: [u64; 3] = [10, 15, 20];

/// Number of measured seeds.
const SEED_COUNT: u64 = 5;

/// Passes after each event.
const PASSES: u64 = 90;

/// Number of passes after an event for which moves don't count as late.
const LATE_PASSES: u64 = 60;

/// Passes for which a moved span may not move again.
const COOLDOWN_PASSES: u64 = 30;

/// Passes until a started server is warm.
const WARMUP_PASSES: u64 = 8;

/// Weight of the newest rate in the smoothed rate.
const SMOOTHING_FACTOR: f64 = 0.3;

/// Amplitude of the noise of a measured rate, as a share of the rate.
const NOISE_AMPLITUDE: f64 = 0.2;

/// Number of reported hot hashes of a shard.
const MAX_HOT_HASHES: usize = 8;

/// Function that returns the load of a key for the computation of the imbalance.
type KeyLoad = fn(&Key) -> f64;

/// Function that applies an event to the simulation.
type ApplyEvent = fn(&mut Simulation);

/// Key with its request rate.
struct Key {
    hash: keys::KeyHash,
    rate: f64,
}

/// Shard with the pass in which it last moved.
struct ShardState {
    shard: Shard,
    moved_in_pass: Option<u64>,
}

/// Simulation of a service under the placement policy.
struct Simulation {
    keys: Vec<Key>,
    shards: Vec<ShardState>,
    servers: Vec<Server>,
    started: Vec<u64>,
    uneven_passes: u32,
    pass: u64,
    moves: u64,
    rng: fastrand::Rng,
}

fn main() {
    for server_count in SERVER_COUNTS {
        for seed in 1..=SEED_COUNT {
            let weights = [("equal", 1, 1, 1), ("dark", 1, 1, 4), ("churn", 1, 4, 1)];
            for (name, imbalance, churn, unavailable) in weights {
                let weights = Weights {
                    imbalance,
                    churn,
                    unavailable,
                };
                simulate_policy(name, weights, server_count, seed);
            }
            measure_baselines(server_count, seed);
        }
    }
}

/// Keys in order of their hashes, with Zipf load.
fn zipf_keys(seed: u64) -> Vec<Key> {
    let rank = |i: u64| f64::from(u32::try_from(i).unwrap_or(u32::MAX)).powf(-ZIPF_EXPONENT);
    let total: f64 = (1..=KEYS).map(rank).sum();
    let key = |i| Key {
        hash: keys::hash(&format!("key-{seed}/{i}")),
        rate: rank(i) / total * REQUESTS_PER_SECOND,
    };
    let mut keys: Vec<_> = (1..=KEYS).map(key).collect();
    keys.sort_by_key(|k| k.hash);
    keys
}

/// Share of keys whose owner differs.
fn churn(before: &[Option<u64>], after: &[Option<u64>]) -> f64 {
    let pairs = before.iter().zip(after);
    let changed = pairs.filter(|(b, a)| b != a).count();
    to_f64(changed) / to_f64(before.len())
}

/// Excess of the highest server load over the fair share of `servers` servers, relative to that
/// share.
fn imbalance(keys: &[Key], owners: &[Option<u64>], servers: u64, key_load: KeyLoad) -> f64 {
    let mut loads: HashMap<u64, f64> = HashMap::new();
    for (key, owner) in keys.iter().zip(owners) {
        if let Some(owner) = owner {
            *loads.entry(*owner).or_default() += key_load(key);
        }
    }
    let max = loads.values().copied().fold(0.0, f64::max);
    let total: f64 = keys.iter().map(key_load).sum();
    max / (total / to_f64(usize::try_from(servers).unwrap_or(1))) - 1.0
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// One line of output.
#[derive(serde::Serialize)]
struct Line<'a> {
    #[serde(rename = "way")]
    method: &'a str,
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

fn print_line(mut line: Line<'_>) {
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

fn simulate_policy(name: &str, weights: Weights, server_count: u64, seed: u64) {
    let mut simulation = Simulation::new(server_count, seed);
    let method = format!("policy-{name}");
    simulation.assign();
    let events: [(&str, ApplyEvent); 4] = [
        ("settle", |_| {}),
        ("kill", Simulation::kill),
        ("return", Simulation::start),
        ("scale-up", Simulation::add),
    ];
    for (event, apply_event) in events {
        let before = simulation.owners();
        let imbalance_before = simulation.imbalance(|k| k.rate);
        apply_event(&mut simulation);
        let churn_floor = simulation.churn_floor(event, &before);
        let mut late_moves = 0;
        let moves_before = simulation.moves;
        for pass in 0..PASSES {
            let moves = simulation.moves;
            simulation.run_pass(weights);
            late_moves += if pass >= LATE_PASSES {
                simulation.moves - moves
            } else {
                0
            };
        }
        print_line(Line {
            method: &method,
            event,
            servers: server_count,
            seed,
            churn: churn(&before, &simulation.owners()),
            churn_floor,
            imbalance_before,
            imbalance: simulation.imbalance(|k| k.rate),
            imbalance_keys: simulation.imbalance(|_| 1.0),
            moves: simulation.moves - moves_before,
            late_moves,
        });
    }
}

impl Simulation {
    fn new(server_count: u64, seed: u64) -> Self {
        let shard_state = |span| ShardState {
            shard: Shard {
                span,
                owner: None,
                last_owner: None,
                free: true,
                movable: true,
                request_rate: 0.0,
                hot_hashes: Vec::new(),
            },
            moved_in_pass: None,
        };
        let server = Server {
            capacity: SLOTS_PER_SERVER,
            assignable: true,
        };
        let count = usize::try_from(server_count).unwrap_or(0);
        Self {
            keys: zipf_keys(seed),
            shards: Span::split_evenly(INITIAL_SPANS)
                .into_iter()
                .map(shard_state)
                .collect(),
            servers: vec![server; count],
            started: vec![0; count],
            uneven_passes: 0,
            pass: WARMUP_PASSES,
            moves: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn placement_input(&self) -> Vec<Shard> {
        let is_movable = |p: &ShardState| {
            p.moved_in_pass
                .is_none_or(|m| self.pass >= m + COOLDOWN_PASSES)
        };
        let shard = |p: &ShardState| Shard {
            movable: is_movable(p),
            ..p.shard.clone()
        };
        self.shards.iter().map(shard).collect()
    }

    /// Assigns the free spans to servers.
    fn assign(&mut self) {
        for choice in place::assign(&self.placement_input(), &self.servers) {
            if let Some(state) = self.shards.get_mut(choice.shard) {
                state.shard.owner = Some(choice.server);
                state.shard.free = false;
            }
        }
    }

    /// The first server fails.
    fn kill(&mut self) {
        if let Some(server) = self.servers.first_mut() {
            server.assignable = false;
        }
        for state in &mut self.shards {
            if state.shard.owner == Some(0) {
                state.shard.owner = None;
                state.shard.free = true;
            }
        }
        self.assign();
    }

    /// The first server starts again, cold.
    fn start(&mut self) {
        if let (Some(server), Some(started)) = (self.servers.first_mut(), self.started.first_mut())
        {
            server.assignable = true;
            *started = self.pass;
        }
    }

    /// One more server starts, cold.
    fn add(&mut self) {
        self.servers.push(Server {
            capacity: SLOTS_PER_SERVER,
            assignable: true,
        });
        self.started.push(self.pass);
    }

    /// Least share of keys that must change owner.
    fn churn_floor(&self, event: &str, before: &[Option<u64>]) -> f64 {
        let assignable = to_f64(self.servers.iter().filter(|s| s.assignable).count());
        let failed = before.iter().filter(|o| **o == Some(0)).count();
        match event {
            "settle" => 0.0,
            "kill" => to_f64(failed) / to_f64(before.len()),
            _ => 1.0 / assignable,
        }
    }

    /// Runs one pass of the policy on noisy rates.
    fn run_pass(&mut self, weights: Weights) {
        self.pass += 1;
        for (server, started) in self.servers.iter_mut().zip(&self.started) {
            let warm = (self.pass - started).min(WARMUP_PASSES);
            let share = to_f64(usize::try_from(warm).unwrap_or(0)) / 8.0;
            server.capacity = SLOTS_PER_SERVER * (0.2 + 0.8 * share);
        }
        self.update_rates();
        let shards = self.placement_input();
        let plan = place::rebalance(&shards, &self.servers, weights, &mut self.uneven_passes);
        for choice in plan.moves {
            if let Some(state) = self.shards.get_mut(choice.shard) {
                state.shard.owner = Some(choice.server);
                state.moved_in_pass = Some(self.pass);
                self.moves += 1;
            }
        }
        let mut splits = plan.splits;
        splits.sort_by_key(|s| std::cmp::Reverse(s.shard));
        for split in splits {
            self.split(split);
        }
    }

    fn update_rates(&mut self) {
        for state in &mut self.shards {
            let first = self
                .keys
                .partition_point(|k| k.hash < state.shard.span.start);
            let from_first = self.keys.iter().skip(first);
            let in_span = from_first.take_while(|k| k.hash <= state.shard.span.end);
            let noise = 1.0 + NOISE_AMPLITUDE * (self.rng.f64() * 2.0 - 1.0);
            let mut rates: Vec<_> = in_span.map(|k| (k.hash, k.rate)).collect();
            let rate: f64 = rates.iter().map(|(_, r)| r).sum();
            state.shard.request_rate +=
                SMOOTHING_FACTOR * (rate * noise - state.shard.request_rate);
            rates.sort_by(|a, b| b.1.total_cmp(&a.1));
            rates.truncate(MAX_HOT_HASHES);
            state.shard.hot_hashes = rates;
        }
    }

    fn split(&mut self, split: place::Split) {
        if split.shard >= self.shards.len() {
            return;
        }
        let old = self.shards.swap_remove(split.shard);
        let spans = old.shard.span.without(split.hash);
        for span in spans.into_iter().chain([Span::single(split.hash)]) {
            let share = place::model::width(span) / place::model::width(old.shard.span);
            self.shards.push(ShardState {
                shard: Shard {
                    span,
                    request_rate: old.shard.request_rate * share,
                    ..old.shard.clone()
                },
                moved_in_pass: old.moved_in_pass,
            });
        }
    }

    /// Owner of each key.
    fn owners(&self) -> Vec<Option<u64>> {
        let mut shards: Vec<_> = self.shards.iter().map(|p| &p.shard).collect();
        shards.sort_by_key(|p| p.span);
        let owner = |key: &Key| {
            let next = shards.partition_point(|p| p.span.end < key.hash);
            u64::try_from(shards.get(next)?.owner?).ok()
        };
        self.keys.iter().map(owner).collect()
    }

    fn imbalance(&self, key_load: KeyLoad) -> f64 {
        let assignable = self.servers.iter().filter(|s| s.assignable).count();
        let assignable = u64::try_from(assignable).unwrap_or(1);
        imbalance(&self.keys, &self.owners(), assignable, key_load)
    }
}

/// Measures the same events for simple placement methods.
fn measure_baselines(server_count: u64, seed: u64) {
    let keys = zipf_keys(seed);
    let all: Vec<u64> = (0..server_count).collect();
    let reduced: Vec<u64> = (1..server_count).collect();
    let extended: Vec<u64> = (0..=server_count).collect();
    let events = [
        ("kill", &all, &reduced),
        ("return", &reduced, &all),
        ("scale-up", &all, &extended),
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
        for method in ["modulo", "consistent"] {
            let place = |servers: &[u64]| match method {
                "modulo" => modulo(servers),
                _ => consistent(servers),
            };
            let (before, after) = (place(from), place(to));
            let count = |servers: &[u64]| u64::try_from(servers.len()).unwrap_or(1);
            let failed = before.iter().filter(|o| **o == Some(0)).count();
            let churn_floor = match event {
                "kill" => to_f64(failed) / to_f64(before.len()),
                _ => 1.0 / to_f64(to.len()),
            };
            print_line(Line {
                method,
                event,
                servers: server_count,
                seed,
                churn: churn(&before, &after),
                churn_floor,
                imbalance_before: imbalance(&keys, &before, count(from), |k| k.rate),
                imbalance: imbalance(&keys, &after, count(to), |k| k.rate),
                imbalance_keys: imbalance(&keys, &after, count(to), |_| 1.0),
                moves: 0,
                late_moves: 0,
            });
        }
    }
}
