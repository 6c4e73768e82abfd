//! Sending of one request to one owner, with hedging of idempotent requests.

use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use monoio::time;

use super::Inner;
use super::headers;
use super::request::ProxyRequest;
use crate::clock;
use crate::route::table::{Lookup, Owner};
use crate::web::race::{self, Either};
use crate::web::{Reuse, SendError, SendOptions};

/// An idempotent request is hedged after its time left until the deadline divided by this.
const HEDGE_DELAY_DIVISOR: u32 = 4;

/// Least delay before a request is hedged.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(25);

/// Outcome of sending a request.
#[derive(Debug)]
pub(super) enum SendOutcome {
    /// The owner responded.
    Response(http::Response<Bytes>),
    /// Not run: the server does not own the key or is draining.
    NotOwner,
    /// Not run: the owner is overloaded.
    Shed,
    /// Not run: no byte was written.
    NotSent,
    /// May have run: the connection was lost.
    ConnectionLost,
    /// May have run: there was no response in time.
    TimedOut,
    /// May have run: the key got another owner meanwhile.
    OwnerChanged,
}

impl SendOutcome {
    /// Whether it is proved that the request has not run.
    fn is_not_run(&self) -> bool {
        matches!(self, Self::NotOwner | Self::Shed | Self::NotSent)
    }

    /// Outcome of a request that was sent twice.
    fn combine(self, other: Self) -> Self {
        match (self, other) {
            (done @ Self::Response(_), _) | (_, done @ Self::Response(_)) => done,
            (one, two) if one.is_not_run() => two,
            (one, _) => one,
        }
    }
}

impl Inner {
    /// Sends a request to its owner.
    pub(super) async fn send(&self, request: &ProxyRequest, owner: &Owner) -> SendOutcome {
        request.attempts.set(request.attempts.get() + 1);
        if request.is_idempotent() {
            self.send_idempotent(request, owner).await
        } else {
            self.exchange(request, owner, Reuse::Recent).await
        }
    }

    /// Sends an idempotent request; hedges it, and gives up when the owner changes.
    async fn send_idempotent(&self, request: &ProxyRequest, owner: &Owner) -> SendOutcome {
        let mut first = pin!(self.exchange(request, owner, Reuse::Any));
        let hedge_delay = (request.time_left() / HEDGE_DELAY_DIVISOR).max(MIN_HEDGE_DELAY);
        let raced = race::race(first.as_mut(), pin!(time::sleep(hedge_delay))).await;
        if let Either::First(outcome) = raced {
            return outcome;
        }
        // Boxed: hedging is rare and would enlarge the future of every request.
        let hedged = Box::pin(self.hedge(request, owner, first));
        match race::race(pin!(hedged), pin!(self.wait_for_new_owner(request, owner))).await {
            Either::First(outcome) => outcome,
            Either::Second(()) => SendOutcome::OwnerChanged,
        }
    }

    /// Also sends the request on a new connection, if the retry budget allows it.
    async fn hedge<F>(
        &self,
        request: &ProxyRequest,
        owner: &Owner,
        mut first: Pin<&mut F>,
    ) -> SendOutcome
    where
        F: Future<Output = SendOutcome>,
    {
        if !request.service.budget.try_spend(request.route.rank) {
            return first.await;
        }
        request.attempts.set(request.attempts.get() + 1);
        let mut second = pin!(self.exchange(request, owner, Reuse::Never));
        match race::race(first.as_mut(), second.as_mut()).await {
            Either::First(done @ SendOutcome::Response(_))
            | Either::Second(done @ SendOutcome::Response(_)) => done,
            Either::First(outcome) => outcome.combine(second.await),
            Either::Second(outcome) => outcome.combine(first.await),
        }
    }

    /// Waits until the key has another owner than `owner`.
    async fn wait_for_new_owner(&self, request: &ProxyRequest, owner: &Owner) {
        let table = &self.context.table;
        loop {
            match table.lookup(&request.service.name, request.hash, clock::now()) {
                Lookup::Owner(other) if other.fence != owner.fence => return,
                _ => table.changed().wait(request.time_left()).await,
            };
        }
    }

    /// Whether the request may still be sent to `owner`.
    fn is_route_current(&self, request: &ProxyRequest, owner: &Owner) -> bool {
        let now = clock::now();
        match self
            .context
            .table
            .lookup(&request.service.name, request.hash, now)
        {
            Lookup::Owner(found) => {
                found.fence == owner.fence
                    && found.server.incarnation == owner.server.incarnation
                    && now < found.valid_until
                    && now < request.deadline
            }
            Lookup::Unrouted | Lookup::UnknownService => false,
        }
    }

    async fn exchange(&self, request: &ProxyRequest, owner: &Owner, reuse: Reuse) -> SendOutcome {
        let options = SendOptions {
            deadline: request.deadline,
            reuse,
            before_write: || self.is_route_current(request, owner),
        };
        let outgoing = request.for_owner(owner.fence);
        match self
            .client
            .send(owner.server.address, outgoing, options)
            .await
        {
            Ok(response) => {
                if self.notices.record(owner, &response, clock::now()) {
                    let table = &self.context.table;
                    table.record_leaving(&request.service.name, owner);
                }
                classify(response)
            }
            Err(SendError::NotSent(_)) => SendOutcome::NotSent,
            Err(SendError::MayHaveRun(_)) => SendOutcome::ConnectionLost,
            Err(SendError::TimedOut) => SendOutcome::TimedOut,
        }
    }
}

fn classify(response: http::Response<Bytes>) -> SendOutcome {
    let refused = headers::single_value(response.headers(), headers::REFUSED.as_str());
    match (response.status(), refused) {
        (StatusCode::CONFLICT, Some("fence" | "lease"))
        | (StatusCode::SERVICE_UNAVAILABLE, Some("drain")) => SendOutcome::NotOwner,
        (StatusCode::SERVICE_UNAVAILABLE, Some("shed" | "deadline")) => SendOutcome::Shed,
        _ => SendOutcome::Response(response),
    }
}
