//! Requests: refused before work, or run once and recorded.

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
use http::{HeaderMap, StatusCode};
use local_sync::semaphore::Semaphore;
use monoio::time;
use serde::Serialize;

use crate::lease::Lease;
use crate::mischief::{self, Mischief};
use crate::options::Options;
use crate::record::{Record, Refusal, Run};
use crate::refused::Refused;

/// Longest time that a request without a deadline waits or goes unanswered.
const FOREVER: Duration = Duration::from_hours(1);

/// All that the server knows.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) options: Options,
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) lease: RefCell<Lease>,
    pub(crate) mischief: Mischief,
    pub(crate) draining: Cell<bool>,
    pub(crate) drained: Cell<bool>,
    /// Number of the last question for the lease.
    pub(crate) beat: Cell<u64>,
    /// Wakes the heartbeat before its time.
    pub(crate) asked: Notify,
    slots: Semaphore,
    running: Cell<u32>,
    waiting: Cell<u32>,
    keys: RefCell<HashMap<keys::KeyHash, State>>,
    record: RefCell<Record>,
    refusals: RefCell<Record>,
}

/// State of one key.
#[derive(Clone, Debug, Default)]
struct State {
    count: u64,
    value: Arc<str>,
}

/// Answer to a request that ran.
#[derive(Debug, Serialize)]
struct Ran {
    server: ids::ServerName,
    hash: keys::KeyHash,
    fence: ids::Fence,
    count: u64,
    value: Arc<str>,
}

/// What the router says about a request.
#[derive(Debug)]
struct Call {
    hash: Option<keys::KeyHash>,
    fence: Option<ids::Fence>,
    claim: Option<ids::ClaimId>,
    request: Option<Arc<str>>,
    deadline: Instant,
}

/// Counts a request as running, and its fence as in use.
struct Running<'a> {
    server: &'a Server,
    fence: ids::Fence,
}

impl Server {
    /// A server that holds nothing yet.
    pub(crate) fn new(options: Options) -> io::Result<Self> {
        Ok(Self {
            incarnation: format!("{:016x}", fastrand::u64(..)).into(),
            lease: RefCell::default(),
            mischief: Mischief::default(),
            draining: Cell::default(),
            drained: Cell::default(),
            beat: Cell::default(),
            asked: Notify::default(),
            slots: Semaphore::new(options.slots.max(1) as usize),
            running: Cell::default(),
            waiting: Cell::default(),
            keys: RefCell::default(),
            record: RefCell::new(Record::open(options.record.as_deref())?),
            refusals: RefCell::new(Record::open(options.refusals.as_deref())?),
            options,
        })
    }

    /// Requests running and waiting.
    pub(crate) fn busy(&self) -> u32 {
        self.running.get() + self.waiting.get()
    }

    /// Answers one request.
    pub(crate) async fn handle(self: Rc<Self>, request: http::Request<Bytes>) -> Reply {
        if request.uri().path() == mischief::PATH {
            return self.misbehave(request.body());
        }
        let caller = request.extensions().get::<Caller>().copied();
        if self.mischief.is_silenced(caller.and_then(|c| c.address)) {
            time::sleep(FOREVER).await;
        }
        let call = Call::read(request.headers());
        match self.run(&call, &request, caller).await {
            Ok(_) if self.mischief.loses_answer() => {
                time::sleep(FOREVER).await;
                json::response(StatusCode::INTERNAL_SERVER_ERROR, &"lost")
            }
            Ok(_) if self.mischief.fail.get() => {
                json::response(StatusCode::INTERNAL_SERVER_ERROR, &"failed")
            }
            Ok(ran) => json::response(StatusCode::OK, &ran),
            Err(refused) => {
                let refusal = Refusal {
                    request: call.request,
                    reason: refused.reason(),
                };
                // A lost line only makes a count too low; the answer matters more.
                let _ = self.refusals.borrow_mut().append(&refusal);
                refused.response()
            }
        }
    }

