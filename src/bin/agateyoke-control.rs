//! The control daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use agateyoke::{control, settings};

/// Holds a part of the replicated log: documents, delegations, fences, claims.
///
/// Runs on each VM with a disk. Needs one JSON settings file; an example
/// stands in examples/settings/control-1.json. Stops gracefully on SIGTERM.
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
