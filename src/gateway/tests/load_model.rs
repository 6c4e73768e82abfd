//! Model of the entry VMs and backend servers of one zone, in simulated time.
//!
//! The routing state, the selection, what VMs report to each other and what they learn are the real
//! ones; callers, servers and the network are models. The same seed gives the same arrivals, whatever
//! is selected.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::clock;
use crate::fleet::updates::Updates;
use crate::fleet::{Incarnation, Server, ServerState, Vm, VmRole};
use crate::gateway::backend::{Backend, InFlightGuard};
use crate::gateway::head::ReportedLoad;
use crate::gateway::routing::RoutingState;
use crate::gateway::selection::{self, SelectionContext};
use crate::table::{Delivery, Limits, Patch, Service, Update};

const ONE_WAY: Duration = Duration::from_micros(500);
const POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Load pattern of a replay.
#[derive(Clone, Debug)]
pub(super) struct Pattern {
    pub(super) vms: usize,
    pub(super) servers: usize,
    pub(super) slots: u32,
    /// Requests that a server takes beyond its slots before it rejects.
    pub(super) queue: u32,
    /// Mean time of a request at a server of speed 1.
    pub(super) work_ms: f64,
    pub(super) target_ms: f64,
    /// Requests per second at a time in seconds.
    pub(super) rate: fn(f64) -> f64,
    pub(super) seconds: f64,
    /// Lowest and highest speed of a server.
    pub(super) speeds: (f64, f64),
    /// Share of the time in which a server is three times slower, in periods of 400 ms.
    pub(super) slow_share: f64,
    /// Relative rise of the time per request from an idle to a full server.
    pub(super) crowding: f64,
    /// Share of datagrams that are lost.
    pub(super) loss: f64,
    /// Whether VMs report to each other.
    pub(super) shares_load: bool,
    /// Whether servers report how long work takes.
    pub(super) reports_percent: bool,
}

/// Result of a replay.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outcome {
    pub(super) arrivals: u32,
    pub(super) in_time: u32,
    pub(super) late: u32,
    pub(super) refused: u32,
    pub(super) rejections: u32,
    /// Most requests at one server at any time, per slot.
    pub(super) most_loaded: f64,
    /// Mean over requests of the requests that were at their server when they came, per slot.
    pub(super) mean_met: f64,
    pub(super) datagrams: u32,
    pub(super) datagram_bytes: u64,
}

impl Outcome {
    pub(super) fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrivals)
    }
}

struct Request {
    vm: usize,
    arrived: Duration,
    sent: Duration,
    load: f64,
    tried: Vec<Rc<Backend>>,
    backend: Option<(Rc<Backend>, InFlightGuard)>,
}

enum Event {
    Arrival,
    Select(usize),
    AtServer(usize, usize),
    Finished(usize, usize),
    Response(usize, ReportedLoad, bool),
    Flush(usize),
    Datagram(usize, Rc<Vec<u8>>),
}

struct ModelServer {
    speed: f64,
    running: u32,
    queue: VecDeque<usize>,
    slow_seed: u64,
}

struct ModelVm {
    routing: RoutingState,
    /// Sorted, so that a replay is repeatable.
    backends: Vec<Rc<Backend>>,
    /// Running average of the request time.
    average: Cell<f64>,
    flush_at: Option<Duration>,
}

pub(super) struct Replay {
    pattern: Pattern,
    start: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    payloads: BTreeMap<u64, Event>,
    next_event: u64,
    servers: Vec<ModelServer>,
    names: BTreeMap<Arc<str>, usize>,
    vms: Vec<ModelVm>,
    requests: Vec<Request>,
    random: fastrand::Rng,
    network: fastrand::Rng,
    outcome: Outcome,
    met: f64,
    met_count: u32,
}

fn vm_address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], u16::try_from(1000 + index).unwrap()).into()
}

impl Replay {
    pub(super) fn run(pattern: &Pattern, seed: u64) -> Outcome {
        clock::freeze();
        fastrand::seed(seed);
        let mut replay = Self::new(pattern.clone(), seed);
        replay.push(Duration::ZERO, Event::Arrival);
        while let Some(Reverse((at, id))) = replay.events.pop() {
            clock::advance(at.saturating_sub(replay.now));
            replay.now = at;
            let event = replay.payloads.remove(&id).unwrap();
            replay.handle(event);
        }
        replay.outcome.mean_met = replay.met / f64::from(replay.met_count);
        replay.outcome
    }

    /// Number of servers whose load the first entry VM exchanges with others.
    pub(super) fn shared_count(pattern: &Pattern) -> usize {
        let replay = Self::new(pattern.clone(), 1);
        let first = replay.vms.first().unwrap();
        first.routing.peers.shared_count()
    }

