//! A control VM of a fleet: its log, its desk, and who asks for them.
//!
//! A log that stops, as after a failed write, is opened again from its folder
//! for as long as the daemon runs: a full disk may have room again.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};

use super::desk::Desk;
use super::front::Front;
use super::leases;
use super::model::{Part, Vm};
use crate::control::state::State;
use crate::log;
use crate::rpc::{self, Fault, error};
use crate::settings::fleet::{Control, Source};
use crate::settings::{StartError, bind};
use crate::signals::Signals;
use crate::timeline::{Event, Journal};
use crate::web;

/// Control VMs that vote: one may be lost, and of two halves of four one has most of them.
const VOTERS: usize = 3;

/// Time between heartbeats of the leader; each costs bytes between zones.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// Shortest time without a leader before an election: some lost or late heartbeats.
const ELECTION: Duration = Duration::from_millis(700);

/// Entries from one snapshot to the next: after a loss of all, a control VM with a small part
/// of a core applies what came since the last one before it answers anybody.
const SNAPSHOT_ENTRIES: u64 = 512;

/// Pause before a log that could not be opened, or has stopped, is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// Time between looks whether the log has stopped.
const LOOK: Duration = Duration::from_millis(100);

/// Time that requests in flight get when the daemon stops.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// Bytes of a change of the table: thousands of routes.
const BODY_BYTES: usize = 16 << 20;

/// Connections at a time, well below the descriptors that a process may have.
const CONNECTIONS: usize = 2000;

/// The front while the log is open.
type Slot = Rc<RefCell<Option<Rc<Front>>>>;

/// Runs the daemon until it is told to stop.
///
/// `handler` answers requests of backend servers and operators; it gets no
/// front while the log is not open.
///
/// # Errors
///
/// [`StartError`] if an address cannot be used.
pub async fn run<H, F>(source: Source<Control>, handler: H) -> Result<(), StartError>
where
    H: Fn(Option<Rc<Front>>, Request<Bytes>) -> F + 'static,
    F: Future<Output = Response<Bytes>> + 'static,
{
    let settings = source.first().clone();
    let signals = Signals::take().map_err(StartError::Signals)?;
    let peer = bind(settings.peer)?;
    let control = bind(settings.control)?;
    let journal = Journal::new(Arc::clone(&settings.vm));
    let slot = Slot::default();
    monoio::spawn(rpc::serve(peer, journal.clone(), answerer(&slot)));
    let stop = web::Stop::default();
    let limits = web::Limits {
        body_bytes: BODY_BYTES,
        connections: CONNECTIONS,
        ..web::Limits::default()
    };
    let served = Rc::clone(&slot);
    let answer = move |request| handler(served.borrow().clone(), request);
    monoio::spawn(web::serve(control, limits, stop.clone(), answer));
    journal.record(Event::new("control.started").zone(&settings.zone));
    while !signals.is_stopped() {
        if let Some(handle) = open(&settings, &journal, &slot) {
            watch(&source, &signals, &handle, &journal).await;
            slot.borrow_mut().take();
            handle.step_down().await;
            handle.stop();
        } else {
            monoio::time::sleep(REOPEN_PAUSE).await;
        }
    }
    stop.stop();
    stop.finished(STOP_LIMIT).await;
    journal.record(Event::new("control.stopped"));
    Ok(())
}

/// Answers calls of other processes while the log is open.
fn answerer(
    slot: &Slot,
) -> impl Fn(Box<str>, Box<serde_json::value::RawValue>) -> AnswerFuture + use<> {
    let slot = Rc::clone(slot);
    move |method, body| {
        let front = slot.borrow().clone();
        Box::pin(async move {
            match front {
                Some(front) => front.answer(method, body).await,
                None => Err(Fault::new(error::NOT_LEADER, "the log is not open")),
            }
        })
    }
}

/// An answer under way.
type AnswerFuture = std::pin::Pin<Box<dyn Future<Output = rpc::Answer>>>;

/// Opens the log and starts what works on it; `None` if the folder can't be used now.
fn open(settings: &Control, journal: &Journal, slot: &Slot) -> Option<log::Handle> {
    let state = State::default();
    let config = log::Config {
        vm: settings.peer.to_string().into(),
        data_dir: settings.data.clone(),
        members: roster(settings),
        discovery: Some(log::Discovery {
            address: settings.peer,
            may_bootstrap: settings.founding,
            voter_count: VOTERS,
        }),
    };
    let tuning = log::Tuning {
        heartbeat_interval: HEARTBEAT,
        election_timeout: ELECTION,
        snapshot_entries: SNAPSHOT_ENTRIES,
        trailing_entries: SNAPSHOT_ENTRIES,
        ..log::Tuning::default()
    };
    let handle = match log::open_tuned(config, tuning, state.state_machine(), journal.clone()) {
        Ok(handle) => handle,
        Err(error) => {
            journal.record(Event::new("control.no_log").detail(&error.to_string()));
            return None;
        }
    };
    let lease = settings.lease.min(leases::LONGEST);
    let desk = Desk::new(handle.clone(), state, journal.clone(), lease);
    monoio::spawn(Rc::clone(&desk).run());
    let front = Front::new(desk, settings.control, journal.clone());
    let own = Vm {
        name: Arc::clone(&settings.vm),
        zone: Arc::clone(&settings.zone),
        address: settings.peer,
        part: Part::Control,
    };
    monoio::spawn(Rc::clone(&front).run(own));
    *slot.borrow_mut() = Some(front);
    Some(handle)
}

fn roster(settings: &Control) -> Vec<log::Member> {
    let member = |address: SocketAddr| log::Member {
        vm: address.to_string().into(),
        address,
    };
    settings.seeds().map(member).collect()
}

/// Waits until the log stops or a signal comes, and takes in changed settings meanwhile.
async fn watch(
    source: &Source<Control>,
    signals: &Signals,
    handle: &log::Handle,
    journal: &Journal,
) {
    let mut watch = source.watch();
    while !signals.is_stopped() && !handle.is_stopped() {
        monoio::time::sleep(LOOK).await;
        if let Some(settings) = watch.changed(signals.take_reload()) {
            journal.record(Event::new("control.reloaded"));
            handle.set_seeds(roster(&settings));
        }
    }
}
