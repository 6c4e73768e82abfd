//! A model of backend servers that run, restart, leave and are cut off, of heartbeats and departures that
//! are delayed, of another writer whose heartbeats vary each field, and of tables that leave out the service
//! or change the duration of its leases, against the leases of a leader that changes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{announce, heartbeat, incarnation, server};
use crate::fleet::evacuation::Progress;
use crate::fleet::leases::{self, InheritedLeases, Leases};
use crate::fleet::load::LoadCounts;
use crate::fleet::messages::{Heartbeat, HeldRange, Lease, Leave, ReleasedRange};
use crate::fleet::ranges::{AssignedRange, RangeMap};
use crate::fleet::registration::{self, Registration};
use crate::fleet::{
    Change, Effect, Incarnation, Key, KeyRange, Ordered, Server, ServerState, Store,
};
use crate::fleet::{plan, reassign};
use crate::ids;
use crate::table::{self, Delivery};

const LEASE: Duration = Duration::from_millis(3500);

/// Limit of the leases in the model.
const MAX_LEASE: Duration = Duration::from_secs(10);

const STEP: Duration = Duration::from_millis(50);

/// Steps between two heartbeats of a server.
const HEARTBEAT_STEPS: u32 = 17;

/// Steps with disturbances: thirty seconds.
const DISTURBED_STEPS: u32 = 600;

/// Steps without disturbance after which all servers are registered and own all keys: far more than
/// it takes until the sequence numbers of a server are trusted again.
const CALM_STEPS: u32 = 600;

const CASE_COUNT: u64 = 60;

/// A process that runs under the name of a server.
struct Process {
    server: Server,
    sequence: u64,
    /// Keys that it holds, and until when.
    held: Vec<(HeldRange, Instant)>,
    released: Vec<ReleasedRange>,
    cut_until: Instant,
    /// Whether it has said that it leaves; it sends nothing any more and restarts at `cut_until`.
    left: bool,
}

impl Process {
    fn restart(&mut self) {
        self.server.incarnation.start_ms += 1;
        self.sequence = 0;
        self.held.clear();
        self.released.clear();
        self.left = false;
    }
}

struct Model {
    random: fastrand::Rng,
    now: Instant,
    index: u64,
    store: Store,
    tables: table::Store,
    leases: Leases,
    processes: Vec<Process>,
    /// Leases that the other writer was granted; nobody holds these keys, but they count as granted.
    granted: Vec<(Incarnation, HeldRange, Instant)>,
    /// Calls of servers that leave which are on their way, with the time at which they arrive.
    delayed_leaves: Vec<(Instant, Leave)>,
    /// Heartbeats that are on their way, with the time at which they arrive.
    delayed: Vec<(Instant, Heartbeat)>,
    accepted: u32,
}