    fn misbehave(&self, body: &[u8]) -> Reply {
        match serde_json::from_slice(body) {
            Ok(change) => {
                if self.mischief.change(&change) {
                    self.keys.borrow_mut().clear();
                }
                json::response(StatusCode::OK, &change)
            }
            Err(error) => json::response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Waits for a slot and does the work, unless something speaks against it.
    async fn run(
        &self,
        call: &Call,
        request: &http::Request<Bytes>,
        caller: Option<Caller>,
    ) -> Result<Ran, Refused> {
        self.check(call)?;
        let _slot = self.slot(call.deadline).await?;
        let is_disconnected = caller.is_some_and(|c| c.is_disconnected());
        if is_disconnected || clock::now() >= call.deadline {
            return Err(Refused::Deadline);
        }
        self.check(call)?;
        // From here to the recorded effect nothing waits.
        let _running = Running::new(self, call.fence.unwrap_or(0));
        let ran = self.work(call, request)?;
        let length = Duration::from_millis(self.options.work_ms) + self.mischief.slow.get();
        if !length.is_zero() {
            time::sleep(length).await;
        }
        Ok(ran)
    }

    fn check(&self, call: &Call) -> Result<(), Refused> {
        match (call.hash, call.fence) {
            _ if self.drained.get() => Err(Refused::Drain),
            _ if self.mischief.shed.get() => Err(Refused::Shed),
            _ if !self.options.checks => Ok(()),
            (Some(hash), Some(fence)) => self.lease.borrow_mut().check(hash, fence, clock::now()),
            _ => Err(Refused::Fence),
        }
    }

    /// A free slot, after a wait in a queue as long as there are slots.
    async fn slot(
        &self,
        deadline: Instant,
    ) -> Result<local_sync::semaphore::SemaphorePermit<'_>, Refused> {
        if let Ok(permit) = self.slots.try_acquire() {
            return Ok(permit);
        }
        if self.waiting.get() >= self.options.slots {
            return Err(Refused::Shed);
        }
        self.waiting.set(self.waiting.get() + 1);
        let limit = deadline.saturating_duration_since(clock::now());
        let permit = time::timeout(limit, self.slots.acquire()).await;
        self.waiting.set(self.waiting.get() - 1);
        match permit {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) | Err(_) => Err(Refused::Shed),
        }
    }

    fn work(&self, call: &Call, request: &http::Request<Bytes>) -> Result<Ran, Refused> {
        let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
        let run = Run {
            server: Arc::clone(&self.options.name),
            request: call.request.clone(),
            claim: call.claim.clone(),
            method: request.method().as_str().into(),
            path: path.into(),
            hash: call.hash,
            fence: call.fence,
            wall_ms: clock::wall_ms(),
        };
        let recorded = self.record.borrow_mut().append(&run);
        recorded.map_err(|_| Refused::Shed)?;
        let mut keys = self.keys.borrow_mut();
        let hash = call.hash.unwrap_or_else(|| keys::hash(path));
        let state = keys.entry(hash).or_default();
        state.count += 1;
        if !request.body().is_empty() {
            state.value = String::from_utf8_lossy(request.body()).into();
        }
        Ok(Ran {
            server: Arc::clone(&self.options.name),
            hash,
            fence: call.fence.unwrap_or(0),
            count: state.count,
            value: Arc::clone(&state.value),
        })
    }
}

/// Response to a request.
pub(crate) type Reply = http::Response<Bytes>;

impl Call {
    fn read(headers: &HeaderMap) -> Self {
        let left: Option<u64> = number(headers, "agateyoke-deadline-ms");
        let left = left.map_or(FOREVER, Duration::from_millis).min(FOREVER);
        Self {
            hash: number(headers, "agateyoke-hash"),
            fence: number(headers, "agateyoke-fence"),
            claim: text(headers, "agateyoke-claim").map(Arc::from),
            request: text(headers, "agateyoke-request").map(Arc::from),
            deadline: clock::now() + left,
        }
    }
}

impl<'a> Running<'a> {
    fn new(server: &'a Server, fence: ids::Fence) -> Self {
        server.running.set(server.running.get() + 1);
        server.lease.borrow_mut().start(fence);
        Self { server, fence }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.server.running.set(self.server.running.get() - 1);
        self.server.lease.borrow_mut().end(self.fence);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn number<T>(headers: &HeaderMap, name: &str) -> Option<T>
where
    T: FromStr,
{
    text(headers, name).and_then(|value| value.parse().ok())
}
