//! Claims: recorded before the request is sent; the outcome is recorded before
//! the response.

use std::sync::Arc;
use std::time::Duration;

use http::{StatusCode, header};

use super::Inner;
use super::request::ProxyRequest;
use super::response::ProxyResponse;
use crate::claim::client::{BeginResult, Claim};
use crate::claim::messages::{Applied, ClaimKey, Lookup, Outcome};
use crate::clock;
use crate::verdict::Verdict;

/// Least time allowed for a call to the claim records, even past the deadline.
const MIN_RECORD_TIMEOUT: Duration = Duration::from_millis(250);

/// `Retry-After` for a claim that could not be recorded.
const NOT_RECORDED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Largest response body that a record keeps.
const MAX_RECORDED_BODY_BYTES: usize = 64 << 10;

impl Inner {
    /// Records a claim; `None` if the request is no claim.
    ///
    /// # Errors
    ///
    /// Response to a claim that must not be sent.
    pub(super) async fn begin_claim(
        &self,
        request: &ProxyRequest,
    ) -> Result<Option<Claim>, Box<ProxyResponse>> {
        let Some(id) = &request.claim else {
            return Ok(None);
        };
        let claim = Claim {
            key: ClaimKey {
                service: Arc::clone(&request.service.name),
                claim: Arc::clone(id),
            },
            hash: request.hash,
            digest: request.digest(),
            attempt: Arc::clone(&request.id),
            retention: request.service.limits.claim_retention,
        };
        let error_response = match self.context.claims.begin(&claim, request.deadline).await {
            BeginResult::Acquired => return Ok(Some(claim)),
            BeginResult::Ended(outcome) => ProxyResponse::replay(outcome),
            BeginResult::Pending => ProxyResponse::may_have_run(
                StatusCode::GATEWAY_TIMEOUT,
                "the claim was sent before, and its outcome is not known",
            ),
            BeginResult::IdReused => ProxyResponse::not_run(
                StatusCode::CONFLICT,
                "the id of the claim was used for another request",
            ),
            BeginResult::NotRecorded => ProxyResponse::retry_later(
                NOT_RECORDED_RETRY_AFTER,
                "the claim could not be recorded",
            ),
        };
        Err(Box::new(error_response))
    }

    /// Corrects the response to a claim that was not sent, if an earlier request
    /// with the same id ran or may have run.
    ///
    /// Only the claim records know, because the caller may have sent the earlier
    /// request through another entry VM.
    pub(super) async fn check_earlier_attempts(
        &self,
        request: &ProxyRequest,
        response: ProxyResponse,
    ) -> ProxyResponse {
        let id = request.claim.as_ref().filter(|_| request.has_caller_id);
        let Some(id) = id else { return response };
        let lookup = Lookup {
            key: ClaimKey {
                service: Arc::clone(&request.service.name),
                claim: Arc::clone(id),
            },
            digest: request.digest(),
        };
        let give_up_at = request.deadline.max(clock::now() + MIN_RECORD_TIMEOUT);
        match self.context.claims.lookup(&lookup, give_up_at).await {
            Some(Applied::Ended { outcome }) => ProxyResponse::replay(outcome),
            Some(Applied::Pending { attempt }) if attempt != request.id => {
                ProxyResponse::may_have_run(
                    StatusCode::GATEWAY_TIMEOUT,
                    "the claim was sent before, and its outcome is not known",
                )
            }
            Some(_) => response,
            None => response.into_may_have_run("not sent, but an earlier sending may have run"),
        }
    }

    /// Updates the record of a claim to match its response.
    pub(super) async fn finish_claim(
        &self,
        request: &ProxyRequest,
        claim: &Claim,
        response: ProxyResponse,
    ) -> ProxyResponse {
        match (response.verdict, &response.responder) {
            (Verdict::NotRun, _) => {
                self.context.claims.abort(claim);
                response
            }
            (Verdict::Done, Some(responder)) => {
                let outcome = Outcome {
                    status: response.http.status().as_u16(),
                    content_type: content_type(&response),
                    body: recorded_body(&response),
                    server: Arc::clone(&responder.server),
                    fence: responder.fence,
                };
                let give_up_at = request.deadline.max(clock::now() + MIN_RECORD_TIMEOUT);
                if self.context.claims.end(claim, outcome, give_up_at).await {
                    return response;
                }
                let error = "the claim ran, but its outcome is not recorded yet";
                ProxyResponse::may_have_run(StatusCode::GATEWAY_TIMEOUT, error)
            }
            (Verdict::Done | Verdict::MayHaveRun, _) => response,
        }
    }
}

fn content_type(response: &ProxyResponse) -> Option<Arc<str>> {
    let content_type = response.http.headers().get(header::CONTENT_TYPE)?;
    content_type.to_str().ok().map(Arc::from)
}

/// Body for the record; empty if it is too large or no UTF-8.
fn recorded_body(response: &ProxyResponse) -> Arc<str> {
    let body = response.http.body();
    match std::str::from_utf8(body) {
        Ok(text) if text.len() <= MAX_RECORDED_BODY_BYTES => text.into(),
        _ => "".into(),
    }
}
