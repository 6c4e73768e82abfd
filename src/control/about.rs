//! What a control VM tells the others about itself, method `control.about`.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids;

/// Method of the question; it has no parameters.
pub const METHOD: &str = "control.about";

/// A control VM as it sees itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct About {
    /// Name.
    pub vm: ids::VmName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Its part in the replicated log.
    pub role: Arc<str>,
    /// Election term.
    pub term: ids::LogTerm,
    /// Last position known to be committed.
    pub commit: ids::LogIndex,
    /// Id of its disk.
    pub disk: Arc<str>,
    /// Bytes of its data folder; `None` if it cannot be read.
    pub disk_bytes: Option<u64>,
    /// Whether its log has stopped.
    pub stopped: bool,
}