impl Model {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let process = |(name, port)| Process {
            server: server(name, 100, port),
            sequence: 0,
            held: Vec::new(),
            released: Vec::new(),
            cut_until: now,
            left: false,
        };
        let mut tables = table::Store::default();
        tables.apply(1, super::change_table(1, "s", 100, "heartbeat"));
        Self {
            random: fastrand::Rng::with_seed(seed),
            now,
            index: 1,
            store: Store::default(),
            leases: super::new_leases(LEASE, now, 0),
            tables,
            processes: [("a", 1), ("b", 2), ("c", 3)].map(process).into(),
            granted: Vec::new(),
            delayed_leaves: Vec::new(),
            delayed: Vec::new(),
            accepted: 0,
        }
    }

    fn apply(&mut self, change: Change) {
        self.index += 1;
        self.store.apply(self.index, change);
    }

    fn chance(&mut self, share: f64) -> bool {
        self.random.f64() < share
    }

    fn step(&mut self, step: u32, disturbed: bool) {
        self.now += STEP;
        if disturbed {
            self.disturb();
        } else if !self.tables.is_sharded("s") {
            self.change_table("s", 100);
        }
        self.deliver_delayed();
        for i in 0..self.processes.len() {
            let phase = u32::try_from(i).unwrap() * 5;
            if step % HEARTBEAT_STEPS == phase && self.now >= self.processes[i].cut_until {
                if self.processes[i].left {
                    self.processes[i].restart();
                }
                self.send_heartbeat(i);
            }
        }
        if self.tables.is_sharded("s") {
            self.plan();
        }
        self.check_owners();
    }

    fn disturb(&mut self) {
        if self.chance(0.08) {
            let heartbeat = self.foreign();
            if self.answer(&heartbeat).is_some() {
                self.accepted += 1;
            }
        }
        let which = self.random.usize(..self.processes.len());
        if self.chance(0.006) {
            let cut = Duration::from_millis(self.random.u64(500..9000));
            self.processes[which].cut_until = self.now + cut;
        }
        if self.chance(0.004) {
            self.processes[which].restart();
        }
        if self.chance(0.004) {
            self.leave(which);
        }
        if self.chance(0.03) && !self.processes[which].left {
            self.delay_heartbeat(which);
        }
        if self.chance(0.003) {
            // The new leader begins with an entry of its own.
            self.index += 1;
            let inherited = InheritedLeases::from_tables(&self.tables, MAX_LEASE);
            self.leases = Leases::new(inherited, self.now, self.index);
        }
        if self.chance(0.02) {
            let service = if self.chance(0.5) { "other" } else { "s" };
            let target_ms = self.random.u64(100..12_000);
            self.change_table(service, target_ms);
        }
    }

    fn change_table(&mut self, service: &str, target_ms: u64) {
        self.index += 1;
        let version = self.tables.version() + 1;
        let change = super::change_table(version, service, target_ms, "heartbeat");
        let outcome = self.tables.apply(self.index, change);
        assert_eq!(outcome, table::Outcome::Accepted);
    }

    /// A process says that it leaves, and goes on serving for some seconds.
    fn leave(&mut self, which: usize) {
        let process = &mut self.processes[which];
        process.left = true;
        process.cut_until = self.now + Duration::from_secs(9);
        let incarnation = &process.server.incarnation;
        let leave = Leave {
            server: Arc::clone(&incarnation.server),
            start_ms: Some(incarnation.start_ms).filter(|_| self.random.bool()),
            sent_after: self.index,
        };
        let delay = if self.random.bool() { 0 } else { 12_000 };
        let arrival = self.now + Duration::from_millis(self.random.u64(0..=delay));
        self.delayed_leaves.push((arrival, leave));
    }

    /// Sends a heartbeat that arrives seconds later; its sender has given up waiting by then.
    fn delay_heartbeat(&mut self, which: usize) {
        let arrival = self.now + Duration::from_millis(self.random.u64(1000..9000));
        let heartbeat = self.next_heartbeat(which);
        self.delayed.push((arrival, heartbeat));
    }

    fn deliver_delayed(&mut self) {
        let now = self.now;
        let arrived = self.delayed_leaves.extract_if(.., |d| d.0 <= now);
        for (_, leave) in arrived.collect::<Vec<_>>() {
            self.apply(Change::Leave(leave));
        }
        let arrived: Vec<_> = self.delayed.extract_if(.., |d| d.0 <= now).collect();
        for (_, heartbeat) in arrived {
            self.answer(&heartbeat);
        }
    }

    /// A heartbeat of another writer: that of a server with some fields changed.
    ///
    /// One that has the id, start, service and address of a server is that server's own word about
    /// its state and its keys, so these vary only if one of the others does.
    fn foreign(&mut self) -> Heartbeat {
        let which = self.random.usize(..self.processes.len());
        let process = &self.processes[which];
        let original = process.server.clone();
        let mut heartbeat = heartbeat("x", process.sequence, &[]);
        heartbeat.held = Some(process.held.iter().map(|h| h.0).collect());
        heartbeat.server = original.clone();
        let random = &mut self.random;
        let fields = random.u16(..);
        let varies = |field: u16| fields & (1 << field) != 0;
        let server = &mut heartbeat.server;
        if varies(0) {
            let names = ["a", "b", "c", "x"];
            server.incarnation.server = names[random.usize(..names.len())].into();
        }
        if varies(1) {
            let starts = [0, 99, 100, 110, u64::MAX];
            server.incarnation.start_ms = starts[random.usize(..starts.len())];
        }
        // The time of a start that is yet to come can't be guessed, nor be that of another server.
        let named = self
            .processes
            .iter()
            .find(|p| p.server.incarnation.server == server.incarnation.server);
        let is_to_come = |p: &Process| {
            (p.server.incarnation.start_ms + 1..110).contains(&server.incarnation.start_ms)
        };
        if named.is_some_and(is_to_come) {
            server.incarnation.start_ms = 110;
        }
        if varies(2) {
            server.service = ["s", "unknown"][random.usize(..2)].into();
        }
        if varies(3) {
            server.address = ([127, 0, 0, 1], random.u16(1..6)).into();
        }
        if varies(4) {
            server.zone = "elsewhere".into();
            server.slots = random.u32(1..100);
            server.warmup = Duration::from_secs(random.u64(0..100));
        }
        let owner = self
            .processes
            .iter()
            .find(|p| p.server.incarnation == server.incarnation);
        let is_own = owner.is_some_and(|o| {
            o.server.service == server.service && o.server.address == server.address
        });
        if varies(5) {
            let sequences = [0, 1, 20, 1000, u64::MAX];
            heartbeat.sequence = sequences[random.usize(..sequences.len())];
        }
        if is_own {
            heartbeat.held = owner.map(|o| o.held.iter().map(|h| h.0).collect());
            return heartbeat;
        }
        if varies(6) {
            heartbeat.server.state = ServerState::Draining;
        }
        if varies(7) {
            let all = HeldRange {
                from: 0,
                to: Key::MAX,
                fence: random.u64(..100),
            };
            heartbeat.held = [None, Some(Vec::new()), Some(vec![all])][random.usize(..3)].clone();
        }
        if varies(8) {
            let token = "t".into();
            let (from, to) = (random.u16(..1000), random.u16(1000..));
            heartbeat.released = vec![ReleasedRange { from, to, token }];
        }
        heartbeat
    }

    /// The next heartbeat of a process, sent now.
    fn next_heartbeat(&mut self, which: usize) -> Heartbeat {
        let now = self.now;
        let process = &mut self.processes[which];
        process.sequence += 1;
        process.held.retain(|h| now <= h.1);
        let mut heartbeat = heartbeat("x", process.sequence, &[]);
        heartbeat.server = process.server.clone();
        heartbeat.held = Some(process.held.iter().map(|h| h.0).collect());
        heartbeat.released = std::mem::take(&mut process.released);
        heartbeat.sent_after = self.index;
        heartbeat
    }

    fn send_heartbeat(&mut self, which: usize) {
        let now = self.now;
        let heartbeat = self.next_heartbeat(which);
        let Some(lease) = self.answer(&heartbeat) else {
            return;
        };
        if self.chance(0.1) {
            return; // The response is lost.
        }
        // The clock of the server runs two percent slow.
        let until = now + lease.duration.mul_f64(1.02);
        let process = &mut self.processes[which];
        process.held = held(&lease).map(|h| (h, until)).collect();
    }

    /// Answers a heartbeat as the coordinator does.
    fn answer(&mut self, heartbeat: &Heartbeat) -> Option<Lease> {
        let sender = heartbeat.incarnation().clone();
        let has_service = self.tables.is_sharded(&heartbeat.server.service);
        let decision =
            registration::decide(heartbeat, has_service, &self.store, &self.leases, self.now);
        match decision {
            Registration::Known => {}
            Registration::Ignored
            | Registration::Outdated
            | Registration::Blocked(_)
            | Registration::Conflict => return None,
            Registration::New { change, .. } => self.apply(*change),
        }
        self.store.incarnation(&sender)?;
        if !self
            .leases
            .record_heartbeat(heartbeat, self.index, self.now)
        {
            return None;
        }
        let state = heartbeat.server.state;
        if state == ServerState::Draining {
            let incarnation = sender.clone();
            self.apply(Change::SetState { incarnation, state });
        }
        if !has_service {
            return None;
        }
        let released = self.free(|r| r.next.is_some() && r.owner.as_ref() == Some(&sender));
        if !released.is_empty() {
            self.apply(Change::Release {
                service: "s".into(),
                incarnation: sender.clone(),
                ranges: released.iter().map(|r| (r.from, r.to)).collect(),
            });
        }
        let is_next = |r: &KeyRange| r.next.as_ref().is_some_and(|n| n.incarnation == sender);
        let assigned = self.free(is_next);
        if !assigned.is_empty() && self.store.accepts_keys(&sender) {
            let assigned = assigned.iter().map(|r| AssignedRange {
                from: r.from,
                to: r.to,
                token: None,
            });
            self.apply(Change::Assign {
                service: "s".into(),
                incarnation: sender.clone(),
                ranges: assigned.collect(),
                join: self.index.is_multiple_of(2),
            });
        }
        let duration = leases::lease_duration(self.tables.longest_target("s"), MAX_LEASE);
        self.leases.record_grant(&sender, duration, self.now);
        let lease = reassign::lease(&self.store, "s", &sender, duration);
        let until = self.now + duration;
        self.granted.retain(|g| g.0 != sender);
        self.granted
            .extend(held(&lease).map(|h| (sender.clone(), h, until)));
        Some(lease)
    }

    fn free<F>(&self, wanted: F) -> Vec<KeyRange>
    where
        F: Fn(&KeyRange) -> bool,
    {
        let ranges = self.store.ranges("s").into_iter().flat_map(RangeMap::iter);
        let free = ranges.filter(|r| {
            wanted(r)
                && self
                    .leases
                    .is_free(r, &self.store, Delivery::Heartbeat, self.now)
        });
        free.cloned().collect()
    }

    fn plan(&mut self) {
        let none = RangeMap::default();
        let shares = LoadCounts::default().shares("s");
        let progress = Progress::default();
        let moves = {
            let latencies = HashMap::new();
            let candidates = reassign::candidates(
                &self.store,
                &self.leases,
                &latencies,
                &progress,
                "s",
                self.now,
            );
            let ranges = self.store.ranges("s").unwrap_or(&none);
            plan::plan(ranges, &candidates, &shares, true)
        };
        if !moves.is_empty() {
            let ranges = moves.into_iter().map(|m| (m.next, vec![(m.from, m.to)]));
            self.apply(Change::Reassign {
                service: "s".into(),
                ranges: ranges.collect(),
            });
        }
    }

    /// No key has two owners: a process that runs and another one, or a lease that is in force.
    fn check_owners(&mut self) {
        let now = self.now;
        let processes = self.processes.iter().flat_map(|p| {
            let held = p.held.iter().filter(|h| now <= h.1);
            held.map(|h| (p.server.incarnation.clone(), h.0))
        });
        let is_running =
            |i: &Incarnation| self.processes.iter().any(|p| p.server.incarnation == *i);
        // A process that was replaced under its name has ended, and a running one holds what it was
        // answered last, which stands above.
        let is_process = |i: &Incarnation| i.start_ms < 120 && *i.server != *"x" && !is_running(i);
        let granted = self.granted.iter().filter(|g| now <= g.2);
        let granted = granted.filter(|g| !is_running(&g.0) && !is_process(&g.0));
        let mut owned: Vec<_> = processes
            .chain(granted.map(|g| (g.0.clone(), g.1)))
            .collect();
        owned.sort_by_key(|o| o.1.from);
        for pair in owned.windows(2) {
            let [(one, left), (other, right)] = pair else {
                continue;
            };
            assert!(
                left.to < right.from || one == other,
                "{one:?} and {other:?} own {right:?}"
            );
        }
    }

    fn check_all_serve(&self) {
        for process in &self.processes {
            let state = self
                .store
                .incarnation(&process.server.incarnation)
                .map(|s| s.state);
            assert_eq!(state, Some(ServerState::Ready), "{:?}", process.server);
            let incarnation = &process.server.incarnation;
            let is_silent =
                self.leases
                    .is_silent(incarnation, 2 * STEP * HEARTBEAT_STEPS, self.now);
            assert!(!is_silent, "heartbeats of {incarnation:?} don't count");
        }
        let held = self.processes.iter().flat_map(|p| &p.held);
        let keys: u32 = held.map(|h| u32::from(h.0.to - h.0.from) + 1).sum();
        assert_eq!(keys, 65_536, "all keys are held");
    }
}

