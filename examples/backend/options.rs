//! Command-line options.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use agateyoke::ids;
use argh::FromArgs;

/// A backend server that keeps a counter and a last value for each key.
#[derive(Clone, Debug, FromArgs)]
pub(crate) struct Options {
    /// name, unique in the service
    #[argh(option, from_str_fn(parse_name))]
    pub(crate) name: ids::ServerName,
    /// name of its service
    #[argh(option, from_str_fn(parse_name))]
    pub(crate) service: ids::ServiceName,
    /// availability zone
    #[argh(option, from_str_fn(parse_name))]
    pub(crate) zone: ids::ZoneName,
    /// address to listen on
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// addresses of entry VMs for heartbeats, separated by commas
    #[argh(option, from_str_fn(parse_addresses))]
    pub(crate) entry: Addresses,
    /// greatest number of concurrent requests
    #[argh(option, default = "6")]
    pub(crate) slots: u32,
    /// whether fence and lease are checked before a request runs
    #[argh(option, default = "true")]
    pub(crate) checks: bool,
    /// time that each request takes, in milliseconds
    #[argh(option, default = "0")]
    pub(crate) work_ms: u64,
    /// file to which one JSON line is appended for each executed request
    #[argh(option)]
    pub(crate) record: Option<PathBuf>,
    /// file to which one JSON line is appended for each refused request
    #[argh(option)]
    pub(crate) refusals: Option<PathBuf>,
    /// faults from the start, as the JSON body of `POST /_stand-in`
    #[argh(option)]
    pub(crate) fail_mode: Option<String>,
}

/// Addresses of `--entry`.
pub(crate) type Addresses = Vec<SocketAddr>;

fn parse_addresses(value: &str) -> Result<Addresses, String> {
    let parse = |part: &str| part.trim().parse().map_err(|e| format!("{part}: {e}"));
    value.split(',').map(parse).collect()
}

fn parse_name(value: &str) -> Result<Arc<str>, String> {
    match value {
        "" => Err("empty name".into()),
        name => Ok(name.into()),
    }
}
