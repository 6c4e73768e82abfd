//! Data model of the routing table.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::source::Source;
use crate::clock;
use crate::ids;

/// Name of a route, unique in its table.
pub type RouteName = Arc<str>;

/// Importance of a request; 0 is the highest.
pub type Rank = u32;

/// All routes and services under one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Version; rises with each change.
    pub version: ids::Version,
    /// Routes, in any order.
    pub routes: Vec<Arc<Route>>,
    /// Services, in any order.
    pub services: Vec<Arc<Service>>,
    /// Limits for connections and requests of callers.
    pub limits: Limits,
}

impl Table {
    /// Returns this table with the routes of `old` in place of equal ones, so that each is held once.
    #[must_use]
    pub fn sharing(mut self, old: &Self) -> Self {
        let known: HashMap<_, _> = old.routes.iter().map(|r| (&r.name, r)).collect();
        for route in &mut self.routes {
            match known.get(&route.name) {
                Some(same) if *same == route => *route = Arc::clone(same),
                Some(_) | None => {}
            }
        }
        self
    }
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// May be executed more than once.
    Idempotent,
    /// Must be executed at most once.
    #[serde(rename = "once")]
    AtMostOnce,
}

/// Destination of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Destination {
    /// One service.
    Service(ids::ServiceName),
    /// Several services, in proportion to their weights.
    Split(Vec<WeightedService>),
}

/// A service of a split, with its weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Part")]
pub struct WeightedService {
    /// Name of the service.
    pub service: ids::ServiceName,
    /// Weight; its ratio to the sum of all weights is the share of requests.
    pub weight: u32,
}

/// Rules for the requests of a host whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host of the requests.
    pub host: Arc<str>,
    /// Prefix of the request paths; starts with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may be executed more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Longest time until the final response.
    #[serde(with = "clock::millis")]
    pub timeout: Duration,
    /// Time within which responses should arrive.
    #[serde(rename = "objective", with = "clock::millis")]
    pub latency_target: Duration,
    /// Importance of the requests.
    pub rank: Rank,
    /// Maximum number of backend servers that one request is sent to.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Destination of the requests.
    pub destination: Destination,
    /// The route as received from the operator.
    #[serde(rename = "written", default, skip_serializing_if = "Source::is_null")]
    pub source: Source,
}

impl Route {
    /// Copies the route without its source.
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
            source: Source::default(),
        }
    }

    /// Names of the services that requests may go to.
    pub fn services(&self) -> impl Iterator<Item = &ids::ServiceName> {
        let (single, split) = match &self.destination {
            Destination::Service(service) => (Some(service), &[][..]),
            Destination::Split(split) => (None, &split[..]),
        };
        single.into_iter().chain(split.iter().map(|w| &w.service))
    }
}

/// How grants reach the owners of keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// In the responses to their heartbeats.
    #[default]
    Heartbeat,
    /// By calls to them.
    Call,
}

/// How backend servers of a service are spared while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// How long a backend server is cold after its start.
    #[serde(rename = "length", with = "clock::millis")]
    pub duration: Duration,
    /// Requests per second that a cold backend server can handle; above 0.
    #[serde(rename = "per_second")]
    pub requests_per_sec: f64,
}

/// A service that backend servers register for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ids::ServiceName,
    /// Maximum number of connections to each of its backend servers, from all entry VMs together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Whether each key has one owner among the backend servers.
    #[serde(rename = "owned")]
    pub sharded: bool,
    /// How grants reach the key owners.
    #[serde(default)]
    pub delivery: Delivery,
    /// How cold backend servers are spared; `None` if they get as many requests as others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warmup: Option<Warmup>,
    /// The service as received from the operator.
    #[serde(rename = "written", default, skip_serializing_if = "Value::is_null")]
    pub source: Value,
}

impl Service {
    /// Copies the service without its source.
    #[must_use]
    pub fn without_source(&self) -> Self {
        Self {
            name: Arc::clone(&self.name),
            max_connections: self.max_connections,
            sharded: self.sharded,
            delivery: self.delivery,
            warmup: self.warmup,
            source: Value::Null,
        }
    }
}

/// Limits for connections and requests of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of the request line and the headers, in bytes.
    #[serde(rename = "head_bytes")]
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Longest time from the first byte of a request to the end of its headers.
    #[serde(rename = "head", with = "clock::millis")]
    pub header_timeout: Duration,
    /// Longest time that a connection stays open between two requests.
    #[serde(rename = "idle", with = "clock::millis")]
    pub idle_timeout: Duration,
    /// The limits as received from the operator.
    #[serde(rename = "written", default, skip_serializing_if = "Value::is_null")]
    pub source: Value,
}

impl Limits {
    /// Copies the limits without their source.
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
