//! From loaded settings to a running daemon.

use std::fmt;
use std::process::ExitCode;

use super::logging::{self, Logging};
use super::{EXIT_CODE, SettingsError};
use crate::runtime;

/// Sets up the log and runs a daemon until it ends.
///
/// Whatever prevents the start is written to standard error in one line, and
/// the exit code is [`EXIT_CODE`] for settings and 1 for anything else.
pub fn start<S, L, R, F, E>(settings: Result<S, SettingsError>, log: L, run: R) -> ExitCode
where
    L: FnOnce(&S) -> &Logging,
    R: FnOnce(S) -> F,
    F: Future<Output = Result<(), E>>,
    E: fmt::Display,
{
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => return fail(&error, EXIT_CODE),
    };
    if let Err(error) = logging::start(log(&settings)) {
        return fail(&error, EXIT_CODE);
    }
    match runtime::run(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error, 1),
    }
}

fn fail<E>(error: &E, code: u8) -> ExitCode
where
    E: fmt::Display,
{
    eprintln!("{error}");
    ExitCode::from(code)
}
