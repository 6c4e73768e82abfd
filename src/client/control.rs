//! Asking the control VMs, whichever of them can answer.
//!
//! Every request here may be sent twice: reads change nothing, a change carries
//! its id, and draining a server again changes nothing. So a request goes to one
//! control VM after the other until one gives a definite answer.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::answer::Failure;
use super::call::{self, CallError, Reply};
use crate::clock;
use crate::control::api;

/// Longest wait for one answer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Rounds through all control VMs.
const ROUNDS: u32 = 5;

/// Time after which no further round is begun.
const ROUNDS_TIMEOUT: Duration = Duration::from_secs(8);

/// Pause between rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// What to do when it is not known whether a request ran.
const AGAIN: &str = "run the same command again; it is not done twice";

/// HTTP status: done.
pub const STATUS_OK: u16 = 200;

/// HTTP status: the document is wrong.
pub const STATUS_WRONG: u16 = 400;

/// HTTP status: another change came first, or the id was used for one.
pub const STATUS_CONFLICT: u16 = 409;

const STATUS_SERVER_FAILED: u16 = 500;
const STATUS_UNAVAILABLE: u16 = 503;
const STATUS_TIMED_OUT: u16 = 504;

/// The control VMs of the system.
#[derive(Clone, Debug)]
pub struct Control {
    addresses: Vec<SocketAddr>,
}

/// What was learned before a definite answer came.
#[derive(Default)]
struct Attempts {
    /// Whether a request that has no answer may have run.
    may_have_run: bool,
    /// What went wrong last at each address.
    causes: BTreeMap<SocketAddr, String>,
}

impl Control {
    /// Control VMs with these operator addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses }
    }

    /// Reads `path`; any status but 200 is a failure.
    pub async fn get<A>(&self, path: &str) -> Result<A, Failure>
    where
        A: DeserializeOwned,
    {
        let reply = self.ask(Method::GET, path, None).await?;
        match reply.status {
            STATUS_OK => parse(&reply),
            _ => Err(match refusal(&reply) {
                Failure::Unknown { cause, .. } => Failure::Failed(cause),
                other => other,
            }),
        }
    }

    /// Sends `request` to `path` and returns whatever definite answer comes.
    pub async fn post<Q>(&self, path: &str, request: &Q) -> Result<Reply, Failure>
    where
        Q: Serialize,
    {
        let body = serde_json::to_vec(request).unwrap_or_default();
        self.ask(Method::POST, path, Some(Bytes::from(body))).await
    }

    async fn ask(&self, method: Method, path: &str, body: Option<Bytes>) -> Result<Reply, Failure> {
        if self.addresses.is_empty() {
            let line = "no control VM given: use --control or AGATEYOKE_CONTROL";
            return Err(Failure::Usage(line.into()));
        }
        let mut attempts = Attempts::default();
        let begun = clock::now();
        for round in 0..ROUNDS {
            if clock::now() > begun + ROUNDS_TIMEOUT {
                break;
            }
            if round > 0 {
                monoio::time::sleep(ROUND_PAUSE).await;
            }
            let answer = self
                .round(&method, path, body.as_ref(), &mut attempts)
                .await;
            match answer {
                Some(reply) if attempts.may_have_run && !is_definite(&reply) => break,
                Some(reply) => return Ok(reply),
                None => {}
            }
        }
        Err(attempts.failure(&method))
    }

    /// Asks each control VM once, a leader that one names next.
    async fn round(
        &self,
        method: &Method,
        path: &str,
        body: Option<&Bytes>,
        attempts: &mut Attempts,
    ) -> Option<Reply> {
        let mut next: VecDeque<SocketAddr> = self.addresses.iter().copied().collect();
        let mut hints = self.addresses.len();
        while let Some(address) = next.pop_front() {
            let called = call::call(address, method.clone(), path, body.cloned(), CALL_TIMEOUT);
            match called.await {
                Ok(reply) if !is_passing(&reply) => return Some(reply),
                Ok(reply) => match attempts.unavailable(address, &reply) {
                    Some(leader) if leader != address && hints > 0 => {
                        hints -= 1;
                        next.retain(|a| *a != leader);
                        next.push_front(leader);
                    }
                    _ => {}
                },
                Err(error) => attempts.lost(address, &error),
            }
        }
        None
    }
}

impl Attempts {
    fn lost(&mut self, address: SocketAddr, error: &CallError) {
        self.may_have_run |= matches!(error, CallError::MayHaveRun(_));
        self.causes.insert(address, error.to_string());
    }

    /// Takes in that a control VM can't do it now; returns the leader if it is named.
    fn unavailable(&mut self, address: SocketAddr, reply: &Reply) -> Option<SocketAddr> {
        if let Ok(failure) = parse::<api::ErrorResponse>(reply) {
            self.may_have_run |= failure.may_have_run;
            self.causes.insert(address, failure.error.to_string());
            return None;
        }
        self.causes.insert(address, "not the leader".to_owned());
        parse::<api::NotLeader>(reply).ok()?.leader
    }

    fn failure(self, method: &Method) -> Failure {
        let causes = self.causes.iter().map(|(a, c)| format!("{a}: {c}"));
        let cause: Arc<str> = causes.collect::<Vec<_>>().join(", ").into();
        match *method {
            Method::GET => Failure::Failed(format!("no control VM answers: {cause}").into()),
            _ if self.may_have_run => Failure::Unknown {
                cause,
                hint: AGAIN.into(),
            },
            _ => Failure::Failed(format!("not done, no control VM takes it: {cause}").into()),
        }
    }
}

/// Reads the body of an answer.
pub fn parse<A>(reply: &Reply) -> Result<A, Failure>
where
    A: DeserializeOwned,
{
    serde_json::from_slice(&reply.body).map_err(|e| {
        let line = format!("status {}, an answer that can't be read: {e}", reply.status);
        Failure::Failed(line.into())
    })
}

/// The failure that an answer with another status than 200 stands for.
pub fn refusal(reply: &Reply) -> Failure {
    match parse::<api::ErrorResponse>(reply) {
        Ok(failure) if failure.may_have_run => Failure::Unknown {
            cause: failure.error,
            hint: AGAIN.into(),
        },
        Ok(failure) => Failure::Failed(failure.error),
        Err(_) if reply.status >= STATUS_SERVER_FAILED => unknown(reply),
        Err(_) => Failure::Failed(format!("refused with status {}", reply.status).into()),
    }
}

/// The failure that an answer without a readable body stands for.
pub fn unknown(reply: &Reply) -> Failure {
    Failure::Unknown {
        cause: format!("status {} without a readable answer", reply.status).into(),
        hint: AGAIN.into(),
    }
}

/// Whether another control VM, or this one later, may give a better answer.
fn is_passing(reply: &Reply) -> bool {
    matches!(reply.status, STATUS_UNAVAILABLE | STATUS_TIMED_OUT)
}

/// Whether the answer holds for an earlier attempt as well that got none.
fn is_definite(reply: &Reply) -> bool {
    matches!(reply.status, STATUS_OK | STATUS_WRONG | STATUS_CONFLICT)
}

/// One segment of a path, escaped.
pub fn segment(text: &str) -> String {
    let mut out = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(char::from(byte));
        } else {
            let _ = write!(out, "%{byte:02X}");
        }
    }
    out
}
