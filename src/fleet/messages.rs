//! What backend servers and control VMs tell each other.

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
/// Method of a change of the table.
pub const CHANGE: &str = "fleet.change";
/// Method that tells the log position at which a read is up to date.
pub const POSITION: &str = "fleet.position";
/// Method that makes a VM known.
pub const VM: &str = "fleet.vm";
/// Method that passes on to the leader what entry VMs saw.
pub const OBSERVATIONS: &str = "fleet.seen";

/// Keys that a backend server holds, or is still at work on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRange {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Fence that it has them under.
    pub fence: ids::Fence,
}

/// Keys that a backend server has let go of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedRange {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// For the next owner.
    pub token: HandoverToken,
}

/// What a backend server says of itself at regular times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Itself.
    pub server: Server,
    /// Number of this heartbeat in its incarnation; a later one has a higher number.
    pub sequence: u64,
    /// Keys that it holds.
    #[serde(rename = "holds")]
    pub held: Vec<HeldRange>,
    /// Keys that it has let go of since its last heartbeat that was answered.
    #[serde(rename = "freed")]
    pub released: Vec<ReleasedRange>,
}

/// Keys that a backend server is to hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedRange {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Fence.
    pub fence: ids::Fence,
    /// What the last owner handed over.
    pub token: Option<HandoverToken>,
}

/// All that a backend server is to hold, and for how long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The keys.
    pub grants: Vec<GrantedRange>,
    /// How long, counted from when the heartbeat was sent.
    #[serde(rename = "length", with = "clock::millis")]
    pub duration: Duration,
}

/// Answer to a [`Heartbeat`]; without a lease it renews nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The lease.
    pub lease: Option<Lease>,
    /// Control address that the next heartbeats reach with the fewest detours.
    #[serde(rename = "next", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<SocketAddr>,
}

/// A backend server leaves for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leave {
    /// Name.
    pub server: ids::ServerName,
    /// Start of the incarnation that leaves, if it says so.
    #[serde(rename = "born")]
    pub start_ms: Option<u64>,
}

/// What entry VMs saw since they last said so.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Observations {
    /// Requests by keys.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<ServiceLoad>,
    /// How fast ranges of keys are.
    #[serde(rename = "paces", default, skip_serializing_if = "Vec::is_empty")]
    pub latencies: Vec<RelativeLatency>,
}

impl Observations {
    /// Whether nothing was observations.
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.latencies.is_empty()
    }
}

/// How fast a backend server is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelativeLatency {
    /// Which.
    pub server: ids::ServerName,
    /// Time that it takes for a request, against others of its service.
    #[serde(rename = "pace")]
    pub ratio: f64,
    /// Answers that this follows from.
    pub samples: u32,
}

/// Requests for the keys of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Service.
    pub service: ids::ServiceName,
    /// Keys, and the requests for each.
    pub counts: Vec<(Key, u32)>,
}

impl Heartbeat {
    /// Which incarnation heartbeats.
    pub fn incarnation(&self) -> &Incarnation {
        &self.server.incarnation
    }
}
