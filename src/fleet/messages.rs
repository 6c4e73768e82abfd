//! Messages between backend servers, entry VMs and control VMs.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::model::{HandoverToken, Incarnation, Key, Server};
use crate::clock;
use crate::ids;

/// Method of [`Heartbeat`].
pub const HEARTBEAT: &str = "fleet.report";
/// Method of [`Leave`].
pub const LEAVE: &str = "fleet.leave";
/// Method that changes the routing table.
pub const CHANGE: &str = "fleet.change";
/// Method that returns the log index from which on a read is up to date.
pub const POSITION: &str = "fleet.position";
/// Method that registers a VM.
pub const VM: &str = "fleet.vm";
/// Method of [`EvacuationOrder`](super::evacuation::EvacuationOrder).
pub const EVACUATION: &str = "fleet.evacuation";
/// Method of [`Observations`], which control VMs forward to the leader.
pub const OBSERVATIONS: &str = "fleet.seen";

/// Keys that a backend server owns or still processes requests for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Hold")]
pub struct HeldRange {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Fence under which the server holds the keys.
    pub fence: ids::Fence,
}

/// Keys that a backend server has released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Freed")]
pub struct ReleasedRange {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Token for the next owner.
    pub token: HandoverToken,
}

/// Periodic report of a backend server about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Report")]
pub struct Heartbeat {
    /// Description of the sender.
    pub server: Server,
    /// Sequence number within the incarnation; rises with each heartbeat.
    pub sequence: u64,
    /// Key ranges that the server holds; `None` if it doesn't report them.
    #[serde(rename = "holds", default, skip_serializing_if = "Option::is_none")]
    pub held: Option<Vec<HeldRange>>,
    /// Key ranges released since the last heartbeat that was answered.
    #[serde(rename = "freed", default, skip_serializing_if = "Vec::is_empty")]
    pub released: Vec<ReleasedRange>,
    /// Log index that was applied on the VM that received the heartbeat before it was sent.
    #[serde(default)]
    pub sent_after: ids::LogIndex,
}

/// Keys granted to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedRange {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Fence of the grant.
    pub fence: ids::Fence,
    /// Handover token of the last owner.
    pub token: Option<HandoverToken>,
}

/// All key ranges granted to a backend server, and for how long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Granted key ranges.
    pub grants: Vec<GrantedRange>,
    /// Duration of the lease, from when the heartbeat was sent.
    #[serde(rename = "length", with = "clock::millis")]
    pub duration: Duration,
}

/// Response to a [`Heartbeat`]; without a lease it renews nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// New lease, which replaces the one before.
    pub lease: Option<Lease>,
    /// Control address that later heartbeats reach with the fewest forwards.
    #[serde(rename = "next", default, skip_serializing_if = "Option::is_none")]
    pub heartbeat_address: Option<SocketAddr>,
}

/// Notice that a backend server leaves for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leave {
    /// Name of the server.
    pub server: ids::ServerName,
    /// Start of the incarnation that leaves, in milliseconds since the Unix epoch, if known.
    #[serde(rename = "born")]
    pub start_ms: Option<u64>,
    /// Log index that was applied on the VM that received the notice before it was sent.
    #[serde(default)]
    pub sent_after: ids::LogIndex,
}

/// What entry VMs observed since their last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Seen")]
pub struct Observations {
    /// Requests per key.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<ServiceLoad>,
    /// Latencies of key owners, relative to other servers of their service.
    #[serde(rename = "paces", default, skip_serializing_if = "Vec::is_empty")]
    pub latencies: Vec<RelativeLatency>,
    /// Key owners whose responses say that they leave, until the sender sees them drain.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<Incarnation>,
}

impl Observations {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.latencies.is_empty() && self.leaving.is_empty()
    }
}

/// Latency of a backend server, relative to other servers of its service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Pace")]
pub struct RelativeLatency {
    /// Name of the server.
    pub server: ids::ServerName,
    /// Time per request, divided by that of the other servers.
    #[serde(rename = "pace")]
    pub ratio: f64,
    /// Number of responses that the ratio was computed from.
    pub samples: u32,
}

/// Requests per key of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Load")]
pub struct ServiceLoad {
    /// Service of the keys.
    pub service: ids::ServiceName,
    /// Keys with their request counts.
    pub counts: Vec<(Key, u32)>,
}

impl Heartbeat {
    /// Incarnation of the sender.
    pub fn incarnation(&self) -> &Incarnation {
        &self.server.incarnation
    }
}
