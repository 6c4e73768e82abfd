//! Forwarding of a request: wait for the owner, get a permit, record the claim,
//! send, and retry if that is safe.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use monoio::time;

use super::Inner;
use super::request::ProxyRequest;
use super::response::ProxyResponse;
use super::send::SendOutcome;
use crate::admit::Permit;
use crate::admit::limiter::RequestOutcome;
use crate::claim::client::Claim;
use crate::clock;
use crate::route::table::{Lookup, Owner};
use crate::timeline::Event;
use crate::verdict::Verdict;

/// Wait before the first retry; it doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);

/// Longest wait before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(80);

/// `Retry-After` for a request whose key has no owner, or whose owner shed it.
const OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Age of a request from which the connection of its caller is checked before sending.
const DISCONNECT_CHECK_DELAY: Duration = Duration::from_millis(5);

/// Share of the time that an owner wants no requests by which callers' returns are spread.
const QUIET_SPREAD: f64 = 0.5;

/// Longest time for which a claim keeps its permit while its record is created.
const CLAIM_PERMIT_TIMEOUT: Duration = Duration::from_millis(50);

/// State of a request while it is forwarded.
#[derive(Debug)]
pub(super) struct ForwardState {
    /// The claim, once this VM has recorded it.
    pub(super) claim: Option<Claim>,
    /// Whether an earlier attempt may have run.
    pub(super) may_have_run: bool,
    backoff: Duration,
}

/// What follows an attempt.
enum NextStep {
    Respond(Box<ProxyResponse>),
    Retry,
}

impl From<ProxyResponse> for NextStep {
    fn from(response: ProxyResponse) -> Self {
        Self::Respond(Box::new(response))
    }
}

impl Inner {
    /// Forwards a request to its owner and returns the response for the caller.
    pub(super) async fn forward(&self, request: &ProxyRequest) -> ProxyResponse {
        request.service.budget.record_request();
        let mut state = ForwardState {
            claim: None,
            may_have_run: false,
            backoff: INITIAL_BACKOFF,
        };
        let response = loop {
            match self.attempt(request, &mut state).await {
                NextStep::Respond(response) => break *response,
                NextStep::Retry => {}
            }
        };
        let mut response = match response.verdict {
            Verdict::NotRun if state.may_have_run => earlier_attempt_may_have_run(&response),
            _ => response,
        };
        response = match &state.claim {
            Some(claim) => self.finish_claim(request, claim, response).await,
            None if response.verdict == Verdict::NotRun => {
                self.check_earlier_attempts(request, response).await
            }
            None => response,
        };
        response.claim.clone_from(&request.claim);
        if response.verdict == Verdict::MayHaveRun || request.claim.is_some() {
            self.record_event(request, &response);
        }
        response
    }

    /// Sends the request once, if it gets an owner and a permit in time.
    async fn attempt(&self, request: &ProxyRequest, state: &mut ForwardState) -> NextStep {
        let Some(owner) = self.wait_for_owner(request).await else {
            return NextStep::from(match request.attempts.get() {
                0 => ProxyResponse::retry_later(OWNER_RETRY_AFTER, "the key has no owner just now"),
                _ => deadline_exceeded(),
            });
        };
        let quiet_for = self.notices.quiet_for(&owner, clock::now());
        if !quiet_for.is_zero() {
            let after = quiet_for.mul_f64(1.0 + QUIET_SPREAD * fastrand::f64());
            return ProxyResponse::retry_later(after, "the owner asked for no requests").into();
        }
        let mut permit = match self.acquire_permit(request, &owner).await {
            Ok(permit) => permit,
            Err(response) => return NextStep::Respond(response),
        };
        if request.claim.is_some() && state.claim.is_none() {
            permit = match self.create_claim_record(request, state, permit).await {
                Ok(Some(permit)) => permit,
                Ok(None) => return NextStep::Retry,
                Err(response) => return NextStep::Respond(response),
            };
        }
        let waited = request.route.deadline.saturating_sub(request.time_left());
        if waited > DISCONNECT_CHECK_DELAY && request.caller_disconnected() {
            let status = StatusCode::REQUEST_TIMEOUT;
            return ProxyResponse::not_run(status, "the caller has gone").into();
        }
        let table = &self.context.table;
        table.count_request(&request.service.name, &owner, request.hash);
        let outcome = self.send(request, &owner).await;
        permit.set_outcome(match &outcome {
            SendOutcome::Response(_) => RequestOutcome::Served,
            SendOutcome::Shed => RequestOutcome::Shed,
            _ => RequestOutcome::Failed,
        });
        drop(permit);
        self.handle_outcome(request, &owner, state, outcome).await
    }

    /// Records a claim; releases the permit and returns `None` if that takes longer than
    /// [`CLAIM_PERMIT_TIMEOUT`].
    async fn create_claim_record(
        &self,
        request: &ProxyRequest,
        state: &mut ForwardState,
        permit: Permit,
    ) -> Result<Option<Permit>, Box<ProxyResponse>> {
        let mut creation = pin!(self.begin_claim(request));
        let Ok(claim) = time::timeout(CLAIM_PERMIT_TIMEOUT, creation.as_mut()).await else {
            drop(permit);
            state.claim = creation.await?;
            return Ok(None);
        };
        state.claim = claim?;
        Ok(Some(permit))
    }

