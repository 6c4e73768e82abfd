//! The messages between backend servers and carriers, `POST /v1/lease`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::ids;
use crate::keys;

/// A span with its fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Span.
    pub span: keys::Span,
    /// Fence.
    pub fence: ids::Fence,
}

/// A backend server announces itself and asks for its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name, unique in the service.
    pub server: ids::ServerName,
    /// Random name of this start.
    pub incarnation: ids::Incarnation,
    /// Number of this question, growing within an incarnation; a server that checks must number
    /// its questions from 1 and take in only the answer to the latest.
    #[serde(rename = "beat", default)]
    pub sequence: u64,
    /// Service.
    pub service: ids::ServiceName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it checks fences and its lease before it works.
    #[serde(rename = "checks", default)]
    pub checks_fences: bool,
    /// Whether it is leaving and wants no new work.
    #[serde(default)]
    pub draining: bool,
    /// Requests in work and waiting, as the server sees them.
    #[serde(rename = "busy", default)]
    pub outstanding_requests: u32,
    /// Grants that it holds under a lease that has not run out.
    #[serde(rename = "holds", default)]
    pub held_grants: Vec<Grant>,
    /// Grants no longer listed to it, on which work is still in flight.
    #[serde(rename = "finishing", default)]
    pub finishing_grants: Vec<Grant>,
}

/// The carrier's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Epoch of the carrier.
    pub epoch: ids::Epoch,
    /// Length of the lease, counted from the moment the request was sent.
    #[serde(rename = "lease_ms", with = "clock::millis")]
    pub lease: Duration,
    /// All grants of the server; it drops what is not listed.
    pub grants: Vec<Grant>,
    /// Whether a draining server owns nothing any more and may stop.
    pub drained: bool,
}

/// The answer of an entry VM that is not the carrier, with status 421.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Misdirected {
    /// Where to ask; `None` while no carrier is known.
    #[serde(rename = "announce")]
    pub announce_address: Option<SocketAddr>,
}