fn held(lease: &Lease) -> impl Iterator<Item = HeldRange> + use<> {
    let grants = lease.grants.clone().into_iter();
    grants.map(|g| HeldRange {
        from: g.from,
        to: g.to,
        fence: g.fence,
    })
}

/// Guards against a heartbeat of another writer that takes keys from their owner or shuts out a
/// server for good.
#[test]
fn no_heartbeat_gives_a_key_two_owners_or_shuts_out_a_server() {
    let mut accepted = 0;
    for seed in 0..CASE_COUNT {
        let mut model = Model::new(seed);
        for step in 0..DISTURBED_STEPS + CALM_STEPS {
            model.step(step, step < DISTURBED_STEPS);
        }
        model.check_all_serve();
        accepted += model.accepted;
    }
    assert!(
        accepted > 100,
        "some foreign heartbeats are taken for a server's: {accepted}"
    );
}

fn leases_of(name: &str, now: Instant) -> Leases {
    let mut leases = super::new_leases(LEASE, now, 0);
    assert!(leases.record_heartbeat(&heartbeat(name, 1, &[]), 1, now));
    leases.record_grant(&incarnation(name, 1), LEASE, now);
    leases
}

/// A store in which server `a` owns all keys.
fn store() -> Store {
    let mut store = Store::default();
    store.apply(1, announce(server("a", 1, 1)));
    let service = "s".into();
    let ranges = vec![(incarnation("a", 1), vec![(0, Key::MAX)])];
    store.apply(2, Change::Reassign { service, ranges });
    let all = AssignedRange {
        from: 0,
        to: Key::MAX,
        token: None,
    };
    let assign = Change::Assign {
        service: "s".into(),
        incarnation: incarnation("a", 1),
        ranges: vec![all],
        join: false,
    };
    store.apply(3, assign);
    store
}

