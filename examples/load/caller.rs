//! One connection's requests.

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
use crate::tally::{Outcome, Tally, Trace};

/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 64 << 20;

/// Wait after a request that could not be sent.
const FAILED_PAUSE: Duration = Duration::from_millis(10);

/// What all connections share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: Options,
    pub(crate) keys: Keys,
    pub(crate) tally: RefCell<Tally>,
    pub(crate) start: Instant,
    pub(crate) end: Instant,
    pub(crate) sent: Cell<u64>,
}

/// One connection.
pub(crate) struct Caller {
    shared: Rc<Shared>,
    client: Client,
    target: SocketAddr,
    random: fastrand::Rng,
}

/// Status and verdict of an answer.
type Told = Option<(u16, Arc<str>)>;

impl Caller {
    pub(crate) fn new(shared: &Rc<Shared>, target: SocketAddr, seed: u64) -> Self {
        Self {
            shared: Rc::clone(shared),
            client: Client::new(ANSWER_BYTES),
            target,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Sends requests until the end or the last one.
    pub(crate) async fn run(mut self) -> io::Result<()> {
        while let Some(number) = self.takes_one() {
            let due = self.due(number).await;
            let key = self.key(number);
            if self.random.u8(..100) < self.shared.options.claims {
                self.claim(&key, due).await?;
            } else {
                self.send("GET", &key, None, due).await?;
            }
        }
        Ok(())
    }

    /// Number of the next request.
    fn takes_one(&self) -> Option<u64> {
        let shared = &self.shared;
        let count = shared.options.count;
        let sent = shared.sent.get();
        shared.sent.set(sent + 1);
        ((count == 0 || sent < count) && Instant::now() < shared.end).then_some(sent)
    }

    /// Waits until a request is due; the time from which its latency counts.
    async fn due(&self, number: u64) -> Instant {
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
        if shared.options.in_turn {
            shared.keys.turn(number)
        } else {
            shared.keys.draw(&mut self.random)
        }
    }

    async fn claim(&mut self, key: &Arc<str>, due: Instant) -> io::Result<()> {
        let claim: Arc<str> = format!("{:032x}", self.random.u128(..)).into();
        let mut told = None;
        let mut sent = 0;
        let mut started = due;
        while sent <= self.shared.options.resends {
            told = self.send("POST", key, Some(&claim), started).await?;
            sent += 1;
            started = Instant::now();
            match &told {
                Some((_, verdict)) if **verdict != *"may-have-run" => break,
                _ => {}
            }
        }
        let (status, verdict) = told.unwrap_or_else(|| (0, "none".into()));
        let outcome = Outcome {
            claim,
            key: Arc::clone(key),
            status,
            verdict,
            sent,
        };
        self.shared.tally.borrow_mut().outcome(&outcome)
    }

    async fn send(
        &self,
        method: &str,
        key: &str,
        claim: Option<&str>,
        due: Instant,
    ) -> io::Result<Told> {
        let options = &self.shared.options;
        let Some(request) = request(options, method, key, claim) else {
            self.shared.tally.borrow_mut().failure("no request");
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
        let told = match result {
            Ok(response) => {
                let header = |name| response.headers().get(name).and_then(|v| v.to_str().ok());
                trace.verdict = header("agateyoke-verdict").unwrap_or("none").into();
                trace.request = header("agateyoke-request").map(Arc::from);
                trace.status = response.status().as_u16();
                let replay = header("agateyoke-replay").is_some();
                let mut tally = self.shared.tally.borrow_mut();
                tally.answer(trace.status, &trace.verdict, replay, due.elapsed());
                Some((trace.status, Arc::clone(&trace.verdict)))
            }
            Err(error) => {
                let reason = match error {
                    SendError::NotSent(_) => "not sent",
                    SendError::MayHaveRun(_) => "broken",
                    SendError::TimedOut => "timed out",
                };
                self.shared.tally.borrow_mut().failure(reason);
                None
            }
        };
        self.shared.tally.borrow_mut().trace(&trace)?;
        if told.is_none() {
            monoio::time::sleep(FAILED_PAUSE).await;
        }
        Ok(told)
    }
}

fn request(
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
