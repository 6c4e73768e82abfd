//! Start of a daemon with loaded settings.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use monoio::net::TcpListener;

use super::logging::{self, Logging};
use super::{EXIT_CODE, SettingsError};
use crate::runtime;

/// Why the daemon cannot start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be bound.
    Bind(SocketAddr, io::Error),
    /// The signal handlers cannot be installed.
    Signals(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Self::Signals(error) => write!(f, "cannot install signal handlers: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

/// Binds a listener to `address`.
///
/// # Errors
///
/// [`StartError::Bind`] with the address.
pub fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|e| StartError::Bind(address, e))
}

/// Initializes the logger and runs a daemon until it ends.
///
/// An error is written to standard error on one line. The exit code is
/// [`EXIT_CODE`] for settings and the logger, and 1 for an error of the daemon.
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
    if let Err(error) = logging::init(log(&settings)) {
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
