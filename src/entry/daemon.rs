//! The entry daemon: watches the control VMs, carries duties, serves callers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use monoio::net::TcpListener;
use serde_json::value::RawValue;

use super::metrics::Metrics;
use super::{announce, callers, operator};
use crate::announce as desk;
use crate::clock;
use crate::control::peers::{ControlVm, Peers};
use crate::control::status;
use crate::delegate::manager::{self, DelegationManager};
use crate::delegate::messages::EntryVm;
use crate::delegate::renew::Renewer;
use crate::delegate::view::View;
use crate::delegate::voter::{self, Voter};
use crate::delegate::watch::Watcher;
use crate::grant::{Granters, InheritedState};
use crate::route::{self, pull};
use crate::rpc::{self, Fault, RpcResult, error, server};
use crate::settings::entry as settings;
use crate::settings::{StartError, bind};
use crate::signals::Signals;
use crate::timeline::{Event, Journal};
use crate::timing;
use crate::web;

/// Longest time that requests in flight get when the daemon stops.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Longest wait until other VMs have taken over the duties of one that stops.
const HAND_ON_LIMIT: Duration = Duration::from_secs(3);

/// Time between looks for delegations without a task that asks for routes.
const ENSURE_PAUSE: Duration = Duration::from_millis(100);

/// Method of a question for routes.
const PULL: &str = "route.pull";

/// What the tasks of the daemon share.
pub struct Entry {
    /// Settings.
    pub settings: settings::Settings,
    /// Time line.
    pub journal: Journal,
    /// What the control VMs told.
    pub view: Rc<View>,
    /// Routes.
    pub table: route::Table,
    /// Duties of this VM.
    pub duties: Rc<Granters>,
    /// Where backend servers announce themselves.
    pub desk: desk::Desk,
    /// Votes and promises of this VM.
    pub bars: Rc<Voter>,
    /// How this VM came by its duties.
    pub carrier: Rc<DelegationManager>,
    /// The control VMs.
    pub control: Peers,
    /// Metrics.
    pub metrics: Metrics,
    /// Whether this VM is stopping.
    pub stopping: Cell<bool>,
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("vm", &self.settings.vm)
            .finish_non_exhaustive()
    }
}

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// [`StartError`] if an address cannot be used.
pub async fn run(settings: settings::Settings) -> Result<(), StartError> {
    let signals = Signals::install().map_err(StartError::Signals)?;
    let listeners = Listeners::bind(&settings)?;
    let entry = open(settings);
    let journal = entry.journal.clone();
    journal.record(Event::new("entry.started").zone(&entry.settings.zone));
    let stop = web::StopHandle::default();
    let quiet = web::StopHandle::default();
    follow(&entry);
    listeners.serve(&entry, &stop, &quiet);
    signals.wait_for_stop().await;
    journal.record(Event::new("entry.stopping"));
    entry.stopping.set(true);
    entry.carrier.resign();
    stop.stop();
    entry.carrier.wait_handover(HAND_ON_LIMIT).await;
    let whole = stop.wait_closed(STOP_LIMIT).await;
    quiet.stop();
    let detail = if whole {
        "all requests ended"
    } else {
        "requests were cut off"
    };
    journal.record(Event::new("entry.stopped").detail(detail));
    Ok(())
}

struct Listeners {
    callers: TcpListener,
    announce: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
}

impl Listeners {
    fn bind(settings: &settings::Settings) -> Result<Self, StartError> {
        Ok(Self {
            callers: bind(settings.callers)?,
            announce: bind(settings.announce)?,
            peer: bind(settings.peer)?,
            operator: bind(settings.operator)?,
        })
    }

    /// Serves callers until `stop`, and everybody else until `quiet`.
    fn serve(self, entry: &Rc<Entry>, stop: &web::StopHandle, quiet: &web::StopHandle) {
        let shared = Rc::clone(entry);
        let answer = move |method, body| answer(Rc::clone(&shared), method, body);
        monoio::spawn(rpc::serve(self.peer, entry.journal.clone(), answer));
        let shared = Rc::clone(entry);
        let handler = move |request| announce::answer(Rc::clone(&shared), request);
        monoio::spawn(web::serve(
            self.announce,
            web::Limits::default(),
            quiet.clone(),
            handler,
        ));
        let shared = Rc::clone(entry);
        let handler = move |request| operator::answer(Rc::clone(&shared), request);
        monoio::spawn(web::serve(
            self.operator,
            web::Limits::default(),
            quiet.clone(),
            handler,
        ));
        monoio::spawn(callers::serve(self.callers, Rc::clone(entry), stop.clone()));
    }
}

fn open(settings: settings::Settings) -> Rc<Entry> {
    let journal = Journal::new(Arc::clone(&settings.vm));
    let view: Rc<View> = Rc::default();
    let table = route::Table::default();
    let duties: Rc<Granters> = Rc::default();
    let bars = Rc::new(Voter::new(clock::now()));
    let carrier = Rc::new(DelegationManager::new(
        Rc::clone(&view),
        Rc::clone(&bars),
        Rc::clone(&duties),
        inherit(&table),
        manager::ask_voters(Rc::clone(&view), journal.clone()),
        journal.clone(),
    ));
    let vms: Vec<_> = settings.control.iter().map(control_vm).collect();
    Rc::new(Entry {
        desk: desk::Desk::new(
            Arc::clone(&settings.zone),
            Rc::clone(&duties),
            carrier_of(&view),
        ),
        control: Peers::new(&vms, &journal),
        settings,
        journal,
        view,
        table,
        duties,
        bars,
        carrier,
        metrics: Metrics::default(),
        stopping: Cell::new(false),
    })
}

