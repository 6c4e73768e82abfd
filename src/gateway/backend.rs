//! One backend server as this entry VM sees it.
//!
//! What it says of its load lags, so what counts first is what this VM sees:
//! requests under way, answers, failures and silence.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::head::LoadTold;
use crate::clock;
use crate::fleet::messages::RelativeLatency;
use crate::fleet::{Server, ServerState};
use crate::web::wire::Wire;

/// How long an idle connection is kept if its other end does not say how long it does.
const IDLE_UNTOLD: Duration = Duration::from_secs(4);

/// Part of the time told after which an idle connection is not used any more.
const IDLE_PART: f64 = 0.75;

/// Idle connections kept.
const IDLE_KEPT: usize = 8;

/// Weight of the newest sample in running averages: some ten samples count.
const NEWEST: f64 = 0.12;

/// First time without requests after a failure; it doubles with each further one.
const FIRST_REST: Duration = Duration::from_millis(400);

/// Longest time without requests: one that is back is found again soon.
const LONGEST_REST: Duration = Duration::from_secs(2);

/// Time in which what others have under way at a server is forgotten.
const TOLD_FADES: Duration = Duration::from_millis(1500);

/// A kept connection.
struct Idle {
    wire: Wire,
    since: Instant,
    until: Instant,
}

/// One backend server.
pub struct Backend {
    server: RefCell<Arc<Server>>,
    warm: Instant,
    /// Whether this VM takes it before others of its zone.
    preferred: Cell<bool>,
    in_flight: Cell<u32>,
    /// Since when requests are under way and none was answered.
    silent: Cell<Option<Instant>>,
    idle: RefCell<Vec<Idle>>,
    /// Requests of others, as told by the last answer, and when.
    others: Cell<f64>,
    told: Cell<Instant>,
    /// Time that it takes for a request, against other servers of its service.
    pace: Cell<f64>,
    /// Answers since its pace was last told, and the sum of their times.
    samples: Cell<u32>,
    sampled: Cell<f64>,
    /// Part of its requests that fail.
    faults: Cell<f64>,
    failures: Cell<u32>,
    resting: Cell<Option<Instant>>,
    /// Since when it could not be reached.
    dark: Cell<Option<Instant>>,
}

impl Backend {
    /// A backend server that was just heard of.
    pub fn new(server: Arc<Server>) -> Rc<Self> {
        let now = clock::now();
        Rc::new(Self {
            warm: now + server.warmup,
            server: RefCell::new(server),
            preferred: Cell::new(true),
            in_flight: Cell::new(0),
            silent: Cell::new(None),
            idle: RefCell::default(),
            others: Cell::new(0.0),
            told: Cell::new(now),
            pace: Cell::new(1.0),
            samples: Cell::new(0),
            sampled: Cell::new(0.0),
            faults: Cell::new(0.0),
            failures: Cell::new(0),
            resting: Cell::new(None),
            dark: Cell::new(None),
        })
    }

    /// What is known of it.
    pub fn server(&self) -> Arc<Server> {
        Arc::clone(&self.server.borrow())
    }

    /// Takes in what changed about the same life.
    pub fn update(&self, server: Arc<Server>) {
        *self.server.borrow_mut() = server;
    }

    /// Whether it takes requests.
    pub fn is_ready(&self) -> bool {
        self.server.borrow().state == ServerState::Ready
    }

    /// Whether this VM takes it before others of its zone.
    pub fn is_preferred(&self) -> bool {
        self.preferred.get()
    }

    /// Says whether this VM takes it before others of its zone.
    pub fn set_preferred(&self, preferred: bool) {
        self.preferred.set(preferred);
    }

