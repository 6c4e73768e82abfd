//! What a control VM reports about itself to the others, method `control.about`.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids;

/// Method without parameters that returns a [`ControlInfo`].
pub const METHOD: &str = "control.about";

/// State of a control VM, reported by itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlInfo {
    /// Name of the VM.
    pub vm: ids::VmName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address for operators.
    pub operator: SocketAddr,
    /// `leader`, `follower`, `candidate` or `learner`.
    pub role: Arc<str>,
    /// Election term.
    pub term: ids::LogTerm,
    /// Last log index known to be committed.
    pub commit: ids::LogIndex,
    /// Id of the log replica.
    #[serde(rename = "disk")]
    pub replica: Arc<str>,
    /// Size of the data directory in bytes; `None` if it cannot be read.
    #[serde(rename = "disk_bytes")]
    pub data_bytes: Option<u64>,
    /// Whether the log has stopped.
    pub stopped: bool,
}
