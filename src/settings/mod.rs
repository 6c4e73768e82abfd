//! Settings of the daemons.
//!
//! One JSON file holds the name, the addresses and the availability zone of a
//! daemon. All errors in the file are reported on one line, and a daemon with
//! invalid settings exits with [`EXIT_CODE`].

pub mod control;
pub mod entry;
pub mod fleet;
pub mod logging;
mod start;

#[cfg(test)]
mod tests;

pub use start::{StartError, bind, start};

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::fields::{self, Fields, Finding, Report};
use crate::ids;

/// Exit code of a daemon whose settings are unreadable or invalid.
pub const EXIT_CODE: u8 = 2;

const ADDRESS_SYNTAX: &str = "an IP address and port such as 127.0.0.1:8080";

const NAME_SYNTAX: &str = "a name of 1 to 63 printable characters without spaces";

const MAX_NAME_BYTES: usize = 63;

/// Control VM in the settings of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name of the VM.
    pub vm: ids::VmName,
    /// RPC address of the daemon.
    pub peer: SocketAddr,
}

/// Why settings cannot be loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// Path of the file.
        file: Arc<str>,
        /// Error of the operating system.
        cause: Arc<str>,
    },
    /// The content is invalid.
    Invalid {
        /// Path of the file.
        file: Arc<str>,
        /// All errors in the file.
        findings: Vec<Finding>,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file, cause } => write!(f, "{file}: can't be read: {cause}"),
            Self::Invalid { file, findings } => {
                let parts: Vec<String> = findings.iter().map(|f| format!("key {f}")).collect();
                write!(f, "{file}: {}", parts.join(" | "))
            }
        }
    }
}

/// Loads a file; `check` validates the fields one by one.
fn load<T, F>(path: &Path, check: F) -> Result<T, SettingsError>
where
    T: DeserializeOwned,
    F: FnOnce(&Report, &Value),
{
    let file: Arc<str> = path.display().to_string().into();
    let text = fs::read_to_string(path).map_err(|e| SettingsError::Unreadable {
        file: Arc::clone(&file),
        cause: e.to_string().into(),
    })?;
    parse(&text, check).map_err(|findings| SettingsError::Invalid { file, findings })
}

fn parse<T, F>(text: &str, check: F) -> Result<T, Vec<Finding>>
where
    T: DeserializeOwned,
    F: FnOnce(&Report, &Value),
{
    let report = Report::default();
    if let Some(value) = fields::parse(&report, text) {
        check(&report, &value);
        match serde_json::from_value(value) {
            Ok(settings) if report.is_empty() => return Ok(settings),
            Err(e) if report.is_empty() => report.add("$", &e.to_string(), "settings"),
            _ => {}
        }
    }
    Err(report.into_findings())
}

fn check_name(fields: &Fields<'_>, key: &str) {
    fields.text(key, NAME_SYNTAX, |text| {
        let printable = text.bytes().all(|b| b.is_ascii_graphic());
        printable && (1..=MAX_NAME_BYTES).contains(&text.len())
    });
}

fn check_address(fields: &Fields<'_>, key: &str) {
    fields.text(key, ADDRESS_SYNTAX, |text| {
        text.parse::<SocketAddr>().is_ok()
    });
}

fn check_members(report: &Report, fields: &Fields<'_>, key: &str) {
    let allowed = "a list of control VMs, each with vm and peer";
    let Some(list) = fields.list(key, allowed) else {
        return;
    };
    if list.is_empty() {
        fields.add(key, allowed);
    }
    let mut names = Vec::new();
    for (i, value) in list.iter().enumerate() {
        let path = format!("{}[{i}]", fields.path(key));
        let Some(member) = Fields::new(report, &path, value, &["vm", "peer"]) else {
            continue;
        };
        check_name(&member, "vm");
        check_address(&member, "peer");
        let name = value.get("vm").filter(|v| v.is_string());
        if name.is_some_and(|n| names.contains(&n)) {
            member.add("vm", "each VM once");
        }
        names.extend(name);
    }
}
