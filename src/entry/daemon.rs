//! The entry daemon: watches the control VMs, grants spans and serves callers.

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
use super::{callers, heartbeat, operator};
use crate::clock;
use crate::control::leader_client::{ControlVm, LeaderClient};
use crate::control::status;
use crate::delegate::manager::{self, DelegationManager};
use crate::delegate::messages::EntryVm;
use crate::delegate::renew::Renewer;
use crate::delegate::view::View;
use crate::delegate::voter::{self, Voter};
use crate::delegate::watch::Watcher;
use crate::grant::{Granters, InheritedState};
use crate::heartbeat::{FindPrimary, Handler as HeartbeatHandler};
use crate::route::{self, pull};
use crate::rpc::{self, Fault, RpcResult, error, server};
use crate::settings::entry as settings;
use crate::settings::{StartError, bind};
use crate::signals::Signals;
use crate::timeline::{Event, Journal};
use crate::timing;
use crate::web;

/// Longest time for open requests to finish when the daemon stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for other VMs to take over the delegations of a VM that stops.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest interval between passes that start pull tasks for new delegations.
const PULL_START_INTERVAL: Duration = Duration::from_millis(100);

/// RPC method that pulls routes from a primary.
const PULL_METHOD: &str = "route.pull";

/// State shared by the tasks of the daemon.
pub struct EntryContext {
    /// Settings.
    pub settings: settings::Settings,
    /// Time line.
    pub journal: Journal,
    /// State received from the control VMs.
    pub view: Rc<View>,
    /// Routes.
    pub table: route::Table,
    /// Granters of the delegations of which this VM is the primary.
    pub granters: Rc<Granters>,
    /// Handler of the heartbeats of backend servers.
    pub heartbeats: HeartbeatHandler,
    /// Votes and promises of this VM.
    pub voter: Rc<Voter>,
    /// Takes over, renews and gives up delegations for this VM.
    pub delegations: Rc<DelegationManager>,
    /// RPC client of the control VMs.
    pub control: LeaderClient,
    /// Metrics.
    pub metrics: Metrics,
    /// Whether this VM is stopping.
    pub stopping: Cell<bool>,
}

impl fmt::Debug for EntryContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryContext")
            .field("vm", &self.settings.vm)
            .finish_non_exhaustive()
    }
}

