//! The leader's coordinator: heartbeats, leases, and changes of the table.

use std::cell::{RefCell, RefMut};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::leases::Leases;
use super::load::LoadCounts;
use super::messages::{Heartbeat, Leave, Observations, Renewal};
use super::model::{Incarnation, Server, ServerState};
use super::reassign;
use super::store::{Change, Store};
use crate::clock;
use crate::control::command::{Applied, Command};
use crate::control::propose;
use crate::control::state::State;
use crate::ids;
use crate::log;
use crate::notify::Notify;
use crate::table;
use crate::timeline::{Event, Journal};

/// Time between looks at the ranges.
const TICK: Duration = Duration::from_millis(100);

/// The same when a backend server has said that it leaves: many do at once, and one
/// look at all ranges serves them.
const URGED: Duration = Duration::from_millis(25);

/// Time between looks at the balance; a move takes about a second to come into force.
const EVEN_EVERY: Duration = Duration::from_millis(500);

/// Silence after which a backend server gets no further keys: two heartbeats.
pub(super) const QUIET_AFTER: Duration = Duration::from_secs(2);

/// Silence after which one that holds no keys is taken for gone: longer than any cut.
const FORGET_AFTER: Duration = Duration::from_secs(40);

/// Longest that the answer to a heartbeat is held back for keys that are about to be free.
///
/// A backend server waits a second for it, of which a detour over another VM takes a part.
const HELD_BACK: Duration = Duration::from_millis(600);

/// Time that the first backend servers get to heartbeat before keys are dealt out.
const GATHER: Duration = Duration::from_millis(2500);

/// What is left of a counted request after one look at the balance.
const FADE: f64 = 0.88;

/// VmRole of a backend server's latency that one more sample leaves: some fifteen samples count,
/// which come in a few seconds, and their mean is off by a seventh.
const NEWEST: f64 = 0.935;

/// Why the coordinator has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// Another VM leads, or none.
    NotLeader,
    /// It may or may not have been done.
    Unsure,
    /// The message can't be right.
    Malformed(Arc<str>),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader => f.write_str("this VM does not lead"),
            Self::Unsure => f.write_str("it may or may not have been done"),
            Self::Malformed(reason) => write!(f, "malformed: {reason}"),
        }
    }
}

impl std::error::Error for RequestError {}

/// What the leader does for backend servers and operators.
pub struct Coordinator {
    pub(super) log: log::Handle,
    pub(super) state: State,
    pub(super) journal: Journal,
    /// Longest lease of a backend server.
    length: Duration,
    leases: RefCell<Option<Leases>>,
    pub(super) loads: RefCell<LoadCounts>,
    /// When the first heartbeat for a service came.
    first: RefCell<Option<Instant>>,
    /// Wakes the next look at the ranges.
    urged: Notify,
    /// Reports whose answers are held back for keys that are about to be free.
    pub(super) waiting: RefCell<HashMap<Incarnation, Rc<Notify>>>,
    /// Time that backend servers take for a request, against others of their service.
    pub(super) latencies: RefCell<HashMap<ids::ServerName, f64>>,
}

impl Coordinator {
    /// A coordinator over a log and its state; leases are at most `length` long.
    pub fn new(log: log::Handle, state: State, journal: Journal, length: Duration) -> Rc<Self> {
        Rc::new(Self {
            log,
            state,
            journal,
            length,
            leases: RefCell::default(),
            loads: RefCell::default(),
            first: RefCell::default(),
            latencies: RefCell::default(),
            urged: Notify::default(),
            waiting: RefCell::default(),
        })
    }

    /// Takes a change of the table.
    ///
    /// # Errors
    ///
    /// [`RequestError::Unsure`] if the change may yet be accepted.
    pub async fn change_table(
        &self,
        change: table::Change,
    ) -> Result<table::Outcome, RequestError> {
        let version = change.version;
        match self.put(Command::Table(change)).await? {
            Applied::Table(applied) => {
                let detail = format!("version {version} {applied:?}");
                self.journal
                    .record(Event::new("table.change").detail(&detail));
                Ok(applied)
            }
            _ => Err(RequestError::Unsure),
        }
    }

