//! What any control VM does for backend servers, operators and entry VMs.
//!
//! A VM that leads answers by itself; another passes the call on to the
//! leader. What entry VMs ask is answered from the own copy of the log, as long
//! as a leader was heard lately.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::coordinator::{Coordinator, RequestError};
use super::encoding::{self, EncodedUpdates};
use super::load::LoadCounts;
use super::messages::{self, Heartbeat, Leave, Observations, RelativeLatency, Renewal};
use super::model::{Incarnation, ServerState, Vm, VmRole};
use super::updates::{self, Poll, Updates};
use crate::clock;
use crate::ids;
use crate::rpc::{self, Answer, CallError, Fault, error, server};
use crate::table;
use crate::timeline::Journal;

/// Longest that a question for news is held open.
///
/// An entry VM that hears nothing takes this and a round trip to look elsewhere,
/// well inside the time within which a change must be in force.
pub const MAX_POLL_WAIT: Duration = Duration::from_millis(800);

/// Longest wait for the leader: callers turn to another VM after a second.
const LEADER_TIMEOUT: Duration = Duration::from_millis(850);

/// Time in which further changes are taken into the same answer: changes come in
/// bursts, and each answer costs every entry VM a wake-up and a packet.
const NEWS_GATHER: Duration = Duration::from_millis(15);

/// Time between two passes of what entry VMs saw to the leader.
pub const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);

/// Time between looks whether the log is applied far enough; entries without commands wake nobody.
const REACH_LOOK: Duration = Duration::from_millis(20);

/// How long an entry VM that starts waits here for a leader: some control VMs may be cut
/// off from it, and the next one is asked after this.
const LEADER_HOLD: Duration = Duration::from_millis(400);

/// Pause before a VM that could not be made known is tried again.
const INTRODUCE_PAUSE: Duration = Duration::from_millis(300);

/// How long an unchanged heartbeat of a server without keys is answered without the leader.
const ANSWERED_HERE: Duration = Duration::from_secs(10);

/// One control VM, as others see it.
pub struct Frontend {
    coordinator: Rc<Coordinator>,
    /// Address of this VM for backend servers and operators; its port is the same on every VM.
    control: SocketAddr,
    journal: Journal,
    peers: RefCell<BTreeMap<SocketAddr, rpc::Peer>>,
    loads: RefCell<LoadCounts>,
    latencies: RefCell<Vec<RelativeLatency>>,
    introducing: RefCell<HashSet<ids::VmName>>,
    passed: RefCell<HashMap<Incarnation, Instant>>,
    encoded: encoding::Cache,
}

impl Frontend {
    /// A frontend before a coordinator.
    pub fn new(coordinator: Rc<Coordinator>, control: SocketAddr, journal: Journal) -> Rc<Self> {
        Rc::new(Self {
            coordinator,
            control,
            journal,
            peers: RefCell::default(),
            loads: RefCell::default(),
            latencies: RefCell::default(),
            introducing: RefCell::default(),
            passed: RefCell::default(),
            encoded: encoding::Cache::default(),
        })
    }

    /// Whether this VM leads.
    fn leads(&self) -> bool {
        self.coordinator.log.leading_since().is_some()
    }

    /// Takes a change of the table.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if there is no clear outcome.
    pub async fn change_table(
        &self,
        change: table::Change,
    ) -> Result<table::Outcome, RequestError> {
        if self.leads() {
            return self.coordinator.change_table(change).await;
        }
        self.pass(messages::CHANGE, &change).await
    }

    /// The newest table; `None` before the first.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if it can't be told which is the newest.
    pub async fn current_table(&self) -> Result<Option<Arc<table::Table>>, RequestError> {
        let position = if self.leads() {
            self.coordinator.read_position().await?
        } else {
            self.pass(messages::POSITION, &()).await?
        };
        self.reach(position).await?;
        let table = self.coordinator.state.table.borrow();
        Ok(table.current().map(Arc::clone))
    }

    /// Waits until the log is applied here up to a position.
    async fn reach(&self, position: ids::LogIndex) -> Result<(), RequestError> {
        let end = clock::now() + LEADER_TIMEOUT;
        while self.coordinator.log.applied() < position {
            let left = end.saturating_duration_since(clock::now());
            if left.is_zero() {
                return Err(RequestError::NotLeader);
            }
            self.coordinator
                .state
                .changed
                .wait(left.min(REACH_LOOK))
                .await;
        }
        Ok(())
    }

