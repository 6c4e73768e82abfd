//! Handling of requests from backend servers, operators and entry VMs on any control VM.
//!
//! The leader handles requests itself; another VM forwards them to the leader. Polls of
//! entry VMs are answered from the VM's own copy of the log, as long as that is up to date.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::cold;
use super::coordinator::{Coordinator, RequestError};
use super::encoding::{self, EncodedUpdates};
use super::load::LoadCounts;
use super::messages::{self, Heartbeat, Leave, Observations, RelativeLatency, Renewal};
use super::model::{Incarnation, ServerState, Vm, VmRole};
use super::store::Ordered;
use super::updates::{self, Poll, Updates};
use crate::clock;
use crate::ids;
use crate::notify::Notify;
use crate::rpc::{self, CallError, Fault, RpcResult, error, server};
use crate::table;
use crate::timeline::Journal;

/// Longest delay of the response to a poll.
///
/// An entry VM without a response waits this long and a round trip before it polls another
/// control VM, which is well within the time in which a change must take effect.
pub const MAX_POLL_WAIT: Duration = Duration::from_millis(800);

/// Timeout of calls to the leader: clients try another control VM after a second.
const LEADER_TIMEOUT: Duration = Duration::from_millis(850);

/// Time in which further changes are added to the same response: changes come in bursts, and
/// each response costs every entry VM a wake-up and a packet.
const BATCH_WINDOW: Duration = Duration::from_millis(15);

/// Time between two reports of [`Observations`] to the leader.
pub const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);

/// Time between checks of the applied log index; entries without a command wake nobody.
const APPLIED_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long the first poll of an entry VM waits for this VM to hear from a leader: some control
/// VMs may be partitioned from it, and the entry VM then tries the next one.
const LEADER_WAIT: Duration = Duration::from_millis(400);

/// Pause before a VM that could not be registered is tried again.
const REGISTER_PAUSE: Duration = Duration::from_millis(300);

/// How long unchanged heartbeats of a server without keys are answered without the leader.
const LOCAL_RESPONSE_LIMIT: Duration = Duration::from_secs(10);

/// Forwarded heartbeats that are remembered before outdated ones are dropped.
const MAX_FORWARDED: usize = 4096;

/// Request handling of one control VM.
pub struct Frontend {
    pub(super) coordinator: Rc<Coordinator>,
    /// Address of this VM for backend servers and operators; its port is the same on every VM.
    control: SocketAddr,
    journal: Journal,
    peers: RefCell<BTreeMap<SocketAddr, rpc::Peer>>,
    loads: RefCell<LoadCounts>,
    latencies: RefCell<Vec<RelativeLatency>>,
    /// Servers that leave, to report to the leader.
    leaving: RefCell<BTreeSet<Incarnation>>,
    /// Woken when [`Self::leaving`] gets a server.
    leaving_added: Notify,
    registering: RefCell<HashSet<ids::VmName>>,
    /// When a heartbeat of each incarnation was last forwarded to the leader.
    forwarded: RefCell<HashMap<Incarnation, Instant>>,
    encoded: encoding::Cache,
}

impl Frontend {
    /// Creates the frontend of a VM; `control` is its address for backend servers and operators.
    pub fn new(coordinator: Rc<Coordinator>, control: SocketAddr, journal: Journal) -> Rc<Self> {
        Rc::new(Self {
            coordinator,
            control,
            journal,
            peers: RefCell::default(),
            loads: RefCell::default(),
            latencies: RefCell::default(),
            leaving: RefCell::default(),
            leaving_added: Notify::default(),
            registering: RefCell::default(),
            forwarded: RefCell::default(),
            encoded: encoding::Cache::default(),
        })
    }

    pub(super) fn is_leader(&self) -> bool {
        self.coordinator.log.leading_since().is_some()
    }

    /// Last log index that was applied on this VM.
    pub fn applied_index(&self) -> ids::LogIndex {
        self.coordinator.log.applied_index()
    }

    /// Changes the routing table.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if the outcome is unknown or the leader was not reached.
    pub async fn change_table(
        &self,
        change: table::Change,
    ) -> Result<table::Outcome, RequestError> {
        if self.is_leader() {
            return self.coordinator.change_table(change).await;
        }
        self.forward(messages::CHANGE, &change).await
    }

