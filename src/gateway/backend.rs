//! State of one backend server as seen by this entry VM.
//!
//! The load that a server reports lags, so local observations weigh more: requests in
//! flight, responses, failures and unanswered requests.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::HeaderValue;

use super::backend_connection::BackendConnection;
use super::capacity::Capacity;
use super::head::ReportedLoad;
use super::peers::codec::{AgedReport, Entry};
use super::peers::{self, Changes, PeerLoads, ServerHash, VmHash};
use super::warmup::Limiter;
use crate::clock;
use crate::fleet::messages::RelativeLatency;
use crate::fleet::{Server, ServerState};

/// Idle timeout of a pooled connection whose server announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Part of the announced idle timeout after which a pooled connection is not used any more.
const IDLE_TIMEOUT_RATIO: f64 = 0.75;

const MAX_IDLE_CONNECTIONS: usize = 8;

/// Weight of a new sample in the moving averages: about ten samples count.
const EWMA_WEIGHT: f64 = 0.12;

/// Backoff after the second consecutive failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Longest backoff, short enough that a recovered server is noticed soon.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Pause after the first sign that a server is overloaded; doubles with each further one and halves
/// with each response.
const MIN_OVERLOAD_PAUSE: Duration = Duration::from_millis(80);

/// Longest such pause.
const MAX_OVERLOAD_PAUSE: Duration = Duration::from_millis(1600);

/// Time in which the reported load of other entry VMs fades to zero.
const REPORTED_LOAD_LIFETIME: Duration = Duration::from_millis(1500);

/// Longest expected time of a request, as a multiple of the average.
const MAX_EXPECTED_RATIO: f64 = 100.0;

/// Connection in the pool.
struct IdleConnection {
    connection: BackendConnection,
    idle_since: Instant,
    expires_at: Instant,
}

/// One backend server.
pub struct Backend {
    server: RefCell<Arc<Server>>,
    warm_at: Instant,
    /// Whether this VM prefers the server to others of its zone.
    preferred: Cell<bool>,
    in_flight: Cell<u32>,
    /// Since when requests are in flight and none was answered.
    silent_since: Cell<Option<Instant>>,
    idle: RefCell<Vec<IdleConnection>>,
    name_hash: ServerHash,
    /// Told when requests start or end, if other entry VMs are told of the server's load.
    changes: RefCell<Option<Rc<Changes>>>,
    /// Requests of other entry VMs that report them.
    peer_loads: RefCell<PeerLoads>,
    /// Last load that the server reported to this VM.
    own_report: Cell<Option<(ReportedLoad, Instant)>>,
    /// Requests of entry VMs that don't report them, according to the last load that the server
    /// reported to this VM or to one that reports.
    other_load: Cell<f64>,
    load_reported_at: Cell<Instant>,
    capacity: RefCell<Capacity>,
    /// Moving average of the request time relative to other servers of the service.
    relative_latency: Cell<f64>,
    /// Number and sum of the relative latencies since they were last taken.
    latency_samples: Cell<u32>,
    latency_sum: Cell<f64>,
    /// Moving average of failed requests, from 0 to 1.
    failure_rate: Cell<f64>,
    consecutive_failures: Cell<u32>,
    backoff_until: Cell<Option<Instant>>,
    unreachable_since: Cell<Option<Instant>>,
    overload_pause: Cell<Duration>,
    overloaded_until: Cell<Option<Instant>>,
    /// When the server was first seen to leave.
    leaving_since: Cell<Option<Instant>>,
    quiet_until: Cell<Option<Instant>>,
    /// Since when this VM knows that the zone of the server is evacuated.
    evacuated_since: Cell<Option<Instant>>,
    limiter: RefCell<Limiter>,
}

impl Backend {
    /// Creates the state of a newly discovered backend server.
    pub fn new(server: Arc<Server>) -> Rc<Self> {
        let now = clock::now();
        let mut limiter = Limiter::default();
        limiter.set_cold(server.warmup, now);
        Rc::new(Self {
            warm_at: now + server.warmup,
            name_hash: peers::server_hash(&server.incarnation.server),
            capacity: RefCell::new(Capacity::new(server.slots)),
            changes: RefCell::default(),
            peer_loads: RefCell::default(),
            own_report: Cell::new(None),
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
            overload_pause: Cell::new(Duration::ZERO),
            overloaded_until: Cell::new(None),
            leaving_since: Cell::new(None),
            quiet_until: Cell::new(None),
            evacuated_since: Cell::new(None),
            limiter: RefCell::new(limiter),
        })
    }

    /// Returns the server's description.
    pub fn server(&self) -> Arc<Server> {
        Arc::clone(&self.server.borrow())
    }