    fn new(pattern: Pattern, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let servers: Vec<_> = (0..pattern.servers)
            .map(|_| {
                let (low, high) = pattern.speeds;
                ModelServer {
                    speed: low + (high - low) * random.f64(),
                    running: 0,
                    queue: VecDeque::new(),
                    slow_seed: random.u64(..),
                }
            })
            .collect();
        let descriptions: Vec<_> = (0..pattern.servers)
            .map(|i| {
                Arc::new(Server {
                    incarnation: Incarnation {
                        server: format!("server-{i:03}").into(),
                        start_ms: 1,
                    },
                    service: "s".into(),
                    address: ([127, 0, 0, 1], 1).into(),
                    zone: "near".into(),
                    slots: pattern.slots,
                    state: ServerState::Ready,
                    warmup: Duration::ZERO,
                })
            })
            .collect();
        let names = descriptions.iter().enumerate();
        let names = names.map(|(i, d)| (Arc::clone(&d.incarnation.server), i));
        let vms: Vec<_> = (0..pattern.vms)
            .map(|i| Vm {
                name: format!("vm-{i:03}").into(),
                zone: "near".into(),
                address: vm_address(i),
                role: VmRole::Entry,
            })
            .collect();
        // Load is never exchanged for services with keys; nothing else here depends on it.
        let service = Service {
            name: "s".into(),
            max_connections: 560,
            sharded: !pattern.shares_load,
            delivery: Delivery::Heartbeat,
            source: serde_json::Value::Null,
        };
        let model_vm = |vm: &Vm| {
            let mut routing = RoutingState::default();
            routing.local_vm = Some(vm.clone());
            routing.apply(Updates {
                index: 1,
                full: true,
                table: Some(Update {
                    version: 1,
                    full: true,
                    patch: Patch {
                        services: vec![Arc::new(service.clone())],
                        limits: Some(Limits::default()),
                        ..Patch::default()
                    },
                }),
                servers: descriptions.clone(),
                ranges: Vec::new(),
                vms: vms.clone(),
            });
            ModelVm {
                backends: selection::zone_order(routing.backends("s"), "near"),
                routing,
                average: Cell::new(pattern.work_ms / 1000.0),
                flush_at: None,
            }
        };
        Self {
            start: clock::now(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            next_event: 0,
            servers,
            names: names.collect(),
            vms: vms.iter().map(model_vm).collect(),
            requests: Vec::new(),
            random,
            network: fastrand::Rng::with_seed(!seed),
            outcome: Outcome::default(),
            met: 0.0,
            met_count: 0,
            pattern,
        }
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        self.events
            .push(Reverse((self.now + after, self.next_event)));
        self.payloads.insert(self.next_event, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Select(request) => self.select(request),
            Event::AtServer(server, request) => self.reach(server, request),
            Event::Finished(server, request) => self.finish(server, request),
            Event::Response(request, load, rejected) => self.respond(request, load, rejected),
            Event::Flush(vm) => self.flush(vm),
            Event::Datagram(vm, bytes) => {
                let peers = &self.vms[vm].routing.peers;
                peers.receive(&bytes, clock::now()).unwrap();
            }
        }
    }

    fn arrive(&mut self) {
        let seconds = self.now.as_secs_f64();
        if seconds >= self.pattern.seconds {
            return;
        }
        let vm = self.random.usize(..self.vms.len());
        let pause = -self.random.f64().max(1e-9).ln() / (self.pattern.rate)(seconds);
        self.push(Duration::from_secs_f64(pause), Event::Arrival);
        self.outcome.arrivals += 1;
        self.requests.push(Request {
            vm,
            arrived: self.now,
            sent: Duration::ZERO,
            load: 0.0,
            tried: Vec::new(),
            backend: None,
        });
        self.select(self.requests.len() - 1);
    }

    fn select(&mut self, id: usize) {
        let request = &mut self.requests[id];
        let now = clock::now();
        let context = SelectionContext {
            zone: "near",
            max_connections: 6,
            drain: Duration::from_secs(2),
            now,
        };
        let vm = &self.vms[request.vm];
        let selected = selection::select_backend(&vm.backends, &request.tried, &context);
        let Some(backend) = selected else {
            let waited = self.now.saturating_sub(request.arrived).as_secs_f64();
            if waited >= 0.12 * self.pattern.target_ms / 1000.0 {
                self.outcome.refused += 1;
            } else {
                self.push(POLL_INTERVAL, Event::Select(id));
            }
            return;
        };
        request.sent = self.now;
        request.load = backend.load(now);
        let server = self.names[&backend.server().incarnation.server];
        let guard = backend.start_request();
        request.backend = Some((backend, guard));
        let vm = request.vm;
        self.push(ONE_WAY, Event::AtServer(server, id));
        self.schedule_flush(vm);
    }

    fn reach(&mut self, server: usize, id: usize) {
        let slots = self.pattern.slots;
        let model = &mut self.servers[server];
        let present = model.running + count(&model.queue);
        let per_slot = f64::from(present + 1) / f64::from(slots);
        self.met += f64::from(present) / f64::from(slots);
        self.met_count += 1;
        self.outcome.most_loaded = self.outcome.most_loaded.max(per_slot);
        if present >= slots + self.pattern.queue {
            let load = self.reported(server);
            self.outcome.rejections += 1;
            self.push(ONE_WAY, Event::Response(id, load, true));
        } else if self.servers[server].running < slots {
            self.begin(server, id);
        } else {
            self.servers[server].queue.push_back(id);
        }
    }

    fn begin(&mut self, server: usize, id: usize) {
        let factor = self.slowness(server);
        let model = &mut self.servers[server];
        model.running += 1;
        let crowding =
            f64::from(model.running) / f64::from(self.pattern.slots) * self.pattern.crowding;
        // Drawn for each request by its number, so that it doesn't depend on the selection.
        let work = 0.6 + 0.8 * fastrand::Rng::with_seed(id as u64).f64();
        let ms = self.pattern.work_ms * work * factor * (1.0 + crowding) / model.speed;
        self.push(
            Duration::from_secs_f64(ms / 1000.0),
            Event::Finished(server, id),
        );
    }

    /// How much longer work takes now than usual at a server.
    fn slowness(&self, server: usize) -> f64 {
        let period = clock::as_ms(self.now) / 400;
        let seed = self.servers[server].slow_seed ^ period.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let is_slow = fastrand::Rng::with_seed(seed).f64() < self.pattern.slow_share;
        if is_slow { 3.0 } else { 1.0 }
    }

    fn reported(&self, server: usize) -> ReportedLoad {
        let model = &self.servers[server];
        ReportedLoad {
            running: model.running,
            waiting: count(&model.queue),
            percent: self.pattern.reports_percent.then(|| {
                if self.slowness(server) > 1.0 {
                    300
                } else {
                    100
                }
            }),
        }
    }

    fn finish(&mut self, server: usize, id: usize) {
        let model = &mut self.servers[server];
        model.running -= 1;
        if let Some(next) = model.queue.pop_front() {
            self.begin(server, next);
        }
        let load = self.reported(server);
        self.push(ONE_WAY, Event::Response(id, load, false));
    }

    fn respond(&mut self, id: usize, load: ReportedLoad, rejected: bool) {
        let request = &mut self.requests[id];
        let (backend, guard) = request.backend.take().unwrap();
        drop(guard);
        let vm = request.vm;
        let average = &self.vms[vm].average;
        if rejected {
            backend.record_response(None, Some(load), false);
            backend.record_full(backend.server().slots);
            request.tried.push(backend);
            if request.tried.len() < 2 {
                self.select(id);
            } else {
                self.outcome.refused += 1;
            }
        } else {
            let latency = self.now.saturating_sub(request.sent).as_secs_f64();
            let slots = f64::from(self.pattern.slots);
            let unloaded = latency / ((request.load + 1.0) / slots).max(1.0);
            average.set(average.get() * 0.95 + unloaded * 0.05);
            let relative = (unloaded / average.get().max(0.001)).min(8.0);
            backend.record_response(Some(relative), Some(load), false);
            backend.record_latency(relative, request.load);
            let taken = self.now.saturating_sub(request.arrived).as_secs_f64();
            if taken <= self.pattern.target_ms / 1000.0 {
                self.outcome.in_time += 1;
            } else {
                self.outcome.late += 1;
            }
        }
        self.schedule_flush(vm);
    }

    fn schedule_flush(&mut self, vm: usize) {
        let Some(due_at) = self.vms[vm].routing.peers.changes.due_at() else {
            return;
        };
        let due = due_at.saturating_duration_since(self.start);
        let due = due.max(self.now);
        let model = &mut self.vms[vm];
        if model.flush_at.is_none_or(|at| due < at || at < self.now) {
            model.flush_at = Some(due);
            self.push(due.saturating_sub(self.now), Event::Flush(vm));
        }
    }

    fn flush(&mut self, vm: usize) {
        let model = &mut self.vms[vm];
        let now = clock::now();
        model.flush_at = None;
        let peers = Rc::clone(&model.routing.peers);
        if peers.changes.due_at().is_some_and(|at| at <= now) {
            for (address, bytes) in peers.take_datagrams(now) {
                self.outcome.datagrams += 1;
                self.outcome.datagram_bytes += bytes.len() as u64;
                let receiver = usize::from(address.port()) - 1000;
                if self.network.f64() >= self.pattern.loss {
                    self.push(ONE_WAY, Event::Datagram(receiver, Rc::new(bytes)));
                }
            }
        }
        if self.now.as_secs_f64() < self.pattern.seconds {
            self.schedule_flush(vm);
        }
    }
}

fn count(queue: &VecDeque<usize>) -> u32 {
    u32::try_from(queue.len()).unwrap()
}
