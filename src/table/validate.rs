//! What makes a table invalid.

use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::model::{Destination, Route, RouteName, Table};
use crate::ids;

/// Why a table is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ValidationError {
    /// The version is not above the current one.
    OldVersion(ids::Version),
    /// Two routes or two services have one name.
    Twice(Arc<str>),
    /// Two routes have the same host and prefix.
    SamePlace(RouteName),
    /// A route has no host.
    NoHost(RouteName),
    /// The prefix of a route does not begin with a slash.
    BarePrefix(RouteName),
    /// A route names a service that the table does not have.
    UnknownService(RouteName, ids::ServiceName),
    /// The weights of a split come to nothing.
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

/// Checks a whole table.
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
    let mut places = HashSet::new();
    for route in &table.routes {
        validate_route(route, &services)?;
        if !names.insert(&*route.name) {
            return Err(ValidationError::Twice(Arc::clone(&route.name)));
        }
        if !places.insert((&*route.host, &*route.prefix)) {
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
        Destination::Split(parts) if parts.iter().all(|p| p.weight == 0) => {
            Err(ValidationError::NoWeight(name()))
        }
        Destination::Split(_) | Destination::Service(_) => Ok(()),
    }
}
