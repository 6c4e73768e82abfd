//! Documents in force, compiled for the matching of requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::admit::RetryBudget;
use crate::delegate::view::{VersionedDocument, View};
use crate::document::matcher::Matcher;
use crate::document::{Document, Idempotency, Limits};
use crate::ids;

/// Document of a service, compiled for requests.
#[derive(Debug)]
pub struct CompiledService {
    /// Name of the service.
    pub name: ids::ServiceName,
    /// Limits that protect the backend servers from overload.
    pub limits: Limits,
    /// Matcher that finds route and key of a request.
    pub matcher: Matcher,
    /// Retry budget, shared with later versions of the document.
    pub budget: Rc<RetryBudget>,
    version: ids::Version,
    routes: Vec<Rc<RoutePolicy>>,
}

/// Settings of one route of a document.
#[derive(Debug)]
pub struct RoutePolicy {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Position of the rank in the document's list of ranks, 0 for the most important.
    pub rank: usize,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Longest time from the arrival of a request to its response.
    pub deadline: Duration,
}

/// Compiled documents of all services.
#[derive(Debug)]
pub struct ServiceCache {
    view: Rc<View>,
    compiled: RefCell<HashMap<ids::ServiceName, Rc<CompiledService>>>,
}

impl ServiceCache {
    /// Creates a cache of the documents of `view`.
    pub fn new(view: Rc<View>) -> Self {
        Self {
            view,
            compiled: RefCell::default(),
        }
    }

    /// Whether this process has got the documents from the control VMs.
    pub fn has_synced(&self) -> bool {
        self.view.index() > 0
    }

    /// Compiled document in force of the service `name`, `None` if there is none.
    pub fn get(&self, name: &str) -> Option<Rc<CompiledService>> {
        let versioned = self.view.document(name)?;
        let cached = self.compiled.borrow().get(name).map(Rc::clone);
        match cached {
            Some(service) if service.version == versioned.version => Some(service),
            cached => Some(self.compile(&versioned, cached.as_deref())),
        }
    }

    fn compile(
        &self,
        versioned: &VersionedDocument,
        previous: Option<&CompiledService>,
    ) -> Rc<CompiledService> {
        let document = &versioned.document;
        let percent = document.limits.retry_percent;
        let budget = match previous {
            Some(previous) => Rc::clone(&previous.budget),
            None => Rc::new(RetryBudget::new(percent)),
        };
        budget.set_percent(percent);
        let service = Rc::new(CompiledService {
            name: Arc::clone(&document.service),
            limits: document.limits.clone(),
            matcher: Matcher::new(document),
            budget,
            version: versioned.version,
            routes: route_policies(document),
        });
        let name = Arc::clone(&document.service);
        self.compiled.borrow_mut().insert(name, Rc::clone(&service));
        service
    }
}

impl CompiledService {
    /// Settings of the route at position `index` in the document.
    pub fn route(&self, index: usize) -> Option<&Rc<RoutePolicy>> {
        self.routes.get(index)
    }
}

fn route_policies(document: &Document) -> Vec<Rc<RoutePolicy>> {
    let rank = |name: &str| document.ranks.iter().position(|r| **r == *name);
    let routes = document.routes.iter();
    routes
        .map(|route| {
            Rc::new(RoutePolicy {
                name: Arc::clone(&route.name),
                rank: rank(&route.rank).unwrap_or(document.ranks.len()),
                idempotency: route.idempotency,
                deadline: route.deadline,
            })
        })
        .collect()
}
