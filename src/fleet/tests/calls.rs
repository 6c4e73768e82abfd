//! A model of backend servers that are granted keys by calls, with calls and answers that are lost,
//! delayed and applied late, servers that start again, slow clocks, and changes of the leader.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arbtest::arbtest;

use super::{announce, server};
use crate::fleet::call_leases::Run;
use crate::fleet::due_calls;
use crate::fleet::leases::{InheritedLeases, Leases};
use crate::fleet::messages::{GrantedRange, ReleasedRange};
use crate::fleet::model::{Incarnation, Key, KeyRange};
use crate::fleet::{Change, Server, Store};
use crate::table::Delivery;

const SERVICE: &str = "s";

const LEASE: Duration = Duration::from_millis(3500);

const STEP: Duration = Duration::from_millis(25);

/// Steps in which calls are disturbed: fifteen seconds.
const DISTURBED_STEPS: u32 = 600;

/// Steps without disturbance after which every key has an owner that holds it.
const CALM_STEPS: u32 = 500;

/// Timeout after which the leader resets a connection.
const TIMEOUT: Duration = Duration::from_millis(350);

/// Keys whose owners are checked.
const SAMPLES: [Key; 12] = [
    0, 1, 5000, 9999, 10_000, 20_000, 30_000, 30_001, 40_000, 50_000, 60_000, 65_535,
];

/// Cases in a test run, each with its own seed; `AGATEYOKE_CASES` asks for more.
const CASE_COUNT: u64 = 40;

/// What a backend server knows of one sampled key.
#[derive(Clone, Copy, Default)]
struct HeldKey {
    fence: u64,
    until: Option<Instant>,
}

#[derive(Clone)]
struct ModelServer {
    server: Server,
    keys: [HeldKey; SAMPLES.len()],
}

#[derive(Clone)]
enum Order {
    Grant(GrantedRange),
    Release(Run),
}

/// A call under way.
#[derive(Clone)]
struct Call {
    incarnation: Incarnation,
    order: Order,
    term: u64,
    arrived: Option<Instant>,
    /// When the server applies the call.
    applied: Option<Instant>,
    /// When the leader has the response.
    answered: Option<Instant>,
    timeout: Instant,
    is_settled: bool,
}

impl Call {
    fn run(&self) -> Run {
        match &self.order {
            Order::Grant(grant) => Run {
                from: grant.from,
                to: grant.to,
                fence: grant.fence,
            },
            Order::Release(run) => *run,
        }
    }
}

struct Model {
    random: fastrand::Rng,
    now: Instant,
    index: u64,
    term: u64,
    store: Store,
    servers: Vec<ModelServer>,
    calls: Vec<Call>,
    leases: Leases,
    /// Highest fence with which any server held each sampled key.
    fences: [u64; SAMPLES.len()],
    is_calm: bool,
    grants_sent: u32,
}

