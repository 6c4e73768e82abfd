//! One backend server as this entry VM sees it.
//!
//! What it says of its load lags, so what counts first is what this VM sees:
//! requests under way, answers, failures and silence.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::head::ReportedLoad;
use crate::clock;
use crate::fleet::messages::Pace;
use crate::fleet::{Server, Standing};
use crate::web::wire::Wire;

/// How long an idle connection is kept if its other end does not say how long it does.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Part of the time told after which an idle connection is not used any more.
const IDLE_TIMEOUT_RATIO: f64 = 0.75;

/// Idle connections kept.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Weight of the newest sample in running averages: some ten samples count.
const EWMA_WEIGHT: f64 = 0.12;

/// First time without requests after a failure; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Longest time without requests: one that is back is found again soon.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Time in which what others have under way at a server is forgotten.
const REPORTED_LOAD_LIFETIME: Duration = Duration::from_millis(1500);

/// A kept connection.
struct IdleConnection {
    wire: Wire,
    idle_since: Instant,
    expires_at: Instant,
}

/// One backend server.
pub struct Backend {
    server: RefCell<Arc<Server>>,
    warm_at: Instant,
    /// Whether this VM takes it before others of its zone.
    preferred: Cell<bool>,
    in_flight: Cell<u32>,
    /// Since when requests are under way and none was answered.
    silent_since: Cell<Option<Instant>>,
    idle: RefCell<Vec<IdleConnection>>,
    /// Requests of others, as told by the last answer, and when.
    other_load: Cell<f64>,
    load_reported_at: Cell<Instant>,
    /// Time that it takes for a request, against other servers of its service.
    relative_latency: Cell<f64>,
    /// Answers since its pace was last told, and the sum of their times.
    latency_samples: Cell<u32>,
    latency_sum: Cell<f64>,
    /// Part of its requests that fail.
    failure_rate: Cell<f64>,
    consecutive_failures: Cell<u32>,
    backoff_until: Cell<Option<Instant>>,
    /// Since when it could not be reached.
    unreachable_since: Cell<Option<Instant>>,
}

impl Backend {
    /// A backend server that was just heard of.
    pub fn new(server: Arc<Server>) -> Rc<Self> {
        let now = clock::now();
        Rc::new(Self {
            warm_at: now + server.cold,
            server: RefCell::new(server),
            preferred: Cell::new(true),
            in_flight: Cell::new(0),
            silent_since: Cell::new(None),
            idle: RefCell::default(),
            other_load: Cell::new(0.0),
            load_reported_at: Cell::new(now),
            relative_latency: Cell::new(1.0),
            latency_samples: Cell::new(0),
            latency_sum: Cell::new(0.0),
            failure_rate: Cell::new(0.0),
            consecutive_failures: Cell::new(0),
            backoff_until: Cell::new(None),
            unreachable_since: Cell::new(None),
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
        self.server.borrow().standing == Standing::Ready
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
        let age = now.saturating_duration_since(self.load_reported_at.get());
        let freshness = 1.0 - (age.as_secs_f64() / REPORTED_LOAD_LIFETIME.as_secs_f64()).min(1.0);
        f64::from(self.in_flight.get()) + self.other_load.get() * freshness
    }

    /// Time that it takes for a request, against other servers of its service.
    pub fn relative_latency(&self, now: Instant) -> f64 {
        let warmup_factor = if now < self.warm_at { 2.0 } else { 1.0 };
        self.relative_latency.get().max(0.1) * warmup_factor
    }

    /// Its pace in the answers since this was last asked, if there were any.
    pub fn take_latency(&self) -> Option<Pace> {
        let (samples, sum) = (self.latency_samples.take(), self.latency_sum.take());
        (samples > 0).then(|| Pace {
            server: Arc::clone(&self.server.borrow().life.server),
            pace: (sum / f64::from(samples) * 100.0).round() / 100.0,
            samples,
        })
    }

    /// Part of its requests that fail.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate.get()
    }

    /// Whether it gets no requests for a while, after failures.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.get().is_some_and(|until| now < until)
    }

    /// How long requests have been under way with none answered.
    pub fn silence(&self, now: Instant) -> Duration {
        let silent_since = self.silent_since.get();
        silent_since.map_or(Duration::ZERO, |s| now.saturating_duration_since(s))
    }

    /// Counts a request as under way until the guard is dropped.
    pub fn start_request(self: &Rc<Self>) -> InFlightGuard {
        if self.in_flight.get() == 0 {
            self.silent_since.set(Some(clock::now()));
        }
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard {
            backend: Rc::clone(self),
        }
    }

