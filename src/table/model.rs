//! What a routing table says.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::clock;
use crate::ids;

/// Name of a route, unique in its table.
pub type RouteName = Arc<str>;

/// Rank of a request; 0 comes first.
pub type Rank = u32;

/// All routes and services, under one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Version; a later table has a higher one.
    pub version: ids::Version,
    /// Routes.
    pub routes: Vec<Arc<Route>>,
    /// Services.
    pub services: Vec<Arc<Service>>,
    /// Limits for callers.
    pub limits: Limits,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// It may: idempotent.
    Idempotent,
    /// It must run once at most.
    #[serde(rename = "once")]
    AtMostOnce,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Destination {
    /// All to one service.
    Service(ids::ServiceName),
    /// To several, in the proportions of their weights.
    Split(Vec<WeightedService>),
}

/// One service of a split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ids::ServiceName,
    /// Its share of the requests, against the sum of all weights.
    pub weight: u32,
}

/// Terms of the requests whose host and path it names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Host that it is for.
    pub host: Arc<str>,
    /// Start of the paths that it is for.
    pub prefix: Arc<str>,
    /// Whether its requests may run more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Longest time until the final answer.
    #[serde(with = "clock::millis")]
    pub timeout: Duration,
    /// Time within which an answer is worth the most.
    #[serde(rename = "objective", with = "clock::millis")]
    pub latency_target: Duration,
    /// Rank.
    pub rank: Rank,
    /// Backend servers that one request may be sent to, at most.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Where its requests go.
    pub destination: Destination,
    /// The route as the operator wrote it.
    #[serde(rename = "written", default, skip_serializing_if = "Value::is_null")]
    pub source: Value,
}

impl Route {
    /// The route without what the operator wrote.
    #[must_use]
    pub fn without_source(&self) -> Self {
        Self {
            name: Arc::clone(&self.name),
            host: Arc::clone(&self.host),
            prefix: Arc::clone(&self.prefix),
            idempotency: self.idempotency,
            timeout: self.timeout,
            latency_target: self.latency_target,
            rank: self.rank,
            max_attempts: self.max_attempts,
            destination: self.destination.clone(),
            source: Value::Null,
        }
    }

    /// Services that its requests may go to.
    pub fn services(&self) -> impl Iterator<Item = &ids::ServiceName> {
        let (one, parts) = match &self.destination {
            Destination::Service(service) => (Some(service), &[][..]),
            Destination::Split(parts) => (None, &parts[..]),
        };
        one.into_iter().chain(parts.iter().map(|p| &p.service))
    }
}

/// One service that backend servers announce themselves for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ids::ServiceName,
    /// Connections that one of its backend servers accepts from all callers together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Whether each key has one owner among its backend servers.
    #[serde(rename = "owned")]
    pub sharded: bool,
    /// The service as the operator wrote it.
    #[serde(rename = "written", default, skip_serializing_if = "Value::is_null")]
    pub source: Value,
}

impl Service {
    /// The service without what the operator wrote.
    #[must_use]
    pub fn without_source(&self) -> Self {
        Self {
            name: Arc::clone(&self.name),
            max_connections: self.max_connections,
            sharded: self.sharded,
            source: Value::Null,
        }
    }
}

/// Limits for callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request line and its headers.
    #[serde(rename = "head_bytes")]
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time from the first byte of a request to the end of its headers.
    #[serde(rename = "head", with = "clock::millis")]
    pub header_timeout: Duration,
    /// Time that a connection may stay open between two requests.
    #[serde(rename = "idle", with = "clock::millis")]
    pub idle_timeout: Duration,
    /// The limits as the operator wrote them.
    #[serde(rename = "written", default, skip_serializing_if = "Value::is_null")]
    pub source: Value,
}

impl Limits {
    /// The limits without what the operator wrote.
    #[must_use]
    pub fn without_source(&self) -> Self {
        Self {
            source: Value::Null,
            ..*self
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            source: Value::Null,
        }
    }
}