    /// Answers the heartbeat of a backend server.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if nothing may be renewed here and now.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Renewal, RequestError> {
        let incarnation = heartbeat.incarnation().clone();
        let zone = Arc::clone(&heartbeat.server.zone);
        let mut renewal = if self.leads() {
            self.coordinator.heartbeat(heartbeat).await?
        } else if self.is_known(&heartbeat) {
            Renewal::default()
        } else {
            let renewal = self.pass(messages::HEARTBEAT, &heartbeat).await?;
            self.passed.borrow_mut().insert(incarnation, clock::now());
            renewal
        };
        renewal.report_to = match renewal.lease {
            Some(_) => self.leader(),
            None => self.near(&zone),
        };
        Ok(renewal)
    }

    /// Control address of the leader.
    fn leader(&self) -> Option<SocketAddr> {
        match self.coordinator.log.leader() {
            Some(leader) => Some(SocketAddr::new(leader.ip(), self.control.port())),
            None => Some(self.control).filter(|_| self.leads()),
        }
    }

    /// Control address of a control VM in a zone.
    fn near(&self, zone: &str) -> Option<SocketAddr> {
        let store = self.coordinator.state.fleet.borrow();
        let mut vms = store.vms().filter(|v| v.role == VmRole::Control);
        let near = vms.find(|v| *v.zone == *zone)?;
        Some(SocketAddr::new(near.address.ip(), self.control.port()))
    }

    /// Notes that a backend server leaves.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if that can't be made durable here and now.
    pub async fn leave(&self, leave: Leave) -> Result<(), RequestError> {
        if self.leads() {
            return self.coordinator.leave(leave).await;
        }
        self.pass(messages::LEAVE, &leave).await
    }

    /// Makes a VM known.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if that can't be made durable here and now.
    pub async fn register_vm(&self, vm: Vm) -> Result<(), RequestError> {
        if self.leads() {
            return self.coordinator.register_vm(vm).await;
        }
        self.pass(messages::VM, &vm).await
    }

    /// Whether a heartbeat says nothing that the leader would want to hear now.
    fn is_known(&self, heartbeat: &Heartbeat) -> bool {
        let server = &heartbeat.server;
        let store = self.coordinator.state.fleet.borrow();
        let table = self.coordinator.state.table.borrow();
        let listed = table.current().into_iter().flat_map(|t| &t.services);
        let keyless = listed
            .into_iter()
            .any(|s| s.name == server.service && !s.sharded);
        let same = store.incarnation(&server.incarnation).is_some_and(|k| {
            k.state == ServerState::Ready
                && k.state == server.state
                && k.address == server.address
                && k.service == server.service
        });
        let passed = self.passed.borrow().get(&server.incarnation).copied();
        let lately = passed.is_some_and(|p| clock::now() < p + ANSWERED_HERE);
        keyless && same && lately && self.coordinator.log.is_current()
    }

    /// Answers a call of another process.
    pub async fn handle_call(self: Rc<Self>, method: Box<str>, body: Box<RawValue>) -> Answer {
        if let Some(answer) = self.coordinator.log.answer(&method, &body).await {
            return answer;
        }
        match &*method {
            updates::POLL => reply(self.poll(server::params(&body)?).await),
            messages::HEARTBEAT if self.leads() => {
                reply(self.coordinator.heartbeat(server::params(&body)?).await)
            }
            messages::LEAVE if self.leads() => {
                reply(self.coordinator.leave(server::params(&body)?).await)
            }
            messages::CHANGE if self.leads() => {
                reply(self.coordinator.change_table(server::params(&body)?).await)
            }
            messages::POSITION if self.leads() => reply(self.coordinator.read_position().await),
            messages::VM if self.leads() => {
                reply(self.coordinator.register_vm(server::params(&body)?).await)
            }
            messages::OBSERVATIONS => {
                self.record_observations(&server::params(&body)?);
                server::result(&())
            }
            other if is_known_method(other) => reply::<()>(Err(RequestError::NotLeader)),
            other => Err(server::unknown(other)),
        }
    }

    /// Answers an entry VM once something changed, or after a while.
    async fn poll(self: &Rc<Self>, poll: Poll) -> Result<EncodedUpdates, RequestError> {
        self.note(&poll);
        let end = clock::now() + MAX_POLL_WAIT;
        if poll.base == 0 {
            self.await_leader().await;
        }
        loop {
            if !self.coordinator.log.is_current() {
                return Err(RequestError::NotLeader);
            }
            if let Some(told) = self.encoded.get(poll.base) {
                return Ok(told);
            }
            let news = self.news(poll.base);
            let left = end.saturating_duration_since(clock::now());
            if !news.is_empty() || left.is_zero() || news.index < poll.base {
                return Ok(self.encoded.encode(poll.base, news));
            }
            if self.coordinator.state.changed.wait(left).await {
                monoio::time::sleep(NEWS_GATHER).await;
            }
        }
    }

    /// Waits a while for a leader, so that entry VMs that start don't ask all control VMs in turn.
    async fn await_leader(&self) {
        let end = clock::now() + LEADER_HOLD;
        while !self.coordinator.log.is_current() && clock::now() < end {
            monoio::time::sleep(REACH_LOOK).await;
        }
    }

    fn news(&self, have: ids::LogIndex) -> Updates {
        let state = &self.coordinator.state;
        let index = self.coordinator.log.applied();
        updates::since(have, index, &state.table.borrow(), &state.fleet.borrow())
    }

    /// Takes in what another VM saw; passed on unless this one leads.
    fn record_observations(&self, observations: &Observations) {
        if self.leads() {
            return self.coordinator.record_observations(observations);
        }
        let mut loads = self.loads.borrow_mut();
        observations.loads.iter().for_each(|l| loads.add(l));
        self.latencies
            .borrow_mut()
            .extend_from_slice(&observations.latencies);
    }

    /// Takes in what an entry VM says of itself.
    fn note(self: &Rc<Self>, poll: &Poll) {
        let known = {
            let store = self.coordinator.state.fleet.borrow();
            store.vms().any(|v| *v == poll.vm)
        };
        let name = &poll.vm.name;
        if !known && self.introducing.borrow_mut().insert(Arc::clone(name)) {
            let (frontend, vm) = (Rc::clone(self), poll.vm.clone());
            monoio::spawn(async move {
                frontend.introduce(&vm).await;
                frontend.introducing.borrow_mut().remove(&vm.name);
            });
        }
    }

    /// Makes a VM known, unless it takes too long; it will be back then.
    async fn introduce(&self, vm: &Vm) {
        if let Err(refusal) = self.register_vm(vm.clone()).await {
            log::info!(
                "event=fleet.vm_unknown vm={:?} refused={refusal:?}",
                vm.name
            );
            monoio::time::sleep(INTRODUCE_PAUSE).await;
        }
    }

    /// Makes this VM known and passes loads on to the leader, until the log stops.
    pub async fn run(self: Rc<Self>, own: Vm) {
        while !self.coordinator.log.is_stopped() {
            monoio::time::sleep(OBSERVATION_INTERVAL).await;
            let known = {
                let store = self.coordinator.state.fleet.borrow();
                store.vms().any(|v| *v == own)
            };
            if !known {
                self.introduce(&own).await;
            }
            let observations = Observations {
                loads: self.loads.borrow_mut().drain(),
                latencies: self.latencies.take(),
            };
            match () {
                () if observations.is_empty() => {}
                () if self.leads() => self.coordinator.record_observations(&observations),
                () => {
                    if let Err(refusal) = self
                        .pass::<_, ()>(messages::OBSERVATIONS, &observations)
                        .await
                    {
                        // It is counted anew all the time; this is not missed.
                        log::debug!("event=fleet.seen_lost refused={refusal:?}");
                    }
                }
            }
        }
    }

    /// Passes a call on to the leader.
    async fn pass<Q, A>(&self, method: &str, request: &Q) -> Result<A, RequestError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let leader = self
            .coordinator
            .log
            .leader()
            .ok_or(RequestError::NotLeader)?;
        let peer = {
            let mut peers = self.peers.borrow_mut();
            let new = || rpc::Peer::new(leader, self.journal.clone());
            peers.entry(leader).or_insert_with(new).clone()
        };
        let answer = peer.call(method, request, LEADER_TIMEOUT).await;
        answer.map_err(|e| refusal(&e))
    }
}