    /// Replaces the description of the same incarnation.
    pub fn update(&self, server: Arc<Server>) {
        self.set_cold(server.warmup);
        *self.server.borrow_mut() = server;
    }

    /// Records that the server is gone, for requests that still wait for it.
    pub fn set_gone(&self) {
        Arc::make_mut(&mut self.server.borrow_mut()).state = ServerState::Gone;
    }

    /// Limits the requests to the server for `duration`, if its service limits those to cold ones.
    pub fn set_cold(&self, duration: Duration) {
        self.limiter.borrow_mut().set_cold(duration, clock::now());
    }

    /// Whether the requests to the server are limited as it is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.limiter.borrow().is_cold(now)
    }

    /// Limit of the requests to the server while it is cold.
    pub(super) fn limiter(&self) -> &RefCell<Limiter> {
        &self.limiter
    }

    /// Whether the server accepts requests.
    pub fn is_ready(&self) -> bool {
        self.server.borrow().state == ServerState::Ready
    }

    /// Whether this VM prefers the server to others of its zone.
    pub fn is_preferred(&self) -> bool {
        self.preferred.get()
    }

    /// Sets whether this VM prefers the server to others of its zone.
    pub fn set_preferred(&self, preferred: bool) {
        self.preferred.set(preferred);
    }

    /// Requests of this VM in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Estimated requests in flight at the server, those of other entry VMs included.
    pub fn load(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.load_reported_at.get());
        let freshness = 1.0 - (age.as_secs_f64() / REPORTED_LOAD_LIFETIME.as_secs_f64()).min(1.0);
        self.counted_load(now) + self.other_load.get() * freshness
    }

    /// Requests in flight of this VM and of those that report theirs.
    fn counted_load(&self, now: Instant) -> f64 {
        f64::from(self.in_flight.get()) + self.peer_loads.borrow().total(now)
    }

    /// Hash of the server's name.
    pub fn name_hash(&self) -> ServerHash {
        self.name_hash
    }

    /// Sets what is told when requests start or end.
    pub fn set_changes(&self, changes: Option<Rc<Changes>>) {
        *self.changes.borrow_mut() = changes;
    }

    /// What this VM reports of the server to other entry VMs.
    pub fn peer_entry(&self, now: Instant) -> Entry {
        let report = self.own_report.get().map(|(load, at)| AgedReport {
            requests: u16::try_from(load.total()).unwrap_or(u16::MAX),
            percent: load.percent.unwrap_or(0),
            age: now.saturating_duration_since(at),
        });
        Entry {
            server: self.name_hash,
            in_flight: u16::try_from(self.in_flight.get()).unwrap_or(u16::MAX),
            report: report.filter(|r| r.age < REPORTED_LOAD_LIFETIME),
        }
    }

    /// Records what another entry VM reports of the server.
    pub fn record_peer(&self, sender: VmHash, entry: &Entry, now: Instant) {
        let mut peer_loads = self.peer_loads.borrow_mut();
        peer_loads.record(sender, entry.in_flight, now);
        drop(peer_loads);
        let mut capacity = self.capacity.borrow_mut();
        let reported_at = |report: &AgedReport| now.checked_sub(report.age);
        let report = entry.report.and_then(|r| Some((r, reported_at(&r)?)));
        if let Some((report, at)) = report.filter(|(_, at)| *at > self.load_reported_at.get()) {
            let other = f64::from(report.requests) - self.counted_load(now);
            self.other_load.set(other.max(0.0));
            self.load_reported_at.set(at);
            capacity.record_percent(report.percent, at);
        }
    }

    /// Request time relative to other servers of the service; doubled during warm-up.
    pub fn relative_latency(&self, now: Instant) -> f64 {
        let warmup_factor = if now < self.warm_at { 2.0 } else { 1.0 };
        let capacity = self.capacity.borrow();
        let relative = if self.shares_load() || capacity.is_reported() {
            capacity.relative_time(now)
        } else {
            self.relative_latency.get()
        };
        relative.max(0.1) * warmup_factor
    }

    /// Whether other entry VMs are told of the server's load.
    pub fn shares_load(&self) -> bool {
        self.changes.borrow().is_some()
    }

    /// Requests in flight, of all entry VMs together, that the server takes well; from 1 to its
    /// slots.
    pub fn room(&self, now: Instant) -> f64 {
        self.capacity.borrow().limit(now)
    }

    /// Expected time of a request that is sent now, of a kind that takes `average` at a server of
    /// usual speed.
    pub fn expected_time(&self, average: Duration, now: Instant) -> Duration {
        let wait = ((self.load(now) + 1.0) / self.room(now)).max(1.0);
        average.mul_f64((self.relative_latency(now) * wait).min(MAX_EXPECTED_RATIO))
    }

    /// Records a response: its time relative to others of its kind, and the load at the server
    /// when it was sent.
    pub fn record_latency(&self, latency: f64, load: f64) {
        let now = clock::now();
        self.capacity
            .borrow_mut()
            .record_response(latency, load, now);
    }

    /// Records that a response didn't arrive in time.
    pub fn record_timeout(&self) {
        self.capacity.borrow_mut().record_overload(clock::now());
    }

    /// Takes the average relative latency since the last call, if there were responses.
    pub fn take_latency(&self) -> Option<RelativeLatency> {
        let (samples, sum) = (self.latency_samples.take(), self.latency_sum.take());
        (samples > 0).then(|| RelativeLatency {
            server: Arc::clone(&self.server.borrow().incarnation.server),
            ratio: (sum / f64::from(samples) * 100.0).round() / 100.0,
            samples,
        })
    }

    /// Share of failed requests, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate.get()
    }

    /// Whether the server gets no requests for a while after failures.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.get().is_some_and(|until| now < until)
    }

    /// How long requests have been in flight with none answered.
    pub fn silence(&self, now: Instant) -> Duration {
        let silent_since = self.silent_since.get();
        silent_since.map_or(Duration::ZERO, |s| now.saturating_duration_since(s))
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn start_request(self: &Rc<Self>) -> InFlightGuard {
        if self.in_flight.get() == 0 {
            self.silent_since.set(Some(clock::now()));
        }
        self.in_flight.set(self.in_flight.get() + 1);
        if let Some(changes) = &*self.changes.borrow() {
            changes.record_start(self.name_hash);
        }
        InFlightGuard {
            backend: Rc::clone(self),
        }
    }

    /// Records a response and its request time relative to the route's average.
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
        self.limiter.borrow_mut().record_response(now);
        self.overload_pause.set(self.overload_pause.get() / 2);
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
            let other = f64::from(load.total()) - self.counted_load(now);
            self.other_load.set(other.max(0.0));
            self.load_reported_at.set(now);
            self.own_report.set(Some((load, now)));
            let percent = load.percent.unwrap_or(0);
            self.capacity.borrow_mut().record_percent(percent, now);
        }
    }

    /// Records a request that was abandoned after `latency`, relative to the route's average; its
    /// response would have taken longer. `load` is that at the server when the request was sent.
    pub fn record_abandoned(&self, latency: f64, load: f64) {
        if latency > self.relative_latency.get() {
            update_average(&self.relative_latency, latency);
        }
        if latency > self.relative_latency(clock::now()) {
            self.record_latency(latency, load);
        }
    }

    /// Records a rejection for lack of capacity.
    pub fn record_full(&self, slots: u32) {
        let now = clock::now();
        self.other_load.set(f64::from(slots) * 2.0);
        self.load_reported_at.set(now);
        self.capacity.borrow_mut().record_overload(now);
    }

    /// Records that the server dropped a new connection unanswered, as it does with those over its
    /// limit.
    ///
    /// Answers the load pattern of a busy key: many entry VMs send to one server, each of them seldom,
    /// and their new connections take the place of responses. The pauses differ at random, so that
    /// the VMs don't return all at once.
    pub fn record_overload(&self) {
        self.capacity.borrow_mut().record_overload(clock::now());
        let pause = self.overload_pause.get().saturating_mul(2);
        let pause = pause.clamp(MIN_OVERLOAD_PAUSE, MAX_OVERLOAD_PAUSE);
        self.overload_pause.set(pause);
        let until = clock::now() + pause.mul_f64(0.5 + fastrand::f64());
        self.overloaded_until.set(Some(until));
    }

    /// Time until the server gets requests again after it was overloaded; zero if it does.
    pub fn overloaded_for(&self, now: Instant) -> Duration {
        let until = self.overloaded_until.get();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records that a response of the server said that it leaves; true the first time.
    ///
    /// A server that leaves does not come back: the state belongs to one incarnation and lasts.
    pub fn record_leaving(&self) -> bool {
        let is_first = self.leaving_since.get().is_none();
        if is_first {
            self.leaving_since.set(Some(clock::now()));
        }
        is_first
    }

    /// Whether a response of the server said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    /// Whether the server may get new requests, `drain` after it was first seen to leave at the
    /// latest.
    pub fn accepts_requests(&self, drain: Duration, now: Instant) -> bool {
        let leaving_since = self.leaving_since.get();
        self.is_ready() && leaving_since.is_none_or(|since| now < since + drain)
    }

    /// Records that the server asked for no requests for `duration`; true unless it had asked
    /// before.
    pub fn record_quiet(&self, duration: Duration) -> bool {
        let now = clock::now();
        let was_quiet = !self.quiet_for(now).is_zero();
        self.quiet_until
            .set(self.quiet_until.get().max(Some(now + duration)));
        !was_quiet
    }

    /// Time for which the server still wants no requests.
    pub fn quiet_for(&self, now: Instant) -> Duration {
        let until = self.quiet_until.get();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Sets since when this VM knows that the zone of the server is evacuated, if it is.
    pub fn set_evacuated(&self, since: Option<Instant>) {
        self.evacuated_since.set(since);
    }

    /// Whether the zone of the server has been evacuated for `grace`.
    ///
    /// A server without keys gets no requests from the start, an owner of keys gets them for as long
    /// as its keys take to move.
    pub fn is_evacuated(&self, grace: Duration, now: Instant) -> bool {
        let since = self.evacuated_since.get();
        since.is_some_and(|since| now >= since + grace)
    }

    /// Records a failed connection attempt.
    pub fn record_unreachable(&self) {
        self.idle.borrow_mut().clear();
        if self.unreachable_since.get().is_none() {
            self.unreachable_since.set(Some(clock::now()));
        }
        self.consecutive_failures
            .set(self.consecutive_failures.get().max(1));
        self.record_failure(true);
    }

    /// Records that a connection broke or couldn't be opened, as after a restart of the server.
    pub fn record_connection_lost(&self) {
        self.limiter.borrow_mut().record_unreachable(clock::now());
    }

    /// Records a request without a response; `backs_off` if the server may back off.
    ///
    /// Only its owner can serve a key, so slowness doesn't reduce the requests to an owner.
    pub fn record_failure(&self, backs_off: bool) {
        let failures = self.consecutive_failures.get().saturating_add(1);
        self.consecutive_failures.set(failures);
        update_average(&self.failure_rate, 1.0);
        if failures > 1 && backs_off {
            let backoff = INITIAL_BACKOFF.saturating_mul(1 << (failures - 2).min(8));
            self.back_off(backoff.min(MAX_BACKOFF));
        }
    }

    /// Since when the server is unreachable, if it is.
    pub fn unreachable_since(&self) -> Option<Instant> {
        self.unreachable_since.get()
    }

    /// Sends the server no requests for `duration`.
    pub fn back_off(&self, duration: Duration) {
        self.backoff_until.set(Some(clock::now() + duration));
    }

    /// Takes the most recently used pooled connection that was idle for less than `max_idle` and
    /// can carry a request with this id.
    pub fn take_idle(
        &self,
        max_idle: Duration,
        request_id: Option<&HeaderValue>,
    ) -> Option<BackendConnection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        for position in (0..idle.len()).rev() {
            let candidate = idle.get(position)?;
            if now >= candidate.idle_since + max_idle {
                return None;
            }
            if candidate.connection.can_carry(request_id) {
                let taken = idle.remove(position);
                if now < taken.expires_at && taken.connection.http.is_idle() {
                    return Some(taken.connection);
                }
            }
        }
        None
    }

    /// Closes pooled connections until one more fits into `max_connections`.
    pub fn evict_idle(&self, max_connections: u32) {
        let mut idle = self.idle.borrow_mut();
        let excess = self
            .connection_count(idle.len())
            .saturating_sub(max_connections);
        let excess = usize::try_from(excess).unwrap_or(usize::MAX);
        let count = excess.min(idle.len());
        idle.drain(..count);
    }

    /// Connections to the server, with one for each request in flight.
    fn connection_count(&self, idle: usize) -> u32 {
        let idle = u32::try_from(idle).unwrap_or(u32::MAX);
        idle.saturating_add(self.in_flight.get())
    }

    /// Returns a connection to the pool if it can carry more requests and the total stays within
    /// `max_connections`.
    pub fn put_idle(
        &self,
        connection: BackendConnection,
        idle_timeout: Option<Duration>,
        max_connections: u32,
    ) {
        let now = clock::now();
        let keep_for = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |t| t.mul_f64(IDLE_TIMEOUT_RATIO));
        let mut idle = self.idle.borrow_mut();
        idle.retain(|i| now < i.expires_at);
        let has_room = idle.len() < MAX_IDLE_CONNECTIONS
            && self.connection_count(idle.len()) <= max_connections;
        if has_room && !connection.is_exhausted() {
            idle.push(IdleConnection {
                connection,
                idle_since: now,
                expires_at: now + keep_for,
            });
        }
    }

    /// Closes pooled connections that have expired.
    pub fn close_expired(&self, now: Instant) {
        self.idle
            .borrow_mut()
            .retain(|i| now < i.expires_at && i.connection.http.is_idle());
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

/// Counts a request as in flight at a backend server until dropped.
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
        if let Some(changes) = &*self.backend.changes.borrow() {
            changes.record_end(self.backend.name_hash);
        }
    }
}

fn update_average(average: &Cell<f64>, sample: f64) {
    average.set(average.get() * (1.0 - EWMA_WEIGHT) + sample * EWMA_WEIGHT);
}
