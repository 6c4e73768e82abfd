//! Command-line options.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;

/// Sends requests over loopback, one at a time on each connection.
#[derive(Clone, Debug, FromArgs)]
pub(crate) struct Options {
    /// addresses of entry VMs for callers, separated by commas
    #[argh(option, from_str_fn(parse_addresses))]
    pub(crate) target: Targets,
    /// value of the `agateyoke-service` header
    #[argh(option, from_str_fn(parse_text))]
    pub(crate) service: Arc<str>,
    /// path of lookups, with `{{key}}` as a placeholder
    #[argh(option, default = "\"/look/{key}\".into()", from_str_fn(parse_text))]
    pub(crate) read_path: Arc<str>,
    /// path of claims, with `{{key}}` as a placeholder
    #[argh(option, default = "\"/claim/{key}\".into()", from_str_fn(parse_text))]
    pub(crate) claim_path: Arc<str>,
    /// number of connections, each with one request at a time
    #[argh(option, default = "16")]
    pub(crate) connections: u32,
    /// duration of the load in seconds
    #[argh(option, default = "5")]
    pub(crate) seconds: u64,
    /// limit of the number of requests, 0 for none
    #[argh(option, default = "0")]
    pub(crate) count: u64,
    /// requests per second over all connections, 0 for no rate limit
    #[argh(option, default = "0")]
    pub(crate) rate: u32,
    /// uses the keys in sequence instead of at random
    #[argh(switch, long = "in-turn")]
    pub(crate) sequential: bool,
    /// file to which one JSON line is appended for each sent request
    #[argh(option)]
    pub(crate) trace: Option<PathBuf>,
    /// percentage of claims among the requests
    #[argh(option, default = "0")]
    pub(crate) claims: u8,
    /// retries of a claim while its verdict is `may-have-run`
    #[argh(option, long = "resends", default = "0")]
    pub(crate) retries: u32,
    /// number of keys
    #[argh(option, default = "1000")]
    pub(crate) keys: usize,
    /// exponent of the Zipf distribution of keys, 0 for a uniform one
    #[argh(option, long = "zipf", default = "0.0")]
    pub(crate) zipf_exponent: f64,
    /// body size of each claim in bytes
    #[argh(option, default = "16")]
    pub(crate) body_bytes: usize,
    /// request timeout in milliseconds
    #[argh(option, default = "5000")]
    pub(crate) timeout_ms: u64,
    /// seed of the random keys and claim ids
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// file to which one JSON line is appended for each claim with its last status and verdict
    #[argh(option)]
    pub(crate) outcomes: Option<PathBuf>,
}

/// Addresses of `--target`.
pub(crate) type Targets = Vec<SocketAddr>;

fn parse_addresses(value: &str) -> Result<Targets, String> {
    let parse = |part: &str| part.trim().parse().map_err(|e| format!("{part}: {e}"));
    value.split(',').map(parse).collect()
}

fn parse_text(value: &str) -> Result<Arc<str>, String> {
    match value {
        "" => Err("empty".into()),
        text => Ok(text.into()),
    }
}
