//! The state of a duty as operators see it.

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::keys;

/// State of one duty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Overview {
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Epoch.
    pub epoch: ids::Epoch,
    /// Version of the route map.
    pub version: ids::MapVersion,
    /// Backend servers.
    pub servers: Vec<ServerOverview>,
    /// Spans that are leaving their owner.
    pub moves: Vec<MoveOverview>,
    /// Spans without a route, with the reason.
    #[serde(rename = "dark")]
    pub unrouted: Vec<UnroutedSpan>,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerOverview {
    /// Name.
    pub server: ids::ServerName,
    /// Address for requests.
    pub address: std::net::SocketAddr,
    /// Start.
    pub incarnation: ids::Incarnation,
    /// Whether its lease runs.
    pub alive: bool,
    /// Whether its spans are moved away.
    pub draining: bool,
    /// Whether it checks fences.
    #[serde(rename = "checks")]
    pub checks_fences: bool,
    /// Slots.
    pub slots: u32,
    /// Usable share of the slots, in percent.
    pub warm_percent: u32,
    /// Requests in work and waiting, as it reported.
    #[serde(rename = "busy")]
    pub outstanding_requests: u32,
    /// Spans that it holds.
    #[serde(rename = "spans")]
    pub span_count: usize,
    /// Share of all hashes that it holds, in millionths.
    #[serde(rename = "keys_ppm")]
    pub keyspace_ppm: u64,
    /// Requests a second on its spans.
    #[serde(rename = "rate")]
    pub request_rate: f64,
}

/// A span that is leaving its owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveOverview {
    /// Span.
    pub span: keys::Span,
    /// Owner that it leaves.
    pub from: ids::ServerName,
    /// Next owner, if one was chosen.
    pub to: Option<ids::ServerName>,
    /// Why: `lost`, `restarted`, `drain`, `balance` or `release`.
    pub cause: Box<str>,
}

/// A span without a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnroutedSpan {
    /// Span.
    pub span: keys::Span,
    /// What it waits for.
    #[serde(rename = "why")]
    pub reason: UnroutedReason,
}

/// What a span without a route waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnroutedReason {
    /// The end of what the prior carrier granted.
    PriorGrants,
    /// A backend server that may take it.
    NoServer,
    /// The confirmation of its next owner.
    Unconfirmed,
    /// The end of its last owner's grant.
    Leaving,
    /// Another zone.
    Released,
}
