//! Delegations and the messages about them.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::ids;
use crate::keys;

/// Number of grants that one epoch has fences for.
pub const FENCES_PER_EPOCH: u64 = 1 << 20;

/// The fence of the grant with number `grant` in an epoch; `grant` is below [`FENCES_PER_EPOCH`].
pub const fn fence(epoch: ids::Epoch, grant: u64) -> ids::Fence {
    epoch * FENCES_PER_EPOCH + grant
}

/// The epoch that a fence was derived from.
pub const fn epoch_of(fence: ids::Fence) -> ids::Epoch {
    fence / FENCES_PER_EPOCH
}

/// Spans of one service that the primary of one zone grants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delegation {
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Epoch; every change of primary, voters, lease term or spans takes a higher one.
    pub epoch: ids::Epoch,
    /// Entry VM that grants keys.
    #[serde(rename = "carrier")]
    pub primary: ids::VmName,
    /// Entry VMs of the zone whose votes the primary needs, the primary among them.
    pub voters: Vec<ids::VmName>,
    /// Whether the control VMs have one vote as well.
    pub tiebreak: bool,
    /// Lease term: how long the primary may be active without the control VMs.
    #[serde(rename = "term_ms", with = "clock::millis")]
    pub term: Duration,
    /// Delegated spans, in order, none overlapping.
    pub spans: Vec<keys::Span>,
    /// Predecessors whose leases the primary has not yet reported as expired.
    #[serde(rename = "prior")]
    pub predecessors: Vec<Predecessor>,
}

/// A replaced primary, or the same primary with other voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Predecessor {
    /// Epoch of the predecessor.
    pub epoch: ids::Epoch,
    /// Entry VM of the predecessor.
    #[serde(rename = "carrier")]
    pub primary: ids::VmName,
    /// Voters of the predecessor.
    pub voters: Vec<ids::VmName>,
    /// Whether the control VMs had one vote as well.
    pub tiebreak: bool,
    /// Lease term: how long the predecessor could be active without the control VMs.
    #[serde(rename = "term_ms", with = "clock::millis")]
    pub term: Duration,
    /// Whether the predecessor resigned and is no longer active.
    pub resigned: bool,
}

/// An entry VM known to the control VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// Name.
    pub vm: ids::VmName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address for calls between processes.
    pub peer: SocketAddr,
    /// Address for backend servers' heartbeats.
    pub announce: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Whether the VM is stopping and takes no delegation.
    pub stopping: bool,
}

/// An entry VM's request for updates, method `control.watch`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The requesting VM.
    #[serde(rename = "entry")]
    pub entry_vm: EntryVm,
    /// Log position that the VM's view reflects; 0 for none.
    #[serde(rename = "have")]
    pub known_index: ids::LogIndex,
    /// How long the leader may hold the request open.
    #[serde(rename = "wait_ms", with = "clock::millis")]
    pub wait: Duration,
    /// Services whose backend servers recently sent heartbeats to this VM.
    #[serde(rename = "heard")]
    pub capacities: Vec<ServiceCapacity>,
}

/// Live backend servers of a service and their slots, by heartbeats to one entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Heard")]
pub struct ServiceCapacity {
    /// Service.
    pub service: ids::ServiceName,
    /// Live backend servers.
    pub servers: u32,
    /// Total slots of the live servers that are not draining.
    pub slots: u32,
}

/// The leader's response to a [`WatchRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Log position that the view reflects once the changes are applied.
    pub index: ids::LogIndex,
    /// Documents changed after `known_index`.
    pub documents: Vec<DocumentUpdate>,
    /// Delegations changed after `known_index`.
    pub delegations: Vec<Delegation>,
    /// Entry VMs changed after `known_index`.
    #[serde(rename = "entries")]
    pub entry_vms: Vec<EntryVm>,
    /// Entry VMs removed after `known_index`.
    #[serde(rename = "removed", default, skip_serializing_if = "Vec::is_empty")]
    pub removed_vms: Vec<ids::VmName>,
    /// Whether `entry_vms` are all there are.
    #[serde(rename = "all_entries", default)]
    pub all_vms: bool,
    /// Drains changed after `known_index`.
    #[serde(default)]
    pub drains: Vec<Drain>,
}

/// Whether an operator drains a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Service.
    pub service: ids::ServiceName,
    /// Backend server.
    pub server: ids::ServerName,
    /// Whether the server is to be drained.
    #[serde(rename = "on")]
    pub draining: bool,
}

/// A document with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentUpdate {
    /// Version.
    pub version: ids::Version,
    /// Change that produced this version.
    pub change: ids::ChangeId,
    /// The document.
    pub document: crate::document::Document,
}

/// A primary's renewal of its leases at the leader, method `delegate.renew`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The primary.
    pub vm: ids::VmName,
    /// Sequence number, higher than that of every earlier renewal of this process.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Delegations to renew.
    #[serde(rename = "duties")]
    pub reports: Vec<DelegationReport>,
    /// Epochs in which the primary is active, the leases of all predecessors having expired.
    #[serde(rename = "acting")]
    pub active_epochs: Vec<ids::Epoch>,
}

/// State of one delegation, reported by its primary.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct DutyReport")]
pub struct DelegationReport {
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Epoch of the delegation that the primary serves.
    pub epoch: ids::Epoch,
    /// Live backend servers.
    pub servers: u32,
    /// Total slots of the live servers that are not draining.
    pub slots: u32,
    /// Spans released on request: no server owns them and no entry VM routes them any more.
    pub released: Vec<keys::Span>,
    /// Whether the primary resigns and is no longer active.
    pub resigned: bool,
}

/// The leader's response to a [`RenewRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RenewResponse {
    /// Renewed delegations; the primary has lost the others.
    pub renewed: Vec<RenewedDelegation>,
}

/// A renewed delegation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewedDelegation {
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Epoch.
    pub epoch: ids::Epoch,
    /// Spans that the primary is to release for another zone.
    pub release: Vec<keys::Span>,
}

/// A new primary's request that a voter promise its epoch, method `delegate.bar`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct BarRequest")]
pub struct PromiseRequest {
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// The new epoch; the voter votes for no lower epoch from now on.
    pub epoch: ids::Epoch,
}

/// A voter's response to a [`PromiseRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PromiseResponse {
    /// Milliseconds since the voter last voted for a lower epoch; `None` if never since it started.
    pub voted_ms: Option<u64>,
    /// Milliseconds since the voter started.
    pub running_ms: u64,
}
