//! Finding the route of a request.

use std::collections::HashMap;
use std::sync::Arc;

use super::model::{Destination, Route, Table};
use crate::ids;

/// Routes by host, the longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct Lookup {
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Lookup {
    /// Arranges the routes of a table.
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

    /// The route whose prefix begins the path and is the longest to do so.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }
}

/// The service that a request goes to; `draw` is uniform below 1.
pub fn pick_service(route: &Route, draw: f64) -> Option<&ids::ServiceName> {
    let parts = match &route.destination {
        Destination::Service(service) => return Some(service),
        Destination::Split(parts) => parts,
    };
    let total: f64 = parts.iter().map(|p| f64::from(p.weight)).sum();
    let mut left = draw * total;
    for part in parts {
        left -= f64::from(part.weight);
        if left < 0.0 {
            return Some(&part.service);
        }
    }
    parts.iter().rfind(|p| p.weight > 0).map(|p| &p.service)
}