/// Guards against the heartbeats of review/4, and against a restart that is never registered.
#[test]
fn an_owner_gives_way_once_it_is_silent_and_its_lease_has_ended() {
    let (store, now) = (store(), Instant::now());
    let leases = leases_of("a", now);
    let ended = LEASE.mul_f64(1.05);
    for (name, port) in [("a", 1), ("a", 9), ("b", 1)] {
        let mut later = heartbeat(name, 1, &[]);
        later.server = server(name, 2, port);
        let decide = |later: &Heartbeat, has_service, after| {
            registration::decide(later, has_service, &store, &leases, now + after)
        };
        let blocked = Registration::Blocked(vec![incarnation("a", 1)]);
        assert_eq!(decide(&later, true, Duration::ZERO), blocked);
        assert_eq!(decide(&later, true, LEASE), blocked);
        assert_eq!(decide(&later, false, ended), Registration::Ignored);
        let displaced = vec![incarnation("a", 1)];
        let change = Box::new(announce(later.server.clone()));
        let registered = Registration::New { displaced, change };
        assert_eq!(decide(&later, true, ended), registered);
    }
}

fn readmission(server: &Server, sent_after: ids::LogIndex) -> Change {
    let server = server.clone();
    Change::Readmit(Ordered {
        value: server,
        sent_after,
    })
}