/// Runs the daemon until it receives a signal to stop.
///
/// # Errors
///
/// [`StartError`] if an address cannot be used.
pub async fn run(settings: settings::Settings) -> Result<(), StartError> {
    let signals = Signals::install().map_err(StartError::Signals)?;
    let listeners = Listeners::bind(&settings)?;
    let entry = create_context(settings);
    let journal = entry.journal.clone();
    journal.record(Event::new("entry.started").zone(&entry.settings.zone));
    let stop = web::StopHandle::default();
    let stop_internal = web::StopHandle::default();
    spawn_tasks(&entry);
    listeners.serve(&entry, &stop, &stop_internal);
    signals.wait_for_stop().await;
    journal.record(Event::new("entry.stopping"));
    entry.stopping.set(true);
    entry.delegations.resign();
    stop.stop();
    entry.delegations.wait_handover(HANDOVER_TIMEOUT).await;
    let all_finished = stop.wait_closed(SHUTDOWN_TIMEOUT).await;
    stop_internal.stop();
    let detail = if all_finished {
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

    /// Serves callers until `stop`, backend servers and operators until `stop_internal`.
    fn serve(
        self,
        entry: &Rc<EntryContext>,
        stop: &web::StopHandle,
        stop_internal: &web::StopHandle,
    ) {
        let shared = Rc::clone(entry);
        let handler = move |method, body| handle_call(Rc::clone(&shared), method, body);
        monoio::spawn(rpc::serve(self.peer, entry.journal.clone(), handler));
        let shared = Rc::clone(entry);
        let handler = move |request| heartbeat::handle(Rc::clone(&shared), request);
        monoio::spawn(web::serve(
            self.announce,
            web::Limits::default(),
            stop_internal.clone(),
            handler,
        ));
        let shared = Rc::clone(entry);
        let handler = move |request| operator::handle(Rc::clone(&shared), request);
        monoio::spawn(web::serve(
            self.operator,
            web::Limits::default(),
            stop_internal.clone(),
            handler,
        ));
        monoio::spawn(callers::serve(self.callers, Rc::clone(entry), stop.clone()));
    }
}

fn create_context(settings: settings::Settings) -> Rc<EntryContext> {
    let journal = Journal::new(Arc::clone(&settings.vm));
    let view: Rc<View> = Rc::default();
    let table = route::Table::default();
    let granters: Rc<Granters> = Rc::default();
    let voter = Rc::new(Voter::new(clock::now()));
    let delegations = Rc::new(DelegationManager::new(
        Rc::clone(&view),
        Rc::clone(&voter),
        Rc::clone(&granters),
        inherit_state(&table),
        manager::ask_voters(Rc::clone(&view), journal.clone()),
        journal.clone(),
    ));
    let vms: Vec<_> = settings.control.iter().map(control_vm).collect();
    Rc::new(EntryContext {
        heartbeats: HeartbeatHandler::new(
            Arc::clone(&settings.zone),
            Rc::clone(&granters),
            find_primary(&view),
        ),
        control: LeaderClient::new(&vms, &journal),
        settings,
        journal,
        view,
        table,
        granters,
        voter,
        delegations,
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

/// State from which a new granter on this VM starts: the routes that the VM has.
fn inherit_state(table: &route::Table) -> manager::Inherit {
    let table = table.clone();
    Box::new(move |service, zone| {
        let (routes, servers, map_valid) = table.snapshot(service, zone, clock::now());
        InheritedState {
            routes,
            servers,
            map_valid,
            predecessor_end: None,
        }
    })
}

/// Looks up the address to which backend servers send heartbeats for a service in a zone.
fn find_primary(view: &Rc<View>) -> FindPrimary {
    let view = Rc::clone(view);
    Box::new(move |service, zone| {
        let delegation = view.delegation(service, zone)?;
        view.entry_vm(&delegation.primary)
            .map(|entry| entry.announce)
    })
}

/// Spawns the tasks that communicate with the control VMs and the primaries.
fn spawn_tasks(entry: &Rc<EntryContext>) {
    let (vm_context, capacity_context) = (Rc::clone(entry), Rc::clone(entry));
    let watcher = Watcher {
        view: Rc::clone(&entry.view),
        control: entry.control.clone(),
        entry_vm: Box::new(move || vm_context.entry_vm()),
        capacities: Box::new(move || capacity_context.heartbeats.recent_services(clock::now())),
    };
    monoio::spawn(watcher.run());
    let (reporter, recorder) = (Rc::clone(&entry.delegations), Rc::clone(&entry.delegations));
    let renewer = Renewer {
        control: entry.control.clone(),
        vm: Arc::clone(&entry.settings.vm),
        report: Box::new(move |now| reporter.renewal_report(now)),
        on_response: Box::new(move |sent, _, response| recorder.record_renewals(sent, response)),
        sequence: Cell::new(0),
    };
    monoio::spawn(renewer.run());
    let delegations = Rc::clone(&entry.delegations);
    monoio::spawn(async move { delegations.run().await });
    monoio::spawn(pull_routes(Rc::clone(entry)));
}

/// Starts a task that pulls routes for each delegation; never returns.
async fn pull_routes(entry: Rc<EntryContext>) {
    let puller = pull::Puller::new(
        entry.table.clone(),
        entry.journal.clone(),
        pull_hooks(&entry),
    );
    loop {
        for delegation in entry.view.all_delegations() {
            puller.ensure(&delegation.service, &delegation.zone);
        }
        entry.view.changed.wait(PULL_START_INTERVAL).await;
    }
}

fn pull_hooks(entry: &Rc<EntryContext>) -> pull::Hooks {
    let peers: RefCell<BTreeMap<SocketAddr, rpc::Peer>> = RefCell::default();
    let (target_context, vote_context) = (Rc::clone(entry), Rc::clone(entry));
    pull::Hooks {
        find_target: Box::new(move |service, zone| {
            let delegation = target_context.view.delegation(service, zone)?;
            let primary = target_context.view.entry_vm(&delegation.primary)?;
            let mut peers = peers.borrow_mut();
            let peer = peers
                .entry(primary.peer)
                .or_insert_with(|| rpc::Peer::new(primary.peer, target_context.journal.clone()));
            let is_voter = delegation.voters.contains(&target_context.settings.vm);
            let may_vote = target_context.voter.may_vote(
                &target_context.view,
                service,
                zone,
                delegation.epoch,
            );
            Some(pull::Target {
                epoch: delegation.epoch,
                peer: peer.clone(),
                votes: is_voter && may_vote,
            })
        }),
        on_vote: Box::new(move |service, zone, epoch, at| {
            vote_context.voter.record_vote(service, zone, epoch, at);
        }),
    }
}

impl EntryContext {
    /// Description of this VM for the control VMs.
    fn entry_vm(&self) -> EntryVm {
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

/// Handles an RPC from another process.
async fn handle_call(entry: Rc<EntryContext>, method: Box<str>, body: Box<RawValue>) -> RpcResult {
    match &*method {
        PULL_METHOD => handle_pull(&entry, &body).await,
        voter::METHOD => server::encode_result(
            &entry
                .voter
                .promise(clock::now(), &server::decode_params(&body)?),
        ),
        status::OVERVIEW_METHOD => {
            let granters = entry.granters.list();
            let overviews: Vec<_> = granters.iter().map(|granter| granter.overview()).collect();
            server::encode_result(&overviews)
        }
        other => Err(server::unknown_method(other)),
    }
}

async fn handle_pull(entry: &EntryContext, body: &RawValue) -> RpcResult {
    let mut request: route::PullRequest = server::decode_params(body)?;
    request.max_wait = request.max_wait.min(timing::LONG_POLL_TIMEOUT);
    let Some(granter) = entry.granters.get(&request.service, &request.zone) else {
        return Err(Fault::new(error::REFUSED, "this VM is not the carrier"));
    };
    match granter.handle_pull(request).await {
        Ok(response) => server::encode_result(&response),
        Err(refused) => Err(Fault::new(error::REFUSED, &format!("{refused:?}"))),
    }
}
