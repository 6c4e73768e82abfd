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
pub enum Fault {
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

impl fmt::Display for Fault {
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

impl std::error::Error for Fault {}

/// Checks a whole table.
///
/// # Errors
///
/// The first [`Fault`] found.
pub fn check(table: &Table) -> Result<(), Fault> {
    let mut services = HashSet::new();
    for service in &table.services {
        if !services.insert(&*service.name) {
            return Err(Fault::Twice(Arc::clone(&service.name)));
        }
    }
    let mut names = HashSet::new();
    let mut places = HashSet::new();
    for route in &table.routes {
        check_route(route, &services)?;
        if !names.insert(&*route.name) {
            return Err(Fault::Twice(Arc::clone(&route.name)));
        }
        if !places.insert((&*route.host, &*route.prefix)) {
            return Err(Fault::SamePlace(Arc::clone(&route.name)));
        }
    }
    Ok(())
}

fn check_route(route: &Route, services: &HashSet<&str>) -> Result<(), Fault> {
    let name = || Arc::clone(&route.name);
    if route.host.is_empty() {
        return Err(Fault::NoHost(name()));
    }
    if !route.prefix.starts_with('/') {
        return Err(Fault::BarePrefix(name()));
    }
    if let Some(unknown) = route.services().find(|s| !services.contains(&***s)) {
        return Err(Fault::UnknownService(name(), Arc::clone(unknown)));
    }
    match &route.destination {
        Destination::Split(parts) if parts.iter().all(|p| p.weight == 0) => {
            Err(Fault::NoWeight(name()))
        }
        Destination::Split(_) | Destination::Service(_) => Ok(()),
    }
}
