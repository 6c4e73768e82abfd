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
use crate::tally::{Outcome, Tally};

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
        while self.takes_one() {
            let key = self.shared.keys.draw(&mut self.random);
            if self.random.u8(..100) < self.shared.options.claims {
                self.claim(&key).await?;
            } else {
                self.send("GET", &key, None).await;
            }
        }
        Ok(())
    }

    fn takes_one(&self) -> bool {
        let shared = &self.shared;
        let count = shared.options.count;
        let sent = shared.sent.get();
        shared.sent.set(sent + 1);
        (count == 0 || sent < count) && Instant::now() < shared.end
    }

    async fn claim(&mut self, key: &Arc<str>) -> io::Result<()> {
        let claim: Arc<str> = format!("{:032x}", self.random.u128(..)).into();
        let mut told = None;
        let mut sent = 0;
        while sent <= self.shared.options.resends {
            told = self.send("POST", key, Some(&claim)).await;
            sent += 1;
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

    async fn send(&self, method: &str, key: &str, claim: Option<&str>) -> Told {
        let options = &self.shared.options;
        let started = Instant::now();
        let Some(request) = request(options, method, key, claim) else {
            self.shared.tally.borrow_mut().failure("no request");
            return None;
        };
        let options = SendOptions {
            deadline: clock::now() + Duration::from_millis(options.timeout_ms),
            reuse: Reuse::Any,
            before_write: || true,
        };
        match self.client.send(self.target, request, options).await {
            Ok(response) => {
                let header = |name| response.headers().get(name).and_then(|v| v.to_str().ok());
                let verdict = header("agateyoke-verdict").unwrap_or("none");
                let status = response.status().as_u16();
                let replay = header("agateyoke-replay").is_some();
                let mut tally = self.shared.tally.borrow_mut();
                tally.answer(status, verdict, replay, started.elapsed());
                Some((status, verdict.into()))
            }
            Err(error) => {
                let reason = match error {
                    SendError::NotSent(_) => "not sent",
                    SendError::MayHaveRun(_) => "broken",
                    SendError::TimedOut => "timed out",
                };
                self.shared.tally.borrow_mut().failure(reason);
                monoio::time::sleep(FAILED_PAUSE).await;
                None
            }
        }
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
