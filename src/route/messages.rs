//! Routes and the messages that carry them.

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
    /// Owner; `None` while the span has none.
    pub server: Option<ids::ServerName>,
}

/// What an entry VM needs to know of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Name.
    pub server: ids::ServerName,
    /// Start of the server that announced this.
    pub incarnation: ids::Incarnation,
    /// Address for requests.
    pub address: SocketAddr,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it checks fences.
    #[serde(rename = "checks")]
    pub checks_fences: bool,
    /// Share of its slots that may be used now, in percent; below 100 while it warms up.
    pub warm_percent: u32,
}

/// An entry VM asks a carrier for routes, method `route.pull`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullRequest {
    /// The asking VM.
    pub vm: ids::VmName,
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Epoch under which the VM takes the process asked for the carrier.
    pub epoch: ids::Epoch,
    /// Epoch of the map that it holds; 0 for none.
    pub map_epoch: ids::Epoch,
    /// Version of the map that it holds.
    pub version: ids::MapVersion,
    /// Number of the answer that it took in last; 0 for none.
    #[serde(rename = "answered")]
    pub last_response: u64,
    /// Whether it takes the carrier's process for the owner of the duty and votes for it.
    pub votes: bool,
    /// How long the question may be held open.
    #[serde(rename = "wait_ms", with = "clock::millis")]
    pub max_wait: Duration,
    /// Requests that the VM sent to each key span lately, for placement.
    pub loads: Vec<SpanLoad>,
}

/// Load on a span, as one entry VM saw it since its last question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpanLoad {
    /// Span.
    pub span: keys::Span,
    /// Requests.
    pub requests: u64,
    /// The most frequent hashes among them with their requests, at most a few.
    #[serde(rename = "hottest")]
    pub hot_hashes: Vec<(keys::KeyHash, u64)>,
}

/// A carrier's answer to a [`PullRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PullResponse {
    /// Number of this answer, to be repeated in the next question.
    pub number: u64,
    /// Epoch of the map; 0 if the carrier may not act now: the answer then carries no map and
    /// prolongs none, but its number can be voted with.
    pub epoch: ids::Epoch,
    /// Version of the map once the changes are taken in.
    pub version: ids::MapVersion,
    /// Whether `routes` and `servers` are all there are, not only changes.
    #[serde(rename = "full")]
    pub is_full: bool,
    /// Spans that are no longer in the map, taken out before `routes` are put in.
    #[serde(rename = "gone")]
    pub removed: Vec<keys::Span>,
    /// Changed routes.
    pub routes: Vec<Route>,
    /// Changed servers.
    pub servers: Vec<ServerInfo>,
}
