use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;

use super::mock::{Action, Fixture, MockBackend, header, read_message, send_text, status_code};
use super::selection::backend;
use crate::clock;
use crate::fleet::updates::Updates;
use crate::fleet::{Vm, VmRole};
use crate::gateway::backend::Backend;
use crate::gateway::routing::RoutingState;
use crate::gateway::selection::{self, SelectionContext};
use crate::gateway::warmup::{self, Limiter, Share};
use crate::runtime;
use crate::table::{self, Warmup};

const LIMIT: Warmup = Warmup {
    duration: Duration::from_secs(3),
    requests_per_sec: 4.2,
};

/// Replays of each kind of trouble.
const RUNS: u32 = 16;

const STEP: Duration = Duration::from_millis(10);

fn entry_vm(index: usize) -> Vm {
    Vm {
        name: format!("entry-{index}").into(),
        zone: ["near", "b", "c"][index % 3].into(),
        address: ([127, 0, 0, 1], u16::try_from(index).unwrap() + 1).into(),
        role: VmRole::Entry,
    }
}

fn entry_vms(count: usize) -> Vec<Vm> {
    (0..count).map(entry_vm).collect()
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
const fn to_f64(number: usize) -> f64 {
    number as f64
}

/// Most requests in any second, whenever it begins.
fn busiest_second(arrivals: &mut [Duration]) -> usize {
    arrivals.sort_unstable();
    let count = |(i, first): (usize, &Duration)| {
        let end = *first + Duration::from_secs(1);
        arrivals[i..].iter().take_while(|a| **a < end).count()
    };
    arrivals.iter().enumerate().map(count).max().unwrap_or(0)
}

/// One entry VM in a replay, with its state of one backend server.
struct Sender {
    vm: Vm,
    /// List of entry VMs as this VM knows it.
    list: Vec<Vm>,
    listed_since: Instant,
    limiter: Limiter,
    /// Incarnation of the server that the VM knows.
    incarnation: u32,
    /// Whether the VM hears from the control VMs.
    connected: bool,
    retry_at: Instant,
}

impl Sender {
    fn new(vm: Vm, list: Vec<Vm>, now: Instant) -> Self {
        let mut sender = Self {
            vm,
            list,
            listed_since: now,
            limiter: Limiter::default(),
            incarnation: 0,
            connected: true,
            retry_at: now,
        };
        sender.share(now);
        sender
    }

    fn share(&mut self, now: Instant) {
        let server = ("server", "near");
        let share = Share::new(LIMIT, false, server, &self.vm, &self.list);
        self.limiter.set_share(Some(share), self.listed_since, now);
    }

    fn learn_list(&mut self, list: &[Vm], now: Instant) {
        if self.list != list {
            self.list = list.to_vec();
            self.listed_since = now;
            self.share(now);
        }
    }

    fn learn_incarnation(&mut self, incarnation: u32, warmup: Duration, now: Instant) {
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.limiter = Limiter::default();
            self.share(now);
        }
        self.limiter.set_cold(warmup, now);
    }
}

/// What happens in a replay.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    /// Shortest and longest time in seconds for which the server is down; zero if it reports that it
    /// is cold again.
    outage: (f64, f64),
    /// Share of entry VMs that hear from the control VMs.
    connected: f64,
}

