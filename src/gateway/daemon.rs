//! Entry daemon of a fleet.

use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use monoio::net::{TcpListener, TcpStream};

use super::caller::Origin;
use super::control_poll::{self, Seeds};
use super::relay::MAX_PEER_CONNECTIONS;
use super::{Gateway, HeaderNames, caller, peers};
use crate::clock;
use crate::fleet::{Vm, VmRole};
use crate::settings::fleet::{DEFAULT_EVACUATION, EntrySettings, SettingsFile};
use crate::settings::{StartError, bind};
use crate::signals::Signals;
use crate::timeline::{Event, Journal};
use crate::web::{self, guard};

/// Interval between checks of signals, settings and idle connections.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Polls between sweeps of idle connections to backend servers.
const POLLS_PER_SWEEP: u32 = 10;

/// Delay after a failed accept, for example when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Limit of open caller connections, well below the process's file descriptor limit.
const MAX_CALLER_CONNECTIONS: usize = 2500;

/// Share of the grace period that requests in flight get: after five sixths of it they may
/// be abandoned, and the responses queued behind them still have to be sent.
const REQUEST_GRACE_RATIO: f64 = 0.86;

/// Share of the grace period after which the process ends.
const SHUTDOWN_GRACE_RATIO: f64 = 0.92;

/// Runs the daemon until a signal stops it.
///
/// # Errors
///
/// [`StartError`] if the signal handlers or an address can't be set up.
pub async fn run(
    source: SettingsFile<EntrySettings>,
    names: HeaderNames,
) -> Result<(), StartError> {
    let settings = source.initial().clone();
    let signals = Signals::install().map_err(StartError::Signals)?;
    let callers = bind(settings.callers)?;
    let ready = bind(settings.ready)?;
    let journal = Journal::new(Arc::clone(&settings.vm));
    let gateway = Gateway::new(names, Arc::clone(&settings.zone), &settings.retries);
    let seeds: Seeds = Rc::new(RefCell::new(settings.seeds().collect()));
    let local_vm = Vm {
        name: Arc::clone(&settings.vm),
        zone: Arc::clone(&settings.zone),
        address: settings.peer,
        role: VmRole::Entry,
    };
    gateway.drain.set(settings.drain);
    gateway
        .evacuation
        .set(settings.evacuation.unwrap_or(DEFAULT_EVACUATION));
    gateway.routing.borrow_mut().local_vm = Some(local_vm.clone());
    peers::socket::start(settings.peer, &gateway.routing.borrow().peers);
    journal.record(Event::new("gateway.started").zone(&settings.zone));
    let polling = control_poll::run(
        Rc::clone(&gateway),
        local_vm,
        Rc::clone(&seeds),
        journal.clone(),
    );
    monoio::spawn(polling);
    monoio::spawn(serve_readiness(ready, Rc::clone(&gateway)));
    monoio::spawn(accept_callers(callers, Rc::clone(&gateway)));
    match bind(settings.peer) {
        Ok(peers) => drop(monoio::spawn(accept_peers(peers, Rc::clone(&gateway)))),
        // Other entry VMs then send directly or through the next relay VM.
        Err(error) => log::warn!("event=gateway.no_relay error={:?}", error.to_string()),
    }
    poll_until_stopped(&source, &signals, &gateway, &seeds, &journal).await;
    shut_down(&settings, &gateway, &journal).await;
    Ok(())
}

/// Accepts caller connections for as long as the process runs.
async fn accept_callers(listener: TcpListener, gateway: Rc<Gateway>) {
    loop {
        let stream = accept(&listener).await;
        if gateway.stop.open_count() >= MAX_CALLER_CONNECTIONS {
            log::warn!("event=gateway.crowded open={}", gateway.stop.open_count());
            continue;
        }
        let gateway = Rc::clone(&gateway);
        monoio::spawn(async move {
            let work = pin!(caller::serve(gateway, stream));
            if guard::catch_panic(work).await.is_none() {
                log::error!("event=gateway.panic");
            }
        });
    }
}

