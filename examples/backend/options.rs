//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use agateyoke::ids;
use argh::FromArgs;

/// A backend server that keeps a counter and a last value for each key.
#[derive(Clone, Debug, FromArgs)]
pub(crate) struct Options {
    /// name, unique in the service
    #[argh(option, from_str_fn(to_name))]
    pub(crate) name: ids::ServerName,
    /// service that it belongs to
    #[argh(option, from_str_fn(to_name))]
    pub(crate) service: ids::ServiceName,
    /// availability zone
    #[argh(option, from_str_fn(to_name))]
    pub(crate) zone: ids::ZoneName,
    /// address for requests
    #[argh(option)]
    pub(crate) listen: SocketAddr,
    /// announce addresses of entry VMs, with commas between them
    #[argh(option, from_str_fn(addresses))]
    pub(crate) entry: Addresses,
    /// requests worked on at a time
    #[argh(option, default = "6")]
    pub(crate) slots: u32,
    /// whether fence and lease are checked before work
    #[argh(option, default = "true")]
    pub(crate) checks: bool,
    /// time that each request takes, in milliseconds
    #[argh(option, default = "0")]
    pub(crate) work_ms: u64,
    /// file that gets one JSON line for each request that ran
    #[argh(option)]
    pub(crate) record: Option<PathBuf>,
    /// file that gets one JSON line for each request that was refused
    #[argh(option)]
    pub(crate) refusals: Option<PathBuf>,
    /// misbehaviour from the start, as JSON for `POST /_stand-in`
    #[argh(option)]
    pub(crate) fail_mode: Option<String>,
}

/// Addresses of one option.
pub(crate) type Addresses = Vec<SocketAddr>;

fn addresses(value: &str) -> Result<Addresses, String> {
    let parse = |part: &str| part.trim().parse().map_err(|e| format!("{part}: {e}"));
    value.split(',').map(parse).collect()
}

fn to_name(value: &str) -> Result<Arc<str>, String> {
    match value {
        "" => Err("empty name".into()),
        name => Ok(name.into()),
    }
}