fn control_vm(member: &crate::settings::Member) -> ControlVm {
    ControlVm {
        vm: Arc::clone(&member.vm),
        address: member.peer,
    }
}

/// What a new carrier on this VM starts from: its own routes.
fn inherit(table: &route::Table) -> manager::Inherit {
    let table = table.clone();
    Box::new(move |service, zone| {
        let (routes, servers, fresh) = table.snapshot(service, zone, clock::now());
        InheritedState {
            routes,
            servers,
            map_valid: fresh,
            predecessor_end: None,
        }
    })
}

/// Where backend servers find the carrier for a service in a zone.
fn carrier_of(view: &Rc<View>) -> desk::desk::CarrierOf {
    let view = Rc::clone(view);
    Box::new(move |service, zone| {
        let delegation = view.delegation(service, zone)?;
        view.entry_vm(&delegation.primary)
            .map(|entry| entry.announce)
    })
}

/// Starts the tasks that follow the control VMs and the carriers.
fn follow(entry: &Rc<Entry>) {
    let (described, heard) = (Rc::clone(entry), Rc::clone(entry));
    let watch = Watcher {
        view: Rc::clone(&entry.view),
        control: entry.control.clone(),
        entry_vm: Box::new(move || described.describe()),
        capacities: Box::new(move || heard.desk.heard(clock::now())),
    };
    monoio::spawn(watch.run());
    let (reporting, answered) = (Rc::clone(&entry.carrier), Rc::clone(&entry.carrier));
    let renewals = Renewer {
        control: entry.control.clone(),
        vm: Arc::clone(&entry.settings.vm),
        report: Box::new(move |now| reporting.renewal_report(now)),
        on_response: Box::new(move |sent, _, answer| answered.record_renewals(sent, answer)),
        sequence: Cell::new(0),
    };
    monoio::spawn(renewals.run());
    let carrier = Rc::clone(&entry.carrier);
    monoio::spawn(async move { carrier.run().await });
    monoio::spawn(pull_routes(Rc::clone(entry)));
}

/// Sees that a task asks for routes for each delegation, for ever.
async fn pull_routes(entry: Rc<Entry>) {
    let puller = pull::Puller::new(entry.table.clone(), entry.journal.clone(), sources(&entry));
    loop {
        for delegation in entry.view.all_delegations() {
            puller.ensure(&delegation.service, &delegation.zone);
        }
        entry.view.changed.wait(ENSURE_PAUSE).await;
    }
}

fn sources(entry: &Rc<Entry>) -> pull::Hooks {
    let peers: RefCell<BTreeMap<SocketAddr, rpc::Peer>> = RefCell::default();
    let (asking, voting) = (Rc::clone(entry), Rc::clone(entry));
    pull::Hooks {
        find_target: Box::new(move |service, zone| {
            let delegation = asking.view.delegation(service, zone)?;
            let carrier = asking.view.entry_vm(&delegation.primary)?;
            let mut peers = peers.borrow_mut();
            let peer = peers
                .entry(carrier.peer)
                .or_insert_with(|| rpc::Peer::new(carrier.peer, asking.journal.clone()));
            let voter = delegation.voters.contains(&asking.settings.vm);
            let may_vote = asking
                .bars
                .may_vote(&asking.view, service, zone, delegation.epoch);
            Some(pull::Target {
                epoch: delegation.epoch,
                peer: peer.clone(),
                votes: voter && may_vote,
            })
        }),
        on_vote: Box::new(move |service, zone, epoch, at| {
            voting.bars.record_vote(service, zone, epoch, at);
        }),
    }
}

impl Entry {
    /// This VM as the control VMs are told.
    fn describe(&self) -> EntryVm {
        EntryVm {
            vm: Arc::clone(&self.settings.vm),
            zone: Arc::clone(&self.settings.zone),
            peer: self.settings.advertise.unwrap_or(self.settings.peer),
            announce: self.settings.announce,
            operator: self.settings.operator,
            stopping: self.stopping.get(),
        }
    }
}

/// Answers the calls of other processes.
async fn answer(entry: Rc<Entry>, method: Box<str>, body: Box<RawValue>) -> RpcResult {
    match &*method {
        PULL => pull_answer(&entry, &body).await,
        voter::METHOD => server::encode_result(
            &entry
                .bars
                .promise(clock::now(), &server::decode_params(&body)?),
        ),
        status::OVERVIEW => {
            let duties = entry.duties.list();
            let overviews: Vec<_> = duties.iter().map(|duty| duty.overview()).collect();
            server::encode_result(&overviews)
        }
        other => Err(server::unknown_method(other)),
    }
}

async fn pull_answer(entry: &Entry, body: &RawValue) -> RpcResult {
    let mut request: route::PullRequest = server::decode_params(body)?;
    request.max_wait = request.max_wait.min(timing::LONG_POLL_TIMEOUT);
    let Some(duty) = entry.duties.get(&request.service, &request.zone) else {
        return Err(Fault::new(error::REFUSED, "this VM is not the carrier"));
    };
    match duty.handle_pull(request).await {
        Ok(answer) => server::encode_result(&answer),
        Err(refused) => Err(Fault::new(error::REFUSED, &format!("{refused:?}"))),
    }
}
