//! The way of a request: owner, leave, record, sending, and again if allowed.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use monoio::time;

use super::Inner;
use super::answer::Answer;
use super::call::Call;
use super::send::Sent;
use crate::admit::Permit;
use crate::admit::limiter::RequestOutcome;
use crate::claim::client::Claim;
use crate::clock;
use crate::route::table::{Lookup, Owner};
use crate::timeline::Event;
use crate::verdict::Verdict;

/// First wait before a request is sent again; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(5);

/// Longest such wait.
const LONGEST_PAUSE: Duration = Duration::from_millis(80);

/// When a caller may come back after a wait for an owner was in vain.
const NO_OWNER_RETRY: Duration = Duration::from_secs(1);

/// Time on the way after which a look tells whether the caller is still there.
const LOOK_AFTER: Duration = Duration::from_millis(5);

/// How long a claim keeps its leave to send while its record is put.
const BEGIN_PATIENCE: Duration = Duration::from_millis(50);

/// What is known of a request while it is on its way.
#[derive(Debug)]
pub(super) struct Progress {
    /// Record of the claim, once this attempt has put it.
    pub(super) claim: Option<Claim>,
    /// Whether an earlier sending may have run.
    pub(super) unsure: bool,
    pause: Duration,
}

/// Whether a request goes on.
enum Next {
    Answer(Box<Answer>),
    Again,
}

impl From<Answer> for Next {
    fn from(answer: Answer) -> Self {
        Self::Answer(Box::new(answer))
    }
}

impl Inner {
    /// Carries a request to its owner and back.
    pub(super) async fn carry(&self, call: &Call) -> Answer {
        call.service.budget.record_request();
        let mut progress = Progress {
            claim: None,
            unsure: false,
            pause: FIRST_PAUSE,
        };
        let answer = loop {
            match self.step(call, &mut progress).await {
                Next::Answer(answer) => break *answer,
                Next::Again => {}
            }
        };
        let mut answer = match answer.verdict {
            Verdict::NotRun if progress.unsure => unsure_after_all(&answer),
            _ => answer,
        };
        answer = match &progress.claim {
            Some(claim) => self.settle(call, claim, answer).await,
            None if answer.verdict == Verdict::NotRun => self.look_back(call, answer).await,
            None => answer,
        };
        answer.claim.clone_from(&call.claim);
        if answer.verdict == Verdict::MayHaveRun || call.claim.is_some() {
            self.record(call, &answer);
        }
        answer
    }

    /// Sends the request once, if there is an owner and leave to send.
    async fn step(&self, call: &Call, progress: &mut Progress) -> Next {
        let Some(owner) = self.owner(call).await else {
            return Next::from(match call.attempts.get() {
                0 => Answer::come_back(NO_OWNER_RETRY, "the key has no owner just now"),
                _ => too_late(),
            });
        };
        let mut permit = match self.admit(call, &owner).await {
            Ok(permit) => permit,
            Err(answer) => return Next::Answer(answer),
        };
        if call.claim.is_some() && progress.claim.is_none() {
            permit = match self.put_record(call, progress, permit).await {
                Ok(Some(permit)) => permit,
                Ok(None) => return Next::Again,
                Err(answer) => return Next::Answer(answer),
            };
        }
        let waited = call.kind.deadline.saturating_sub(call.left());
        if waited > LOOK_AFTER && call.is_abandoned() {
            let status = StatusCode::REQUEST_TIMEOUT;
            return Answer::not_run(status, "the caller has gone").into();
        }
        let table = &self.parts.table;
        table.count_request(&call.service.name, &owner, call.hash);
        let sent = self.send(call, &owner).await;
        permit.set_outcome(match &sent {
            Sent::Done(_) => RequestOutcome::Served,
            Sent::Shed => RequestOutcome::Shed,
            _ => RequestOutcome::Failed,
        });
        drop(permit);
        self.sort(call, &owner, progress, sent).await
    }

    /// Puts the record of a claim; gives the leave to send back if that takes long.
    async fn put_record(
        &self,
        call: &Call,
        progress: &mut Progress,
        permit: Permit,
    ) -> Result<Option<Permit>, Box<Answer>> {
        let mut putting = pin!(self.begin(call));
        let Ok(put) = time::timeout(BEGIN_PATIENCE, putting.as_mut()).await else {
            drop(permit);
            progress.claim = putting.await?;
            return Ok(None);
        };
        progress.claim = put?;
        Ok(Some(permit))
    }

