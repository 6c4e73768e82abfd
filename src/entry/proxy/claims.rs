//! Claims: a record before the first byte, and an outcome before the answer.

use std::sync::Arc;
use std::time::Duration;

use http::{StatusCode, header};

use super::Inner;
use super::answer::Answer;
use super::call::Call;
use crate::claim::client::{BeginResult, Claim};
use crate::claim::messages::{Applied, ClaimKey, Lookup, Outcome};
use crate::clock;
use crate::verdict::Verdict;

/// Least time to record the outcome of a claim that ran, also past its deadline.
const RECORD_TIME: Duration = Duration::from_millis(250);

/// When a caller may come back after a claim could not be recorded.
const UNRECORDED_RETRY: Duration = Duration::from_secs(1);

/// Largest body that a record keeps, in bytes.
const RECORDED_BYTES: usize = 64 << 10;

impl Inner {
    /// Puts the record of a claim; `None` if the call is none.
    ///
    /// # Errors
    ///
    /// The answer to a claim that may not be sent.
    pub(super) async fn begin(&self, call: &Call) -> Result<Option<Claim>, Box<Answer>> {
        let Some(id) = &call.claim else {
            return Ok(None);
        };
        let claim = Claim {
            key: ClaimKey {
                service: Arc::clone(&call.service.name),
                claim: Arc::clone(id),
            },
            hash: call.hash,
            digest: call.digest(),
            attempt: Arc::clone(&call.id),
            retention: call.service.limits.claim_retention,
        };
        let refusal = match self.parts.claims.begin(&claim, call.deadline).await {
            BeginResult::Acquired => return Ok(Some(claim)),
            BeginResult::Ended(outcome) => Answer::replay(outcome),
            BeginResult::Pending => Answer::may_have_run(
                StatusCode::GATEWAY_TIMEOUT,
                "the claim was sent before, and its outcome is not known",
            ),
            BeginResult::IdReused => Answer::not_run(
                StatusCode::CONFLICT,
                "the id of the claim was used for another request",
            ),
            BeginResult::NotRecorded => {
                Answer::come_back(UNRECORDED_RETRY, "the claim could not be recorded")
            }
        };
        Err(Box::new(refusal))
    }

    /// Whether a claim that this attempt has not sent ran by an earlier one.
    ///
    /// Only the records can tell, as the caller may send it again by another VM.
    pub(super) async fn look_back(&self, call: &Call, answer: Answer) -> Answer {
        let id = call.claim.as_ref().filter(|_| call.chosen);
        let Some(id) = id else { return answer };
        let lookup = Lookup {
            key: ClaimKey {
                service: Arc::clone(&call.service.name),
                claim: Arc::clone(id),
            },
            digest: call.digest(),
        };
        let give_up = call.deadline.max(clock::now() + RECORD_TIME);
        match self.parts.claims.lookup(&lookup, give_up).await {
            Some(Applied::Ended { outcome }) => Answer::replay(outcome),
            Some(Applied::Pending { attempt }) if attempt != call.id => Answer::may_have_run(
                StatusCode::GATEWAY_TIMEOUT,
                "the claim was sent before, and its outcome is not known",
            ),
            Some(_) => answer,
            None => answer.unsure("not sent, but an earlier sending may have run"),
        }
    }

    /// Brings the record of a claim in line with its answer.
    pub(super) async fn settle(&self, call: &Call, claim: &Claim, answer: Answer) -> Answer {
        match (answer.verdict, &answer.owner) {
            (Verdict::NotRun, _) => {
                self.parts.claims.abort(claim);
                answer
            }
            (Verdict::Done, Some(owner)) => {
                let outcome = Outcome {
                    status: answer.response.status().as_u16(),
                    content_type: content_type(&answer),
                    body: recorded_body(&answer),
                    server: Arc::clone(&owner.server),
                    fence: owner.fence,
                };
                let give_up = call.deadline.max(clock::now() + RECORD_TIME);
                if self.parts.claims.end(claim, outcome, give_up).await {
                    return answer;
                }
                let error = "the claim ran, but its outcome is not recorded yet";
                Answer::may_have_run(StatusCode::GATEWAY_TIMEOUT, error)
            }
            (Verdict::Done | Verdict::MayHaveRun, _) => answer,
        }
    }
}

fn content_type(answer: &Answer) -> Option<Arc<str>> {
    let kind = answer.response.headers().get(header::CONTENT_TYPE)?;
    kind.to_str().ok().map(Arc::from)
}

/// The body as a record keeps it: text of a bounded length, else nothing.
fn recorded_body(answer: &Answer) -> Arc<str> {
    let body = answer.response.body();
    match std::str::from_utf8(body) {
        Ok(text) if text.len() <= RECORDED_BYTES => text.into(),
        _ => "".into(),
    }
}