    /// Requests of this VM under way.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Requests under way there, as far as this VM can tell.
    pub fn load(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.told.get());
        let fresh = 1.0 - (age.as_secs_f64() / TOLD_FADES.as_secs_f64()).min(1.0);
        f64::from(self.in_flight.get()) + self.others.get() * fresh
    }

    /// Time that it takes for a request, against other servers of its service.
    pub fn pace(&self, now: Instant) -> f64 {
        let cold = if now < self.warm { 2.0 } else { 1.0 };
        self.pace.get().max(0.1) * cold
    }

    /// Its pace in the answers since this was last asked, if there were any.
    pub fn take_pace(&self) -> Option<RelativeLatency> {
        let (samples, sum) = (self.samples.take(), self.sampled.take());
        (samples > 0).then(|| RelativeLatency {
            server: Arc::clone(&self.server.borrow().incarnation.server),
            ratio: (sum / f64::from(samples) * 100.0).round() / 100.0,
            samples,
        })
    }

    /// Part of its requests that fail.
    pub fn faults(&self) -> f64 {
        self.faults.get()
    }

    /// Whether it gets no requests for a while, after failures.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.resting.get().is_some_and(|until| now < until)
    }

    /// How long requests have been under way with none answered.
    pub fn silence(&self, now: Instant) -> Duration {
        let silent = self.silent.get();
        silent.map_or(Duration::ZERO, |s| now.saturating_duration_since(s))
    }

    /// Counts a request as under way until the guard is dropped.
    pub fn begin(self: &Rc<Self>) -> Underway {
        if self.in_flight.get() == 0 {
            self.silent.set(Some(clock::now()));
        }
        self.in_flight.set(self.in_flight.get() + 1);
        Underway {
            backend: Rc::clone(self),
        }
    }

    /// Notes an answer, and the time it took against what its route takes elsewhere.
    pub fn answered(&self, took: Option<f64>, told: Option<LoadTold>, failed: bool) {
        let now = clock::now();
        self.silent
            .set(Some(now).filter(|_| self.in_flight.get() > 0));
        self.dark.set(None);
        if !failed {
            self.failures.set(0);
            self.resting.set(None);
        }
        mix(&self.faults, f64::from(u8::from(failed)));
        if let Some(took) = took {
            mix(&self.pace, took);
            self.samples.set(self.samples.get().saturating_add(1));
            self.sampled.set(self.sampled.get() + took);
        }
        if let Some(told) = told {
            let all = f64::from(told.running.saturating_add(told.waiting));
            self.others
                .set((all - f64::from(self.in_flight.get())).max(0.0));
            self.told.set(now);
        }
    }

    /// Notes that it refused a request because it had no room.
    pub fn full(&self, slots: u32) {
        self.others.set(f64::from(slots) * 2.0);
        self.told.set(clock::now());
    }

    /// Notes that it could not be reached.
    pub fn unreached(&self) {
        self.idle.borrow_mut().clear();
        if self.dark.get().is_none() {
            self.dark.set(Some(clock::now()));
        }
        self.failures.set(self.failures.get().max(1));
        self.failed(true);
    }

    /// Notes that it gave no answer; whether it is to rest.
    ///
    /// The holder of a key is the only one for it, so slowness is no reason to ask it less.
    pub fn failed(&self, rests: bool) {
        let failures = self.failures.get().saturating_add(1);
        self.failures.set(failures);
        mix(&self.faults, 1.0);
        if failures > 1 && rests {
            let doubled = FIRST_REST.saturating_mul(1 << (failures - 2).min(8));
            self.rest(doubled.min(LONGEST_REST));
        }
    }

    /// Since when it could not be reached, if that is so.
    pub fn dark_since(&self) -> Option<Instant> {
        self.dark.get()
    }

    /// Gives it no requests for a while.
    pub fn rest(&self, time: Duration) {
        self.resting.set(Some(clock::now() + time));
    }

    /// Takes the connection used last, if it was used within `limit`.
    pub fn take(&self, limit: Duration) -> Option<Wire> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(last) = idle.pop() {
            let fresh = now < last.until && last.wire.is_quiet();
            match fresh {
                false => {}
                true if now < last.since + limit => return Some(last.wire),
                true => {
                    idle.push(last);
                    return None;
                }
            }
        }
        None
    }

    /// Closes idle connections until one more fits into `connections`.
    pub fn make_room(&self, connections: u32) {
        let mut idle = self.idle.borrow_mut();
        let excess = self.open(idle.len()).saturating_sub(connections);
        let excess = usize::try_from(excess).unwrap_or(usize::MAX);
        let first = excess.min(idle.len());
        idle.drain(..first);
    }

    /// Connections to it, if each request under way has one.
    fn open(&self, idle: usize) -> u32 {
        let idle = u32::try_from(idle).unwrap_or(u32::MAX);
        idle.saturating_add(self.in_flight.get())
    }

    /// Keeps a connection that has just answered, if that makes no more than `connections`.
    pub fn put(&self, wire: Wire, told: Option<Duration>, connections: u32) {
        let now = clock::now();
        let keep = told.map_or(IDLE_UNTOLD, |t| t.mul_f64(IDLE_PART));
        let mut idle = self.idle.borrow_mut();
        idle.retain(|i| now < i.until);
        if idle.len() < IDLE_KEPT && self.open(idle.len()) <= connections {
            idle.push(Idle {
                wire,
                since: now,
                until: now + keep,
            });
        }
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self, now: Instant) {
        self.idle
            .borrow_mut()
            .retain(|i| now < i.until && i.wire.is_quiet());
    }
}

impl fmt::Debug for Backend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Backend")
            .field("server", &self.server.borrow().incarnation.server)
            .field("in_flight", &self.in_flight.get())
            .finish_non_exhaustive()
    }
}

/// A request under way at a backend server.
#[derive(Debug)]
pub struct Underway {
    backend: Rc<Backend>,
}

impl Drop for Underway {
    fn drop(&mut self) {
        let left = self.backend.in_flight.get().saturating_sub(1);
        self.backend.in_flight.set(left);
        if left == 0 {
            self.backend.silent.set(None);
        }
    }
}

fn mix(average: &Cell<f64>, sample: f64) {
    average.set(average.get() * (1.0 - NEWEST) + sample * NEWEST);
}
