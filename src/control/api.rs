//! What operators ask of a daemon's operator port, and the answers.
//!
//! | request | answer |
//! | --- | --- |
//! | `POST /v1/documents/{service}` with [`ApplyRequest`] | 200 [`ApplyResponse`], 400 [`InvalidDocument`], 409 [`Conflict`], 409 [`ChangeIdReused`], 503 [`NotLeader`], 504 [`ErrorResponse`] |
//! | `GET /v1/documents` | 200 [`Documents`] |
//! | `GET /v1/documents/{service}` `[?version=N]` | 200 [`DocumentResponse`], 404 |
//! | `GET /v1/documents/{service}/history` | 200 [`History`], 404 |
//! | `GET /v1/status` | 200 [`Status`] |
//! | `GET /v1/vms` | 200 [`Vms`] |
//! | `POST /v1/servers/{service}/{server}/drain` `[?off=1]` | 200 [`DrainResponse`], 404 |
//! | `GET /v1/timeline?after=SEQ` | 200 [`Timeline`] |
//! | `GET /metrics` | 200, Prometheus text |
//!
//! Every daemon has `timeline` and `metrics`; the rest is for control VMs.
//! Where only the leader can answer, another control VM says 503 [`NotLeader`]
//! and has done nothing. A conflict is told only from the applied log, after a
//! look for the change id, so that it holds for earlier attempts as well. An error without an own type has [`ErrorResponse`] as body.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::delegate;
use crate::document::diff::Difference;
use crate::document::store;
use crate::document::{Document, check};
use crate::ids;
use crate::timeline::Event;

/// A change of a document, `POST /v1/documents/{service}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Version that the change was made from; 0 if the service is new.
    pub base: ids::Version,
    /// Id of the change; a resend has the same.
    pub change: ids::ChangeId,
    /// Who makes it.
    pub author: Arc<str>,
    /// Whether to check only and change nothing.
    #[serde(default)]
    pub dry_run: bool,
    /// The whole new document.
    pub document: serde_json::Value,
}

/// A change was accepted, or a dry run found nothing wrong; status 200.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyResponse {
    /// Version made, or that would be made.
    pub version: ids::Version,
    /// Position in the log; 0 for a dry run.
    pub index: ids::LogIndex,
    /// Whether the change had been accepted before, and this is the first answer again.
    #[serde(rename = "repeated")]
    pub duplicate: bool,
    /// Whether it was a dry run.
    pub dry_run: bool,
}

/// The document has faults, status 400.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InvalidDocument {
    /// All faults.
    pub findings: Vec<check::Finding>,
}

/// The change was not made from the current version, status 409.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Version that the change was made from.
    pub base: ids::Version,
    /// Current version; 0 if there is none.
    pub version: ids::Version,
    /// Change that made the current version.
    pub change: ids::ChangeId,
    /// Who made it.
    pub author: Arc<str>,
    /// Current document; `None` if there is none.
    pub current: Option<Document>,
    /// What changed from `base` to the current version; `None` if `base` is no longer kept.
    pub since: Option<Vec<Difference>>,
}

/// The id was used for another change, status 409.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeIdReused {
    /// The id.
    #[serde(rename = "reused")]
    pub change: ids::ChangeId,
}

/// Only the leader can do it and nothing was done, status 503.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NotLeader {
    /// Operator address of the leader, if known.
    pub leader: Option<SocketAddr>,
}

/// Why a request failed, for any other status than 200.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// In one line.
    pub error: Arc<str>,
    /// Whether the request may have had its effect all the same.
    #[serde(default)]
    pub may_have_run: bool,
}

/// A version of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentResponse {
    /// The version.
    #[serde(rename = "entry")]
    pub requested: store::DocumentVersion,
    /// Current version of the service.
    pub current: ids::Version,
}

/// The current versions of all services.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Documents {
    /// By name of the service.
    pub documents: Vec<VersionInfo>,
}

/// The versions kept of a document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Latest first.
    pub versions: Vec<VersionInfo>,
}

/// A version without its content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionInfo {
    /// Service.
    pub service: ids::ServiceName,
    /// Version.
    pub version: ids::Version,
    /// Change that made it.
    pub change: ids::ChangeId,
    /// Who made it.
    pub author: Arc<str>,
    /// Wall time in milliseconds.
    pub at_ms: u64,
}

/// All VMs of the system.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Vms {
    /// By role, then by name.
    pub vms: Vec<VmInfo>,
}

