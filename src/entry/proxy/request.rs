//! Callers' requests, matched against the documents of their services.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::uri::Authority;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header, request};
use xxhash_rust::xxh3::Xxh3;

use super::headers;
use super::response::ProxyResponse;
use super::service::{CompiledService, RoutePolicy, ServiceCache};
use crate::clock;
use crate::document::Idempotency;
use crate::document::matcher::MatchError;
use crate::ids;
use crate::keys;
use crate::web::Caller;

/// Longest id of a claim.
const MAX_CLAIM_ID_BYTES: usize = 128;

/// `Retry-After` of an entry VM that has just started.
const STARTUP_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Request of a caller that is being forwarded.
#[derive(Debug)]
pub struct ProxyRequest {
    /// Id of the request.
    pub id: Arc<str>,
    /// Service.
    pub service: Rc<CompiledService>,
    /// Route of the document that the request matched.
    pub route: Rc<RoutePolicy>,
    /// Hash of the routing key.
    pub hash: keys::KeyHash,
    /// Time until which the caller must have a response.
    pub deadline: Instant,
    /// Id of the claim, `None` if the request is no claim.
    pub claim: Option<ids::ClaimId>,
    /// Whether the caller chose the claim id, so that it may have sent the claim before.
    pub has_caller_id: bool,
    /// Number of times that the request was sent.
    pub attempts: Cell<u32>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    caller: Option<Caller>,
}

impl ServiceCache {
    /// Response for a service without a known document.
    fn unknown_service(&self) -> ProxyResponse {
        if self.has_synced() {
            ProxyResponse::not_run(StatusCode::NOT_FOUND, "unknown service")
        } else {
            let error = "this VM has just started and has not heard the control VMs yet";
            ProxyResponse::retry_later(STARTUP_RETRY_AFTER, error)
        }
    }

    /// Parses a request and matches it against the document of its service.
    ///
    /// # Errors
    ///
    /// Response to a request that cannot be forwarded.
    pub fn parse_request(
        &self,
        request: http::Request<Bytes>,
        started: Instant,
        id: Arc<str>,
    ) -> Result<ProxyRequest, Box<ProxyResponse>> {
        let (mut head, body) = request.into_parts();
        let service = service_name(&head).and_then(|name| self.get(&name));
        let Some(service) = service else {
            return Err(self.unknown_service().into());
        };
        if body.len() as u64 > service.limits.body_bytes {
            let too_large = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(ProxyResponse::not_run(too_large, "body too large").into());
        }
        let target = head.uri.path_and_query().map_or("/", |p| p.as_str());
        let get_header = |name: &str| headers::single_value(&head.headers, name);
        let matched = service
            .matcher
            .find(head.method.as_str(), target, get_header);
        let matched = matched.map_err(|error| match_error_response(&error))?;
        let Some(route) = service.route(matched.route).map(Rc::clone) else {
            return Err(ProxyResponse::not_run(StatusCode::NOT_FOUND, "no such route").into());
        };
        let claim = match route.idempotency {
            Idempotency::Claim => Some(claim_id(&head.headers)?),
            Idempotency::Idempotent | Idempotency::Once => None,
        };
        let has_caller_id = headers::claim_header(&head.headers).is_some();
        headers::strip_request_headers(&mut head.headers);
        if !head.headers.contains_key(header::HOST) {
            headers::set(&mut head.headers, header::HOST, &service.name);
        }
        Ok(ProxyRequest {
            id,
            hash: keys::hash(&matched.key),
            deadline: started + route.deadline,
            service,
            route,
            claim,
            has_caller_id,
            attempts: Cell::default(),
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            caller: head.extensions.remove::<Caller>(),
        })
    }
}

impl ProxyRequest {
    /// Whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route.idempotency == Idempotency::Idempotent
    }

    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(clock::now())
    }

    /// Whether the caller has closed its connection.
    pub fn caller_disconnected(&self) -> bool {
        self.caller.is_some_and(|caller| caller.is_disconnected())
    }

    /// Request with the headers that the owner gets.
    pub fn for_owner(&self, fence: ids::Fence) -> http::Request<Bytes> {
        let mut request = http::Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        headers.insert(headers::FENCE, HeaderValue::from(fence));
        headers.insert(headers::HASH, HeaderValue::from(self.hash));
        let left_ms = clock::as_ms(self.time_left());
        headers.insert(headers::DEADLINE, HeaderValue::from(left_ms));
        headers::set(&mut headers, headers::REQUEST, &self.id);
        if let Some(claim) = &self.claim {
            headers::set(&mut headers, headers::CLAIM, claim);
        }
        *request.headers_mut() = headers;
        request
    }

    /// Digest of method, target and body, to detect the reuse of a claim id.
    pub fn digest(&self) -> u64 {
        let target = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut hasher = Xxh3::new();
        for part in [self.method.as_str().as_bytes(), target.as_bytes()] {
            hasher.update(part);
            hasher.update(&[0]);
        }
        hasher.update(&self.body);
        hasher.digest()
    }
}

/// Name of the service to which a request is addressed.
fn service_name(head: &request::Parts) -> Option<Arc<str>> {
    if head.headers.contains_key(headers::SERVICE) {
        return headers::single_value(&head.headers, headers::SERVICE.as_str()).map(Arc::from);
    }
    if let Some(host) = head.uri.host() {
        return Some(host.to_ascii_lowercase().into());
    }
    let host = head.headers.get(header::HOST)?;
    let authority = Authority::try_from(host.as_bytes()).ok()?;
    Some(authority.host().to_ascii_lowercase().into())
}

/// Claim id that the caller sent, else a random one.
fn claim_id(headers: &HeaderMap) -> Result<ids::ClaimId, Box<ProxyResponse>> {
    let Some(name) = headers::claim_header(headers) else {
        return Ok(format!("{:032x}", fastrand::u128(..)).into());
    };
    let is_valid = |id: &&str| {
        !id.is_empty() && id.len() <= MAX_CLAIM_ID_BYTES && id.bytes().all(|b| b.is_ascii_graphic())
    };
    match headers::single_value(headers, name.as_str()).filter(is_valid) {
        Some(id) => Ok(id.into()),
        None => Err(ProxyResponse::not_run(
            StatusCode::BAD_REQUEST,
            "the id of the claim must be one header of 1 to 128 visible characters",
        )
        .into()),
    }
}

fn match_error_response(error: &MatchError) -> ProxyResponse {
    match error {
        MatchError::NoRoute => ProxyResponse::not_run(StatusCode::NOT_FOUND, "no such route"),
        MatchError::MethodNotAllowed { allow } => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            let mut response =
                ProxyResponse::not_run(status, "the path exists with another method");
            headers::set(response.http.headers_mut(), header::ALLOW, allow);
            response
        }
        MatchError::NoKey { source } => {
            let error = format!("the key is missing, given twice or malformed: {source}");
            ProxyResponse::not_run(StatusCode::BAD_REQUEST, &error)
        }
    }
}
