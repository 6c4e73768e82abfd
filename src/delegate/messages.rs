//! Delegations and the messages about them.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::ids;
use crate::keys;

/// Grants that one epoch can number, 2^20.
pub const FENCES_PER_EPOCH: u64 = 1 << 20;

/// The fence of grant `count` of an epoch; `count` is below [`FENCES_IN_EPOCH`].
pub const fn fence(epoch: ids::Epoch, count: u64) -> ids::Fence {
    epoch * FENCES_PER_EPOCH + count
}

/// The epoch that a fence was derived from.
pub const fn epoch_of(fence: ids::Fence) -> ids::Epoch {
    fence / FENCES_PER_EPOCH
}

/// Granting duty for the spans of one service in one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delegation {
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Number of this delegation.
    pub epoch: ids::Epoch,
    /// Entry VM that grants.
    #[serde(rename = "carrier")]
    pub primary: ids::VmName,
    /// Entry VMs of the zone whose votes the carrier needs, itself among them.
    pub voters: Vec<ids::VmName>,
    /// Whether the control VMs have a vote as well.
    pub tiebreak: bool,
    /// How long the carrier may act without the control VMs.
    #[serde(rename = "term_ms", with = "clock::millis")]
    pub term: Duration,
    /// Spans delegated, in order, none overlapping.
    pub spans: Vec<keys::Span>,
    /// Carriers before this one that the carrier has not yet reported to have waited out.
    #[serde(rename = "prior")]
    pub predecessors: Vec<Predecessor>,
}

/// A carrier that was replaced, or the same one with other voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Predecessor {
    /// Its epoch.
    pub epoch: ids::Epoch,
    /// Its VM.
    #[serde(rename = "carrier")]
    pub primary: ids::VmName,
    /// Its voters.
    pub voters: Vec<ids::VmName>,
    /// Whether the control VMs had a vote.
    pub tiebreak: bool,
    /// How long it could act without the control VMs.
    #[serde(rename = "term_ms", with = "clock::millis")]
    pub term: Duration,
    /// Whether it gave up the duty itself and acts no more.
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
    /// Whether it is stopping and takes no duty.
    pub stopping: bool,
}

/// What an entry VM says when it asks for news, method `control.watch`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The asking VM.
    #[serde(rename = "entry")]
    pub entry_vm: EntryVm,
    /// Log position that its view reflects; 0 for none.
    #[serde(rename = "have")]
    pub known_index: ids::LogIndex,
    /// How long the question may be held open.
    #[serde(rename = "wait_ms", with = "clock::millis")]
    pub wait: Duration,
    /// Services announced by backend servers to this VM lately, with their slots in its zone.
    #[serde(rename = "heard")]
    pub capacities: Vec<ServiceCapacity>,
}

/// Backend servers of a service that announced themselves in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// Service.
    pub service: ids::ServiceName,
    /// Live backend servers.
    pub servers: u32,
    /// Slots of these servers together, those of draining servers left out.
    pub slots: u32,
}

/// The leader's answer to a [`WatchRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Log position that the view reflects once the changes are taken in.
    pub index: ids::LogIndex,
    /// Documents changed after `have`.
    pub documents: Vec<DocumentUpdate>,
    /// Delegations changed after `have`.
    pub delegations: Vec<Delegation>,
    /// Entry VMs changed after `have`.
    #[serde(rename = "entries")]
    pub entry_vms: Vec<EntryVm>,
    /// Drains changed after `have`.
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
    /// Whether it is to leave.
    #[serde(rename = "on")]
    pub draining: bool,
}

/// A document with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentUpdate {
    /// Version.
    pub version: ids::Version,
    /// Change that made this version.
    pub change: ids::ChangeId,
    /// The document.
    pub document: crate::document::Document,
}

/// A carrier's renewal at the leader, method `delegate.renew`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The carrier.
    pub vm: ids::VmName,
    /// Number of this renewal, higher than that of every earlier one of this process.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Duties to renew.
    #[serde(rename = "duties")]
    pub reports: Vec<DelegationReport>,
    /// Epochs under which the carrier acts, having waited out every carrier before it.
    #[serde(rename = "acting")]
    pub active_epochs: Vec<ids::Epoch>,
}

/// State of one duty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegationReport {
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Epoch under which the carrier acts.
    pub epoch: ids::Epoch,
    /// Live backend servers.
    pub servers: u32,
    /// Slots of these servers together, those of draining servers left out.
    pub slots: u32,
    /// Spans that no server holds and no entry VM routes any more, given back on request.
    pub released: Vec<keys::Span>,
    /// Whether the carrier gives up the duty and acts no more.
    pub resigned: bool,
}

/// The leader's answer to a [`RenewRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RenewResponse {
    /// Duties that stand; the others are lost.
    pub renewed: Vec<RenewedDelegation>,
}

/// A duty that stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewedDelegation {
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Epoch.
    pub epoch: ids::Epoch,
    /// Spans that the carrier is asked to release for another zone.
    pub release: Vec<keys::Span>,
}

/// A new carrier asks a voter to stand by the new epoch, method `delegate.bar`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PromiseRequest {
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// The new epoch; the voter votes for no lower one from now on.
    pub epoch: ids::Epoch,
}

/// A voter's answer to a [`BarRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PromiseResponse {
    /// How long ago the voter last voted for a lower epoch; `None` if never since it started.
    pub voted_ms: Option<u64>,
    /// How long the voter has been running.
    pub running_ms: u64,
}
