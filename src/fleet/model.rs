//! Backend servers, VMs and key ranges.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::ids;

/// Shard key of a request; keys are ordered, and neighbouring keys are similar.
pub type Key = u16;

/// Opaque reference that the owner of released keys passes to their next owner.
pub type HandoverToken = Arc<str>;

/// One run of a backend server; a restart under the same name is a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the backend server.
    pub server: ids::ServerName,
    /// Start in milliseconds since the Unix epoch by the clock of the server; orders the
    /// incarnations of one name.
    #[serde(rename = "born")]
    pub start_ms: u64,
}

/// Lifecycle state of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// About to leave; accepts no new requests.
    Draining,
    /// Has announced that it leaves; may still run and own keys.
    Left,
    /// Proved to have ended.
    Gone,
}

/// A backend server as its heartbeats describe it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Name and start time.
    #[serde(flatten)]
    pub incarnation: Incarnation,
    /// Service that the server belongs to.
    pub service: ids::ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Lifecycle state.
    #[serde(rename = "standing")]
    pub state: ServerState,
    /// How long the server stays slow after its first heartbeat.
    #[serde(rename = "cold", with = "clock::millis")]
    pub warmup: Duration,
}

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Serves callers.
    Entry,
    /// Keeps the replicated log.
    Control,
}

/// A VM of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: ids::VmName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address for RPCs.
    pub address: SocketAddr,
    /// Role of the VM.
    #[serde(rename = "part")]
    pub role: VmRole,
}

/// Consecutive keys, both ends included, and their owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Present or latest owner; `None` before the first one and after a release.
    #[serde(rename = "holder", default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<Incarnation>,
    /// Fence of the latest owner; 0 before the first one.
    pub fence: ids::Fence,
    /// Handover token of the owner before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<HandoverToken>,
    /// Next owner, if the range is being reassigned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<NextOwner>,
    /// Log index of the last change.
    pub changed: ids::LogIndex,
}

/// The next owner of a key range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NextOwner {
    /// Incarnation that gets the range.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Log index from which on leases of the present owner leave out the range.
    pub since: ids::LogIndex,
}

impl KeyRange {
    /// Number of keys.
    pub fn key_count(&self) -> u32 {
        u32::from(self.to.saturating_sub(self.from)) + 1
    }

    /// Whether the range shares a key with `from..=to`.
    pub const fn overlaps(&self, from: Key, to: Key) -> bool {
        self.from <= to && from <= self.to
    }
}
