//! The fields of a document.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::ids;

/// Document of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the service; also the host name that callers use.
    pub service: ids::ServiceName,
    /// Ranks of requests, most important first.
    pub ranks: Vec<Arc<str>>,
    /// Routes of the service; the first match is used.
    pub routes: Vec<Route>,
    /// Placement of keys on backend servers.
    #[serde(default)]
    pub placement: Placement,
    /// How long a partitioned zone keeps its keys, in milliseconds.
    #[serde(default = "default_term", rename = "term_ms", with = "clock::millis")]
    pub delegation_term: Duration,
    /// Limits that protect the backend servers.
    #[serde(default)]
    pub limits: Limits,
}

/// Route of one kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// HTTP method, upper case.
    pub method: Arc<str>,
    /// Path pattern such as `/lockers/{locker}/release`; a last `{rest..}` matches the rest of a
    /// path.
    pub path: Arc<str>,
    /// Source of the key: `path:locker`, `header:x-locker` or `query:locker`.
    pub key: Arc<str>,
    /// Rank, one of the document's `ranks`.
    pub rank: Arc<str>,
    /// Whether the request may run more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Longest time from arrival to response, in milliseconds.
    #[serde(rename = "deadline_ms", with = "clock::millis")]
    pub deadline: Duration,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "enum Repeat", rename_all = "lowercase")]
pub enum Idempotency {
    /// May be retried at any time.
    Idempotent,
    /// Retried only if it provably did not run.
    Once,
    /// As `Once`, and the outcome is recorded durably under the caller's claim id.
    Claim,
}

/// Placement of keys; the three weights are relative to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Placement {
    /// Number of spans that the key space is initially split into, 16 to 4096.
    pub spans: u64,
    /// Weight of uneven load, 0 to 100.
    pub imbalance: u32,
    /// Weight of keys that change their owner, 0 to 100.
    pub churn: u32,
    /// Weight of the time in which keys are not served, 0 to 100.
    pub unavailable: u32,
}

/// Limits that protect the backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest number of requests that wait at one entry VM for one backend server.
    pub queue: u32,
    /// Longest wait of a request in the queue, in milliseconds.
    #[serde(rename = "queue_ms", with = "clock::millis")]
    pub queue_wait: Duration,
    /// Largest number of retries for each hundred requests.
    pub retry_percent: u32,
    /// Largest body of a request in bytes.
    pub body_bytes: u64,
    /// How long the record of a claim is kept, in milliseconds.
    #[serde(rename = "claim_memory_ms", with = "clock::millis")]
    pub claim_retention: Duration,
}

impl Default for Placement {
    fn default() -> Self {
        Self {
            spans: 256,
            imbalance: 1,
            churn: 1,
            unavailable: 1,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue: 64,
            queue_wait: Duration::from_millis(200),
            retry_percent: 10,
            body_bytes: 1 << 20,
            claim_retention: Duration::from_hours(24),
        }
    }
}

fn default_term() -> Duration {
    Duration::from_secs(2)
}
