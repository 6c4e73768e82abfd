//! A load generator for trials and tests over loopback.
//!
//! Each connection has one request under way at a time. With a rate, requests
//! have fixed times that do not depend on answers; a connection that is free
//! takes the next one. At the end one JSON
//! line says what the callers were told, how long it took, and the longest
//! time in which no request was done.

mod caller;
mod keys;
mod options;
mod tally;

use std::cell::{Cell, RefCell};
use std::io;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agateyoke::runtime;

use caller::{Caller, Shared};
use keys::Keys;
use options::Options;
use tally::Tally;

/// Most connections.
const CONNECTIONS_LIMIT: u32 = 4096;

/// Longest run.
const SECONDS_LIMIT: u64 = 3600;

fn main() -> ExitCode {
    match runtime::run(load(argh::from_env())) {
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

async fn load(options: Options) -> io::Result<String> {
    let seconds = Duration::from_secs(options.seconds.min(SECONDS_LIMIT));
    let shared = Rc::new(Shared {
        keys: Keys::new(options.keys, options.zipf),
        tally: RefCell::new(Tally::new(
            options.outcomes.as_deref(),
            options.trace.as_deref(),
        )?),
        start: Instant::now(),
        end: Instant::now() + seconds,
        sent: Cell::new(0),
        options,
    });
    let connections = 0..shared.options.connections.min(CONNECTIONS_LIMIT);
    let targets = shared.options.target.iter().cycle();
    let seed = shared.options.seed;
    let callers: Vec<_> = connections
        .zip(targets)
        .map(|(i, target)| {
            let seed = seed.wrapping_mul(u64::from(CONNECTIONS_LIMIT)) + u64::from(i);
            monoio::spawn(Caller::new(&shared, *target, seed).run())
        })
        .collect();
    for caller in callers {
        caller.await?;
    }
    shared.tally.borrow_mut().flush()?;
    let summary = shared.tally.borrow().summary();
    serde_json::to_string(&summary).map_err(io::Error::other)
}