    /// The latest routing table; `None` before the first.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if this VM can't make sure that it has the latest one.
    pub async fn current_table(&self) -> Result<Option<Arc<table::Table>>, RequestError> {
        let index = if self.is_leader() {
            self.coordinator.read_position().await?
        } else {
            self.forward(messages::POSITION, &()).await?
        };
        self.wait_applied(index).await?;
        let table = self.coordinator.state.table.borrow();
        Ok(table.current().map(Arc::clone))
    }

    /// Waits until the log is applied on this VM up to `index`.
    async fn wait_applied(&self, index: ids::LogIndex) -> Result<(), RequestError> {
        let deadline = clock::now() + LEADER_TIMEOUT;
        while self.coordinator.log.applied_index() < index {
            let left = deadline.saturating_duration_since(clock::now());
            if left.is_zero() {
                return Err(RequestError::NotLeader);
            }
            self.coordinator
                .state
                .changed
                .wait(left.min(APPLIED_CHECK_INTERVAL))
                .await;
        }
        Ok(())
    }

    /// Handles the heartbeat of a backend server and renews its lease.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if the leader was not reached or did not renew the lease.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Result<Renewal, RequestError> {
        let incarnation = heartbeat.incarnation().clone();
        let zone = Arc::clone(&heartbeat.server.zone);
        let service = Arc::clone(&heartbeat.server.service);
        let mut renewal = if self.is_leader() {
            self.coordinator.heartbeat(heartbeat).await?
        } else if self.is_unchanged(&heartbeat) {
            Renewal::default()
        } else {
            let renewal = self.forward(messages::HEARTBEAT, &heartbeat).await?;
            let now = clock::now();
            let mut forwarded = self.forwarded.borrow_mut();
            if forwarded.len() >= MAX_FORWARDED {
                forwarded.retain(|_, at| now < *at + LOCAL_RESPONSE_LIMIT);
            }
            forwarded.insert(incarnation, now);
            drop(forwarded);
            renewal
        };
        let owns_keys = self.coordinator.state.table.borrow().is_sharded(&service);
        renewal.heartbeat_address = if owns_keys {
            self.leader_address()
        } else {
            self.address_in_zone(&zone)
        };
        Ok(renewal)
    }

    /// Control address of the leader.
    fn leader_address(&self) -> Option<SocketAddr> {
        match self.coordinator.log.leader() {
            Some(leader) => Some(SocketAddr::new(leader.ip(), self.control.port())),
            None => Some(self.control).filter(|_| self.is_leader()),
        }
    }

    /// Control address of a control VM in a zone, if there is one; VMs that were replaced stay
    /// registered, but are no replicas of the log any more.
    fn address_in_zone(&self, zone: &str) -> Option<SocketAddr> {
        let store = self.coordinator.state.fleet.borrow();
        let is_member = |vm: &&Vm| self.coordinator.log.is_member(vm.address);
        let mut vms = store
            .vms()
            .filter(|v| v.role == VmRole::Control && is_member(v));
        let vm = vms.find(|v| *v.zone == *zone)?;
        Some(SocketAddr::new(vm.address.ip(), self.control.port()))
    }

    /// Records that a backend server leaves.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if the change was not or may not have been committed.
    pub async fn leave(&self, leave: Leave) -> Result<(), RequestError> {
        if self.is_leader() {
            return self.coordinator.leave(leave).await;
        }
        self.forward(messages::LEAVE, &leave).await
    }

    /// Registers a VM.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if the change was not or may not have been committed.
    pub async fn register_vm(&self, vm: Ordered<Vm>) -> Result<(), RequestError> {
        if self.is_leader() {
            return self.coordinator.register_vm(vm).await;
        }
        self.forward(messages::VM, &vm).await
    }

    /// Whether a heartbeat is of no interest to the leader now: its sender needs no lease, is
    /// unchanged and had a heartbeat forwarded lately. Whether reported coldness is known is for
    /// the leader to say.
    fn is_unchanged(&self, heartbeat: &Heartbeat) -> bool {
        let server = &heartbeat.server;
        let store = self.coordinator.state.fleet.borrow();
        let table = self.coordinator.state.table.borrow();
        let services = table.current().into_iter().flat_map(|t| &t.services);
        let unsharded = services
            .into_iter()
            .any(|s| s.name == server.service && !s.sharded && !cold::reports_cold(s, server));
        let same = store.incarnation(&server.incarnation).is_some_and(|k| {
            k.state == ServerState::Ready
                && k.state == server.state
                && k.address == server.address
                && k.service == server.service
        });
        let forwarded = self.forwarded.borrow().get(&server.incarnation).copied();
        let recent = forwarded.is_some_and(|f| clock::now() < f + LOCAL_RESPONSE_LIMIT);
        unsharded && same && recent && self.coordinator.log.is_up_to_date()
    }

    /// Handles an RPC of another process.
    pub async fn handle_call(self: Rc<Self>, method: Box<str>, body: Box<RawValue>) -> RpcResult {
        if let Some(response) = self.coordinator.log.answer(&method, &body).await {
            return response;
        }
        match &*method {
            updates::POLL => to_answer(self.poll(server::decode_params(&body)?).await),
            messages::HEARTBEAT if self.is_leader() => to_answer(
                self.coordinator
                    .heartbeat(server::decode_params(&body)?)
                    .await,
            ),
            messages::LEAVE if self.is_leader() => {
                to_answer(self.coordinator.leave(server::decode_params(&body)?).await)
            }
            messages::CHANGE if self.is_leader() => to_answer(
                self.coordinator
                    .change_table(server::decode_params(&body)?)
                    .await,
            ),
            messages::POSITION if self.is_leader() => {
                to_answer(self.coordinator.read_position().await)
            }
            messages::VM if self.is_leader() => to_answer(
                self.coordinator
                    .register_vm(server::decode_params(&body)?)
                    .await,
            ),
            messages::EVACUATION if self.is_leader() => to_answer(
                self.coordinator
                    .evacuate(server::decode_params(&body)?)
                    .await,
            ),
            messages::OBSERVATIONS => {
                self.record_observations(&server::decode_params(&body)?);
                server::encode_result(&())
            }
            other if is_leader_method(other) => to_answer::<()>(Err(RequestError::NotLeader)),
            other => Err(server::unknown_method(other)),
        }
    }

    /// Responds to a poll once something changed, or after [`MAX_POLL_WAIT`].
    async fn poll(self: &Rc<Self>, poll: Poll) -> Result<EncodedUpdates, RequestError> {
        self.register_sender(&poll);
        let deadline = clock::now() + MAX_POLL_WAIT;
        if poll.base == 0 {
            self.await_leader().await;
        }
        loop {
            if !self.coordinator.log.is_up_to_date() {
                return Err(RequestError::NotLeader);
            }
            if let Some(encoded) = self.encoded.get(poll.base) {
                return Ok(encoded);
            }
            let updates = self.updates_since(poll.base);
            let left = deadline.saturating_duration_since(clock::now());
            if !updates.is_empty() || left.is_zero() || updates.index < poll.base {
                return Ok(self.encoded.encode(poll.base, updates));
            }
            if self.coordinator.state.changed.wait(left).await {
                monoio::time::sleep(BATCH_WINDOW).await;
            }
        }
    }

    /// Waits up to [`LEADER_WAIT`] for a leader, so that starting entry VMs don't poll all control
    /// VMs in turn.
    async fn await_leader(&self) {
        let deadline = clock::now() + LEADER_WAIT;
        while !self.coordinator.log.is_up_to_date() && clock::now() < deadline {
            monoio::time::sleep(APPLIED_CHECK_INTERVAL).await;
        }
    }

    fn updates_since(&self, base: ids::LogIndex) -> Updates {
        let state = &self.coordinator.state;
        let index = self.coordinator.log.applied_index();
        updates::since(base, index, &state.table.borrow(), &state.fleet.borrow())
    }

    /// Adds observations of another VM, to forward them unless this VM is the leader.
    fn record_observations(&self, observations: &Observations) {
        if self.is_leader() {
            return self.coordinator.record_observations(observations);
        }
        let mut loads = self.loads.borrow_mut();
        observations.loads.iter().for_each(|l| loads.add(l));
        self.latencies
            .borrow_mut()
            .extend_from_slice(&observations.latencies);
        let store = self.coordinator.state.fleet.borrow();
        let is_ready = |i: &&Incarnation| {
            store
                .incarnation(i)
                .is_some_and(|s| s.state == ServerState::Ready)
        };
        let mut leaving = self.leaving.borrow_mut();
        for incarnation in observations.leaving.iter().filter(is_ready) {
            if leaving.insert(incarnation.clone()) {
                self.leaving_added.wake();
            }
        }
    }

    /// Registers the sender of a poll in the background, unless it is known.
    fn register_sender(self: &Rc<Self>, poll: &Poll) {
        let known = {
            let store = self.coordinator.state.fleet.borrow();
            store.vms().any(|v| *v == poll.vm)
        };
        let name = &poll.vm.name;
        if !known && self.registering.borrow_mut().insert(Arc::clone(name)) {
            let frontend = Rc::clone(self);
            let vm = Ordered {
                value: poll.vm.clone(),
                sent_after: poll.base,
            };
            monoio::spawn(async move {
                let name = Arc::clone(&vm.value.name);
                frontend.register(vm).await;
                frontend.registering.borrow_mut().remove(&name);
            });
        }
    }

    /// Tries to register a VM; after a failure the caller retries later.
    async fn register(&self, vm: Ordered<Vm>) {
        let name = Arc::clone(&vm.value.name);
        if let Err(error) = self.register_vm(vm).await {
            log::info!("event=fleet.vm_unknown vm={name:?} refused={error:?}");
            monoio::time::sleep(REGISTER_PAUSE).await;
        }
    }

    /// Registers this VM and forwards observations to the leader, until the log stops.
    pub async fn run(self: Rc<Self>, own: Vm) {
        while !self.coordinator.log.is_stopped() {
            self.leaving_added.wait(OBSERVATION_INTERVAL).await;
            let known = {
                let store = self.coordinator.state.fleet.borrow();
                store.vms().any(|v| *v == own)
            };
            if !known {
                let vm = Ordered {
                    value: own.clone(),
                    sent_after: self.applied_index(),
                };
                self.register(vm).await;
            }
            let observations = Observations {
                loads: self.loads.borrow_mut().drain(),
                latencies: self.latencies.take(),
                leaving: self.leaving.take().into_iter().collect(),
            };
            match () {
                () if observations.is_empty() => {}
                () if self.is_leader() => self.coordinator.record_observations(&observations),
                () => {
                    if let Err(error) = self
                        .forward::<_, ()>(messages::OBSERVATIONS, &observations)
                        .await
                    {
                        // New requests are counted all the time, so the loss does no harm.
                        log::debug!("event=fleet.seen_lost refused={error:?}");
                    }
                }
            }
        }
    }

    /// Forwards a call to the leader.
    pub(super) async fn forward<Q, A>(&self, method: &str, request: &Q) -> Result<A, RequestError>
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
        let response = peer.call(method, request, LEADER_TIMEOUT).await;
        response.map_err(|e| from_call_error(&e))
    }
}