/// Replays one server of the zone `near` while 84 entry VMs send whatever they may.
///
/// Returns the arrivals while the server is cold. Entry VMs restart, are replaced and lose the
/// control VMs meanwhile, and hear of changes after a delay of their own.
fn replay(seed: u64, trouble: Trouble, demand: f64) -> Vec<Duration> {
    let mut rng = Rng::with_seed(seed);
    let start = clock::now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let mut list = entry_vms(84);
    let mut senders: Vec<_> = list
        .iter()
        .map(|vm| Sender::new(vm.clone(), list.clone(), start))
        .collect();
    for sender in &mut senders {
        sender.connected = rng.f64() < trouble.connected;
    }
    let down_at = at(2.0 + rng.f64());
    let (shortest, longest) = trouble.outage;
    let outage = shortest + (longest - shortest) * rng.f64();
    let up_at = down_at + Duration::from_secs_f64(outage);
    let warm_at = up_at + LIMIT.duration;
    let mut news: Vec<(Instant, usize, Vec<Vm>)> = Vec::new();
    let hears_at: Vec<_> = senders
        .iter()
        .map(|_| up_at + Duration::from_millis(rng.u64(10..150)))
        .collect();
    let mut has_heard = vec![false; senders.len()];
    let mut arrivals = Vec::new();
    let mut now = start;
    while now < warm_at {
        now += STEP;
        // About twice a second a VM restarts, and another is replaced by one with a new name.
        if rng.u32(0..50) == 0 {
            let restarted = rng.usize(0..senders.len());
            let vm = senders[restarted].vm.clone();
            senders[restarted] = Sender::new(vm, list.clone(), now);
            has_heard[restarted] = false;
        }
        if rng.u32(0..50) == 0 {
            let replaced = rng.usize(0..senders.len());
            list[replaced].name = format!("{}+", list[replaced].name).into();
            senders[replaced] = Sender::new(list[replaced].clone(), list.clone(), now);
            has_heard[replaced] = false;
            for i in 0..senders.len() {
                news.push((
                    now + Duration::from_millis(rng.u64(10..400)),
                    i,
                    list.clone(),
                ));
            }
        }
        for (_, i, list) in news.extract_if(.., |n| n.0 <= now) {
            if senders[i].connected {
                senders[i].learn_list(&list, now);
            }
        }
        for (i, sender) in senders.iter_mut().enumerate() {
            if sender.connected && now >= hears_at[i] && !has_heard[i] {
                has_heard[i] = true;
                let incarnation = u32::from(outage > 0.0);
                sender.learn_incarnation(incarnation, warm_at.saturating_duration_since(now), now);
            }
            let is_cold = sender.limiter.is_cold(now);
            // Warm, the server gets 9.2 requests a second, mostly from its own zone.
            let usual = if *sender.vm.zone == *"near" {
                0.3
            } else {
                0.01
            };
            let rate = if is_cold { demand } else { usual };
            let sends = rng.f64() < rate * STEP.as_secs_f64();
            if !sends || now < sender.retry_at || !sender.limiter.wait(now).is_zero() {
                continue;
            }
            if now >= down_at && now < up_at {
                sender.limiter.record_attempt(now);
                sender.limiter.record_unreachable(now);
                sender.retry_at = now + Duration::from_millis(400);
                continue;
            }
            sender.limiter.record_attempt(now);
            sender.limiter.record_sent(now);
            sender.limiter.record_response(now);
            if now >= up_at {
                arrivals.push(now + Duration::from_millis(rng.u64(0..20)) - start);
            }
        }
    }
    arrivals
}

/// Guards against a cold server that gets more than it survives in any second, or much less than
/// it could serve, whatever entry VMs know of each other.
#[test]
fn a_cold_server_gets_no_more_than_it_survives_and_nearly_all_it_tolerates() {
    let bound = LIMIT.requests_per_sec * 1.5 + 8.0;
    let troubles = [
        ((0.0, 0.0), 0.9),
        ((0.5, 5.5), 0.9),
        ((0.5, 5.5), 0.5),
        ((5.0, 10.0), 0.0),
    ];
    for (outage, connected) in troubles {
        let trouble = Trouble { outage, connected };
        let (mut total, mut busiest) = (0, 0);
        for seed in 0..RUNS {
            let demand = if seed % 2 == 0 { 1e9 } else { 3.0 };
            let mut arrivals = replay(u64::from(seed), trouble, demand);
            total += arrivals.len();
            busiest = busiest.max(busiest_second(&mut arrivals));
            assert!(
                to_f64(busiest) <= bound,
                "{trouble:?} seed {seed}: {busiest} requests in a second"
            );
        }
        let per_sec = to_f64(total) / f64::from(RUNS) / LIMIT.duration.as_secs_f64();
        println!("{trouble:?}: {per_sec:.2} requests/s, busiest second {busiest}");
        assert!(
            per_sec > 0.8 * LIMIT.requests_per_sec,
            "{trouble:?} {per_sec}"
        );
        assert!(
            per_sec < 1.5 * LIMIT.requests_per_sec,
            "{trouble:?} {per_sec}"
        );
    }
}

