//! Client of the control VMs that retries at other control VMs.
//!
//! Every request is idempotent: reads change nothing, a change carries its id,
//! and draining a server twice is the same as once. So a request is sent to one
//! control VM after the other until one gives a definitive response.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::call::{self, CallError, HttpResponse};
use super::result::CommandError;
use crate::clock;
use crate::control::api;

/// Timeout of one request.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Greatest number of rounds; in each, the request is sent to all control VMs in turn.
const MAX_ROUNDS: u32 = 5;

/// Time after which no further round starts.
const ROUNDS_TIMEOUT: Duration = Duration::from_secs(8);

/// Delay between rounds.
const ROUND_DELAY: Duration = Duration::from_millis(300);

/// Advice for a request whose outcome is not known.
const RETRY_HINT: &str = "run the same command again; it is not done twice";

/// HTTP status of success.
pub const STATUS_OK: u16 = 200;

/// HTTP status for an invalid document.
pub const STATUS_INVALID_DOCUMENT: u16 = 400;

/// HTTP status for a conflict with another change, or a change id in use.
pub const STATUS_CONFLICT: u16 = 409;

const STATUS_SERVER_ERROR: u16 = 500;
const STATUS_UNAVAILABLE: u16 = 503;
const STATUS_TIMEOUT: u16 = 504;

/// Client of the control VMs.
#[derive(Clone, Debug)]
pub struct ControlClient {
    addresses: Vec<SocketAddr>,
}

/// Failed attempts of one request.
#[derive(Default)]
struct FailedAttempts {
    /// Whether an attempt without a response may have run.
    may_have_run: bool,
    /// Last error at each address.
    causes: BTreeMap<SocketAddr, String>,
}

impl ControlClient {
    /// Creates a client of the control VMs at these operator addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses }
    }

    /// Gets `path`; any status but 200 is an error.
    pub async fn get<A>(&self, path: &str) -> Result<A, CommandError>
    where
        A: DeserializeOwned,
    {
        let response = self.request(Method::GET, path, None).await?;
        match response.status {
            STATUS_OK => parse(&response),
            _ => Err(match error_from_response(&response) {
                CommandError::OutcomeUnknown { cause, .. } => CommandError::Failed(cause),
                other => other,
            }),
        }
    }

    /// Posts `request` to `path` and returns the first definitive response.
    pub async fn post<Q>(&self, path: &str, request: &Q) -> Result<HttpResponse, CommandError>
    where
        Q: Serialize,
    {
        let body = serde_json::to_vec(request).unwrap_or_default();
        self.request(Method::POST, path, Some(Bytes::from(body)))
            .await
    }

    async fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
    ) -> Result<HttpResponse, CommandError> {
        if self.addresses.is_empty() {
            let message = "no control VM given: use --control or AGATEYOKE_CONTROL";
            return Err(CommandError::Usage(message.into()));
        }
        let mut attempts = FailedAttempts::default();
        let started = clock::now();
        for round in 0..MAX_ROUNDS {
            if clock::now() > started + ROUNDS_TIMEOUT {
                break;
            }
            if round > 0 {
                monoio::time::sleep(ROUND_DELAY).await;
            }
            let response = self
                .round(&method, path, body.as_ref(), &mut attempts)
                .await;
            match response {
                Some(response) if attempts.may_have_run && !is_definitive(&response) => break,
                Some(response) => return Ok(response),
                None => {}
            }
        }
        Err(attempts.into_error(&method))
    }

    /// Sends the request to each control VM once; a leader that one of them names is next.
    async fn round(
        &self,
        method: &Method,
        path: &str,
        body: Option<&Bytes>,
        attempts: &mut FailedAttempts,
    ) -> Option<HttpResponse> {
        let mut queue: VecDeque<SocketAddr> = self.addresses.iter().copied().collect();
        let mut redirects_left = self.addresses.len();
        while let Some(address) = queue.pop_front() {
            let call = call::call(address, method.clone(), path, body.cloned(), CALL_TIMEOUT);
            match call.await {
                Ok(response) if !is_temporary(&response) => return Some(response),
                Ok(response) => match attempts.record_unavailable(address, &response) {
                    Some(leader) if leader != address && redirects_left > 0 => {
                        redirects_left -= 1;
                        queue.retain(|a| *a != leader);
                        queue.push_front(leader);
                    }
                    _ => {}
                },
                Err(error) => attempts.record_error(address, &error),
            }
        }
        None
    }
}

impl FailedAttempts {
    fn record_error(&mut self, address: SocketAddr, error: &CallError) {
        self.may_have_run |= matches!(error, CallError::MayHaveRun(_));
        self.causes.insert(address, error.to_string());
    }

    /// Records that a control VM is unavailable; returns the leader if the response names it.
    fn record_unavailable(
        &mut self,
        address: SocketAddr,
        response: &HttpResponse,
    ) -> Option<SocketAddr> {
        if let Ok(body) = parse::<api::ErrorResponse>(response) {
            self.may_have_run |= body.may_have_run;
            self.causes.insert(address, body.error.to_string());
            return None;
        }
        self.causes.insert(address, "not the leader".to_owned());
        parse::<api::NotLeader>(response).ok()?.leader
    }

    fn into_error(self, method: &Method) -> CommandError {
        let causes = self.causes.iter().map(|(a, c)| format!("{a}: {c}"));
        let cause: Arc<str> = causes.collect::<Vec<_>>().join(", ").into();
        match *method {
            Method::GET => CommandError::Failed(format!("no control VM answers: {cause}").into()),
            _ if self.may_have_run => CommandError::OutcomeUnknown {
                cause,
                hint: RETRY_HINT.into(),
            },
            _ => CommandError::Failed(format!("not done, no control VM takes it: {cause}").into()),
        }
    }
}

/// Parses the body of a response.
pub fn parse<A>(response: &HttpResponse) -> Result<A, CommandError>
where
    A: DeserializeOwned,
{
    serde_json::from_slice(&response.body).map_err(|e| {
        let message = format!(
            "status {}, an answer that can't be read: {e}",
            response.status
        );
        CommandError::Failed(message.into())
    })
}

/// Converts a response with another status than 200 to an error.
pub fn error_from_response(response: &HttpResponse) -> CommandError {
    match parse::<api::ErrorResponse>(response) {
        Ok(body) if body.may_have_run => CommandError::OutcomeUnknown {
            cause: body.error,
            hint: RETRY_HINT.into(),
        },
        Ok(body) => CommandError::Failed(body.error),
        Err(_) if response.status >= STATUS_SERVER_ERROR => outcome_unknown(response),
        Err(_) => CommandError::Failed(format!("refused with status {}", response.status).into()),
    }
}

/// Creates the error for a response whose body cannot be read.
pub fn outcome_unknown(response: &HttpResponse) -> CommandError {
    CommandError::OutcomeUnknown {
        cause: format!("status {} without a readable answer", response.status).into(),
        hint: RETRY_HINT.into(),
    }
}

/// Whether a retry, here or at another control VM, may succeed.
fn is_temporary(response: &HttpResponse) -> bool {
    matches!(response.status, STATUS_UNAVAILABLE | STATUS_TIMEOUT)
}

/// Whether the response also settles earlier attempts that got no response.
fn is_definitive(response: &HttpResponse) -> bool {
    matches!(
        response.status,
        STATUS_OK | STATUS_INVALID_DOCUMENT | STATUS_CONFLICT
    )
}

/// Percent-encodes one segment of a path.
pub fn encode_path_segment(text: &str) -> String {
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