/// A VM of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmInfo {
    /// Name.
    pub vm: ids::VmName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// What it does.
    pub role: Role,
    /// Address for operators; `None` while unknown.
    pub operator: Option<SocketAddr>,
}

/// What a VM does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Control VM.
    Control,
    /// Entry VM.
    Entry,
}

/// A backend server was told to drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainResponse {
    /// Service.
    pub service: ids::ServiceName,
    /// Backend server.
    pub server: ids::ServerName,
    /// Spans that it still holds.
    pub spans: u64,
}

/// Events of one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Timeline {
    /// Oldest first.
    pub events: Vec<Event>,
}

/// State of the whole system, as the leader sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The control VMs.
    pub control: Vec<ControlVmStatus>,
    /// The entry VMs.
    pub entries: Vec<EntryVmStatus>,
    /// The services, by name.
    pub services: Vec<ServiceStatus>,
}

/// State of a control VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlVmStatus {
    /// Name.
    pub vm: ids::VmName,
    /// Availability zone.
    pub zone: Option<ids::ZoneName>,
    /// `leader`, `follower`, `candidate`, `learner` or `unreachable`.
    pub role: Arc<str>,
    /// Election term.
    pub term: ids::LogTerm,
    /// Last position known to be committed.
    pub commit: ids::LogIndex,
    /// Bytes of its data folder; `None` if unknown.
    pub disk_bytes: Option<u64>,
    /// What is wrong with its disk; `None` if nothing is known.
    #[serde(rename = "disk_fault")]
    pub disk_error: Option<Arc<str>>,
}

/// State of an entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryVmStatus {
    /// Name.
    pub vm: ids::VmName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Log position that it has taken in.
    pub index: ids::LogIndex,
    /// Milliseconds since it was last heard of.
    #[serde(rename = "heard_ms")]
    pub since_contact_ms: u64,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// State of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Service.
    pub service: ids::ServiceName,
    /// Current version of its document.
    pub version: ids::Version,
    /// Change that made it.
    pub change: ids::ChangeId,
    /// Position of that version in the log.
    pub index: ids::LogIndex,
    /// Entry VMs at which the version is in force.
    pub in_force: u32,
    /// Entry VMs that are not known to have it yet; with `in_force` these are all.
    pub lagging: Vec<ids::VmName>,
    /// Availability zones with a part of its keys.
    pub zones: Vec<ZoneStatus>,
    /// Spans that are not served, and why.
    #[serde(rename = "dark")]
    pub unrouted: Vec<UnroutedSpans>,
}

/// A service in one availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Entry VM that grants.
    #[serde(rename = "carrier")]
    pub primary: ids::VmName,
    /// Number of the delegation.
    pub epoch: ids::Epoch,
    /// Spans delegated.
    pub spans: u64,
    /// Milliseconds since the carrier last renewed; `None` if this leader has not heard of it.
    pub renewed_ms: Option<u64>,
    /// Backend servers.
    pub servers: Vec<ServerStatus>,
}

/// State of a backend server, as its carrier reported it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name.
    pub server: ids::ServerName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Whether it checks fences.
    pub checks: bool,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Spans that it holds.
    pub spans: u64,
    /// Whether its lease runs.
    #[serde(default)]
    pub alive: bool,
    /// Whether it is leaving.
    pub draining: bool,
}

/// Keys that are not served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnroutedSpans {
    /// Availability zone that they are delegated to; `None` if to none.
    pub zone: Option<ids::ZoneName>,
    /// Number of spans.
    pub spans: u64,
    /// Share of all keys, in thousandths.
    pub permille: u32,
    /// Why, in a few words.
    #[serde(rename = "why")]
    pub reason: Arc<str>,
}

impl From<&store::DocumentVersion> for VersionInfo {
    fn from(entry: &store::DocumentVersion) -> Self {
        Self {
            service: Arc::clone(&entry.document.service),
            version: entry.version,
            change: Arc::clone(&entry.change),
            author: Arc::clone(&entry.author),
            at_ms: entry.at_ms,
        }
    }
}

impl From<&delegate::messages::EntryVm> for VmInfo {
    fn from(entry: &delegate::messages::EntryVm) -> Self {
        Self {
            vm: Arc::clone(&entry.vm),
            zone: Arc::clone(&entry.zone),
            role: Role::Entry,
            operator: Some(entry.operator),
        }
    }
}