/// Guards against a key that becomes busy while its owner is cold: any VM may have to send to an
/// owner, so that even one request of each is too much.
#[test]
fn a_cold_owner_gets_no_more_than_it_survives() {
    let bound = LIMIT.requests_per_sec * 1.5 + 8.0;
    let start = clock::now();
    let steps = |seconds: u32| (0..seconds * 100).map(|i| start + STEP * i);
    for vms in [1, 9, 24, 84, 300] {
        let list = entry_vms(vms);
        let limiter = |vm: &Vm| {
            let mut limiter = Limiter::default();
            let share = Share::new(LIMIT, true, ("server", "near"), vm, &list);
            limiter.set_share(Some(share), start, start);
            limiter.set_cold(Duration::from_secs(10), start);
            limiter
        };
        let mut limiters: Vec<_> = list.iter().map(limiter).collect();
        let mut relay = limiters[0].clone();
        let (mut direct, mut relayed) = (Vec::new(), Vec::new());
        for now in steps(10) {
            for limiter in limiters.iter_mut().filter(|l| l.wait(now).is_zero()) {
                limiter.record_sent(now);
                direct.push(now - start);
            }
            if relay.relay_wait(now).is_zero() {
                relay.record_sent(now);
                relayed.push(now - start);
            }
        }
        for mut arrivals in [direct, relayed] {
            let per_sec = to_f64(arrivals.len()) / 10.0;
            assert!((3.5..5.5).contains(&per_sec), "{vms} VMs: {per_sec}");
            let busiest = busiest_second(&mut arrivals);
            assert!(to_f64(busiest) <= bound, "{vms} VMs: {busiest}");
        }
    }
}

/// Guards against limits where the table has none: reports of coldness then change nothing.
#[test]
fn servers_of_a_service_without_both_columns_are_never_limited() {
    for warmup in [None, Some(LIMIT)] {
        let (routing, backends) = routing(warmup, false, 84);
        let context = SelectionContext {
            zone: "near",
            max_connections: 100,
            drain: Duration::from_secs(2),
            now: clock::now(),
        };
        for server in &backends {
            server.set_cold(Duration::from_secs(3));
            server.record_connection_lost();
            server.record_response(None, None, false);
        }
        let is_limited = |b: &&Rc<Backend>| b.is_cold(clock::now());
        let limited = backends.iter().filter(is_limited).count();
        let expected = warmup.map_or(0, |_| backends.len());
        assert_eq!(limited, expected, "{warmup:?}");
        let all_cold = selection::all_cold_for(routing.backends("s"), &context);
        assert_eq!(all_cold.is_some(), warmup.is_some(), "{warmup:?}");
        let selected = selection::select_backend(routing.backends("s"), &[], &context);
        assert_eq!(selected.is_some(), warmup.is_none(), "{warmup:?}");
    }
}

/// Routing state of the VM `entry-0` with 41 servers of one service in its zone.
fn routing(warmup: Option<Warmup>, sharded: bool, vms: usize) -> (RoutingState, Vec<Rc<Backend>>) {
    let service = table::Service {
        name: "s".into(),
        max_connections: 560,
        sharded,
        delivery: table::Delivery::Heartbeat,
        warmup,
        source: serde_json::Value::Null,
    };
    let table = table::Table {
        version: 1,
        services: vec![Arc::new(service)],
        ..table::Table::default()
    };
    let mut store = table::Store::default();
    let change = table::Change {
        base: 0,
        version: 1,
        digest: "d".into(),
        body: table::Body::Full(table),
    };
    assert_eq!(store.apply(1, change), table::Outcome::Accepted);
    let server = |i: usize| Arc::clone(&backend(&format!("s{i}"), "near").server());
    let mut routing = RoutingState::default();
    routing.local_vm = Some(entry_vm(0));
    routing.apply(Updates {
        index: 1,
        full: true,
        table: store.since(0),
        servers: (0..41).map(server).collect(),
        vms: entry_vms(vms),
        ..Updates::default()
    });
    let backends = routing.backends("s").to_vec();
    (routing, backends)
}

const OK: Action =
    Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nok");
const MISDIRECTED: Action =
    Action::Send("HTTP/1.1 421 No\nx-request: ID\nx-refused: 1\ncontent-length: 0\n\n");

fn request(prefix: &str, id: u32) -> String {
    format!("GET /{prefix}/1 HTTP/1.1\nhost: h\nx-request: {id}\nx-key: 5\n\n")
}

