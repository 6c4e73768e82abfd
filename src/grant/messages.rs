//! Messages between backend servers and primaries, `POST /v1/lease`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::ids;
use crate::keys;

/// A span granted to a backend server, with the grant's fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Span.
    pub span: keys::Span,
    /// Fence.
    pub fence: ids::Fence,
}

/// Heartbeat by which a backend server registers and renews its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Server name, unique in the service.
    pub server: ids::ServerName,
    /// Random name of the server's incarnation.
    pub incarnation: ids::Incarnation,
    /// Sequence number, growing within an incarnation; a server that checks fences must count its
    /// heartbeats from 1 and ignore all responses but that to the latest.
    #[serde(rename = "beat", default)]
    pub sequence: u64,
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server checks the fence and its lease before it processes a request.
    #[serde(rename = "checks", default)]
    pub checks_fences: bool,
    /// Whether the server is leaving and wants no new spans.
    #[serde(default)]
    pub draining: bool,
    /// Requests in progress and queued.
    #[serde(rename = "busy", default)]
    pub outstanding_requests: u32,
    /// Grants that the server holds under an unexpired lease.
    #[serde(rename = "holds", default)]
    pub held_grants: Vec<Grant>,
    /// Grants no longer listed by responses, whose requests are still in progress.
    #[serde(rename = "finishing", default)]
    pub finishing_grants: Vec<Grant>,
}

/// The primary's response to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Epoch of the primary.
    pub epoch: ids::Epoch,
    /// Duration of the lease, counted from the moment the request was sent.
    #[serde(rename = "lease_ms", with = "clock::millis")]
    pub lease: Duration,
    /// All grants of the server, which must drop any other.
    pub grants: Vec<Grant>,
    /// Whether a draining server owns no spans any more and may stop.
    pub drained: bool,
}

/// Response of an entry VM that is not the primary, with status 421.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Misdirected {
    /// The primary's address for heartbeats; `None` while no primary is known.
    #[serde(rename = "announce")]
    pub announce_address: Option<SocketAddr>,
}
