//! Request handling: a request is refused before it runs, or runs once and is recorded.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agateyoke::notify::Notify;
use agateyoke::web::{Caller, json};
use agateyoke::{clock, ids, keys};
use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use local_sync::semaphore::Semaphore;
use monoio::time;
use serde::Serialize;

use crate::faults::{self, Faults};
use crate::lease::Lease;
use crate::options::Options;
use crate::record::{Execution, RecordFile, Refusal};
use crate::refusal::RefusalReason;

/// Timeout of requests without a deadline; also the wait in place of a response that a fault drops.
const NO_DEADLINE_TIMEOUT: Duration = Duration::from_hours(1);

/// Marks the responses of a server that leaves.
const LEAVING: HeaderName = HeaderName::from_static("agateyoke-leaving");

/// State of the server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) options: Options,
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) lease: RefCell<Lease>,
    pub(crate) faults: Faults,
    pub(crate) draining: Cell<bool>,
    pub(crate) drained: Cell<bool>,
    /// Sequence number of the last heartbeat.
    pub(crate) sequence: Cell<u64>,
    /// Triggers a heartbeat before the end of its interval.
    pub(crate) heartbeat_due: Notify,
    slots: Semaphore,
    running: Cell<u32>,
    waiting: Cell<u32>,
    keys: RefCell<HashMap<keys::KeyHash, KeyState>>,
    record: RefCell<RecordFile>,
    refusals: RefCell<RecordFile>,
}

/// State of one key.
#[derive(Clone, Debug, Default)]
struct KeyState {
    count: u64,
    value: Arc<str>,
}

/// Response body of an executed request.
#[derive(Debug, Serialize)]
struct ExecutionResponse {
    server: ids::ServerName,
    hash: keys::KeyHash,
    fence: ids::Fence,
    count: u64,
    value: Arc<str>,
}

/// Headers of a request that the router sets.
#[derive(Debug)]
struct RouterHeaders {
    hash: Option<keys::KeyHash>,
    fence: Option<ids::Fence>,
    claim: Option<ids::ClaimId>,
    request: Option<Arc<str>>,
    deadline: Instant,
}

/// Counts a request as running and as in flight under its fence, until dropped.
struct RunningGuard<'a> {
    server: &'a Server,
    fence: ids::Fence,
}

impl Server {
    /// A server without grants; opens its record files.
    pub(crate) fn new(options: Options) -> io::Result<Self> {
        Ok(Self {
            incarnation: format!("{:016x}", fastrand::u64(..)).into(),
            lease: RefCell::default(),
            faults: Faults::default(),
            draining: Cell::default(),
            drained: Cell::default(),
            sequence: Cell::default(),
            heartbeat_due: Notify::default(),
            slots: Semaphore::new(options.slots.max(1) as usize),
            running: Cell::default(),
            waiting: Cell::default(),
            keys: RefCell::default(),
            record: RefCell::new(RecordFile::open(options.record.as_deref())?),
            refusals: RefCell::new(RecordFile::open(options.refusals.as_deref())?),
            options,
        })
    }

    /// Number of running and waiting requests.
    pub(crate) fn load(&self) -> u32 {
        self.running.get() + self.waiting.get()
    }

    /// Handles one request.
    pub(crate) async fn handle(self: Rc<Self>, request: http::Request<Bytes>) -> Response {
        if request.uri().path() == faults::PATH {
            return self.change_faults(request.body());
        }
        let caller = request.extensions().get::<Caller>().copied();
        if self.faults.is_silenced(caller.and_then(|c| c.address)) {
            time::sleep(NO_DEADLINE_TIMEOUT).await;
        }
        let mut response = self.respond(&request, caller).await;
        let headers = response.headers_mut();
        if self.faults.leaving.get() {
            headers.insert(LEAVING, HeaderValue::from_static("1"));
        }
        response
    }

    async fn respond(&self, request: &http::Request<Bytes>, caller: Option<Caller>) -> Response {
        let headers = RouterHeaders::read(request.headers());
        match self.run(&headers, request, caller).await {
            Ok(_) if self.faults.drops_response() => {
                time::sleep(NO_DEADLINE_TIMEOUT).await;
                json::response(StatusCode::INTERNAL_SERVER_ERROR, &"lost")
            }
            Ok(_) if self.faults.fail.get() => {
                json::response(StatusCode::INTERNAL_SERVER_ERROR, &"failed")
            }
            Ok(ran) => json::response(StatusCode::OK, &ran),
            Err(reason) => {
                let refusal = Refusal {
                    request: headers.request,
                    reason: reason.as_str(),
                };
                // A failed write only lowers a count; the response matters more.
                let _ = self.refusals.borrow_mut().append(&refusal);
                let mut response = reason.response();
                if let Some(left) = self.faults.quiet_for() {
                    let seconds = HeaderValue::from(left.as_secs() + 1);
                    response.headers_mut().insert(RETRY_AFTER, seconds);
                }
                response
            }
        }
    }