/// Accepts connections of other entry VMs, whose requests this VM relays.
async fn accept_peers(listener: TcpListener, gateway: Rc<Gateway>) {
    loop {
        let stream = accept(&listener).await;
        let open = &gateway.relay.peer_connections;
        let is_crowded = gateway.stop.open_count() >= MAX_CALLER_CONNECTIONS;
        if is_crowded || open.get() >= MAX_PEER_CONNECTIONS {
            log::warn!("event=gateway.peers_crowded open={}", open.get());
            continue;
        }
        open.set(open.get() + 1);
        let gateway = Rc::clone(&gateway);
        monoio::spawn(async move {
            let work = pin!(caller::serve_from(
                Origin::Peer,
                Rc::clone(&gateway),
                stream
            ));
            if guard::catch_panic(work).await.is_none() {
                log::error!("event=gateway.panic");
            }
            let open = &gateway.relay.peer_connections;
            open.set(open.get().saturating_sub(1));
        });
    }
}

/// Accepts a connection, after a delay if that fails.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!("event=gateway.accept error={:?}", error.to_string());
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers the load balancer's readiness checks.
async fn serve_readiness(listener: TcpListener, gateway: Rc<Gateway>) {
    let stop = web::StopHandle::default();
    let handler = move |_request: Request<Bytes>| {
        let ready = gateway.is_ready();
        async move {
            let mut response = Response::new(Bytes::new());
            if !ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            response
        }
    };
    web::serve(listener, web::Limits::default(), stop, handler).await;
}

/// Reloads settings and closes expired idle connections until a signal stops the process.
async fn poll_until_stopped(
    source: &SettingsFile<EntrySettings>,
    signals: &Signals,
    gateway: &Gateway,
    seeds: &Seeds,
    journal: &Journal,
) {
    let mut settings_watch = source.watch();
    let mut polls = 0_u32;
    while !signals.stop_requested() {
        monoio::time::sleep(POLL_INTERVAL).await;
        if let Some(settings) =
            settings_watch.reload_if_changed::<EntrySettings>(signals.take_reload())
        {
            journal.record(Event::new("gateway.reloaded"));
            *seeds.borrow_mut() = settings.seeds().collect();
            gateway.budget.borrow_mut().update(&settings.retries);
            gateway.drain.set(settings.drain);
            gateway
                .evacuation
                .set(settings.evacuation.unwrap_or(DEFAULT_EVACUATION));
        }
        polls = polls.wrapping_add(1);
        if polls.is_multiple_of(POLLS_PER_SWEEP) {
            let now = clock::now();
            gateway
                .routing
                .borrow()
                .all_backends()
                .for_each(|b| b.close_expired(now));
            gateway.relay.sweep(&gateway.routing.borrow(), now);
        }
    }
}

/// Drains caller connections, then aborts the requests that remain.
async fn shut_down(settings: &EntrySettings, gateway: &Gateway, journal: &Journal) {
    journal.record(Event::new("gateway.stopping"));
    let started = clock::now();
    let request_grace = settings.grace.mul_f64(REQUEST_GRACE_RATIO);
    let total_grace = settings.grace.mul_f64(SHUTDOWN_GRACE_RATIO);
    let left =
        |grace: Duration| grace.saturating_sub(clock::now().saturating_duration_since(started));
    gateway.shut_down(caller::SHUTDOWN_KEEP_ALIVE);
    monoio::time::sleep(caller::SHUTDOWN_KEEP_ALIVE.min(request_grace)).await;
    let finished = gateway.stop.wait_closed(left(request_grace)).await;
    gateway.abort.stop();
    gateway.stop.wait_closed(left(total_grace)).await;
    let detail = format!(
        "whole={finished} answered={} refused={} repeated={} hedged={} hedges_won={} leaving={} quiet={}",
        gateway.counters.answered.get(),
        gateway.counters.rejected.get(),
        gateway.counters.retried.get(),
        gateway.counters.hedged.get(),
        gateway.counters.hedge_won.get(),
        gateway.counters.leaving.get(),
        gateway.counters.quiet.get(),
    );
    journal.record(Event::new("gateway.stopped").detail(&detail));
    let routing = gateway.routing.borrow();
    let counters = &routing.peers.counters;
    let detail = format!(
        "sent={} sent_bytes={} unsent={} received={} received_bytes={} malformed={} old={} \
         unknown={}",
        counters.sent.get(),
        counters.sent_bytes.get(),
        counters.unsent.get(),
        counters.received.get(),
        counters.received_bytes.get(),
        counters.malformed.get(),
        counters.old.get(),
        counters.unknown.get(),
    );
    journal.record(Event::new("gateway.peers").detail(&detail));
}
