//! The operators' client: one module for each subcommand.
//!
//! The client sends JSON over HTTP/1.1 to the operator ports of the control VMs.
//! A change carries an id, so the client may retry it whenever a response was
//! lost; if the outcome stays unknown, it says so ([`result::EXIT_UNKNOWN`]).

pub mod apply;
pub mod call;
pub mod check;
pub mod control_client;
pub mod diff;
pub mod drain;
pub mod history;
pub mod metrics;
pub mod output;
pub mod result;
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
use control_client::ControlClient;
use result::{CommandError, CommandOutput};

/// Environment variable with the operator addresses of the control VMs.
const CONTROL_ENV: &str = "AGATEYOKE_CONTROL";

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
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match Arguments::from_args(&["agateyoke"], &arguments) {
        Ok(arguments) => {
            let output = runtime::run(run_command(&arguments));
            output::print(&output, arguments.json);
            output.exit_code
        }
        Err(EarlyExit {
            output: help,
            status,
        }) if status.is_ok() => {
            output::print_stdout(&help);
            result::EXIT_DONE
        }
        Err(EarlyExit { output: usage, .. }) => {
            output::print_stderr(&usage);
            result::EXIT_USAGE
        }
    }
}

async fn run_command(arguments: &Arguments) -> CommandOutput {
    let control = match control_addresses(arguments.control.as_deref()) {
        Ok(addresses) => ControlClient::new(addresses),
        Err(error) => return error.into(),
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
    result.unwrap_or_else(CommandOutput::from)
}

/// Returns the addresses from the option, else from the environment; may be empty.
fn control_addresses(option: Option<&str>) -> Result<Vec<SocketAddr>, CommandError> {
    let text = match option {
        Some(text) => text.to_owned(),
        None => env::var(CONTROL_ENV).unwrap_or_default(),
    };
    parse_addresses(&text)
}

/// Parses addresses separated by commas.
fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, CommandError> {
    let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
    let error = |part: &str| {
        let message =
            format!("found {part:?}, allowed: IP addresses and ports such as 127.0.0.1:7111");
        CommandError::Usage(message.into())
    };
    parts.map(|p| p.parse().map_err(|_| error(p))).collect()
}
