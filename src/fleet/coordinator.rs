//! The leader's coordinator: heartbeats and leases of backend servers, changes of the table.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::cold::ColdServers;
use super::delivery::Clients;
use super::evacuation;
use super::grant_client::CallFormat;
use super::leases::{self, InheritedLeases, Leases};
use super::load::LoadCounts;
use super::messages::{Heartbeat, Observations, Renewal};
use super::model::{Incarnation, Server, ServerState, Vm};
use super::plan;
use super::reassign;
use super::registration::{self, Registration};
use super::store::{Change, Effect, Ordered, Store};
use crate::clock;
use crate::control::command::{Applied, Command};
use crate::control::propose;
use crate::control::state::State;
use crate::ids;
use crate::log;
use crate::notify::Notify;
use crate::table::{self, Delivery};
use crate::timeline::{Event, Journal};

/// Time between two passes over the key ranges.
const PASS_INTERVAL: Duration = Duration::from_millis(100);

/// Least time between two passes when backend servers leave: many leave at once, and one pass
/// over all ranges serves them all.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(25);

/// Time between two rebalancings of a service whose keys are delivered by heartbeats: a move takes
/// about a second to take effect.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two rebalancings of a service whose keys are delivered by calls.
const CALL_REBALANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Rebalancing intervals after which a request counts little, if there are enough requests.
const LOAD_INTERVALS: f64 = 8.0;

/// Counted requests per backend server at which older ones count little.
const ENOUGH_REQUESTS: f64 = 40.0;

/// Greatest factor by which requests count for longer if there are few.
const MAX_LOAD_STRETCH: f64 = 8.0;

/// Time without heartbeats after which a backend server gets no more keys: two intervals between
/// heartbeats.
pub(super) const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Time without heartbeats after which a backend server counts as gone: longer than any network
/// partition, and long after it has lost its keys.
const GONE_LIMIT: Duration = Duration::from_secs(40);

/// Longest delay of the response to a heartbeat while keys are about to become free.
///
/// A backend server waits a second for the response, and forwarding by another VM takes part of it.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(600);

/// Time in which the first backend servers can send a heartbeat before keys are assigned.
const STARTUP_DELAY: Duration = Duration::from_millis(2500);

/// Weight that a relative latency keeps per new sample: about fifteen samples count, which
/// arrive within a few seconds, and their mean is off by a seventh.
const SAMPLE_DECAY: f64 = 0.935;

