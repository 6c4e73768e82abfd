//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

/// Figures of one run from the records of backend servers and callers.
#[derive(Clone, Debug, FromArgs)]
pub(crate) struct Options {
    /// name of the scenario
    #[argh(option)]
    pub(crate) scenario: String,
    /// seed of the run
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// folder with the records
    #[argh(option)]
    pub(crate) folder: PathBuf,
    /// wall time of the fault or change, in milliseconds
    #[argh(option, default = "0")]
    pub(crate) event_ms: u64,
    /// wall time from which the load of servers is compared, in milliseconds
    #[argh(option, default = "0")]
    pub(crate) settled_ms: u64,
    /// backend servers that are lost or leave, with commas between them
    #[argh(option, from_str_fn(names))]
    pub(crate) victims: Option<Names>,
    /// backend servers before the event, for an even share of a new one
    #[argh(option, default = "0")]
    pub(crate) servers: u32,
    /// backend servers that the event adds
    #[argh(option, default = "0")]
    pub(crate) added: u32,
}

/// Names of one option.
pub(crate) type Names = Vec<String>;

fn names(value: &str) -> Result<Names, String> {
    let name = |part: &str| match part {
        "" => Err("empty name".to_owned()),
        part => Ok(part.to_owned()),
    };
    value.split(',').map(name).collect()
}

impl Options {
    /// Whether a backend server is lost or leaves.
    pub(crate) fn is_victim(&self, server: &str) -> bool {
        self.victims.iter().flatten().any(|v| v == server)
    }
}
