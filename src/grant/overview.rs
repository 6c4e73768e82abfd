//! State of a granter as operators see it.

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::keys;

/// State of one granter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Overview {
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Epoch.
    pub epoch: ids::Epoch,
    /// Route map version.
    pub version: ids::MapVersion,
    /// Backend servers.
    pub servers: Vec<ServerOverview>,
    /// Spans that are being revoked.
    pub moves: Vec<MoveOverview>,
    /// Spans without a route.
    #[serde(rename = "dark")]
    pub unrouted: Vec<UnroutedSpan>,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerOverview {
    /// Server name.
    pub server: ids::ServerName,
    /// Address for requests.
    pub address: std::net::SocketAddr,
    /// Incarnation.
    pub incarnation: ids::Incarnation,
    /// Whether the server's lease is valid.
    pub alive: bool,
    /// Whether the server's spans are moved to other servers.
    pub draining: bool,
    /// Whether the server checks fences.
    #[serde(rename = "checks")]
    pub checks_fences: bool,
    /// Requests that the server processes concurrently.
    pub slots: u32,
    /// Usable share of the slots, in percent.
    pub warm_percent: u32,
    /// Requests in progress and queued, as the server reported.
    #[serde(rename = "busy")]
    pub outstanding_requests: u32,
    /// Number of spans granted to the server.
    #[serde(rename = "spans")]
    pub span_count: usize,
    /// Share of all key hashes granted to the server, in millionths.
    #[serde(rename = "keys_ppm")]
    pub keyspace_ppm: u64,
    /// Requests per second on the server's spans, smoothed.
    #[serde(rename = "rate")]
    pub request_rate: f64,
}

/// A span that is being revoked from its owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveOverview {
    /// Span.
    pub span: keys::Span,
    /// Owner that loses the span.
    pub from: ids::ServerName,
    /// Next owner, if one was chosen.
    pub to: Option<ids::ServerName>,
    /// Cause: `lost`, `restarted`, `drain`, `balance` or `release`.
    pub cause: Box<str>,
}

/// A span without a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnroutedSpan {
    /// Span.
    pub span: keys::Span,
    /// Reason why the span has no route.
    #[serde(rename = "why")]
    pub reason: UnroutedReason,
}

/// Reason why a span has no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnroutedReason {
    /// Grants of the predecessor may still be valid.
    PriorGrants,
    /// No backend server may own the span.
    NoServer,
    /// The owner has not confirmed the grant.
    Unconfirmed,
    /// The last owner's grant has not ended.
    Leaving,
    /// The span is being released to another zone.
    Released,
}
