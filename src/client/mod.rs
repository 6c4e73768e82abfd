//! The operators' client: one module for each subcommand.
//!
//! It speaks JSON over HTTP/1.1 to the operator ports of the control VMs. A
//! change carries an id, so the client may send it again whenever an answer was
//! lost; what it can't learn it says ([`answer::UNKNOWN`]).

pub mod answer;
pub mod apply;
pub mod call;
pub mod check;
pub mod control;
pub mod diff;
pub mod drain;
pub mod history;
pub mod metrics;
pub mod output;
pub mod rollback;
pub mod show;
pub mod status;
pub mod timeline;
pub mod vms;

#[cfg(test)]
mod tests;

use std::env;
use std::net::SocketAddr;

use argh::{EarlyExit, FromArgs};

use crate::runtime;
use answer::{Answer, Failure};
use control::Control;

/// Environment variable with the control VMs' operator addresses.
const CONTROL_VARIABLE: &str = "AGATEYOKE_CONTROL";

/// Look at and change how agateyoke routes requests.
///
/// Exit codes: 0 done; 1 refused or failed, nothing was changed; 2 wrong usage
/// or a wrong file; 3 conflict with another change; 4 unknown whether done.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// operator addresses of control VMs, split by commas; else taken from `AGATEYOKE_CONTROL`
    #[argh(option)]
    control: Option<String>,
    /// answer in JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(check::Arguments),
    Apply(apply::Arguments),
    Show(show::Arguments),
    History(history::Arguments),
    Diff(diff::Arguments),
    Rollback(rollback::Arguments),
    Status(status::Arguments),
    Drain(drain::Arguments),
    Timeline(timeline::Arguments),
    Metrics(metrics::Arguments),
}

/// Runs the client with the arguments of this process and returns its exit code.
pub fn run() -> i32 {
    let words: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match Arguments::from_args(&["agateyoke"], &words) {
        Ok(arguments) => {
            let answer = runtime::run(execute(&arguments));
            output::print(&answer, arguments.json);
            answer.code
        }
        Err(EarlyExit {
            output: help,
            status,
        }) if status.is_ok() => {
            output::say(&help);
            answer::DONE
        }
        Err(EarlyExit { output: usage, .. }) => {
            output::complain(&usage);
            answer::USAGE
        }
    }
}

async fn execute(arguments: &Arguments) -> Answer {
    let control = match addresses(arguments.control.as_deref()) {
        Ok(addresses) => Control::new(addresses),
        Err(failure) => return failure.into(),
    };
    let result = match &arguments.command {
        Command::Check(a) => check::run(a),
        Command::Apply(a) => apply::run(a, &control).await,
        Command::Show(a) => show::run(a, &control).await,
        Command::History(a) => history::run(a, &control).await,
        Command::Diff(a) => diff::run(a, &control).await,
        Command::Rollback(a) => rollback::run(a, &control).await,
        Command::Status(a) => status::run(a, &control).await,
        Command::Drain(a) => drain::run(a, &control).await,
        Command::Timeline(a) => timeline::run(a, &control).await,
        Command::Metrics(a) => metrics::run(a, &control).await,
    };
    result.unwrap_or_else(Answer::from)
}

/// The addresses given by option, else by environment; may be none.
fn addresses(option: Option<&str>) -> Result<Vec<SocketAddr>, Failure> {
    let text = match option {
        Some(text) => text.to_owned(),
        None => env::var(CONTROL_VARIABLE).unwrap_or_default(),
    };
    parse_addresses(&text)
}

/// Reads addresses split by commas.
fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, Failure> {
    let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
    let wrong = |part: &str| {
        let line =
            format!("found {part:?}, allowed: IP addresses and ports such as 127.0.0.1:7111");
        Failure::Usage(line.into())
    };
    parts.map(|p| p.parse().map_err(|_| wrong(p))).collect()
}
