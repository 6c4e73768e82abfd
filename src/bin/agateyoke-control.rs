//! The control daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use agateyoke::{control, settings};

/// Keeps a replica of the log of documents, delegations, fences and claims.
///
/// Runs on each control VM and writes to its disk. Needs one JSON settings file
/// such as examples/settings/control-1.json. Stops gracefully on SIGTERM.
#[derive(argh::FromArgs)]
struct Arguments {
    /// path of the settings file
    #[argh(positional)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    settings::start(
        settings::control::load(&arguments.settings),
        |settings| &settings.log,
        control::daemon::run,
    )
}