impl fmt::Debug for Frontend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Frontend").finish_non_exhaustive()
    }
}

fn is_leader_method(method: &str) -> bool {
    let methods = [
        messages::HEARTBEAT,
        messages::LEAVE,
        messages::CHANGE,
        messages::POSITION,
        messages::VM,
        messages::EVACUATION,
    ];
    methods.contains(&method)
}

fn to_answer<A>(result: Result<A, RequestError>) -> RpcResult
where
    A: Serialize,
{
    match result {
        Ok(response) => server::encode_result(&response),
        Err(error) => Err(to_fault(&error)),
    }
}

fn to_fault(error: &RequestError) -> Fault {
    let code = match error {
        RequestError::NotLeader => error::NOT_LEADER,
        RequestError::Unsure => error::OUTCOME_UNKNOWN,
        RequestError::Malformed(_) => error::BAD_REQUEST,
        RequestError::Unavailable(_) => error::REFUSED,
    };
    // The VM that forwarded the call adds the kind of the error again.
    match error {
        RequestError::Malformed(reason) | RequestError::Unavailable(reason) => {
            Fault::new(code, reason)
        }
        RequestError::NotLeader | RequestError::Unsure => Fault::new(code, &error.to_string()),
    }
}

fn from_call_error(error: &CallError) -> RequestError {
    match error {
        CallError::Fault(fault) if fault.code == error::BAD_REQUEST => {
            RequestError::Malformed(Arc::clone(&fault.message))
        }
        CallError::Fault(fault) if fault.code == error::REFUSED => {
            RequestError::Unavailable(Arc::clone(&fault.message))
        }
        CallError::Fault(fault) if fault.code == error::NOT_LEADER => RequestError::NotLeader,
        CallError::Unreachable(_) => RequestError::NotLeader,
        CallError::Fault(_)
        | CallError::ConnectionLost
        | CallError::TimedOut
        | CallError::Malformed(_) => RequestError::Unsure,
    }
}
