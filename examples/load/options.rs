//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;

/// Requests over loopback, as many at a time as there are connections.
#[derive(Clone, Debug, FromArgs)]
pub(crate) struct Options {
    /// callers' addresses of entry VMs, with commas between them
    #[argh(option, from_str_fn(addresses))]
    pub(crate) target: Targets,
    /// service, for the `agateyoke-service` header
    #[argh(option, from_str_fn(to_text))]
    pub(crate) service: Arc<str>,
    /// path of reads, with `{{key}}` in it
    #[argh(option, default = "\"/look/{key}\".into()", from_str_fn(to_text))]
    pub(crate) read_path: Arc<str>,
    /// path of claims, with `{{key}}` in it
    #[argh(option, default = "\"/claim/{key}\".into()", from_str_fn(to_text))]
    pub(crate) claim_path: Arc<str>,
    /// connections, each with one request at a time
    #[argh(option, default = "16")]
    pub(crate) connections: u32,
    /// seconds until no more requests are sent
    #[argh(option, default = "5")]
    pub(crate) seconds: u64,
    /// requests in all, 0 for no such limit
    #[argh(option, default = "0")]
    pub(crate) count: u64,
    /// requests a second over all connections, 0 for as many as are answered
    #[argh(option, default = "0")]
    pub(crate) rate: u32,
    /// asks for the keys one after the other, not at random
    #[argh(switch)]
    pub(crate) in_turn: bool,
    /// file that gets one JSON line for each request that was sent
    #[argh(option)]
    pub(crate) trace: Option<PathBuf>,
    /// claims among a hundred requests
    #[argh(option, default = "0")]
    pub(crate) claims: u8,
    /// times that a claim is sent again while it may have run
    #[argh(option, default = "0")]
    pub(crate) resends: u32,
    /// number of keys
    #[argh(option, default = "1000")]
    pub(crate) keys: usize,
    /// exponent of the Zipf distribution of keys, 0 for an even one
    #[argh(option, default = "0.0")]
    pub(crate) zipf: f64,
    /// bytes of each claim's body
    #[argh(option, default = "16")]
    pub(crate) body_bytes: usize,
    /// milliseconds until an answer is given up
    #[argh(option, default = "5000")]
    pub(crate) timeout_ms: u64,
    /// seed of keys and claims
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// file that gets one JSON line for each claim with what its caller was told
    #[argh(option)]
    pub(crate) outcomes: Option<PathBuf>,
}

/// Addresses of one option.
pub(crate) type Targets = Vec<SocketAddr>;

fn addresses(value: &str) -> Result<Targets, String> {
    let parse = |part: &str| part.trim().parse().map_err(|e| format!("{part}: {e}"));
    value.split(',').map(parse).collect()
}

fn to_text(value: &str) -> Result<Arc<str>, String> {
    match value {
        "" => Err("empty".into()),
        text => Ok(text.into()),
    }
}