    /// A log position that reflects all that was acknowledged before the call.
    ///
    /// # Errors
    ///
    /// [`RequestError::NotLeader`] if this VM can't be sure that it leads.
    pub async fn read_position(&self) -> Result<ids::LogIndex, RequestError> {
        let barrier = self.log.read_barrier().await;
        barrier.map_err(|_| RequestError::NotLeader)
    }

    /// Makes a VM known.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if that can't be done here and now.
    pub async fn register_vm(&self, vm: super::Vm) -> Result<(), RequestError> {
        self.fleet(Change::Vm(vm)).await
    }

    /// Takes in what entry VMs saw.
    pub fn record_observations(&self, observations: &Observations) {
        let mut all = self.loads.borrow_mut();
        observations.loads.iter().for_each(|l| all.add(l));
        let mut latencies = self.latencies.borrow_mut();
        for latency in &observations.latencies {
            let known = latencies
                .entry(Arc::clone(&latency.server))
                .or_insert(latency.ratio);
            let weight = NEWEST.powi(i32::try_from(latency.samples).unwrap_or(i32::MAX));
            *known = *known * weight + latency.ratio * (1.0 - weight);
        }
    }

    /// Answers the heartbeat of a backend server.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if nothing may be renewed here and now.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Renewal, RequestError> {
        let received = clock::now();
        let since = self.log.leading_since().ok_or(RequestError::NotLeader)?;
        self.first.borrow_mut().get_or_insert(received);
        let index = self.log.applied();
        let incarnation = heartbeat.incarnation().clone();
        if !self
            .leases(since)
            .record_heartbeat(&heartbeat, index, received)
        {
            return Ok(Renewal::default());
        }
        self.announce(&heartbeat).await?;
        let service = &heartbeat.server.service;
        if !self.state.table.borrow().is_sharded(service) {
            return Ok(Renewal::default());
        }
        self.free(since, service, &incarnation).await?;
        let state = self.fleet_ref(|store| store.incarnation(&incarnation).map(|s| s.state));
        match state {
            Some(ServerState::Ready) => {
                self.assign(since, service, &incarnation).await?;
                self.await_keys(since, service, &incarnation, received + HELD_BACK)
                    .await?;
            }
            Some(_) => self.urged.wake(),
            None => return Ok(Renewal::default()),
        }
        if self.log.leading_since() != Some(since) {
            return Err(RequestError::NotLeader);
        }
        self.leases(since).record_grant(&incarnation, received);
        let lease =
            self.fleet_ref(|store| reassign::lease(store, service, &incarnation, self.length));
        Ok(Renewal {
            lease: Some(lease),
            report_to: None,
        })
    }

    /// Notes that a backend server leaves.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if that can't be made durable here and now.
    pub async fn leave(&self, leave: Leave) -> Result<(), RequestError> {
        self.log.leading_since().ok_or(RequestError::NotLeader)?;
        let server = self.fleet_ref(|store| store.server(&leave.server).map(Arc::clone));
        let named = |s: &Arc<Server>| leave.start_ms.is_none_or(|b| b == s.incarnation.start_ms);
        let Some(server) = server.filter(named) else {
            return Ok(());
        };
        self.stand(&server.incarnation, ServerState::Left).await?;
        self.urged.wake();
        Ok(())
    }

    /// Watches ranges and backend servers while this VM leads, for ever.
    pub async fn run(self: Rc<Self>) {
        let mut evened = clock::now();
        loop {
            monoio::time::sleep(URGED).await;
            self.urged.wait(TICK.saturating_sub(URGED)).await;
            if self.log.is_stopped() {
                return;
            }
            let Some(since) = self.log.leading_since() else {
                continue;
            };
            let now = clock::now();
            let even = now >= evened + EVEN_EVERY;
            if even {
                evened = now;
            }
            self.look(since, even).await;
        }
    }

    async fn look(self: &Rc<Self>, since: Instant, even: bool) {
        let services: Vec<_> = {
            let table = self.state.table.borrow();
            let services = table.current().into_iter().flat_map(|t| &t.services);
            let owned = services.filter(|s| s.sharded);
            owned.map(|s| Arc::clone(&s.name)).collect()
        };
        let first = *self.first.borrow();
        let gathered = first.is_some_and(|f| clock::now() >= f + GATHER);
        for service in services.iter().filter(|_| gathered) {
            self.wake_waiting(since, service);
            if let Err(refusal) = self.settle(since, service, even).await {
                ::log::warn!("event=fleet.plan service={service:?} refused={refusal:?}");
            }
        }
        if even {
            self.loads.borrow_mut().decay(FADE);
            self.forget(since).await;
        }
    }

    /// Takes backend servers without keys for gone that were silent for long.
    async fn forget(&self, since: Instant) {
        let now = clock::now();
        let silent: Vec<_> = {
            let leases = self.leases(since);
            let forgotten = |s: &Server| leases.is_silent(&s.incarnation, FORGET_AFTER, now);
            self.fleet_ref(|store| {
                let servers = store.servers.values().map(|v| &v.value);
                let known = servers.filter(|s| s.state != ServerState::Gone && forgotten(s));
                known.map(|s| s.incarnation.clone()).collect()
            })
        };
        for incarnation in silent {
            self.gone(&incarnation, "silent for long").await;
        }
    }

    async fn gone(&self, incarnation: &Incarnation, reason: &str) {
        if let Err(refusal) = self.stand(incarnation, ServerState::Gone).await {
            ::log::warn!("event=fleet.gone refused={refusal:?}");
            return;
        }
        let event = Event::new("fleet.gone").server(&incarnation.server);
        self.journal.record(event.detail(reason));
    }

    /// Makes what a heartbeat says of its sender known, if it is new.
    async fn announce(&self, heartbeat: &Heartbeat) -> Result<(), RequestError> {
        let known = {
            let store = self.state.fleet.borrow();
            let known = store.servers.get(&heartbeat.incarnation().server);
            known.map(|v| Arc::clone(&v.value))
        };
        let same = known.filter(|k| k.incarnation == *heartbeat.incarnation());
        let Some(known) = same else {
            let event = Event::new("fleet.announced")
                .server(&heartbeat.incarnation().server)
                .service(&heartbeat.server.service);
            self.journal.record(event);
            return self.fleet(Change::Announce(heartbeat.server.clone())).await;
        };
        if known.service != heartbeat.server.service || known.address != heartbeat.server.address {
            return Err(RequestError::Malformed("another service or address".into()));
        }
        match (known.state, heartbeat.server.state) {
            (ServerState::Ready, ServerState::Draining) => {
                self.stand(&known.incarnation, ServerState::Draining).await
            }
            _ => Ok(()),
        }
    }

    async fn stand(
        &self,
        incarnation: &Incarnation,
        state: ServerState,
    ) -> Result<(), RequestError> {
        let event = Event::new("fleet.stand").server(&incarnation.server);
        self.journal.record(event.detail(&format!("{state:?}")));
        let incarnation = incarnation.clone();
        self.fleet(Change::SetState { incarnation, state }).await
    }

    pub(super) async fn fleet(&self, change: Change) -> Result<(), RequestError> {
        self.put(Command::Fleet(change)).await.map(|_| ())
    }

    async fn put(&self, command: Command) -> Result<Applied, RequestError> {
        let applied = propose::propose(&self.log, &command).await;
        applied.map_err(|e| match e {
            log::ProposeError::NotLeader { .. } => RequestError::NotLeader,
            log::ProposeError::Unsure | log::ProposeError::Stopped => RequestError::Unsure,
        })
    }

    pub(super) fn fleet_ref<T, F>(&self, look: F) -> T
    where
        F: FnOnce(&Store) -> T,
    {
        look(&self.state.fleet.borrow())
    }

    /// What is known of leases since this VM leads.
    pub(super) fn leases(&self, since: Instant) -> RefMut<'_, Leases> {
        RefMut::map(self.leases.borrow_mut(), |leases| {
            let current = leases.take().filter(|l| l.leading_since() == since);
            leases.insert(current.unwrap_or_else(|| Leases::new(self.length, since)))
        })
    }
}

impl fmt::Debug for Coordinator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Coordinator").finish_non_exhaustive()
    }
}
