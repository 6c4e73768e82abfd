//! The entry daemon of a fleet.

use std::cell::RefCell;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use monoio::net::TcpListener;

use super::follow::{self, Seeds};
use super::{Gate, Names, caller};
use crate::clock;
use crate::fleet::{Vm, VmRole};
use crate::settings::fleet::{Entry, Source};
use crate::settings::{StartError, bind};
use crate::signals::Signals;
use crate::timeline::{Event, Journal};
use crate::web::{self, guard};

/// Time between looks at signals, settings and idle connections.
const LOOK: Duration = Duration::from_millis(100);

/// Looks between two sweeps of idle connections to backend servers.
const SWEEP_LOOKS: u32 = 10;

/// Pause after a failed accept, such as with no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Connections of callers at a time, well below the descriptors that a process may have.
const CONNECTIONS: usize = 2500;

/// Part of the time until the process is killed that requests under way get: after five
/// sixths of it they may be given up, and answers that wait behind them still have to go out.
const WORK_PART: f64 = 0.86;

/// The same for the end of the process.
const GRACE_PART: f64 = 0.92;

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// [`StartError`] if an address cannot be used.
pub async fn run(source: Source<Entry>, names: Names) -> Result<(), StartError> {
    let settings = source.first().clone();
    let signals = Signals::take().map_err(StartError::Signals)?;
    let callers = bind(settings.callers)?;
    let ready = bind(settings.ready)?;
    let journal = Journal::new(Arc::clone(&settings.vm));
    let gate = Gate::new(names, Arc::clone(&settings.zone), &settings.retries);
    let seeds: Seeds = Rc::new(RefCell::new(settings.seeds().collect()));
    let own = Vm {
        name: Arc::clone(&settings.vm),
        zone: Arc::clone(&settings.zone),
        address: settings.peer,
        role: VmRole::Entry,
    };
    gate.known.borrow_mut().own = Some(own.clone());
    journal.record(Event::new("gateway.started").zone(&settings.zone));
    let following = follow::run(Rc::clone(&gate), own, Rc::clone(&seeds), journal.clone());
    monoio::spawn(following);
    monoio::spawn(tell_ready(ready, Rc::clone(&gate)));
    monoio::spawn(accept(callers, Rc::clone(&gate)));
    watch(&source, &signals, &gate, &seeds, &journal).await;
    leave(&settings, &gate, &journal).await;
    Ok(())
}

/// Accepts callers for as long as the process runs.
async fn accept(listener: TcpListener, gate: Rc<Gate>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                refuse(&error).await;
                continue;
            }
        };
        if gate.stop.open() >= CONNECTIONS {
            log::warn!("event=gateway.crowded open={}", gate.stop.open());
            continue;
        }
        let gate = Rc::clone(&gate);
        monoio::spawn(async move {
            let work = pin!(caller::serve(gate, stream));
            if guard::contain(work).await.is_none() {
                log::error!("event=gateway.panic");
            }
        });
    }
}

async fn refuse(error: &io::Error) {
    log::warn!("event=gateway.accept error={:?}", error.to_string());
    monoio::time::sleep(ACCEPT_PAUSE).await;
}

/// Tells the balancer whether this VM is ready.
async fn tell_ready(listener: TcpListener, gate: Rc<Gate>) {
    let stop = web::Stop::default();
    let answer = move |_request: Request<Bytes>| {
        let ready = gate.is_ready();
        async move {
            let mut response = Response::new(Bytes::new());
            if !ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            response
        }
    };
    web::serve(listener, web::Limits::default(), stop, answer).await;
}

/// Looks after settings and idle connections until a signal asks to stop.
async fn watch(
    source: &Source<Entry>,
    signals: &Signals,
    gate: &Gate,
    seeds: &Seeds,
    journal: &Journal,
) {
    let mut watch = source.watch();
    let mut looks = 0_u32;
    while !signals.is_stopped() {
        monoio::time::sleep(LOOK).await;
        if let Some(settings) = watch.changed::<Entry>(signals.take_reload()) {
            journal.record(Event::new("gateway.reloaded"));
            *seeds.borrow_mut() = settings.seeds().collect();
            gate.budget.borrow_mut().set(&settings.retries);
        }
        looks = looks.wrapping_add(1);
        if looks.is_multiple_of(SWEEP_LOOKS) {
            let now = clock::now();
            gate.known.borrow().all().for_each(|b| b.sweep(now));
        }
    }
}

/// Lets the requests under way end, and callers go elsewhere.
async fn leave(settings: &Entry, gate: &Gate, journal: &Journal) {
    journal.record(Event::new("gateway.stopping"));
    let begun = clock::now();
    let work = settings.grace.mul_f64(WORK_PART);
    let last = settings.grace.mul_f64(GRACE_PART);
    let left = |of: Duration| of.saturating_sub(clock::now().saturating_duration_since(begun));
    gate.close(caller::LEAVE);
    monoio::time::sleep(caller::LEAVE.min(work)).await;
    let whole = gate.stop.finished(left(work)).await;
    gate.cut.stop();
    gate.stop.finished(left(last)).await;
    let detail = format!(
        "whole={whole} answered={} refused={} repeated={}",
        gate.counts.answered.get(),
        gate.counts.refused.get(),
        gate.counts.repeated.get(),
    );
    journal.record(Event::new("gateway.stopped").detail(&detail));
}