    /// Decides between a response and a retry.
    async fn handle_outcome(
        &self,
        request: &ProxyRequest,
        owner: &Owner,
        state: &mut ForwardState,
        outcome: SendOutcome,
    ) -> NextStep {
        let is_past_deadline = request.time_left().is_zero();
        match outcome {
            SendOutcome::Response(response) => return ProxyResponse::done(response, owner).into(),
            SendOutcome::NotOwner | SendOutcome::NotSent if is_past_deadline => {
                return deadline_exceeded().into();
            }
            SendOutcome::Shed
                if is_past_deadline || !request.service.budget.try_spend(request.route.rank) =>
            {
                return ProxyResponse::retry_later(
                    OWNER_RETRY_AFTER,
                    "the owner has too much to do",
                )
                .into();
            }
            SendOutcome::NotOwner | SendOutcome::NotSent | SendOutcome::Shed => {
                self.back_off(request, state).await;
            }
            SendOutcome::OwnerChanged => state.may_have_run = true,
            SendOutcome::ConnectionLost
                if request.is_idempotent()
                    && !is_past_deadline
                    && request.service.budget.try_spend(request.route.rank) =>
            {
                state.may_have_run = true;
                self.back_off(request, state).await;
            }
            SendOutcome::ConnectionLost => {
                let error = "the connection to the owner broke";
                return ProxyResponse::may_have_run(StatusCode::BAD_GATEWAY, error).into();
            }
            SendOutcome::TimedOut => {
                let error = "the owner did not answer in time";
                return ProxyResponse::may_have_run(StatusCode::GATEWAY_TIMEOUT, error).into();
            }
        }
        NextStep::Retry
    }

    /// Waits for an owner of the key; `None` once the deadline has passed.
    async fn wait_for_owner(&self, request: &ProxyRequest) -> Option<Owner> {
        let table = &self.context.table;
        loop {
            let now = clock::now();
            match table.lookup(&request.service.name, request.hash, now) {
                _ if now >= request.deadline => return None,
                Lookup::Owner(owner) if self.notices.accepts_requests(&owner, now) => {
                    return Some(owner);
                }
                Lookup::Owner(_) | Lookup::Unrouted | Lookup::UnknownService => {
                    table.changed().wait(request.time_left()).await
                }
            };
        }
    }

    /// Waits in the owner's queue for a permit to send.
    async fn acquire_permit(
        &self,
        request: &ProxyRequest,
        owner: &Owner,
    ) -> Result<Permit, Box<ProxyResponse>> {
        let server = &owner.server;
        let share = u64::from(server.slots) * u64::from(server.warm_percent.min(100)) / 100;
        let usable_slots = u32::try_from(share).unwrap_or(u32::MAX).max(1);
        let limiter = self
            .context
            .limiters
            .limiter(&server.incarnation, usable_slots);
        limiter.resize(usable_slots);
        let limits = &request.service.limits;
        let queue_len = usize::try_from(limits.queue).unwrap_or(usize::MAX);
        let give_up_at = request.deadline.min(clock::now() + limits.queue_wait);
        let admitted = limiter
            .acquire(request.route.rank, queue_len, give_up_at)
            .await;
        admitted.map_err(|shed| {
            let error = "too many requests for the owner of the key";
            let mut response = ProxyResponse::retry_later(shed.retry_after, error);
            response.shed = true;
            Box::new(response)
        })
    }

    /// Waits for a change of routes, at most for a time that doubles with each call.
    async fn back_off(&self, request: &ProxyRequest, state: &mut ForwardState) {
        let backoff = state.backoff.min(request.time_left());
        state.backoff = (state.backoff * 2).min(MAX_BACKOFF);
        self.context.table.changed().wait(backoff).await;
    }

    fn record_event(&self, request: &ProxyRequest, response: &ProxyResponse) {
        let detail = format!(
            "verdict={} status={} request={} attempts={}{}",
            response.verdict,
            response.http.status().as_u16(),
            request.id,
            request.attempts.get(),
            if response.is_replay { " replay" } else { "" },
        );
        let mut event = Event::new("request.answered")
            .service(&request.service.name)
            .detail(&detail);
        event.claim = request.claim.as_ref().map(Arc::clone);
        if let Some(responder) = &response.responder {
            event = event.server(&responder.server).fence(responder.fence);
        }
        self.context.journal.record(event);
    }
}

fn deadline_exceeded() -> ProxyResponse {
    let status = StatusCode::GATEWAY_TIMEOUT;
    ProxyResponse::not_run(status, "the deadline passed before the request was sent")
}

/// Response where the last attempt has not run, but an earlier one may have.
fn earlier_attempt_may_have_run(response: &ProxyResponse) -> ProxyResponse {
    let status = match response.http.status() {
        StatusCode::GATEWAY_TIMEOUT => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    ProxyResponse::may_have_run(status, "an earlier sending may have run")
}
