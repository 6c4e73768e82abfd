//! Command-line options.

use std::path::PathBuf;

use argh::FromArgs;

/// Computes the metrics of one run from the records of backend servers and callers.
#[derive(Clone, Debug, FromArgs)]
pub(crate) struct Options {
    /// name of the scenario
    #[argh(option)]
    pub(crate) scenario: String,
    /// seed of the run
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// directory with the records
    #[argh(option, long = "folder")]
    pub(crate) directory: PathBuf,
    /// wall time of the fault or change, in milliseconds
    #[argh(option, default = "0")]
    pub(crate) event_ms: u64,
    /// wall time from which server loads are compared, in milliseconds
    #[argh(option, default = "0")]
    pub(crate) settled_ms: u64,
    /// backend servers that fail or leave, separated by commas
    #[argh(option, from_str_fn(parse_names))]
    pub(crate) victims: Option<Names>,
    /// backend servers before the event, for the fair share of a new one
    #[argh(option, default = "0")]
    pub(crate) servers: u32,
    /// backend servers that the event adds
    #[argh(option, default = "0")]
    pub(crate) added: u32,
}

/// Names of `--victims`.
pub(crate) type Names = Vec<String>;

fn parse_names(value: &str) -> Result<Names, String> {
    let name = |part: &str| match part {
        "" => Err("empty name".to_owned()),
        part => Ok(part.to_owned()),
    };
    value.split(',').map(name).collect()
}

impl Options {
    /// Whether a backend server fails or leaves.
    pub(crate) fn is_victim(&self, server: &str) -> bool {
        self.victims.iter().flatten().any(|v| v == server)
    }
}