    /// Notes an answer, and the time it took against what its route takes elsewhere.
    pub fn record_response(
        &self,
        latency: Option<f64>,
        reported: Option<ReportedLoad>,
        failed: bool,
    ) {
        let now = clock::now();
        self.silent_since
            .set(Some(now).filter(|_| self.in_flight.get() > 0));
        self.unreachable_since.set(None);
        if !failed {
            self.consecutive_failures.set(0);
            self.backoff_until.set(None);
        }
        update_average(&self.failure_rate, f64::from(u8::from(failed)));
        if let Some(latency) = latency {
            update_average(&self.relative_latency, latency);
            self.latency_samples
                .set(self.latency_samples.get().saturating_add(1));
            self.latency_sum.set(self.latency_sum.get() + latency);
        }
        if let Some(load) = reported {
            let total = f64::from(load.running.saturating_add(load.waiting));
            self.other_load
                .set((total - f64::from(self.in_flight.get())).max(0.0));
            self.load_reported_at.set(now);
        }
    }

    /// Notes that it refused a request because it had no room.
    pub fn record_full(&self, slots: u32) {
        self.other_load.set(f64::from(slots) * 2.0);
        self.load_reported_at.set(clock::now());
    }

    /// Notes that it could not be reached.
    pub fn record_unreachable(&self) {
        self.idle.borrow_mut().clear();
        if self.unreachable_since.get().is_none() {
            self.unreachable_since.set(Some(clock::now()));
        }
        self.consecutive_failures
            .set(self.consecutive_failures.get().max(1));
        self.record_failure(true);
    }

    /// Notes that it gave no answer; whether it is to rest.
    ///
    /// The holder of a key is the only one for it, so slowness is no reason to ask it less.
    pub fn record_failure(&self, backs_off: bool) {
        let failures = self.consecutive_failures.get().saturating_add(1);
        self.consecutive_failures.set(failures);
        update_average(&self.failure_rate, 1.0);
        if failures > 1 && backs_off {
            let backoff = INITIAL_BACKOFF.saturating_mul(1 << (failures - 2).min(8));
            self.back_off(backoff.min(MAX_BACKOFF));
        }
    }

    /// Since when it could not be reached, if that is so.
    pub fn unreachable_since(&self) -> Option<Instant> {
        self.unreachable_since.get()
    }

    /// Gives it no requests for a while.
    pub fn back_off(&self, duration: Duration) {
        self.backoff_until.set(Some(clock::now() + duration));
    }

    /// Takes the connection used last, if it was used within `limit`.
    pub fn take_idle(&self, max_idle: Duration) -> Option<Wire> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(last) = idle.pop() {
            let usable = now < last.expires_at && last.wire.is_quiet();
            match usable {
                false => {}
                true if now < last.idle_since + max_idle => return Some(last.wire),
                true => {
                    idle.push(last);
                    return None;
                }
            }
        }
        None
    }

    /// Closes idle connections until one more fits into `connections`.
    pub fn evict_idle(&self, max_connections: u32) {
        let mut idle = self.idle.borrow_mut();
        let excess = self
            .connection_count(idle.len())
            .saturating_sub(max_connections);
        let excess = usize::try_from(excess).unwrap_or(usize::MAX);
        let count = excess.min(idle.len());
        idle.drain(..count);
    }

    /// Connections to it, if each request under way has one.
    fn connection_count(&self, idle: usize) -> u32 {
        let idle = u32::try_from(idle).unwrap_or(u32::MAX);
        idle.saturating_add(self.in_flight.get())
    }

    /// Keeps a connection that has just answered, if that makes no more than `connections`.
    pub fn put_idle(&self, wire: Wire, idle_timeout: Option<Duration>, max_connections: u32) {
        let now = clock::now();
        let keep_for = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |t| t.mul_f64(IDLE_TIMEOUT_RATIO));
        let mut idle = self.idle.borrow_mut();
        idle.retain(|i| now < i.expires_at);
        if idle.len() < MAX_IDLE_CONNECTIONS && self.connection_count(idle.len()) <= max_connections
        {
            idle.push(IdleConnection {
                wire,
                idle_since: now,
                expires_at: now + keep_for,
            });
        }
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self, now: Instant) {
        self.idle
            .borrow_mut()
            .retain(|i| now < i.expires_at && i.wire.is_quiet());
    }
}

impl fmt::Debug for Backend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Backend")
            .field("server", &self.server.borrow().life.server)
            .field("in_flight", &self.in_flight.get())
            .finish_non_exhaustive()
    }
}

/// A request under way at a backend server.
#[derive(Debug)]
pub struct InFlightGuard {
    backend: Rc<Backend>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let remaining = self.backend.in_flight.get().saturating_sub(1);
        self.backend.in_flight.set(remaining);
        if remaining == 0 {
            self.backend.silent_since.set(None);
        }
    }
}

fn update_average(average: &Cell<f64>, sample: f64) {
    average.set(average.get() * (1.0 - EWMA_WEIGHT) + sample * EWMA_WEIGHT);
}
