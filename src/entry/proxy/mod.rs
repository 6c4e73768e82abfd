//! The path of a caller's request to the owner of its key and back.
//!
//! A request is matched against its service's document, waits for the owner of
//! its key and for leave to go there, and looks the route up a last time right
//! before its first byte. What comes back is sorted by whether it may have run:
//! only what is proved not to have run, or is idempotent, is sent again, under
//! a budget and inside the deadline. A claim has a record before it is sent.

pub mod answer;
pub mod call;
pub mod carry;
pub mod claims;
pub mod headers;
pub mod send;
pub mod service;
#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::admit::Limiters;
use crate::claim::client;
use crate::clock;
use crate::delegate::view::View;
use crate::ids;
use crate::route;
use crate::timeline::Journal;
use crate::verdict::Verdict;
use crate::web::Client;

use service::Services;

/// Largest answer of a backend server, in bytes.
const ANSWER_BYTES: usize = 64 << 20;

/// What the path of a request goes through.
pub struct Parts {
    /// Documents in force.
    pub view: Rc<View>,
    /// Routes.
    pub table: route::Table,
    /// Limiters before the backend servers.
    pub gates: Rc<Limiters>,
    /// Claim records.
    pub claims: client::ClaimClient,
    /// Time line.
    pub journal: Journal,
    /// Hears of each answer.
    pub observe: Observe,
}

/// Hears of answers, for metrics.
pub type Observe = Box<dyn Fn(&Observed)>;

/// One answer to a caller.
#[derive(Debug)]
pub struct Observed {
    /// Service, if there is such a one.
    pub service: Option<ids::ServiceName>,
    /// Name of the document's route.
    pub route: Option<Arc<str>>,
    /// Verdict.
    pub verdict: Verdict,
    /// Status.
    pub status: u16,
    /// Time since the request arrived.
    pub took: Duration,
    /// Times that it was sent.
    pub attempts: u32,
    /// Whether it was shed before it was sent.
    pub shed: bool,
}

/// Carries callers' requests; clones share all state.
#[derive(Clone)]
pub struct Proxy {
    inner: Rc<Inner>,
}

struct Inner {
    parts: Parts,
    services: Services,
    client: Client,
    /// Random name of this start, the first part of request ids.
    start: u32,
    requests: Cell<u64>,
}

impl Proxy {
    /// A proxy over the given parts.
    pub fn new(parts: Parts) -> Self {
        Self {
            inner: Rc::new(Inner {
                services: Services::new(Rc::clone(&parts.view)),
                parts,
                client: Client::new(ANSWER_BYTES),
                start: fastrand::u32(..),
                requests: Cell::default(),
            }),
        }
    }

    /// Answers one request.
    pub async fn handle(&self, request: http::Request<Bytes>) -> http::Response<Bytes> {
        let started = clock::now();
        let id = self.inner.next_id();
        let (call, answer) = match self.inner.services.read(request, started, Arc::clone(&id)) {
            Ok(call) => {
                let answer = self.inner.carry(&call).await;
                (Some(call), answer)
            }
            Err(refusal) => (None, *refusal),
        };
        let observed = Observed {
            service: call.as_ref().map(|c| Arc::clone(&c.service.name)),
            route: call.as_ref().map(|c| Arc::clone(&c.kind.name)),
            verdict: answer.verdict,
            status: answer.response.status().as_u16(),
            took: clock::now().saturating_duration_since(started),
            attempts: call.as_ref().map_or(0, |c| c.attempts.get()),
            shed: answer.shed,
        };
        (self.inner.parts.observe)(&observed);
        answer.into_response(&id)
    }

    /// Drops what is held for backend servers that no route names.
    pub fn forget_servers<F>(&self, is_known: F)
    where
        F: Fn(&ids::Incarnation) -> bool,
    {
        self.inner.parts.gates.retain(is_known);
    }
}

impl Inner {
    fn next_id(&self) -> Arc<str> {
        let number = self.requests.get();
        self.requests.set(number.wrapping_add(1));
        format!("{:08x}-{number:x}", self.start).into()
    }
}

impl fmt::Debug for Parts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Parts").finish_non_exhaustive()
    }
}

impl fmt::Debug for Proxy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Proxy")
            .field("requests", &self.inner.requests.get())
            .finish_non_exhaustive()
    }
}