/// Why a request to the control VMs failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// This VM is not the leader; another one or none is.
    NotLeader,
    /// The outcome is unknown: the request may or may not have taken effect.
    Unsure,
    /// The request is invalid.
    Malformed(Arc<str>),
    /// The request had no effect because it can't be stored now; holds the reason.
    Unavailable(Arc<str>),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader => f.write_str("this VM does not lead"),
            Self::Unsure => f.write_str("it may or may not have been done"),
            Self::Malformed(reason) => write!(f, "malformed: {reason}"),
            Self::Unavailable(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for RequestError {}

/// Handles requests of backend servers and operators on the leader.
pub struct Coordinator {
    pub(super) log: log::Handle,
    pub(super) state: State,
    pub(super) journal: Journal,
    pub(super) max_lease: Duration,
    /// How calls to backend servers are written.
    pub(super) format: CallFormat,
    /// Connections for calls to backend servers.
    pub(super) clients: RefCell<Clients>,
    leases: RefCell<Option<Leases>>,
    pub(super) loads: RefCell<LoadCounts>,
    /// When each service was last rebalanced.
    rebalanced: RefCell<HashMap<ids::ServiceName, Instant>>,
    /// When the first heartbeat was received.
    first_heartbeat: RefCell<Option<Instant>>,
    /// Wakes the next pass early.
    pass_needed: Notify,
    /// Whether an early pass was asked for since the last one began.
    pass_requested: Cell<bool>,
    /// Heartbeats whose responses are delayed until keys become free.
    pub(super) delayed: RefCell<HashMap<Incarnation, Rc<Notify>>>,
    /// Smoothed relative latency of each backend server.
    pub(super) latencies: RefCell<HashMap<ids::ServerName, f64>>,
    /// Until when backend servers are cold.
    cold: RefCell<ColdServers>,
    /// Backend servers whose state is being set to draining, as they said that they leave.
    marking: RefCell<HashSet<Incarnation>>,
    /// Incarnations that another one displaces by a change that is being committed; they get no
    /// leases.
    displacing: RefCell<HashSet<Incarnation>>,
    /// Incarnations whose name or address another one has claimed since their last heartbeat.
    pub(super) contested: RefCell<HashSet<Incarnation>>,
    /// Evacuations of zones that are under way.
    pub(super) evacuations: RefCell<evacuation::Progress>,
}

impl Coordinator {
    /// Creates a coordinator for a log and its state; `max_lease` limits the leases.
    pub fn new(
        log: log::Handle,
        state: State,
        journal: Journal,
        max_lease: Duration,
        format: CallFormat,
    ) -> Rc<Self> {
        Rc::new(Self {
            format,
            clients: RefCell::default(),
            log,
            state,
            journal,
            max_lease,
            leases: RefCell::default(),
            loads: RefCell::default(),
            rebalanced: RefCell::default(),
            first_heartbeat: RefCell::default(),
            latencies: RefCell::default(),
            cold: RefCell::default(),
            marking: RefCell::default(),
            displacing: RefCell::default(),
            contested: RefCell::default(),
            evacuations: RefCell::default(),
            pass_needed: Notify::default(),
            pass_requested: Cell::default(),
            delayed: RefCell::default(),
        })
    }

    /// Changes the routing table.
    ///
    /// # Errors
    ///
    /// [`RequestError::Unsure`] if the change may still be accepted.
    pub async fn change_table(
        &self,
        change: table::Change,
    ) -> Result<table::Outcome, RequestError> {
        let version = change.version;
        let size = table::size::check(self.state.table.borrow().current().map(|t| &**t), &change);
        if let Err(error) = size {
            let detail = format!("version {version} {error}");
            self.journal
                .record(Event::new("table.too_large").detail(&detail));
            return Err(RequestError::Malformed(error.to_string().into()));
        }
        match self.propose(Command::Table(change)).await? {
            Applied::Table(outcome) => {
                let detail = format!("version {version} {outcome:?}");
                self.journal
                    .record(Event::new("table.change").detail(&detail));
                Ok(outcome)
            }
            _ => Err(RequestError::Unsure),
        }
    }

    /// Log index of a state that contains every change acknowledged before the call.
    ///
    /// # Errors
    ///
    /// [`RequestError::NotLeader`] if this VM can't confirm that it is the leader.
    pub async fn read_position(&self) -> Result<ids::LogIndex, RequestError> {
        let barrier = self.log.read_barrier().await;
        barrier.map_err(|_| RequestError::NotLeader)
    }

    /// Registers a VM.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if the change was not or may not have been committed.
    pub async fn register_vm(&self, vm: Ordered<Vm>) -> Result<(), RequestError> {
        self.propose_fleet(Change::Vm(vm)).await
    }

    /// Adds the observations of entry VMs to the loads and relative latencies.
    pub fn record_observations(self: &Rc<Self>, observations: &Observations) {
        let mut loads = self.loads.borrow_mut();
        observations.loads.iter().for_each(|l| loads.add(l));
        let mut latencies = self.latencies.borrow_mut();
        for latency in &observations.latencies {
            let smoothed = latencies
                .entry(Arc::clone(&latency.server))
                .or_insert(latency.ratio);
            let weight = SAMPLE_DECAY.powi(i32::try_from(latency.samples).unwrap_or(i32::MAX));
            *smoothed = *smoothed * weight + latency.ratio * (1.0 - weight);
        }
        for incarnation in &observations.leaving {
            if self.marking.borrow_mut().insert(incarnation.clone()) {
                let (coordinator, incarnation) = (Rc::clone(self), incarnation.clone());
                monoio::spawn(async move {
                    coordinator.mark_leaving(&incarnation).await;
                    coordinator.marking.borrow_mut().remove(&incarnation);
                });
            }
        }
    }

    /// Records that a backend server drains, as its responses say that it leaves.
    ///
    /// Entry VMs report it until they see the change, so a failed one is not repeated here.
    async fn mark_leaving(&self, incarnation: &Incarnation) {
        let state = self.with_fleet(|store| store.incarnation(incarnation).map(|s| s.state));
        if state != Some(ServerState::Ready) {
            return;
        }
        match self.set_state(incarnation, ServerState::Draining).await {
            Ok(()) => self.request_pass(),
            Err(error) => ::log::info!(
                "event=fleet.leaving_lost server={:?} refused={error:?}",
                incarnation.server
            ),
        }
    }

    /// Handles the heartbeat of a backend server and renews its lease.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if this VM is not the leader, a change failed or the heartbeat is invalid.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Renewal, RequestError> {
        let received = clock::now();
        let leading_since = self.log.leading_since().ok_or(RequestError::NotLeader)?;
        self.first_heartbeat.borrow_mut().get_or_insert(received);
        let incarnation = heartbeat.incarnation().clone();
        if !self.register(leading_since, &heartbeat, received).await? {
            return Ok(Renewal::default());
        }
        let applied_index = self.log.applied_index();
        if !self
            .leases(leading_since)
            .record_heartbeat(&heartbeat, applied_index, received)
        {
            return Ok(Renewal::default());
        }
        self.record_draining(&heartbeat).await?;
        self.announce_warmup(&heartbeat.server).await?;
        let service = &heartbeat.server.service;
        if !self.state.table.borrow().is_sharded(service) {
            return Ok(Renewal::default());
        }
        if self.delivery(service) == Delivery::Call {
            if heartbeat.server.state != ServerState::Ready {
                self.request_pass();
            }
            return Ok(Renewal::default());
        }
        self.release_ranges(leading_since, service, &incarnation)
            .await?;
        let state = self.with_fleet(|store| store.incarnation(&incarnation).map(|s| s.state));
        match state {
            Some(ServerState::Ready)
                if !self.with_fleet(|store| store.accepts_keys(&incarnation)) => {}
            Some(ServerState::Ready) => {
                self.assign_ranges(leading_since, service, &incarnation)
                    .await?;
                self.await_ranges(
                    leading_since,
                    service,
                    &incarnation,
                    received + MAX_RESPONSE_DELAY,
                )
                .await?;
            }
            Some(_) => self.pass_needed.wake(),
            None => return Ok(Renewal::default()),
        }
        if self.log.leading_since() != Some(leading_since) {
            return Err(RequestError::NotLeader);
        }
        if !self.is_present(&incarnation) {
            return Ok(Renewal::default());
        }
        let duration = self.lease_duration(service);
        self.leases(leading_since)
            .record_grant(&incarnation, duration, received);
        let lease =
            self.with_fleet(|store| reassign::lease(store, service, &incarnation, duration));
        Ok(Renewal {
            lease: Some(lease),
            heartbeat_address: None,
        })
    }

    /// Asks for a pass over the key ranges as soon as one may begin.
    pub(super) fn request_pass(&self) {
        self.pass_requested.set(true);
        self.pass_needed.wake();
    }

    /// Runs passes over key ranges and backend servers while this VM leads, until the log stops.
    pub async fn run(self: Rc<Self>) {
        let mut cleaned = clock::now();
        loop {
            monoio::time::sleep(MIN_PASS_INTERVAL).await;
            if !self.pass_requested.get() {
                self.pass_needed
                    .wait(PASS_INTERVAL.saturating_sub(MIN_PASS_INTERVAL))
                    .await;
            }
            self.pass_requested.set(false);
            if self.log.is_stopped() {
                return;
            }
            let Some(leading_since) = self.log.leading_since() else {
                continue;
            };
            let now = clock::now();
            self.run_pass(leading_since).await;
            if now >= cleaned + REBALANCE_INTERVAL {
                cleaned = now;
                self.record_warm().await;
                self.prune_links(leading_since);
                self.remove_silent(leading_since).await;
            }
        }
    }

    async fn run_pass(self: &Rc<Self>, leading_since: Instant) {
        let services: Vec<_> = {
            let table = self.state.table.borrow();
            let services = table.current().into_iter().flat_map(|t| &t.services);
            let sharded = services.filter(|s| s.sharded);
            sharded.map(|s| Arc::clone(&s.name)).collect()
        };
        let first_heartbeat = *self.first_heartbeat.borrow();
        let is_ready = first_heartbeat.is_some_and(|first| clock::now() >= first + STARTUP_DELAY);
        for service in services.iter().filter(|_| is_ready) {
            self.wake_delayed(leading_since, service);
            let rebalance = self.is_rebalance_due(service);
            if let Err(error) = self.start_moves(leading_since, service, rebalance).await {
                ::log::warn!("event=fleet.plan service={service:?} refused={error:?}");
            }
            if rebalance {
                self.decay_load(service);
            }
        }
        for service in &services {
            if self.delivery(service) != Delivery::Call {
                continue;
            }
            if let Err(error) = self.deliver(leading_since, service).await {
                ::log::warn!("event=fleet.deliver service={service:?} refused={error:?}");
            }
        }
    }

    /// Whether the load of a service is to be evened out now; true once in each interval.
    fn is_rebalance_due(&self, service: &ids::ServiceName) -> bool {
        let interval = self.rebalance_interval(service);
        let now = clock::now();
        let mut rebalanced = self.rebalanced.borrow_mut();
        let last = rebalanced.entry(Arc::clone(service)).or_insert(now);
        let is_due = now >= *last + interval;
        if is_due {
            *last = now;
        }
        is_due
    }

    /// Least time between two rebalancings of a service.
    pub(super) fn rebalance_interval(&self, service: &str) -> Duration {
        match self.delivery(service) {
            Delivery::Heartbeat => REBALANCE_INTERVAL,
            Delivery::Call => CALL_REBALANCE_INTERVAL,
        }
    }

    /// Makes older requests of a service count less; the fewer there are, the longer they count.
    fn decay_load(&self, service: &ids::ServiceName) {
        let servers = self.with_fleet(|store| store.servers_of(service).count().max(1));
        let mut loads = self.loads.borrow_mut();
        let requests = loads.total(service) / plan::to_f64(servers);
        let stretch = (ENOUGH_REQUESTS / requests.max(1.0)).clamp(1.0, MAX_LOAD_STRETCH);
        loads.decay(service, 1.0 - 1.0 / (LOAD_INTERVALS * stretch));
    }

    /// Marks backend servers as gone that have sent no heartbeat for [`GONE_LIMIT`].
    async fn remove_silent(&self, leading_since: Instant) {
        let now = clock::now();
        let silent: Vec<_> = {
            let leases = self.leases(leading_since);
            let is_expired = |s: &Server| leases.is_silent(&s.incarnation, GONE_LIMIT, now);
            self.with_fleet(|store| {
                let servers = store.servers.values().map(|v| &v.value);
                let expired = servers.filter(|s| s.state != ServerState::Gone && is_expired(s));
                expired.map(|s| s.incarnation.clone()).collect()
            })
        };
        for incarnation in silent {
            self.mark_gone(&incarnation, "no heartbeat for a long time")
                .await;
        }
    }

    async fn mark_gone(&self, incarnation: &Incarnation, reason: &str) {
        if let Err(error) = self.set_state(incarnation, ServerState::Gone).await {
            ::log::warn!("event=fleet.gone refused={error:?}");
            return;
        }
        let event = Event::new("fleet.gone").server(&incarnation.server);
        self.journal.record(event.detail(reason));
    }

    /// Registers the sender of a heartbeat unless it is known; whether the heartbeat counts.
    async fn register(
        &self,
        leading_since: Instant,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Result<bool, RequestError> {
        let incarnation = heartbeat.incarnation();
        let service = &heartbeat.server.service;
        let has_service = self.state.table.borrow().service(service).is_some();
        let decision = {
            let leases = self.leases(leading_since);
            self.with_fleet(|s| registration::decide(heartbeat, has_service, s, &leases, now))
        };
        let (displaced, change) = match decision {
            Registration::Known => {
                self.contested.borrow_mut().remove(incarnation);
                return Ok(self.is_present(incarnation));
            }
            Registration::Ignored | Registration::Outdated => {
                log_ignored(heartbeat);
                return Ok(false);
            }
            Registration::Blocked(by) => {
                self.contested.borrow_mut().extend(by);
                log_ignored(heartbeat);
                return Ok(false);
            }
            Registration::Conflict => {
                return Err(RequestError::Malformed("another service or address".into()));
            }
            Registration::New { displaced, change } => (displaced, change),
        };
        let event = Event::new("fleet.announced")
            .server(&incarnation.server)
            .service(service);
        self.journal.record(event);
        let displacing = |i: &Incarnation| displaced.contains(i);
        self.displacing
            .borrow_mut()
            .extend(displaced.iter().cloned());
        let registered = self.propose_fleet(*change).await;
        self.displacing.borrow_mut().retain(|i| !displacing(i));
        registered.map(|()| self.is_present(incarnation))
    }

    /// Whether an incarnation may be another process by now: it is silent, and one of its name or
    /// address sends heartbeats.
    ///
    /// Grants by calls would otherwise reach the new process under the old one's name, and keep
    /// it from being registered.
    pub(super) fn may_be_replaced(&self, leases: &Leases, incarnation: &Incarnation) -> bool {
        self.contested.borrow().contains(incarnation)
            && leases.is_silent(incarnation, SILENCE_LIMIT, clock::now())
    }

    /// Whether an incarnation is registered and no other one is about to displace it.
    pub(super) fn is_present(&self, incarnation: &Incarnation) -> bool {
        self.with_fleet(|store| store.incarnation(incarnation).is_some())
            && !self.displacing.borrow().contains(incarnation)
    }

    /// Records that the sender of a heartbeat drains, unless that is known.
    async fn record_draining(&self, heartbeat: &Heartbeat) -> Result<(), RequestError> {
        let incarnation = heartbeat.incarnation();
        let registered = self.with_fleet(|store| store.incarnation(incarnation).map(|s| s.state));
        match (registered, heartbeat.server.state) {
            (Some(ServerState::Ready), ServerState::Draining) => {
                self.set_state(incarnation, ServerState::Draining).await
            }
            _ => Ok(()),
        }
    }

    /// Records that the sender of a heartbeat is cold again, or longer than was known.
    async fn announce_warmup(&self, server: &Server) -> Result<(), RequestError> {
        if server.warmup.is_zero() || !self.limits_cold(&server.service) {
            return Ok(());
        }
        let remaining = {
            let mut cold = self.cold.borrow_mut();
            self.with_fleet(|store| cold.news(store, server, clock::now()))
        };
        let Some(remaining) = remaining else {
            return Ok(());
        };
        let event = Event::new("fleet.cold").server(&server.incarnation.server);
        self.journal
            .record(event.detail(&format!("{} ms", remaining.as_millis())));
        self.propose_fleet(Change::Warmup {
            incarnation: server.incarnation.clone(),
            remaining,
        })
        .await
    }

    /// Records which backend servers are cold no longer.
    ///
    /// VMs that start or reconnect get the servers from the log, and would otherwise take all of
    /// them for cold.
    async fn record_warm(&self) {
        let base = self.log.applied_index();
        let incarnations = {
            let mut cold = self.cold.borrow_mut();
            let is_limited = |service: &str| self.limits_cold(service);
            self.with_fleet(|store| cold.take_warm(store, is_limited, clock::now()))
        };
        if incarnations.is_empty() {
            return;
        }
        let change = Change::Warm { incarnations, base };
        if let Err(error) = self.propose_fleet(change).await {
            ::log::warn!("event=fleet.warm refused={error:?}");
        }
    }

    /// Whether a service limits the requests to cold backend servers.
    pub(super) fn limits_cold(&self, service: &str) -> bool {
        let table = self.state.table.borrow();
        table.service(service).is_some_and(|s| s.warmup.is_some())
    }

    async fn set_state(
        &self,
        incarnation: &Incarnation,
        state: ServerState,
    ) -> Result<(), RequestError> {
        let event = Event::new("fleet.stand").server(&incarnation.server);
        self.journal.record(event.detail(&format!("{state:?}")));
        let incarnation = incarnation.clone();
        self.propose_fleet(Change::SetState { incarnation, state })
            .await
    }

    /// Proposes a change whose effect shows in the state.
    pub(super) async fn propose_fleet(&self, change: Change) -> Result<(), RequestError> {
        self.propose_ordered(change).await.map(|_| ())
    }

    pub(super) async fn propose_ordered(&self, change: Change) -> Result<Effect, RequestError> {
        match self.propose(Command::Fleet(change)).await? {
            Applied::Fleet(effect) => Ok(effect),
            _ => Err(RequestError::Unsure),
        }
    }

    async fn propose(&self, command: Command) -> Result<Applied, RequestError> {
        let applied = propose::propose(&self.log, &command).await;
        applied.map_err(|e| match e {
            log::ProposeError::NotLeader { .. } => RequestError::NotLeader,
            log::ProposeError::TooLarge => RequestError::Malformed(e.to_string().into()),
            log::ProposeError::Backlog => RequestError::Unavailable(e.to_string().into()),
            log::ProposeError::OutcomeUnknown | log::ProposeError::Stopped => RequestError::Unsure,
        })
    }

    pub(super) fn with_fleet<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Store) -> T,
    {
        read(&self.state.fleet.borrow())
    }

    /// Leases known since this VM became the leader; resets those of an earlier term.
    pub(super) fn leases(&self, leading_since: Instant) -> RefMut<'_, Leases> {
        RefMut::map(self.leases.borrow_mut(), |leases| {
            let current = leases.take().filter(|l| l.leading_since() == leading_since);
            let new = || {
                let inherited =
                    InheritedLeases::from_tables(&self.state.table.borrow(), self.max_lease);
                ::log::info!("event=fleet.leases_inherited leases={inherited:?}");
                Leases::new(inherited, leading_since, self.log.applied_index())
            };
            leases.insert(current.unwrap_or_else(new))
        })
    }

    /// Duration of leases on the keys of a service.
    pub(super) fn lease_duration(&self, service: &str) -> Duration {
        let target = self.state.table.borrow().longest_target(service);
        leases::lease_duration(target, self.max_lease)
    }

    /// How grants reach the key owners of a service.
    pub(super) fn delivery(&self, service: &str) -> Delivery {
        let table = self.state.table.borrow();
        table
            .service(service)
            .map_or_else(Delivery::default, |s| s.delivery)
    }
}

/// Below the usual level, as another writer may repeat such a heartbeat for as long as it likes.
fn log_ignored(heartbeat: &Heartbeat) {
    let incarnation = heartbeat.incarnation();
    ::log::debug!(
        "event=fleet.heartbeat_ignored server={:?} born={} service={:?} sent_after={}",
        incarnation.server,
        incarnation.start_ms,
        heartbeat.server.service,
        heartbeat.sent_after,
    );
}

impl fmt::Debug for Coordinator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Coordinator").finish_non_exhaustive()
    }
}
