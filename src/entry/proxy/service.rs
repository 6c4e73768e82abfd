//! Documents in force, compiled for requests.

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

/// A document, ready for requests.
#[derive(Debug)]
pub struct Service {
    /// Name.
    pub name: ids::ServiceName,
    /// Limits that protect the backend servers.
    pub limits: Limits,
    /// Finds route and key of a request.
    pub matcher: Matcher,
    /// Retries that are left; later versions of the document share it.
    pub budget: Rc<RetryBudget>,
    version: ids::Version,
    kinds: Vec<Rc<Kind>>,
}

/// One route of a document, as far as it concerns a request on its way.
#[derive(Debug)]
pub struct Kind {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Position of its rank, 0 for the most important.
    pub rank: usize,
    /// Whether the request may be repeated.
    pub idempotency: Idempotency,
    /// Longest time from arrival to answer.
    pub deadline: Duration,
}

/// The services of this process.
#[derive(Debug)]
pub struct Services {
    view: Rc<View>,
    compiled: RefCell<HashMap<ids::ServiceName, Rc<Service>>>,
}

impl Services {
    /// The services whose documents `view` has.
    pub fn new(view: Rc<View>) -> Self {
        Self {
            view,
            compiled: RefCell::default(),
        }
    }

    /// Whether the control VMs were heard since this process started.
    pub fn knows_all(&self) -> bool {
        self.view.index() > 0
    }

    /// The service of that name, by the document now in force.
    pub fn get(&self, name: &str) -> Option<Rc<Service>> {
        let versioned = self.view.document(name)?;
        let known = self.compiled.borrow().get(name).map(Rc::clone);
        match known {
            Some(service) if service.version == versioned.version => Some(service),
            known => Some(self.compile(&versioned, known.as_deref())),
        }
    }

    fn compile(&self, versioned: &VersionedDocument, prior: Option<&Service>) -> Rc<Service> {
        let document = &versioned.document;
        let percent = document.limits.retry_percent;
        let budget = match prior {
            Some(prior) => Rc::clone(&prior.budget),
            None => Rc::new(RetryBudget::new(percent)),
        };
        budget.set_percent(percent);
        let service = Rc::new(Service {
            name: Arc::clone(&document.service),
            limits: document.limits.clone(),
            matcher: Matcher::new(document),
            budget,
            version: versioned.version,
            kinds: kinds(document),
        });
        let name = Arc::clone(&document.service);
        self.compiled.borrow_mut().insert(name, Rc::clone(&service));
        service
    }
}

impl Service {
    /// The route at a position in the document.
    pub fn kind(&self, route: usize) -> Option<&Rc<Kind>> {
        self.kinds.get(route)
    }
}

fn kinds(document: &Document) -> Vec<Rc<Kind>> {
    let rank = |name: &str| document.ranks.iter().position(|r| **r == *name);
    let routes = document.routes.iter();
    routes
        .map(|route| {
            Rc::new(Kind {
                name: Arc::clone(&route.name),
                rank: rank(&route.rank).unwrap_or(document.ranks.len()),
                idempotency: route.idempotency,
                deadline: route.deadline,
            })
        })
        .collect()
}
