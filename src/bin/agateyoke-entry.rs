//! The entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use agateyoke::{entry, settings};

/// Serves callers, receives heartbeats of backend servers and routes each
/// request to its owner.
///
/// Runs on each entry VM and keeps nothing on disk. Needs one JSON settings
/// file such as examples/settings/entry-1.json. Stops gracefully on SIGTERM.
#[derive(argh::FromArgs)]
struct Arguments {
    /// path of the settings file
    #[argh(positional)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    settings::start(
        settings::entry::load(&arguments.settings),
        |settings| &settings.log,
        entry::daemon::run,
    )
}
