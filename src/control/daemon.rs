//! The control daemon: opens the log, answers the other processes, leads.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use monoio::net::TcpListener;

use super::propose;
use super::{answer, lead, operator, state};
use crate::clock;
use crate::delegate::{self, handler};
use crate::ids;
use crate::log;
use crate::rpc;
use crate::settings::control as settings;
use crate::signals::Signals;
use crate::timeline::{Event, Journal};
use crate::web;

/// Longest time that requests in flight get when the daemon stops.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// Why the daemon could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address could not be bound.
    Bind(std::net::SocketAddr, io::Error),
    /// The data folder could not be used.
    Log(log::OpenError),
    /// Signals could not be taken.
    Signals(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Self::Log(error) => error.fmt(f),
            Self::Signals(error) => write!(f, "cannot take signals: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

/// What the tasks of the daemon share.
pub struct Control {
    /// Settings.
    pub settings: settings::Settings,
    /// Time line.
    pub journal: Journal,
    /// Replicated log.
    pub log: log::Handle,
    /// Replicated state.
    pub state: state::State,
    /// The leader's knowledge of carriers and entry VMs.
    pub office: Rc<RefCell<delegate::Planner>>,
    /// Answers entry VMs.
    pub desk: handler::Handler,
    /// What each entry VM last said it has taken in.
    pub seen: RefCell<BTreeMap<ids::VmName, Seen>>,
    /// The other processes by address.
    pub peers: RefCell<BTreeMap<std::net::SocketAddr, rpc::Peer>>,
}

/// What an entry VM last said of itself.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// When.
    pub at: Instant,
    /// Log position that its view reflects.
    pub have: ids::LogIndex,
}

impl Control {
    /// The peer at an address.
    pub fn peer(&self, address: std::net::SocketAddr) -> rpc::Peer {
        let mut peers = self.peers.borrow_mut();
        peers
            .entry(address)
            .or_insert_with(|| rpc::Peer::new(address, self.journal.clone()))
            .clone()
    }

    /// Time since an entry VM was last heard of.
    pub fn silence(&self, vm: &str) -> Option<Duration> {
        let seen = self.seen.borrow();
        let seen = seen.get(vm)?;
        Some(clock::now().saturating_duration_since(seen.at))
    }
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control")
            .field("vm", &self.settings.vm)
            .finish_non_exhaustive()
    }
}

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// [`StartError`] if an address or the data folder cannot be used.
pub async fn run(settings: settings::Settings) -> Result<(), StartError> {
    let signals = Signals::install().map_err(StartError::Signals)?;
    let peer = bind(settings.peer)?;
    let operators = bind(settings.operator)?;
    let journal = Journal::new(Arc::clone(&settings.vm));
    let control = open(settings, journal.clone())?;
    journal.record(Event::new("control.started").zone(&control.settings.zone));
    let answering = Rc::clone(&control);
    monoio::spawn(rpc::serve(peer, journal.clone(), move |method, body| {
        answer::answer(Rc::clone(&answering), method, body)
    }));
    let stop = web::StopHandle::default();
    let served = Rc::clone(&control);
    let handler = move |request| operator::answer(Rc::clone(&served), request);
    monoio::spawn(web::serve(
        operators,
        web::Limits::default(),
        stop.clone(),
        handler,
    ));
    monoio::spawn(lead::run(Rc::clone(&control)));
    signals.wait_for_stop().await;
    journal.record(Event::new("control.stopping"));
    control.log.step_down().await;
    stop.stop();
    stop.wait_closed(STOP_LIMIT).await;
    journal.record(Event::new("control.stopped"));
    Ok(())
}

fn bind(address: std::net::SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|e| StartError::Bind(address, e))
}

fn open(settings: settings::Settings, journal: Journal) -> Result<Rc<Control>, StartError> {
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
    let log = log::open(config, state.machine(), journal.clone()).map_err(StartError::Log)?;
    let office: Rc<RefCell<delegate::Planner>> = Rc::default();
    Ok(Rc::new(Control {
        desk: desk(&log, &state, &office),
        settings,
        journal,
        log,
        state,
        office,
        seen: RefCell::default(),
        peers: RefCell::default(),
    }))
}

fn desk(
    log: &log::Handle,
    state: &state::State,
    office: &Rc<RefCell<delegate::Planner>>,
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
        planner: Rc::clone(office),
        documents: Box::new(move |index| documents.documents.borrow().news_since(index)),
    }
}
