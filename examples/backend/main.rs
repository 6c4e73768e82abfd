//! A backend server for trials and tests.
//!
//! It announces itself, holds grants under a lease, keeps a counter and a last
//! value for each key in memory, and can be told to misbehave. Started again it
//! knows nothing: it starts cold.

mod heartbeat;
mod lease;
mod mischief;
mod options;
mod record;
mod refused;
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

/// Time between looks for a signal.
const SIGNAL_TICK: Duration = Duration::from_millis(5);

/// Longest time for the zone to take all grants back.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// Longest time for requests in flight to finish.
const FINISH_LIMIT: Duration = Duration::from_secs(30);

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let told = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        if let Err(error) = signal_hook::flag::register(signal, Arc::clone(&told)) {
            eprintln!("signal {signal}: {error}");
            return ExitCode::FAILURE;
        }
    }
    match runtime::run(serve(options, told)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(options: Options, told: Arc<AtomicBool>) -> std::io::Result<()> {
    let listener = TcpListener::bind(options.listen)?;
    let server = Rc::new(Server::new(options)?);
    if let Some(mode) = &server.options.fail_mode {
        server.mischief.change(&serde_json::from_str(mode)?);
    }
    let stop = StopHandle::default();
    let handling = Rc::clone(&server);
    let handler = move |request| Rc::clone(&handling).handle(request);
    monoio::spawn(web::serve(
        listener,
        Limits::default(),
        stop.clone(),
        handler,
    ));
    let heartbeat = monoio::spawn(heartbeat::run(Rc::clone(&server)));
    while !told.load(Ordering::Relaxed) {
        time::sleep(SIGNAL_TICK).await;
    }
    server.draining.set(true);
    server.asked.wake();
    let drained = time::timeout(DRAIN_LIMIT, heartbeat).await.is_ok();
    server.drained.set(true);
    stop.stop();
    match stop.wait_closed(FINISH_LIMIT).await {
        true if drained => Ok(()),
        true => Err(std::io::Error::other(
            "still owned keys after the longest wait",
        )),
        false => Err(std::io::Error::other("requests in flight did not finish")),
    }
}
