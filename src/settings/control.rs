//! Settings of a control VM.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::logging::{self, Logging};
use super::{Member, SettingsError};
use crate::fields::{Fields, Report};
use crate::ids;

/// Settings of a control VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM, unique among all VMs.
    pub vm: ids::VmName,
    /// Availability zone of this VM.
    pub zone: ids::ZoneName,
    /// Listen address for RPC between the daemons.
    pub peer: SocketAddr,
    /// Listen address for operators.
    pub operator: SocketAddr,
    /// Data directory on durable storage; a relative path is resolved against the working directory.
    pub data: PathBuf,
    /// Initial members of the replicated log.
    pub members: Vec<Member>,
    /// Log level and log file.
    #[serde(default)]
    pub log: Logging,
}

/// Loads and checks the settings of a control VM.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    super::load(path, check)
}

pub(super) fn check(report: &Report, value: &Value) {
    let known = ["vm", "zone", "peer", "operator", "data", "members", "log"];
    let Some(fields) = Fields::new(report, "", value, &known) else {
        return;
    };
    super::check_name(&fields, "vm");
    super::check_name(&fields, "zone");
    super::check_address(&fields, "peer");
    super::check_address(&fields, "operator");
    fields.text("data", "the path of a directory", |text| !text.is_empty());
    super::check_members(report, &fields, "members");
    logging::check(report, &fields);
}