impl fmt::Debug for Frontend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Frontend").finish_non_exhaustive()
    }
}

fn is_known_method(method: &str) -> bool {
    let methods = [
        messages::HEARTBEAT,
        messages::LEAVE,
        messages::CHANGE,
        messages::POSITION,
        messages::VM,
    ];
    methods.contains(&method)
}

fn reply<A>(result: Result<A, RequestError>) -> Answer
where
    A: Serialize,
{
    match result {
        Ok(answer) => server::result(&answer),
        Err(refusal) => Err(fault(&refusal)),
    }
}

fn fault(refusal: &RequestError) -> Fault {
    let code = match refusal {
        RequestError::NotLeader => error::NOT_LEADER,
        RequestError::Unsure => error::UNSURE,
        RequestError::Malformed(_) => error::BAD_REQUEST,
    };
    Fault::new(code, &refusal.to_string())
}

fn refusal(error: &CallError) -> RequestError {
    match error {
        CallError::Fault(fault) if fault.code == error::BAD_REQUEST => {
            RequestError::Malformed(Arc::clone(&fault.message))
        }
        CallError::Fault(fault) if fault.code == error::NOT_LEADER => RequestError::NotLeader,
        CallError::Unreachable(_) => RequestError::NotLeader,
        CallError::Fault(_) | CallError::Lost | CallError::TimedOut | CallError::Malformed(_) => {
            RequestError::Unsure
        }
    }
}