/// Time between two requests to a cold server of a fixture, far longer than any should take.
const SLOW_INTERVAL: Duration = Duration::from_secs(12);

/// Makes all servers of a fixture cold for a minute, in a deployment with this VM alone, and lets
/// the time pass in which a VM that has just started sends nothing.
fn make_cold(fixture: &Fixture) {
    let mut routing = fixture.gateway.routing.borrow_mut();
    routing.local_vm = Some(entry_vm(0));
    let table = routing.table.clone().unwrap();
    let limited = |service: &Arc<table::Service>| {
        let mut service = table::Service::clone(service);
        service.warmup = Some(Warmup {
            requests_per_sec: 1.0 / SLOW_INTERVAL.as_secs_f64(),
            ..LIMIT
        });
        Arc::new(service)
    };
    let update = table::Update {
        version: 2,
        full: false,
        patch: table::Patch {
            services: table.services.iter().map(limited).collect(),
            ..table::Patch::default()
        },
    };
    routing.apply(Updates {
        index: 2,
        table: Some(update),
        vms: entry_vms(1),
        ..Updates::default()
    });
    for server in routing.all_backends() {
        server.set_cold(Duration::from_mins(1));
    }
    clock::advance(SLOW_INTERVAL);
}

/// Guards against a service that isn't served at all while all of its servers are cold, and against
/// requests that are held, or sent, although a cold server can't take them.
#[test]
fn cold_servers_are_served_at_their_rate_and_the_rest_is_refused_at_once() {
    runtime::run(async {
        for prefix in ["safe", "keyed"] {
            let server = MockBackend::start(vec![vec![OK]; 3]);
            let fixture = Fixture::new(&[&server]);
            make_cold(&fixture);
            for round in 0..3 {
                let first = fixture.request(&request(prefix, round * 2)).await;
                assert_eq!(status_code(&first), 200, "{prefix} {first}");
                let second = fixture.request(&request(prefix, round * 2 + 1)).await;
                assert_eq!(status_code(&second), 503, "{prefix} {second}");
                let after: f64 = header(&second, "retry-after").unwrap().parse().unwrap();
                assert!((0.1..=1.5).contains(&after), "{prefix} {after}");
                clock::advance(SLOW_INTERVAL);
            }
            assert_eq!(server.requests.borrow().len(), 3, "{prefix}");
        }
    });
}

/// Guards against requests that arrive together and are all sent, as none was sent when they were
/// assigned to the server.
#[test]
fn requests_at_the_same_time_get_one_place() {
    runtime::run(async {
        let server = MockBackend::start(vec![vec![OK]; 8]);
        let fixture = Fixture::new(&[&server]);
        make_cold(&fixture);
        let requests: Vec<_> = (0..8).map(|id| request("safe", id)).collect();
        let mut streams = Vec::new();
        for request in &requests {
            let mut stream = fixture.connect().await;
            send_text(&mut stream, request).await;
            streams.push(stream);
        }
        let mut ok_count = 0;
        for stream in &mut streams {
            let response = read_message(stream, &mut String::new()).await.unwrap();
            ok_count += usize::from(status_code(&response) == 200);
        }
        assert_eq!(ok_count, server.requests.borrow().len());
        assert_eq!(ok_count, 1);
    });
}

/// Guards against a place that is used up by a request that a server answered with 421, or that was
/// never sent.
#[test]
fn only_requests_that_count_at_the_server_use_up_a_place() {
    runtime::run(async {
        let server = MockBackend::start(vec![vec![MISDIRECTED], vec![OK]]);
        let fixture = Fixture::new(&[&server]);
        make_cold(&fixture);
        let backends: Vec<_> = fixture.gateway.routing.borrow().backends("plain").to_vec();
        let now = clock::now();
        assert!(warmup::may_send(&backends[0], now));
        drop(warmup::reserve(&backends[0], now));
        assert!(warmup::may_send(&backends[0], now), "nothing was sent");
        let first = fixture.request(&request("safe", 1)).await;
        assert_eq!(status_code(&first), 503, "{first}");
        let second = fixture.request(&request("safe", 2)).await;
        assert_eq!(status_code(&second), 200, "{second}");
        assert!(!warmup::may_send(&backends[0], clock::now()));
    });
}
