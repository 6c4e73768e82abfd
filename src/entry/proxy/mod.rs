//! Proxy that forwards callers' requests to the owners of their keys.
//!
//! A request is matched against the document of its service, then waits for an
//! owner of its key and for a permit to send. The route is looked up once more
//! right before the first byte is written. The outcome decides on retries: only
//! a request that is proved not to have run, or is idempotent, is sent again,
//! within the retry budget and the deadline. A claim is recorded before it is
//! sent.

pub mod claims;
pub mod forward;
pub mod headers;
mod notices;
pub mod request;
pub mod response;
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

use service::ServiceCache;

/// Largest response body of a backend server.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// State and services that the proxy works with.
pub struct ProxyContext {
    /// Documents in force.
    pub view: Rc<View>,
    /// Routes.
    pub table: route::Table,
    /// Concurrency limiters of the backend servers.
    pub limiters: Rc<Limiters>,
    /// Claim records.
    pub claims: client::ClaimClient,
    /// Time line.
    pub journal: Journal,
    /// Called with each response to a caller.
    pub on_response: OnResponse,
}

/// Callback that updates the metrics for a response.
pub type OnResponse = Box<dyn Fn(&ResponseInfo)>;

/// Properties of a response to a caller, for metrics.
#[derive(Debug)]
pub struct ResponseInfo {
    /// Service, `None` if it is unknown.
    pub service: Option<ids::ServiceName>,
    /// Name of the document's route, `None` if none matched.
    pub route: Option<Arc<str>>,
    /// Verdict.
    pub verdict: Verdict,
    /// HTTP status.
    pub status: u16,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Number of times that the request was sent.
    pub attempts: u32,
    /// Whether the request was shed before it was sent.
    pub shed: bool,
}

/// Forwards callers' requests; clones share all state.
#[derive(Clone)]
pub struct Proxy {
    inner: Rc<Inner>,
}

struct Inner {
    context: ProxyContext,
    services: ServiceCache,
    client: Client,
    notices: notices::Notices,
    /// Random per process, so that ids of requests differ between processes.
    id_prefix: u32,
    request_count: Cell<u64>,
}

impl Proxy {
    /// Creates a proxy.
    pub fn new(context: ProxyContext) -> Self {
        Self {
            inner: Rc::new(Inner {
                services: ServiceCache::new(Rc::clone(&context.view)),
                context,
                client: Client::with_closing_header(MAX_RESPONSE_BYTES, Some(headers::REFUSED)),
                notices: notices::Notices::default(),
                id_prefix: fastrand::u32(..),
                request_count: Cell::default(),
            }),
        }
    }

    /// Handles one request of a caller.
    pub async fn handle(&self, request: http::Request<Bytes>) -> http::Response<Bytes> {
        let started = clock::now();
        let id = self.inner.next_id();
        let (request, response) =
            match self
                .inner
                .services
                .parse_request(request, started, Arc::clone(&id))
            {
                Ok(request) => {
                    let response = self.inner.forward(&request).await;
                    (Some(request), response)
                }
                Err(error_response) => (None, *error_response),
            };
        let info = ResponseInfo {
            service: request.as_ref().map(|r| Arc::clone(&r.service.name)),
            route: request.as_ref().map(|r| Arc::clone(&r.route.name)),
            verdict: response.verdict,
            status: response.http.status().as_u16(),
            elapsed: clock::now().saturating_duration_since(started),
            attempts: request.as_ref().map_or(0, |r| r.attempts.get()),
            shed: response.shed,
        };
        (self.inner.context.on_response)(&info);
        response.into_http(&id)
    }

    /// Drops the limiters and old notices of backend servers for which `is_known` is false.
    pub fn retain_servers<F>(&self, is_known: F)
    where
        F: Fn(&ids::Incarnation) -> bool,
    {
        self.inner.notices.prune(&is_known, clock::now());
        self.inner.context.limiters.retain(is_known);
    }
}

impl Inner {
    fn next_id(&self) -> Arc<str> {
        let number = self.request_count.get();
        self.request_count.set(number.wrapping_add(1));
        format!("{:08x}-{number:x}", self.id_prefix).into()
    }
}

impl fmt::Debug for ProxyContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ProxyContext").finish_non_exhaustive()
    }
}

impl fmt::Debug for Proxy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Proxy")
            .field("requests", &self.inner.request_count.get())
            .finish_non_exhaustive()
    }
}
