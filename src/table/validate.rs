//! Validation of a routing table.

use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::model::{Destination, Route, RouteName, Table};
use crate::ids;

/// Why a routing table is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ValidationError {
    /// The version is not above the current one, which is given.
    OldVersion(ids::Version),
    /// Two routes or two services have this name.
    Twice(Arc<str>),
    /// The route has the same host and prefix as another one.
    SamePlace(RouteName),
    /// The route has no host.
    NoHost(RouteName),
    /// The prefix of the route does not start with a slash.
    BarePrefix(RouteName),
    /// The route refers to a service that is not in the table.
    UnknownService(RouteName, ids::ServiceName),
    /// All weights of the route's split are 0.
    NoWeight(RouteName),
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OldVersion(current) => write!(f, "the version is not above {current}"),
            Self::Twice(name) => write!(f, "two items are named {name:?}"),
            Self::SamePlace(route) => write!(f, "route {route:?}: another has its host and prefix"),
            Self::NoHost(route) => write!(f, "route {route:?}: the host is empty"),
            Self::BarePrefix(route) => write!(f, "route {route:?}: the prefix has no first slash"),
            Self::UnknownService(route, service) => {
                write!(f, "route {route:?}: there is no service {service:?}")
            }
            Self::NoWeight(route) => write!(f, "route {route:?}: the weights come to nothing"),
        }
    }
}

impl std::error::Error for ValidationError {}

/// Validates a table.
///
/// # Errors
///
/// The first [`ValidationError`] found.
pub fn validate(table: &Table) -> Result<(), ValidationError> {
    let mut services = HashSet::new();
    for service in &table.services {
        if !services.insert(&*service.name) {
            return Err(ValidationError::Twice(Arc::clone(&service.name)));
        }
    }
    let mut names = HashSet::new();
    let mut matches = HashSet::new();
    for route in &table.routes {
        validate_route(route, &services)?;
        if !names.insert(&*route.name) {
            return Err(ValidationError::Twice(Arc::clone(&route.name)));
        }
        if !matches.insert((&*route.host, &*route.prefix)) {
            return Err(ValidationError::SamePlace(Arc::clone(&route.name)));
        }
    }
    Ok(())
}

fn validate_route(route: &Route, services: &HashSet<&str>) -> Result<(), ValidationError> {
    let name = || Arc::clone(&route.name);
    if route.host.is_empty() {
        return Err(ValidationError::NoHost(name()));
    }
    if !route.prefix.starts_with('/') {
        return Err(ValidationError::BarePrefix(name()));
    }
    if let Some(unknown) = route.services().find(|s| !services.contains(&***s)) {
        return Err(ValidationError::UnknownService(name(), Arc::clone(unknown)));
    }
    match &route.destination {
        Destination::Split(split) if split.iter().all(|w| w.weight == 0) => {
            Err(ValidationError::NoWeight(name()))
        }
        Destination::Split(_) | Destination::Service(_) => Ok(()),
    }
}
