//! Routes and the messages of the method `route.pull`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::ids;
use crate::keys;

/// The owner of a span.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Span.
    pub span: keys::Span,
    /// Fence of the grant.
    pub fence: ids::Fence,
    /// Owner; `None` while the span is unrouted.
    pub server: Option<ids::ServerName>,
}

/// A backend server as entry VMs need to know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Server name.
    pub server: ids::ServerName,
    /// Incarnation of the server.
    pub incarnation: ids::Incarnation,
    /// Address for requests.
    pub address: SocketAddr,
    /// Requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server checks fences.
    #[serde(rename = "checks")]
    pub checks_fences: bool,
    /// Usable share of the slots, in percent; below 100 while the server warms up.
    pub warm_percent: u32,
}

/// Request of an entry VM to a primary for route changes, method `route.pull`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullRequest {
    /// Requesting VM.
    pub vm: ids::VmName,
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Epoch of the delegation by which the VM knows the primary.
    pub epoch: ids::Epoch,
    /// Epoch of the requester's map; 0 for none.
    pub map_epoch: ids::Epoch,
    /// Version of the requester's map.
    pub version: ids::MapVersion,
    /// Number of the last response received; 0 for none.
    #[serde(rename = "answered")]
    pub last_response: u64,
    /// Whether the requester votes for the primary.
    pub votes: bool,
    /// Longest time for which the response may be delayed until there are changes.
    #[serde(rename = "wait_ms", with = "clock::millis")]
    pub max_wait: Duration,
    /// Requests sent to each span since the last pull request, for placement.
    pub loads: Vec<SpanLoad>,
    /// Servers that leave, as their responses say, as long as they own a span.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<ids::Incarnation>,
}

/// Load that one entry VM sent to a span since its last pull request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpanLoad {
    /// Span.
    pub span: keys::Span,
    /// Number of requests.
    pub requests: u64,
    /// A few of the most frequent hashes, with approximate numbers of requests.
    #[serde(rename = "hottest")]
    pub hot_hashes: Vec<(keys::KeyHash, u64)>,
}

/// A primary's response to a [`PullRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PullResponse {
    /// Response number, which the next request must repeat.
    pub number: u64,
    /// Epoch of the map; 0 if the primary may not act now: the response then carries no map and
    /// extends none, but its number can be used to vote.
    pub epoch: ids::Epoch,
    /// Version of the map after the changes are applied.
    pub version: ids::MapVersion,
    /// Whether `routes` and `servers` are complete, not only the changes.
    #[serde(rename = "full")]
    pub is_full: bool,
    /// Spans to remove from the map before `routes` are inserted.
    #[serde(rename = "gone")]
    pub removed: Vec<keys::Span>,
    /// Changed routes.
    pub routes: Vec<Route>,
    /// Changed servers.
    pub servers: Vec<ServerInfo>,
}