    /// Decides what follows from what came of a sending.
    async fn sort(&self, call: &Call, owner: &Owner, progress: &mut Progress, sent: Sent) -> Next {
        let is_late = call.left().is_zero();
        match sent {
            Sent::Done(response) => return Answer::done(response, owner).into(),
            Sent::NotOwner | Sent::Kept if is_late => return too_late().into(),
            Sent::Shed if is_late || !call.service.budget.try_spend(call.kind.rank) => {
                return Answer::come_back(NO_OWNER_RETRY, "the owner has too much to do").into();
            }
            Sent::NotOwner | Sent::Kept | Sent::Shed => self.pause(call, progress).await,
            Sent::Moved => progress.unsure = true,
            Sent::Broken
                if call.is_idempotent()
                    && !is_late
                    && call.service.budget.try_spend(call.kind.rank) =>
            {
                progress.unsure = true;
                self.pause(call, progress).await;
            }
            Sent::Broken => {
                let error = "the connection to the owner broke";
                return Answer::may_have_run(StatusCode::BAD_GATEWAY, error).into();
            }
            Sent::TimedOut => {
                let error = "the owner did not answer in time";
                return Answer::may_have_run(StatusCode::GATEWAY_TIMEOUT, error).into();
            }
        }
        Next::Again
    }

    /// The owner of the key, awaited until the deadline.
    async fn owner(&self, call: &Call) -> Option<Owner> {
        let table = &self.parts.table;
        loop {
            let now = clock::now();
            match table.lookup(&call.service.name, call.hash, now) {
                _ if now >= call.deadline => return None,
                Lookup::Owner(owner) => return Some(owner),
                Lookup::Unowned | Lookup::UnknownService => table.changed().wait(call.left()).await,
            };
        }
    }

    /// Leave to send to the owner, awaited in its queue.
    async fn admit(&self, call: &Call, owner: &Owner) -> Result<Permit, Box<Answer>> {
        let server = &owner.server;
        let share = u64::from(server.slots) * u64::from(server.warm_percent.min(100)) / 100;
        let usable = u32::try_from(share).unwrap_or(u32::MAX).max(1);
        let limiter = self.parts.gates.limiter(&server.incarnation, usable);
        limiter.resize(usable);
        let limits = &call.service.limits;
        let queue = usize::try_from(limits.queue).unwrap_or(usize::MAX);
        let give_up = call.deadline.min(clock::now() + limits.queue_wait);
        let admitted = limiter.acquire(call.kind.rank, queue, give_up).await;
        admitted.map_err(|shed| {
            let error = "too many requests for the owner of the key";
            let mut answer = Answer::come_back(shed.retry_after, error);
            answer.shed = true;
            Box::new(answer)
        })
    }

    /// Waits for other routes, or a while that grows.
    async fn pause(&self, call: &Call, progress: &mut Progress) {
        let pause = progress.pause.min(call.left());
        progress.pause = (progress.pause * 2).min(LONGEST_PAUSE);
        self.parts.table.changed().wait(pause).await;
    }

    fn record(&self, call: &Call, answer: &Answer) {
        let detail = format!(
            "verdict={} status={} request={} attempts={}{}",
            answer.verdict,
            answer.response.status().as_u16(),
            call.id,
            call.attempts.get(),
            if answer.replay { " replay" } else { "" },
        );
        let mut event = Event::new("request.answered")
            .service(&call.service.name)
            .detail(&detail);
        event.claim = call.claim.as_ref().map(Arc::clone);
        if let Some(owner) = &answer.owner {
            event = event.server(&owner.server).fence(owner.fence);
        }
        self.parts.journal.record(event);
    }
}

fn too_late() -> Answer {
    let status = StatusCode::GATEWAY_TIMEOUT;
    Answer::not_run(status, "the deadline passed before the request was sent")
}

/// The last sending has not run, but an earlier one may have.
fn unsure_after_all(answer: &Answer) -> Answer {
    let status = match answer.response.status() {
        StatusCode::GATEWAY_TIMEOUT => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    Answer::may_have_run(status, "an earlier sending may have run")
}