    fn change_faults(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(change) => {
                if self.faults.apply(&change) {
                    self.keys.borrow_mut().clear();
                }
                json::response(StatusCode::OK, &change)
            }
            Err(error) => json::response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Waits for a slot and runs the request, unless it must be refused.
    async fn run(
        &self,
        headers: &RouterHeaders,
        request: &http::Request<Bytes>,
        caller: Option<Caller>,
    ) -> Result<ExecutionResponse, RefusalReason> {
        self.check(headers)?;
        let _slot = self.acquire_slot(headers.deadline).await?;
        let is_disconnected = caller.is_some_and(|c| c.is_disconnected());
        if is_disconnected || clock::now() >= headers.deadline {
            return Err(RefusalReason::Deadline);
        }
        self.check(headers)?;
        // There is no await between the check above and the recorded effect.
        let _running = RunningGuard::new(self, headers.fence.unwrap_or(0));
        let ran = self.execute(headers, request)?;
        let duration = Duration::from_millis(self.options.work_ms) + self.faults.delay.get();
        if !duration.is_zero() {
            time::sleep(duration).await;
        }
        Ok(ran)
    }

    fn check(&self, headers: &RouterHeaders) -> Result<(), RefusalReason> {
        match (headers.hash, headers.fence) {
            _ if self.drained.get() => Err(RefusalReason::Drain),
            _ if self.faults.shed.get() || self.faults.quiet_for().is_some() => {
                Err(RefusalReason::Shed)
            }
            _ if !self.options.checks => Ok(()),
            (Some(hash), Some(fence)) => self.lease.borrow_mut().check(hash, fence, clock::now()),
            _ => Err(RefusalReason::Fence),
        }
    }

    /// Acquires a slot. At most as many requests wait as there are slots; others are shed.
    async fn acquire_slot(
        &self,
        deadline: Instant,
    ) -> Result<local_sync::semaphore::SemaphorePermit<'_>, RefusalReason> {
        if let Ok(permit) = self.slots.try_acquire() {
            return Ok(permit);
        }
        if self.waiting.get() >= self.options.slots {
            return Err(RefusalReason::Shed);
        }
        self.waiting.set(self.waiting.get() + 1);
        let timeout = deadline.saturating_duration_since(clock::now());
        let permit = time::timeout(timeout, self.slots.acquire()).await;
        self.waiting.set(self.waiting.get() - 1);
        match permit {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) | Err(_) => Err(RefusalReason::Shed),
        }
    }

    fn execute(
        &self,
        headers: &RouterHeaders,
        request: &http::Request<Bytes>,
    ) -> Result<ExecutionResponse, RefusalReason> {
        let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
        let execution = Execution {
            server: Arc::clone(&self.options.name),
            request: headers.request.clone(),
            claim: headers.claim.clone(),
            method: request.method().as_str().into(),
            path: path.into(),
            hash: headers.hash,
            fence: headers.fence,
            wall_ms: clock::wall_ms(),
        };
        let recorded = self.record.borrow_mut().append(&execution);
        recorded.map_err(|_| RefusalReason::Shed)?;
        let mut keys = self.keys.borrow_mut();
        let hash = headers.hash.unwrap_or_else(|| keys::hash(path));
        let state = keys.entry(hash).or_default();
        state.count += 1;
        if !request.body().is_empty() {
            state.value = String::from_utf8_lossy(request.body()).into();
        }
        Ok(ExecutionResponse {
            server: Arc::clone(&self.options.name),
            hash,
            fence: headers.fence.unwrap_or(0),
            count: state.count,
            value: Arc::clone(&state.value),
        })
    }
}

/// Response to a caller.
pub(crate) type Response = http::Response<Bytes>;

impl RouterHeaders {
    fn read(headers: &HeaderMap) -> Self {
        let deadline_ms: Option<u64> = parse_header(headers, "agateyoke-deadline-ms");
        let timeout = deadline_ms
            .map_or(NO_DEADLINE_TIMEOUT, Duration::from_millis)
            .min(NO_DEADLINE_TIMEOUT);
        Self {
            hash: parse_header(headers, "agateyoke-hash"),
            fence: parse_header(headers, "agateyoke-fence"),
            claim: header_text(headers, "agateyoke-claim").map(Arc::from),
            request: header_text(headers, "agateyoke-request").map(Arc::from),
            deadline: clock::now() + timeout,
        }
    }
}

impl<'a> RunningGuard<'a> {
    fn new(server: &'a Server, fence: ids::Fence) -> Self {
        server.running.set(server.running.get() + 1);
        server.lease.borrow_mut().start(fence);
        Self { server, fence }
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.server.running.set(self.server.running.get() - 1);
        self.server.lease.borrow_mut().end(self.fence);
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn parse_header<T>(headers: &HeaderMap, name: &str) -> Option<T>
where
    T: FromStr,
{
    header_text(headers, name).and_then(|value| value.parse().ok())
}