/// Guards against a heartbeat that arrives after its sender has ended and undoes the leave of the next
/// process under its name, or ends another server at its address.
#[test]
fn a_delayed_heartbeat_of_an_earlier_process_displaces_no_later_one() {
    let now = Instant::now();
    let is_long_silent = now + Duration::from_secs(30);
    let leases = super::new_leases(LEASE, now, 0);
    for (later, state) in [
        (server("a", 2, 1), ServerState::Ready),
        (server("a", 2, 1), ServerState::Left),
        (server("a", 2, 9), ServerState::Left),
        (server("b", 2, 1), ServerState::Ready),
        (server("b", 2, 1), ServerState::Left),
    ] {
        let mut store = Store::default();
        store.apply(10, announce(server("a", 1, 1)));
        store.apply(20, announce(later.clone()));
        let incarnation = later.incarnation.clone();
        store.apply(30, Change::SetState { incarnation, state });
        for sent_after in [0, 10, 15, 29] {
            let mut delayed = heartbeat("a", 5, &[]);
            delayed.sent_after = sent_after;
            let decision = registration::decide(&delayed, true, &store, &leases, is_long_silent);
            assert_eq!(decision, Registration::Outdated, "sent after {sent_after}");
            let applied = store.apply(40, readmission(&delayed.server, sent_after));
            assert_eq!(applied, Effect::Outdated);
            let registered = store.incarnation(&later.incarnation).map(|s| s.state);
            assert_eq!(registered, Some(state));
        }
        let present = heartbeat("a", 6, &[]);
        let decision = registration::decide(&present, true, &store, &leases, is_long_silent);
        assert!(matches!(decision, Registration::New { .. }), "{decision:?}");
    }
}

/// Guards against a server that is registered as ready by a heartbeat from before it was found gone.
#[test]
fn a_delayed_heartbeat_of_a_server_that_is_gone_is_ignored() {
    let now = Instant::now();
    let leases = super::new_leases(LEASE, now, 0);
    let mut store = Store::default();
    store.apply(10, announce(server("a", 1, 1)));
    let (incarnation, state) = (incarnation("a", 1), ServerState::Gone);
    store.apply(20, Change::SetState { incarnation, state });
    let mut heartbeat = heartbeat("a", 5, &[]);
    heartbeat.sent_after = 19;
    let decide = |h: &Heartbeat| registration::decide(h, true, &store, &leases, now);
    assert_eq!(decide(&heartbeat), Registration::Outdated);
    heartbeat.sent_after = 20;
    assert!(matches!(decide(&heartbeat), Registration::New { .. }));
}

