//! The control daemon: opens the log, serves other processes and operators, runs the leader tasks.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use monoio::net::TcpListener;

use super::propose;
use super::{leader_tasks, operator, rpc_handler, state};
use crate::clock;
use crate::delegate::{self, handler};
use crate::ids;
use crate::log;
use crate::rpc;
use crate::settings::control as settings;
use crate::signals::Signals;
use crate::timeline::{Event, Journal};
use crate::web;

/// Longest wait for requests in flight when the daemon stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Why the daemon could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address could not be bound.
    Bind(std::net::SocketAddr, io::Error),
    /// The data directory could not be used.
    Log(log::OpenError),
    /// Signal handlers could not be installed.
    Signals(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Self::Log(error) => error.fmt(f),
            Self::Signals(error) => write!(f, "cannot install signal handlers: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

/// State shared by the tasks of the daemon.
pub struct ControlContext {
    /// Settings.
    pub settings: settings::Settings,
    /// Time line.
    pub journal: Journal,
    /// Replicated log.
    pub log: log::Handle,
    /// Replicated state.
    pub state: state::State,
    /// What the leader knows of primaries and entry VMs, and decides from it.
    pub planner: Rc<RefCell<delegate::Planner>>,
    /// Handles delegation calls of entry VMs.
    pub delegate_handler: handler::Handler,
    /// Last contact with each entry VM.
    pub entry_contacts: RefCell<BTreeMap<ids::VmName, EntryContact>>,
    /// Connections to other processes by address.
    pub peers: RefCell<BTreeMap<std::net::SocketAddr, rpc::Peer>>,
}

/// Last contact with an entry VM.
#[derive(Clone, Copy, Debug)]
pub struct EntryContact {
    /// Time of the contact.
    pub at: Instant,
    /// Log index that the entry VM had applied.
    pub index: ids::LogIndex,
}

impl ControlContext {
    /// Returns the peer at an address.
    pub fn peer(&self, address: std::net::SocketAddr) -> rpc::Peer {
        let mut peers = self.peers.borrow_mut();
        peers
            .entry(address)
            .or_insert_with(|| rpc::Peer::new(address, self.journal.clone()))
            .clone()
    }

    /// Time since the last contact with an entry VM; `None` if there was none.
    pub fn since_contact(&self, vm: &str) -> Option<Duration> {
        let contacts = self.entry_contacts.borrow();
        let contact = contacts.get(vm)?;
        Some(clock::now().saturating_duration_since(contact.at))
    }
}

impl fmt::Debug for ControlContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlContext")
            .field("vm", &self.settings.vm)
            .finish_non_exhaustive()
    }
}

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// [`StartError`] if an address, the data directory or signals cannot be used.
pub async fn run(settings: settings::Settings) -> Result<(), StartError> {
    let signals = Signals::install().map_err(StartError::Signals)?;
    let peer = bind(settings.peer)?;
    let operator = bind(settings.operator)?;
    let journal = Journal::new(Arc::clone(&settings.vm));
    let control = open(settings, journal.clone())?;
    journal.record(Event::new("control.started").zone(&control.settings.zone));
    let rpc_context = Rc::clone(&control);
    monoio::spawn(rpc::serve(peer, journal.clone(), move |method, body| {
        rpc_handler::handle(Rc::clone(&rpc_context), method, body)
    }));
    let stop = web::StopHandle::default();
    let operator_context = Rc::clone(&control);
    let handler = move |request| operator::handle(Rc::clone(&operator_context), request);
    monoio::spawn(web::serve(
        operator,
        web::Limits::default(),
        stop.clone(),
        handler,
    ));
    monoio::spawn(leader_tasks::run(Rc::clone(&control)));
    signals.wait_for_stop().await;
    journal.record(Event::new("control.stopping"));
    control.log.step_down().await;
    stop.stop();
    stop.wait_closed(STOP_TIMEOUT).await;
    journal.record(Event::new("control.stopped"));
    Ok(())
}

fn bind(address: std::net::SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|e| StartError::Bind(address, e))
}

fn open(settings: settings::Settings, journal: Journal) -> Result<Rc<ControlContext>, StartError> {
    let state = state::State::default();
    let members = settings.members.iter().map(|m| log::Member {
        vm: Arc::clone(&m.vm),
        address: m.peer,
    });
    let config = log::Config {
        vm: Arc::clone(&settings.vm),
        data_dir: settings.data.clone(),
        members: members.collect(),
        discovery: None,
    };
    let log = log::open(config, state.state_machine(), journal.clone()).map_err(StartError::Log)?;
    let planner: Rc<RefCell<delegate::Planner>> = Rc::default();
    Ok(Rc::new(ControlContext {
        delegate_handler: delegate_handler(&log, &state, &planner),
        settings,
        journal,
        log,
        state,
        planner,
        entry_contacts: RefCell::default(),
        peers: RefCell::default(),
    }))
}

fn delegate_handler(
    log: &log::Handle,
    state: &state::State,
    planner: &Rc<RefCell<delegate::Planner>>,
) -> handler::Handler {
    let (barrier, leading) = (log.clone(), log.clone());
    let (applied, documents) = (log.clone(), state.clone());
    handler::Handler {
        log: handler::LogAccess {
            read_barrier: Box::new(move || {
                let log = barrier.clone();
                Box::pin(async move { log.read_barrier().await.map_err(|e| propose::fault(&e)) })
            }),
            leading_since: Box::new(move || leading.leading_since()),
            applied: Box::new(move || applied.applied_index()),
            changed: Rc::clone(&state.changed),
        },
        store: Rc::clone(&state.delegations),
        planner: Rc::clone(planner),
        documents: Box::new(move |index| documents.documents.borrow().updates_since(index)),
    }
}
