//! Load generator for tests over loopback.
//!
//! Each connection has one request in flight. With a rate, requests have fixed times that don't
//! depend on responses, and the next free connection sends the next request (open loop). The
//! final output is one JSON line with the responses by status and verdict, the latency, and the
//! longest time in which no request was done.

mod caller;
mod keys;
mod options;
mod stats;

use std::cell::{Cell, RefCell};
use std::io;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agateyoke::runtime;

use caller::{Caller, Shared};
use keys::Keys;
use options::Options;
use stats::Stats;

const MAX_CONNECTIONS: u32 = 4096;

const MAX_SECONDS: u64 = 3600;

fn main() -> ExitCode {
    match runtime::run(run_load(argh::from_env())) {
        Ok(summary) => {
            println!("{summary}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_load(options: Options) -> io::Result<String> {
    let seconds = Duration::from_secs(options.seconds.min(MAX_SECONDS));
    let shared = Rc::new(Shared {
        keys: Keys::new(options.keys, options.zipf_exponent),
        stats: RefCell::new(Stats::new(
            options.outcomes.as_deref(),
            options.trace.as_deref(),
        )?),
        start: Instant::now(),
        end: Instant::now() + seconds,
        next_request: Cell::new(0),
        options,
    });
    let connections = 0..shared.options.connections.min(MAX_CONNECTIONS);
    let targets = shared.options.target.iter().cycle();
    let seed = shared.options.seed;
    let callers: Vec<_> = connections
        .zip(targets)
        .map(|(i, target)| {
            let seed = seed.wrapping_mul(u64::from(MAX_CONNECTIONS)) + u64::from(i);
            monoio::spawn(Caller::new(&shared, *target, seed).run())
        })
        .collect();
    for caller in callers {
        caller.await?;
    }
    shared.stats.borrow_mut().flush()?;
    let summary = shared.stats.borrow().summary();
    serde_json::to_string(&summary).map_err(io::Error::other)
}
