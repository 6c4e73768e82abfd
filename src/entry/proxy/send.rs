//! One request to one owner, and what came of it.

use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use monoio::time;

use super::Inner;
use super::call::Call;
use super::headers;
use crate::clock;
use crate::route::table::{Found, Owner};
use crate::web::race::{self, Either};
use crate::web::{Reuse, SendError, SendOptions};

/// Part of its deadline after which an idempotent request without an answer
/// goes out on a new connection as well.
const HEDGE_PART: u32 = 4;

/// Least time before that.
const MIN_HEDGE: Duration = Duration::from_millis(25);

/// What came of sending a request.
#[derive(Debug)]
pub(super) enum Sent {
    /// The owner answered.
    Done(http::Response<Bytes>),
    /// The owner refused it before work, as it is not the owner or is leaving.
    NotOwner,
    /// The owner refused it before work, as it has too much to do.
    Shed,
    /// No byte left.
    Kept,
    /// It may have run, and the connection broke.
    Broken,
    /// It may have run, and there was no answer in time.
    TimedOut,
    /// It may have run, and its key has another owner by now.
    Moved,
}

impl Sent {
    /// Whether it is proved that the request has not run.
    fn is_not_run(&self) -> bool {
        matches!(self, Self::NotOwner | Self::Shed | Self::Kept)
    }

    /// What came of a request that was sent twice.
    fn or(self, other: Self) -> Self {
        match (self, other) {
            (done @ Self::Done(_), _) | (_, done @ Self::Done(_)) => done,
            (one, two) if one.is_not_run() => two,
            (one, _) => one,
        }
    }
}

impl Inner {
    /// Sends a request to its owner.
    pub(super) async fn send(&self, call: &Call, owner: &Owner) -> Sent {
        call.attempts.set(call.attempts.get() + 1);
        if call.is_idempotent() {
            self.send_idempotent(call, owner).await
        } else {
            self.exchange(call, owner, Reuse::Recent).await
        }
    }

    /// Sends a request that does not need its first connection to the end.
    async fn send_idempotent(&self, call: &Call, owner: &Owner) -> Sent {
        let mut first = pin!(self.exchange(call, owner, Reuse::Any));
        let hedge = (call.left() / HEDGE_PART).max(MIN_HEDGE);
        let answered = race::race(first.as_mut(), pin!(time::sleep(hedge))).await;
        if let Either::First(sent) = answered {
            return sent;
        }
        // Boxed, as it is rare and would make every request's state larger.
        let both = Box::pin(self.hedge(call, owner, first));
        match race::race(pin!(both), pin!(self.moved(call, owner))).await {
            Either::First(sent) => sent,
            Either::Second(()) => Sent::Moved,
        }
    }

    /// Sends a request on a new connection as well, if the budget allows it.
    async fn hedge<F>(&self, call: &Call, owner: &Owner, mut first: Pin<&mut F>) -> Sent
    where
        F: Future<Output = Sent>,
    {
        if !call.service.budget.try_spend(call.kind.rank) {
            return first.await;
        }
        call.attempts.set(call.attempts.get() + 1);
        let mut second = pin!(self.exchange(call, owner, Reuse::Never));
        match race::race(first.as_mut(), second.as_mut()).await {
            Either::First(done @ Sent::Done(_)) | Either::Second(done @ Sent::Done(_)) => done,
            Either::First(sent) => sent.or(second.await),
            Either::Second(sent) => sent.or(first.await),
        }
    }

    /// Waits until the key has another owner.
    async fn moved(&self, call: &Call, owner: &Owner) {
        let table = &self.parts.table;
        loop {
            match table.find(&call.service.name, call.hash, clock::now()) {
                Found::Owner(other) if other.fence != owner.fence => return,
                _ => table.changed().wait(call.left()).await,
            };
        }
    }

    /// Whether the route still leads to this owner.
    fn may_leave(&self, call: &Call, owner: &Owner) -> bool {
        let now = clock::now();
        match self.parts.table.find(&call.service.name, call.hash, now) {
            Found::Owner(found) => {
                found.fence == owner.fence
                    && found.server.incarnation == owner.server.incarnation
                    && now < found.until
                    && now < call.deadline
            }
            Found::Waiting | Found::Unknown => false,
        }
    }

    async fn exchange(&self, call: &Call, owner: &Owner, reuse: Reuse) -> Sent {
        let options = SendOptions {
            deadline: call.deadline,
            reuse,
            before_write: || self.may_leave(call, owner),
        };
        let request = call.request(owner.fence);
        match self
            .client
            .send(owner.server.address, request, options)
            .await
        {
            Ok(response) => classify(response),
            Err(SendError::NotSent(_)) => Sent::Kept,
            Err(SendError::MayHaveRun(_)) => Sent::Broken,
            Err(SendError::TimedOut) => Sent::TimedOut,
        }
    }
}

fn classify(response: http::Response<Bytes>) -> Sent {
    let refused = headers::single(response.headers(), headers::REFUSED.as_str());
    match (response.status(), refused) {
        (StatusCode::CONFLICT, Some("fence" | "lease"))
        | (StatusCode::SERVICE_UNAVAILABLE, Some("drain")) => Sent::NotOwner,
        (StatusCode::SERVICE_UNAVAILABLE, Some("shed" | "deadline")) => Sent::Shed,
        _ => Sent::Done(response),
    }
}
