//! Requests of operators to a daemon's operator port, and the responses.
//!
//! | request | response |
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
//! Every daemon serves `timeline` and `metrics`; the rest is served by control VMs.
//! Where only the leader can respond, another control VM responds 503 [`NotLeader`]
//! and has done nothing. A conflict is reported only from the applied log, after a
//! lookup of the change id, so that it holds for earlier attempts as well. An error
//! without a type of its own has [`ErrorResponse`] as body.

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
    /// Id of the change; a retry has the same id.
    pub change: ids::ChangeId,
    /// Author of the change.
    pub author: Arc<str>,
    /// Whether to check only, without a change.
    #[serde(default)]
    pub dry_run: bool,
    /// The whole new document.
    pub document: serde_json::Value,
}

/// A change was accepted, or a dry run found no fault; status 200.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyResponse {
    /// Version that was made or would be made.
    pub version: ids::Version,
    /// Log index of the version; 0 for a dry run.
    pub index: ids::LogIndex,
    /// Whether the change had been accepted before; `version` and `index` are those of the first
    /// time.
    #[serde(rename = "repeated")]
    pub duplicate: bool,
    /// Whether the request was a dry run.
    pub dry_run: bool,
}

/// The document has faults, status 400.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InvalidDocument {
    /// All faults of the document.
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
    /// Author of the change.
    pub author: Arc<str>,
    /// Current document; `None` if there is none.
    pub current: Option<Document>,
    /// What changed from `base` to the current version; `None` if `base` is no longer kept.
    pub since: Option<Vec<Difference>>,
}

/// The change id was used for another change, status 409.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeIdReused {
    /// The change id.
    #[serde(rename = "reused")]
    pub change: ids::ChangeId,
}

/// Only the leader can handle the request, and nothing was done; status 503.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NotLeader {
    /// Operator address of the leader, if known.
    pub leader: Option<SocketAddr>,
}

/// Why a request failed, for statuses without a response type of their own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Reason in one line.
    pub error: Arc<str>,
    /// Whether the request may have had its effect nevertheless.
    #[serde(default)]
    pub may_have_run: bool,
}

/// A version of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentResponse {
    /// The requested version.
    #[serde(rename = "entry")]
    pub requested: store::DocumentVersion,
    /// Number of the current version.
    pub current: ids::Version,
}

/// The current versions of all services.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Documents {
    /// Versions by name of the service.
    pub documents: Vec<VersionInfo>,
}

/// The versions kept of a document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Versions, latest first.
    pub versions: Vec<VersionInfo>,
}

/// A version without its content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionInfo {
    /// Service.
    pub service: ids::ServiceName,
    /// Version.
    pub version: ids::Version,
    /// Change that made the version.
    pub change: ids::ChangeId,
    /// Author of the change.
    pub author: Arc<str>,
    /// Wall time of the change in milliseconds.
    pub at_ms: u64,
}

/// All VMs of the system.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Vms {
    /// Control VMs in the order of the settings, then entry VMs.
    pub vms: Vec<VmInfo>,
}

/// A VM of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmInfo {
    /// Name of the VM.
    pub vm: ids::VmName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Role of the VM.
    pub role: Role,
    /// Address for operators; `None` while unknown.
    pub operator: Option<SocketAddr>,
}

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Control VM.
    Control,
    /// Entry VM.
    Entry,
}

/// A backend server was set to drain, or no longer to drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainResponse {
    /// Service.
    pub service: ids::ServiceName,
    /// Backend server.
    pub server: ids::ServerName,
    /// Spans that the server still owns.
    pub spans: u64,
}

/// Events of one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Timeline {
    /// Events, oldest first.
    pub events: Vec<Event>,
}

/// State of the whole system, collected by the leader.
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
    /// Name of the VM.
    pub vm: ids::VmName,
    /// Availability zone.
    pub zone: Option<ids::ZoneName>,
    /// `leader`, `follower`, `candidate`, `learner` or `unreachable`.
    pub role: Arc<str>,
    /// Election term.
    pub term: ids::LogTerm,
    /// Last log index known to be committed.
    pub commit: ids::LogIndex,
    /// Size of the data directory in bytes; `None` if unknown.
    pub disk_bytes: Option<u64>,
    /// Error of the log's storage; `None` if none is known.
    #[serde(rename = "disk_fault")]
    pub disk_error: Option<Arc<str>>,
}

/// State of an entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryVmStatus {
    /// Name of the VM.
    pub vm: ids::VmName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Log index that the VM has applied.
    pub index: ids::LogIndex,
    /// Milliseconds since the last contact.
    #[serde(rename = "heard_ms")]
    pub since_contact_ms: u64,
    /// Whether the VM is stopping.
    pub stopping: bool,
}

/// State of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Service.
    pub service: ids::ServiceName,
    /// Current version of the document.
    pub version: ids::Version,
    /// Change that made the current version.
    pub change: ids::ChangeId,
    /// Log index of the current version.
    pub index: ids::LogIndex,
    /// Number of entry VMs that use the version.
    pub in_force: u32,
    /// Entry VMs not known to use the version; together with `in_force` these are all.
    pub lagging: Vec<ids::VmName>,
    /// Availability zones to which keys of the service are delegated.
    pub zones: Vec<ZoneStatus>,
    /// Spans without a route, by zone and reason.
    #[serde(rename = "dark")]
    pub unrouted: Vec<UnroutedSpans>,
}

/// A service in one availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Entry VM that grants keys, the primary.
    #[serde(rename = "carrier")]
    pub primary: ids::VmName,
    /// Epoch of the delegation.
    pub epoch: ids::Epoch,
    /// Number of delegated spans.
    pub spans: u64,
    /// Milliseconds since the primary's last renewal; `None` if this leader has seen none.
    pub renewed_ms: Option<u64>,
    /// Backend servers.
    pub servers: Vec<ServerStatus>,
}

/// State of a backend server, as reported by its primary.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name of the backend server.
    pub server: ids::ServerName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Whether the server checks fences.
    pub checks: bool,
    /// Requests that the server handles at a time.
    pub slots: u32,
    /// Spans that the server owns.
    pub spans: u64,
    /// Whether the lease of the server is valid.
    #[serde(default)]
    pub alive: bool,
    /// Whether the server is draining.
    pub draining: bool,
}

/// Keys without a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnroutedSpans {
    /// Availability zone that the keys are delegated to; `None` if there is none.
    pub zone: Option<ids::ZoneName>,
    /// Number of spans.
    pub spans: u64,
    /// Share of all keys, in thousandths.
    pub permille: u32,
    /// Reason in a few words.
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
