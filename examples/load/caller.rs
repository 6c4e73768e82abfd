//! Requests of one connection.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agateyoke::clock;
use agateyoke::web::{Client, Reuse, SendError, SendOptions};
use bytes::Bytes;

use crate::keys::Keys;
use crate::options::Options;
use crate::stats::{Outcome, Stats, Trace};

const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Pause after a request without a response.
const FAILURE_PAUSE: Duration = Duration::from_millis(10);

/// State shared by all connections.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: Options,
    pub(crate) keys: Keys,
    pub(crate) stats: RefCell<Stats>,
    pub(crate) start: Instant,
    pub(crate) end: Instant,
    pub(crate) next_request: Cell<u64>,
}

/// Caller with one connection.
pub(crate) struct Caller {
    shared: Rc<Shared>,
    client: Client,
    target: SocketAddr,
    random: fastrand::Rng,
}

/// Status and verdict of a response; `None` without a response.
type StatusAndVerdict = Option<(u16, Arc<str>)>;

impl Caller {
    pub(crate) fn new(shared: &Rc<Shared>, target: SocketAddr, seed: u64) -> Self {
        Self {
            shared: Rc::clone(shared),
            client: Client::new(MAX_RESPONSE_BYTES),
            target,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Sends requests until the end time or the request limit.
    pub(crate) async fn run(mut self) -> io::Result<()> {
        while let Some(number) = self.next_request() {
            let due = self.wait_until_due(number).await;
            let key = self.key(number);
            if self.random.u8(..100) < self.shared.options.claims {
                self.send_claim(&key, due).await?;
            } else {
                self.send("GET", &key, None, due).await?;
            }
        }
        Ok(())
    }

    /// Number of the next request; `None` after the last one.
    fn next_request(&self) -> Option<u64> {
        let shared = &self.shared;
        let count = shared.options.count;
        let next = shared.next_request.get();
        shared.next_request.set(next + 1);
        ((count == 0 || next < count) && Instant::now() < shared.end).then_some(next)
    }

    /// Waits until a request is due; returns the time from which its latency counts.
    async fn wait_until_due(&self, number: u64) -> Instant {
        let now = Instant::now();
        let rate = u64::from(self.shared.options.rate);
        let Some(micros) = number.saturating_mul(1_000_000).checked_div(rate) else {
            return now;
        };
        let due = self.shared.start + Duration::from_micros(micros);
        if due <= now {
            return due;
        }
        monoio::time::sleep(due - now).await;
        Instant::now()
    }

    fn key(&mut self, number: u64) -> Arc<str> {
        let shared = &self.shared;
        if shared.options.sequential {
            shared.keys.sequential(number)
        } else {
            shared.keys.sample(&mut self.random)
        }
    }

    async fn send_claim(&mut self, key: &Arc<str>, due: Instant) -> io::Result<()> {
        let claim: Arc<str> = format!("{:032x}", self.random.u128(..)).into();
        let mut response = None;
        let mut attempts = 0;
        let mut started = due;
        while attempts <= self.shared.options.retries {
            response = self.send("POST", key, Some(&claim), started).await?;
            attempts += 1;
            started = Instant::now();
            match &response {
                Some((_, verdict)) if **verdict != *"may-have-run" => break,
                _ => {}
            }
        }
        let (status, verdict) = response.unwrap_or_else(|| (0, "none".into()));
        let outcome = Outcome {
            claim,
            key: Arc::clone(key),
            status,
            verdict,
            attempts,
        };
        self.shared.stats.borrow_mut().record_outcome(&outcome)
    }

    async fn send(
        &self,
        method: &str,
        key: &str,
        claim: Option<&str>,
        due: Instant,
    ) -> io::Result<StatusAndVerdict> {
        let options = &self.shared.options;
        let Some(request) = build_request(options, method, key, claim) else {
            self.shared.stats.borrow_mut().record_failure("no request");
            return Ok(None);
        };
        let options = SendOptions {
            deadline: clock::now() + Duration::from_millis(options.timeout_ms),
            reuse: Reuse::Any,
            before_write: || true,
        };
        let sent_ms = clock::wall_ms();
        let result = self.client.send(self.target, request, options).await;
        let mut trace = Trace {
            sent_ms,
            done_ms: clock::wall_ms(),
            took_us: u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX),
            key,
            claim,
            request: None,
            status: 0,
            verdict: "none".into(),
        };
        let response = match result {
            Ok(response) => {
                let header = |name| response.headers().get(name).and_then(|v| v.to_str().ok());
                trace.verdict = header("agateyoke-verdict").unwrap_or("none").into();
                trace.request = header("agateyoke-request").map(Arc::from);
                trace.status = response.status().as_u16();
                let replay = header("agateyoke-replay").is_some();
                let mut stats = self.shared.stats.borrow_mut();
                stats.record_response(trace.status, &trace.verdict, replay, due.elapsed());
                Some((trace.status, Arc::clone(&trace.verdict)))
            }
            Err(error) => {
                let reason = match error {
                    SendError::NotSent(_) => "not sent",
                    SendError::MayHaveRun(_) => "broken",
                    SendError::TimedOut => "timed out",
                };
                self.shared.stats.borrow_mut().record_failure(reason);
                None
            }
        };
        self.shared.stats.borrow_mut().record_trace(&trace)?;
        if response.is_none() {
            monoio::time::sleep(FAILURE_PAUSE).await;
        }
        Ok(response)
    }
}

fn build_request(
    options: &Options,
    method: &str,
    key: &str,
    claim: Option<&str>,
) -> Option<http::Request<Bytes>> {
    let (path, body) = match claim {
        Some(_) => (&options.claim_path, vec![b'x'; options.body_bytes]),
        None => (&options.read_path, Vec::new()),
    };
    let mut request = http::Request::builder()
        .method(method)
        .uri(path.replace("{key}", key))
        .header("host", &*options.service)
        .header("agateyoke-service", &*options.service);
    if let Some(claim) = claim {
        request = request.header("agateyoke-claim", claim);
    }
    request.body(body.into()).ok()
}
