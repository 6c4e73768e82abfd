//! Settings of an entry VM.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::logging::{self, Logging};
use super::{Member, SettingsError};
use crate::fields::{Fields, Report};
use crate::ids;

/// Settings of an entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM, unique among all VMs.
    pub vm: ids::VmName,
    /// Availability zone of this VM.
    pub zone: ids::ZoneName,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for heartbeats of backend servers.
    pub announce: SocketAddr,
    /// Listen address for RPC between the daemons.
    pub peer: SocketAddr,
    /// Address at which other daemons reach `peer`, if it differs from the listen address.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Listen address for operators.
    pub operator: SocketAddr,
    /// The control VMs.
    pub control: Vec<Member>,
    /// Log level and log file.
    #[serde(default)]
    pub log: Logging,
}

/// Loads and checks the settings of an entry VM.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    super::load(path, check)
}

pub(super) fn check(report: &Report, value: &Value) {
    let known = [
        "vm",
        "zone",
        "callers",
        "announce",
        "peer",
        "advertise",
        "operator",
        "control",
        "log",
    ];
    let Some(fields) = Fields::new(report, "", value, &known) else {
        return;
    };
    super::check_name(&fields, "vm");
    super::check_name(&fields, "zone");
    for key in ["callers", "announce", "peer", "operator"] {
        super::check_address(&fields, key);
    }
    if fields.optional("advertise").is_some() {
        super::check_address(&fields, "advertise");
    }
    super::check_members(report, &fields, "control");
    logging::check(report, &fields);
}