/// Guards against a server that a foreign heartbeat or a long silence shut out.
#[test]
fn a_displaced_server_comes_back_once_the_other_is_silent() {
    let now = Instant::now();
    let mut store = Store::default();
    store.apply(1, announce(server("a", 1, 1)));
    store.apply(2, announce(server("a", u64::MAX, 9)));
    let own = heartbeat("a", 5, &[]);
    let mut leases = super::new_leases(LEASE, now, 0);
    let mut foreign = heartbeat("a", 1, &[]);
    foreign.server = server("a", u64::MAX, 9);
    assert!(leases.record_heartbeat(&foreign, 2, now));
    let decide = |store: &Store, after| {
        registration::decide(&own, true, store, &leases, now + Duration::from_secs(after))
    };
    let blocked = Registration::Blocked(vec![incarnation("a", u64::MAX)]);
    assert_eq!(decide(&store, 1), blocked);
    let Registration::New { change, .. } = decide(&store, 2) else {
        panic!("it is not registered");
    };
    assert_eq!(*change, readmission(&own.server, ids::LogIndex::MAX));
    store.apply(3, *change);
    assert_eq!(decide(&store, 2), Registration::Known);
    let (incarnation, state) = (incarnation("a", 1), ServerState::Gone);
    store.apply(4, Change::SetState { incarnation, state });
    assert!(matches!(decide(&store, 2), Registration::New { .. }));
    store.apply(5, readmission(&server("a", 1, 9), 4));
    assert_eq!(decide(&store, 1), Registration::Conflict);
    let change = Box::new(readmission(&own.server, ids::LogIndex::MAX));
    let displaced = vec![super::incarnation("a", 1)];
    assert_eq!(decide(&store, 2), Registration::New { displaced, change });
}

/// Guards against a sequence number of another writer that shuts out the server itself, and against
/// a delayed copy that proves a release.
#[test]
fn a_lower_sequence_number_counts_after_a_gap_but_proves_no_release() {
    let mut store = store();
    store.apply(4, announce(server("b", 1, 2)));
    let service = "s".into();
    let ranges = vec![(incarnation("b", 1), vec![(0, 9)])];
    store.apply(5, Change::Reassign { service, ranges });
    let range = store.ranges("s").unwrap().iter().next().unwrap().clone();
    let now = Instant::now();
    let mut leases = leases_of("a", now);
    assert!(leases.record_heartbeat(&heartbeat("a", u64::MAX, &[(0, 9)]), 5, now));
    assert!(!leases.record_heartbeat(&heartbeat("a", 2, &[]), 5, now));
    let later = now + Duration::from_millis(1300);
    assert!(leases.record_heartbeat(&heartbeat("a", 3, &[]), 5, later));
    let is_free = |leases: &Leases| leases.is_free(&range, &store, Delivery::Heartbeat, later);
    assert!(!is_free(&leases));
    assert!(leases.record_heartbeat(&heartbeat("a", 4, &[]), 5, later));
    assert!(!is_free(&leases));
    leases.record_grant(&incarnation("a", 1), 10 * LEASE, later);
    let trusted = later + Duration::from_secs(10);
    assert!(leases.record_heartbeat(&heartbeat("a", 5, &[]), 5, trusted));
    assert!(leases.is_free(&range, &store, Delivery::Heartbeat, trusted));
}

/// Guards against keys that are given away although the log ended their owner before its lease did.
#[test]
fn a_lease_counts_until_its_end_whatever_the_log_says_of_its_owner() {
    let mut store = store();
    store.apply(4, announce(server("a", 2, 1)));
    let service = "s".into();
    let ranges = vec![(incarnation("a", 2), vec![(0, 9)])];
    store.apply(5, Change::Reassign { service, ranges });
    let range = store.ranges("s").unwrap().iter().next().unwrap().clone();
    let now = Instant::now();
    let mut leases = leases_of("a", now);
    let is_free = |leases: &Leases, at| leases.is_free(&range, &store, Delivery::Heartbeat, at);
    assert!(!is_free(&leases, now));
    let mut later = heartbeat("a", 1, &[]);
    later.server.incarnation = Incarnation {
        server: Arc::clone(&later.server.incarnation.server),
        start_ms: 2,
    };
    assert!(leases.record_heartbeat(&later, 5, now));
    assert!(!is_free(&leases, now));
    assert!(is_free(&leases, now + LEASE.mul_f64(1.05)));
}
