//! Example backend server, for tests and demonstrations.
//!
//! It sends heartbeats, holds grants under a lease, keeps a counter and a last value for each key
//! in memory, and supports fault injection. After a restart its memory is empty.

mod faults;
mod heartbeat;
mod lease;
mod options;
mod record;
mod refusal;
mod server;

use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use agateyoke::runtime;
use agateyoke::web::{self, Limits, StopHandle};
use monoio::net::TcpListener;
use monoio::time;

use options::Options;
use server::Server;

/// Time between two checks for a signal.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Longest time for the primary to take back all grants.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for requests in flight to finish.
const FINISH_TIMEOUT: Duration = Duration::from_secs(30);

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let terminate = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        if let Err(error) = signal_hook::flag::register(signal, Arc::clone(&terminate)) {
            eprintln!("signal {signal}: {error}");
            return ExitCode::FAILURE;
        }
    }
    match runtime::run(serve(options, terminate)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(options: Options, terminate: Arc<AtomicBool>) -> std::io::Result<()> {
    let listener = TcpListener::bind(options.listen)?;
    let server = Rc::new(Server::new(options)?);
    if let Some(mode) = &server.options.fail_mode {
        server.faults.apply(&serde_json::from_str(mode)?);
    }
    let stop = StopHandle::default();
    let handling_server = Rc::clone(&server);
    let handler = move |request| Rc::clone(&handling_server).handle(request);
    monoio::spawn(web::serve(
        listener,
        Limits::default(),
        stop.clone(),
        handler,
    ));
    let heartbeat = monoio::spawn(heartbeat::run(Rc::clone(&server)));
    while !terminate.load(Ordering::Relaxed) {
        time::sleep(SIGNAL_POLL_INTERVAL).await;
    }
    server.draining.set(true);
    server.heartbeat_due.wake();
    let drained = time::timeout(DRAIN_TIMEOUT, heartbeat).await.is_ok();
    server.drained.set(true);
    stop.stop();
    match stop.wait_closed(FINISH_TIMEOUT).await {
        true if drained => Ok(()),
        true => Err(std::io::Error::other(
            "still owned keys after the drain timeout",
        )),
        false => Err(std::io::Error::other("requests in flight did not finish")),
    }
}
