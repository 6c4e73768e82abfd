//! A caller's request, read by its service's document.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::uri::Authority;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header, request};
use xxhash_rust::xxh3::Xxh3;

use super::answer::Answer;
use super::headers;
use super::service::{Kind, Service, Services};
use crate::clock;
use crate::document::Repeat;
use crate::document::matcher::MatchError;
use crate::ids;
use crate::keys;
use crate::web::Caller;

/// Longest id of a claim, in bytes.
const CLAIM_ID_BYTES: usize = 128;

/// When a caller may come back to an entry VM that has just started.
const START_RETRY: Duration = Duration::from_secs(1);

/// A request on its way.
#[derive(Debug)]
pub struct Call {
    /// Id of the request.
    pub id: Arc<str>,
    /// Service.
    pub service: Rc<Service>,
    /// Route of its document.
    pub kind: Rc<Kind>,
    /// Hash of the key.
    pub hash: keys::KeyHash,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Id of the claim, if it is one.
    pub claim: Option<ids::ClaimId>,
    /// Whether the caller chose that id, so that it may have sent the claim before.
    pub chosen: bool,
    /// Times that it was sent.
    pub attempts: Cell<u32>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    caller: Option<Caller>,
}

impl Services {
    /// The answer where no document has the service, as far as this VM knows.
    fn unknown(&self) -> Answer {
        if self.knows_all() {
            Answer::not_run(StatusCode::NOT_FOUND, "unknown service")
        } else {
            let error = "this VM has just started and has not heard the control VMs yet";
            Answer::come_back(START_RETRY, error)
        }
    }

    /// Reads a request.
    ///
    /// # Errors
    ///
    /// The answer to a request that cannot be carried.
    pub fn read(
        &self,
        request: http::Request<Bytes>,
        started: Instant,
        id: Arc<str>,
    ) -> Result<Call, Box<Answer>> {
        let (mut head, body) = request.into_parts();
        let service = service_name(&head).and_then(|name| self.get(&name));
        let Some(service) = service else {
            return Err(self.unknown().into());
        };
        if body.len() as u64 > service.limits.body_bytes {
            let too_large = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(Answer::not_run(too_large, "body too large").into());
        }
        let target = head.uri.path_and_query().map_or("/", |p| p.as_str());
        let header = |name: &str| headers::single(&head.headers, name);
        let matched = service.matcher.find(head.method.as_str(), target, header);
        let matched = matched.map_err(|error| unmatched(&error))?;
        let Some(kind) = service.kind(matched.route).map(Rc::clone) else {
            return Err(Answer::not_run(StatusCode::NOT_FOUND, "no such route").into());
        };
        let claim = match kind.repeat {
            Repeat::Claim => Some(claim_id(&head.headers)?),
            Repeat::Idempotent | Repeat::Once => None,
        };
        let chosen = headers::claim_header(&head.headers).is_some();
        headers::clean_request(&mut head.headers);
        if !head.headers.contains_key(header::HOST) {
            headers::set(&mut head.headers, header::HOST, &service.name);
        }
        Ok(Call {
            id,
            hash: keys::hash(&matched.key),
            deadline: started + kind.deadline,
            service,
            kind,
            claim,
            chosen,
            attempts: Cell::default(),
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            caller: head.extensions.remove::<Caller>(),
        })
    }
}

impl Call {
    /// Whether it may be sent again at any time.
    pub fn is_idempotent(&self) -> bool {
        self.kind.repeat == Repeat::Idempotent
    }

    /// Time left until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(clock::now())
    }

    /// Whether the caller has closed its connection.
    pub fn is_abandoned(&self) -> bool {
        self.caller.is_some_and(|caller| caller.is_disconnected())
    }

    /// The request as the owner gets it.
    pub fn request(&self, fence: ids::Fence) -> http::Request<Bytes> {
        let mut request = http::Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut out = self.headers.clone();
        out.insert(headers::FENCE, HeaderValue::from(fence));
        out.insert(headers::HASH, HeaderValue::from(self.hash));
        let left = clock::as_ms(self.left());
        out.insert(headers::DEADLINE, HeaderValue::from(left));
        headers::set(&mut out, headers::REQUEST, &self.id);
        if let Some(claim) = &self.claim {
            headers::set(&mut out, headers::CLAIM, claim);
        }
        *request.headers_mut() = out;
        request
    }

    /// Digest of what a claim asks for, to tell reuse of an id.
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

/// Name of the service that a request is for.
fn service_name(head: &request::Parts) -> Option<Arc<str>> {
    if head.headers.contains_key(headers::SERVICE) {
        return headers::single(&head.headers, headers::SERVICE.as_str()).map(Arc::from);
    }
    if let Some(host) = head.uri.host() {
        return Some(host.to_ascii_lowercase().into());
    }
    let host = head.headers.get(header::HOST)?;
    let authority = Authority::try_from(host.as_bytes()).ok()?;
    Some(authority.host().to_ascii_lowercase().into())
}

/// The caller's id of a claim, or a new one.
fn claim_id(found: &HeaderMap) -> Result<ids::ClaimId, Box<Answer>> {
    let Some(name) = headers::claim_header(found) else {
        return Ok(format!("{:032x}", fastrand::u128(..)).into());
    };
    let is_id = |id: &&str| {
        !id.is_empty() && id.len() <= CLAIM_ID_BYTES && id.bytes().all(|b| b.is_ascii_graphic())
    };
    match headers::single(found, name.as_str()).filter(is_id) {
        Some(id) => Ok(id.into()),
        None => Err(Answer::not_run(
            StatusCode::BAD_REQUEST,
            "the id of the claim must be one header of 1 to 128 visible characters",
        )
        .into()),
    }
}

fn unmatched(error: &MatchError) -> Answer {
    match error {
        MatchError::NoRoute => Answer::not_run(StatusCode::NOT_FOUND, "no such route"),
        MatchError::MethodNotAllowed { allow } => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            let mut answer = Answer::not_run(status, "the path exists with another method");
            headers::set(answer.response.headers_mut(), header::ALLOW, allow);
            answer
        }
        MatchError::NoKey { what } => {
            let error = format!("the key is missing, given twice or malformed: {what}");
            Answer::not_run(StatusCode::BAD_REQUEST, &error)
        }
    }
}
