//! Lookup of the route of a request.

use std::collections::HashMap;
use std::sync::Arc;

use super::model::{Destination, Route, Table};
use crate::ids;

/// Routes by host, those with the longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct Lookup {
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Lookup {
    /// Builds the lookup of a table.
    pub fn new(table: &Table) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &table.routes {
            let routes = hosts.entry(Arc::clone(&route.host)).or_default();
            routes.push(Arc::clone(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self { hosts }
    }

    /// The route of a host with the longest prefix that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }
}

/// Picks the service of a request by weight; `draw` is a uniform random number in `0.0..1.0`.
pub fn pick_service(route: &Route, draw: f64) -> Option<&ids::ServiceName> {
    let split = match &route.destination {
        Destination::Service(service) => return Some(service),
        Destination::Split(split) => split,
    };
    let total: f64 = split.iter().map(|w| f64::from(w.weight)).sum();
    let mut rest = draw * total;
    for weighted in split {
        rest -= f64::from(weighted.weight);
        if rest < 0.0 {
            return Some(&weighted.service);
        }
    }
    split.iter().rfind(|w| w.weight > 0).map(|w| &w.service)
}
