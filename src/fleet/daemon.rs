//! Daemon of a control VM of a fleet: the log, the coordinator and their listeners.
//!
//! A log that stops, such as after a failed write, is reopened from its data directory for
//! as long as the daemon runs: a full disk may get free space again.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};

use super::coordinator::Coordinator;
use super::frontend::Frontend;
use super::grant_client::CallFormat;
use super::model::{Vm, VmRole};
use crate::control::state::State;
use crate::ids;
use crate::log;
use crate::rpc::{self, Fault, error};
use crate::settings::fleet::{ControlSettings, SettingsFile};
use crate::settings::{StartError, bind};
use crate::signals::Signals;
use crate::table;
use crate::timeline::{Event, Journal};
use crate::web;

/// Time between heartbeats of the log's leader; each costs traffic between zones.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Least time without a leader before an election: a few lost or late heartbeats.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(700);

/// Log entries between two snapshots: after a failure of all control VMs, one with a fraction of
/// a core applies the entries since the latest snapshot before it answers any request.
const SNAPSHOT_ENTRIES: u64 = 512;

/// Pause before another attempt to open the log.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// Time between checks of the log, the signals and the settings.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for requests in flight to finish when the daemon stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a change of the routing table: more than any table that can be stored.
const MAX_BODY_BYTES: usize = table::size::MAX_BYTES;

/// Maximum number of connections, well below the limit of file descriptors of a process.
const MAX_CONNECTIONS: usize = 2000;

/// The frontend, while the log is open.
type SharedFrontend = Rc<RefCell<Option<Rc<Frontend>>>>;

/// Runs the daemon until a signal stops it.
///
/// `handler` answers HTTP requests of backend servers and operators; it gets no
/// frontend while the log is not open. `format` tells how backend servers are called.
///
/// # Errors
///
/// [`StartError`] if an address can't be bound or the signals can't be handled.
pub async fn run<H, F>(
    source: SettingsFile<ControlSettings>,
    format: CallFormat,
    handler: H,
) -> Result<(), StartError>
where
    H: Fn(Option<Rc<Frontend>>, Request<Bytes>) -> F + 'static,
    F: Future<Output = Response<Bytes>> + 'static,
{
    let settings = source.initial().clone();
    let signals = Signals::install().map_err(StartError::Signals)?;
    let peer = bind(settings.peer)?;
    let control = bind(settings.control)?;
    let journal = Journal::new(Arc::clone(&settings.vm));
    let shared = SharedFrontend::default();
    monoio::spawn(rpc::serve(peer, journal.clone(), call_handler(&shared)));
    let stop = web::StopHandle::default();
    let limits = web::Limits {
        body_bytes: MAX_BODY_BYTES,
        max_connections: MAX_CONNECTIONS,
        ..web::Limits::default()
    };
    let for_http = Rc::clone(&shared);
    let answer = move |request| handler(for_http.borrow().clone(), request);
    let applied = applied_index(&shared);
    monoio::spawn(web::serve_ordered(
        control,
        limits,
        stop.clone(),
        applied,
        answer,
    ));
    journal.record(Event::new("control.started").zone(&settings.zone));
    while !signals.stop_requested() {
        if let Some(handle) = open(&settings, &format, &journal, &shared) {
            watch(&source, &signals, &handle, &journal).await;
            shared.borrow_mut().take();
            handle.step_down().await;
            handle.stop();
        } else {
            monoio::time::sleep(REOPEN_PAUSE).await;
        }
    }
    stop.stop();
    stop.wait_closed(SHUTDOWN_TIMEOUT).await;
    journal.record(Event::new("control.stopped"));
    Ok(())
}

/// Returns the function that reads the last applied log index; it is 0 while the log is not open.
fn applied_index(shared: &SharedFrontend) -> impl Fn() -> ids::LogIndex + use<> {
    let shared = Rc::clone(shared);
    move || shared.borrow().as_ref().map_or(0, |f| f.applied_index())
}

/// Returns the handler of RPCs, which fails them while the log is not open.
fn call_handler(
    shared: &SharedFrontend,
) -> impl Fn(Box<str>, Box<serde_json::value::RawValue>) -> CallFuture + use<> {
    let shared = Rc::clone(shared);
    move |method, body| {
        let frontend = shared.borrow().clone();
        Box::pin(async move {
            match frontend {
                Some(frontend) => frontend.handle_call(method, body).await,
                None => Err(Fault::new(error::NOT_LEADER, "the log is not open")),
            }
        })
    }
}

type CallFuture = std::pin::Pin<Box<dyn Future<Output = rpc::RpcResult>>>;

/// Opens the log and starts the coordinator and the frontend; `None` if the log can't be opened.
fn open(
    settings: &ControlSettings,
    format: &CallFormat,
    journal: &Journal,
    shared: &SharedFrontend,
) -> Option<log::Handle> {
    let state = State::default();
    let config = log::Config {
        vm: settings.peer.to_string().into(),
        data_dir: settings.data.clone(),
        members: seed_members(settings),
        discovery: Some(log::Discovery {
            address: settings.peer,
            may_bootstrap: settings.founding,
            voter_count: settings.voter_count(),
            zone: Some(Arc::clone(&settings.zone)),
        }),
    };
    let tuning = log::Tuning {
        heartbeat_interval: HEARTBEAT_INTERVAL,
        election_timeout: ELECTION_TIMEOUT,
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
    let coordinator = Coordinator::new(
        handle.clone(),
        state,
        journal.clone(),
        settings.lease,
        format.clone(),
    );
    monoio::spawn(Rc::clone(&coordinator).run());
    let frontend = Frontend::new(coordinator, settings.control, journal.clone());
    let own = Vm {
        name: Arc::clone(&settings.vm),
        zone: Arc::clone(&settings.zone),
        address: settings.peer,
        role: VmRole::Control,
    };
    monoio::spawn(Rc::clone(&frontend).run(own));
    *shared.borrow_mut() = Some(frontend);
    Some(handle)
}

fn seed_members(settings: &ControlSettings) -> Vec<log::Member> {
    let member = |address: SocketAddr| log::Member {
        vm: address.to_string().into(),
        address,
    };
    settings.seeds().map(member).collect()
}

/// Waits until the log stops or a signal asks to stop; applies changed settings meanwhile.
async fn watch(
    source: &SettingsFile<ControlSettings>,
    signals: &Signals,
    handle: &log::Handle,
    journal: &Journal,
) {
    let mut watch = source.watch();
    while !signals.stop_requested() && !handle.is_stopped() {
        monoio::time::sleep(CHECK_INTERVAL).await;
        if let Some(settings) = watch.reload_if_changed(signals.take_reload()) {
            journal.record(Event::new("control.reloaded"));
            handle.set_seeds(seed_members(&settings));
        }
    }
}