impl Model {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let mut model = Self {
            random: fastrand::Rng::with_seed(seed),
            now,
            index: 0,
            term: 1,
            store: Store::default(),
            servers: Vec::new(),
            calls: Vec::new(),
            leases: Leases::new(InheritedLeases::all(LEASE, Delivery::Call), now, 0),
            fences: [0; SAMPLES.len()],
            is_calm: false,
            grants_sent: 0,
        };
        for (i, name) in ["a", "b", "c", "d"].into_iter().enumerate() {
            let server = server(name, 1, u16::try_from(i).unwrap() + 1);
            model.apply(announce(server.clone()));
            let keys = <[HeldKey; SAMPLES.len()]>::default();
            model.servers.push(ModelServer { server, keys });
        }
        model.reassign(0, Key::MAX, 0);
        model
    }

    fn apply(&mut self, change: Change) {
        self.index += 1;
        self.store.apply(self.index, change);
    }

    fn reassign(&mut self, from: Key, to: Key, target: usize) {
        let next = self.servers[target].server.incarnation.clone();
        self.apply(Change::Reassign {
            service: SERVICE.into(),
            ranges: vec![(next, vec![(from, to)])],
        });
    }

    fn chance(&mut self, share: f64) -> bool {
        !self.is_calm && self.random.f64() < share
    }

    fn step(&mut self) {
        self.now += STEP;
        self.apply_calls();
        self.settle_calls();
        if self.chance(0.05) {
            let (a, b) = (self.random.u16(..), self.random.u16(..));
            let target = self.random.usize(..self.servers.len());
            self.reassign(a.min(b), a.max(b), target);
        }
        if self.chance(0.004) {
            self.change_leader();
        }
        if self.chance(0.008) {
            self.restart_server();
        }
        self.assign_free();
        self.send_due();
        self.check_owners();
    }

    /// The calls of the old leader go on; what became of them is not known to the new one.
    fn change_leader(&mut self) {
        self.term += 1;
        self.leases = Leases::new(
            InheritedLeases::all(LEASE, Delivery::Call),
            self.now,
            self.index,
        );
    }

    fn restart_server(&mut self) {
        let which = self.random.usize(..self.servers.len());
        let server = &mut self.servers[which];
        server.server.incarnation.start_ms += 1;
        server.keys = <[HeldKey; SAMPLES.len()]>::default();
        let (announced, ended) = (
            server.server.clone(),
            Arc::clone(&server.server.incarnation.server),
        );
        // Its connections break, so a call to the earlier process never reaches this one.
        self.calls
            .iter_mut()
            .filter(|c| c.incarnation.server == ended)
            .for_each(|c| c.applied = None);
        self.apply(announce(announced.clone()));
        let orphaned: Vec<_> = self
            .ranges(|r| {
                let owner = r.next.as_ref().map(|n| &n.incarnation).or(r.owner.as_ref());
                owner.is_some_and(|o| {
                    o.server == ended && o.start_ms < announced.incarnation.start_ms
                })
            })
            .iter()
            .map(|r| (r.from, r.to))
            .collect();
        for (from, to) in orphaned {
            let target = self.random.usize(..self.servers.len());
            self.reassign(from, to, target);
        }
    }

    fn ranges<F>(&self, wanted: F) -> Vec<KeyRange>
    where
        F: Fn(&KeyRange) -> bool,
    {
        let ranges = self.store.ranges(SERVICE).unwrap();
        ranges.iter().filter(|r| wanted(r)).cloned().collect()
    }

    fn assign_free(&mut self) {
        let free = self.ranges(|r| {
            r.next.is_some()
                && self
                    .leases
                    .is_free(r, &self.store, Delivery::Call, self.now)
        });
        for range in free {
            let next = range.next.clone().unwrap().incarnation;
            let ranges = self.leases.split_by_token(SERVICE, &range);
            self.leases.drop_tokens(SERVICE, range.from, range.to);
            self.apply(Change::Assign {
                service: SERVICE.into(),
                incarnation: next,
                ranges,
                join: false,
            });
        }
    }

    fn send_due(&mut self) {
        let is_settled = |r: &KeyRange| self.leases.is_settled("s", r, self.now);
        let ranges = self.store.ranges(SERVICE).unwrap();
        let due = due_calls::due(ranges, self.leases.calls(), is_settled, self.now);
        for (incarnation, calls) in due {
            let is_granting = self
                .under_way(&incarnation)
                .any(|c| matches!(c.order, Order::Grant(_)));
            let mut latency = Duration::ZERO;
            for grant in calls.grants.into_iter().filter(|_| !is_granting) {
                latency += Duration::from_millis(self.random.u64(1..10));
                self.send(&incarnation, Order::Grant(grant), latency);
            }
            for run in calls.releases {
                let is_releasing = self
                    .under_way(&incarnation)
                    .any(|c| matches!(c.order, Order::Release(_)) && c.run() == run);
                if !is_releasing {
                    let latency = Duration::from_millis(self.random.u64(1..40));
                    self.send(&incarnation, Order::Release(run), latency);
                }
            }
        }
    }

    /// Calls of the present leader to a server that have no outcome yet.
    fn under_way<'a>(&'a self, incarnation: &'a Incarnation) -> impl Iterator<Item = &'a Call> {
        self.calls
            .iter()
            .filter(move |c| c.term == self.term && c.incarnation == *incarnation && !c.is_settled)
    }

    fn send(&mut self, incarnation: &Incarnation, order: Order, latency: Duration) {
        let ms = |ms| Duration::from_millis(ms);
        let arrived = self.now + latency;
        let lost = self.chance(0.1);
        let unanswered = lost || self.chance(0.25);
        let late = unanswered && self.chance(0.8);
        let delay = if late {
            ms(self.random.u64(0..12_000))
        } else {
            ms(0)
        };
        let call = Call {
            incarnation: incarnation.clone(),
            order,
            term: self.term,
            arrived: Some(arrived).filter(|_| !lost),
            applied: Some(arrived + delay).filter(|_| !lost),
            answered: Some(arrived + latency).filter(|_| !unanswered),
            timeout: self.now + TIMEOUT,
            is_settled: false,
        };
        if let Order::Grant(_) = call.order {
            self.grants_sent += 1;
            self.leases
                .calls_mut()
                .record_sent(incarnation, call.run(), LEASE, self.now);
        }
        self.calls.push(call);
    }

    /// Applies calls at the servers that they reached.
    fn apply_calls(&mut self) {
        let due = |c: &Call, now| c.applied.is_some_and(|at| at <= now);
        let mut calls: Vec<_> = self
            .calls
            .iter_mut()
            .filter(|c| due(c, self.now))
            .map(|c| (c.clone(), c.applied.take()))
            .collect();
        calls.sort_by_key(|(c, applied)| (*applied, c.run().fence));
        for (call, _) in calls {
            let run = call.run();
            let Some(server) = self
                .servers
                .iter_mut()
                .find(|s| s.server.incarnation == call.incarnation)
            else {
                continue;
            };
            let inside = |k: &Key| run.from <= *k && *k <= run.to;
            let positions = || (0..SAMPLES.len()).filter(|i| inside(&SAMPLES[*i]));
            if positions().any(|i| server.keys[i].fence > run.fence) {
                continue;
            }
            // The clock of the server runs two percent slow.
            let until = call.arrived.map(|at| at + LEASE.mul_f64(1.02));
            if matches!(call.order, Order::Grant(_)) && until < Some(self.now) {
                continue;
            }
            for i in positions() {
                let key = &mut server.keys[i];
                match call.order {
                    Order::Grant(_) => {
                        assert!(
                            key.fence == run.fence || run.fence > self.fences[i],
                            "key {} is granted with fence {} after {}",
                            SAMPLES[i],
                            run.fence,
                            self.fences[i]
                        );
                        self.fences[i] = self.fences[i].max(run.fence);
                        key.fence = run.fence;
                        key.until = key.until.max(until);
                    }
                    Order::Release(_) => key.until = None,
                }
            }
        }
    }

    /// Hands responses and timeouts to the leader that sent the calls.
    fn settle_calls(&mut self) {
        let now = self.now;
        for call in self.calls.iter_mut().filter(|c| !c.is_settled) {
            let is_answered = call.answered.is_some_and(|at| at <= now);
            if !is_answered && now < call.timeout {
                continue;
            }
            call.is_settled = true;
            if call.term != self.term {
                continue;
            }
            let run = call.run();
            let calls = self.leases.calls_mut();
            match (&call.order, is_answered) {
                (Order::Grant(_), true) => calls.record_answered(&call.incarnation, run, now),
                (Order::Grant(_), false) => calls.record_unanswered(&call.incarnation, run, now),
                (Order::Release(_), true) => {
                    calls.record_released(&call.incarnation, run);
                    let token = format!("t{}", run.fence).into();
                    let (from, to) = (run.from, run.to);
                    let released = ReleasedRange { from, to, token };
                    self.leases.record_token(&SERVICE.into(), released);
                }
                (Order::Release(_), false) => {}
            }
        }
        self.calls.retain(|c| !c.is_settled || c.applied.is_some());
    }

    fn holders(&self, sample: usize) -> usize {
        let holds = |s: &&ModelServer| s.keys[sample].until.is_some_and(|u| u >= self.now);
        self.servers.iter().filter(holds).count()
    }

    fn check_owners(&self) {
        for (i, key) in SAMPLES.iter().enumerate() {
            assert!(self.holders(i) <= 1, "key {key} has two holders");
        }
    }
}

/// Seeds of cases that failed once: a grant that arrived after a release.
const FAILED_SEEDS: [u64; 1] = [149];

fn case_count() -> u64 {
    let asked = std::env::var("AGATEYOKE_CASES");
    asked
        .ok()
        .and_then(|c| c.parse().ok())
        .unwrap_or(CASE_COUNT)
}

fn run(seed: u64) {
    let mut model = Model::new(seed);
    for _ in 0..DISTURBED_STEPS {
        model.step();
    }
    model.is_calm = true;
    for _ in 0..CALM_STEPS {
        model.step();
    }
    for (i, key) in SAMPLES.iter().enumerate() {
        assert_eq!(
            model.holders(i),
            1,
            "key {key} has no holder after a calm time"
        );
    }
    let before = model.grants_sent;
    let runs = {
        let due = due_calls::due(
            model.store.ranges(SERVICE).unwrap(),
            &crate::fleet::call_leases::CallLeases::default(),
            |_| true,
            model.now,
        );
        due.values().map(|o| o.grants.len()).sum::<usize>()
    };
    let second = 40;
    for _ in 0..second {
        model.step();
    }
    let sent = usize::try_from(model.grants_sent - before).unwrap();
    assert!(
        sent <= 2 * runs,
        "{sent} grants in a second renew {runs} runs"
    );
}

#[test]
fn no_key_has_two_holders_and_none_stays_without_one() {
    for seed in (0..case_count()).chain(FAILED_SEEDS) {
        arbtest(|u| {
            let salt: u64 = u.arbitrary()?;
            eprintln!("seed {seed}");
            run(seed ^ salt);
            Ok(())
        })
        .seed(seed);
    }
}
