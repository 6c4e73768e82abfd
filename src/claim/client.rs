//! Client of the claim records: creates, completes and deletes them at the control VMs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::messages::{Applied, Change, ClaimKey, Lookup, Outcome};
use crate::clock;
use crate::control::leader_client::{LeaderCallError, LeaderClient};
use crate::keys;

/// Delay before a call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Delay between calls while another attempt's record has no outcome.
const PENDING_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Method of a [`Change`].
pub const CHANGE_METHOD: &str = "claim.change";

/// Method of a [`Lookup`].
pub const LOOKUP_METHOD: &str = "claim.look";

/// How long a change is retried in the background, where no request waits for it.
const BACKGROUND_RETRY_TIMEOUT: Duration = Duration::from_mins(1);

/// One attempt to run a claim.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Service and claim id.
    pub key: ClaimKey,
    /// Hash of the key that the request concerns.
    pub hash: keys::KeyHash,
    /// Digest of method, path and body, to detect reuse of the id.
    pub digest: u64,
    /// Random id of the attempt.
    pub attempt: Arc<str>,
    /// How long the record is kept.
    pub retention: Duration,
}

/// Result of [`ClaimClient::begin`].
#[derive(Clone, Debug, PartialEq)]
pub enum BeginResult {
    /// This attempt created the record and may send the claim.
    Acquired,
    /// The claim ran before, with this outcome.
    Ended(Outcome),
    /// Another attempt may have sent the claim, and no outcome is known.
    Pending,
    /// The claim id was used for another request.
    IdReused,
    /// The record could not be created; nothing was sent.
    NotRecorded,
}

/// Client of the claim records at the control VMs.
#[derive(Clone, Debug)]
pub struct ClaimClient {
    leader: LeaderClient,
}

impl ClaimClient {
    /// Creates a client that calls the leader through `leader`.
    pub fn new(leader: LeaderClient) -> Self {
        Self { leader }
    }

    /// Creates the record of a claim unless there is one, until `deadline`.
    ///
    /// Waits for the outcome while the record belongs to another attempt. If it
    /// stays unknown whether the record was created, it is deleted in the background.
    pub async fn begin(&self, claim: &Claim, deadline: Instant) -> BeginResult {
        let expires_ms = clock::wall_ms().saturating_add(clock::as_ms(claim.retention));
        let change = Change::Begin {
            key: claim.key.clone(),
            hash: claim.hash,
            digest: claim.digest,
            attempt: Arc::clone(&claim.attempt),
            expires_ms,
        };
        let mut other_pending = false;
        loop {
            match self.send(CHANGE_METHOD, &change, deadline).await {
                Some(Applied::Begun) => return BeginResult::Acquired,
                Some(Applied::Ended { outcome }) => return BeginResult::Ended(outcome),
                Some(Applied::Reused) => return BeginResult::IdReused,
                Some(Applied::Pending { .. })
                    if clock::now() + PENDING_POLL_INTERVAL < deadline =>
                {
                    other_pending = true;
                    monoio::time::sleep(PENDING_POLL_INTERVAL).await;
                }
                Some(_) => return BeginResult::Pending,
                None if other_pending => {
                    self.abort(claim);
                    return BeginResult::Pending;
                }
                None => {
                    self.abort(claim);
                    return BeginResult::NotRecorded;
                }
            }
        }
    }

    /// Records the outcome. Returns true once it is durable, false if that is
    /// unknown at `deadline`; the change is then retried in the background.
    pub async fn end(&self, claim: &Claim, outcome: Outcome, deadline: Instant) -> bool {
        let change = Change::End {
            key: claim.key.clone(),
            attempt: Arc::clone(&claim.attempt),
            outcome,
        };
        let recorded = self.send(CHANGE_METHOD, &change, deadline).await;
        if recorded.is_none() {
            self.send_in_background(change);
        }
        recorded == Some(Applied::Done)
    }

    /// Looks up the record of a claim; `None` if the leader does not answer until `deadline`.
    pub async fn lookup(&self, lookup: &Lookup, deadline: Instant) -> Option<Applied> {
        self.send(LOOKUP_METHOD, lookup, deadline).await
    }

    /// Deletes the record in the background, for a claim that provably did not run.
    ///
    /// Until the record is deleted, a retry of the claim gets `may-have-run`.
    pub fn abort(&self, claim: &Claim) {
        self.send_in_background(Change::Abort {
            key: claim.key.clone(),
            attempt: Arc::clone(&claim.attempt),
        });
    }

    fn send_in_background(&self, change: Change) {
        let client = self.clone();
        monoio::spawn(async move {
            client
                .send(
                    CHANGE_METHOD,
                    &change,
                    clock::now() + BACKGROUND_RETRY_TIMEOUT,
                )
                .await;
        });
    }

    /// Calls the leader until it answers; all claim calls are idempotent.
    async fn send<Q>(&self, method: &str, request: &Q, deadline: Instant) -> Option<Applied>
    where
        Q: Serialize,
    {
        loop {
            let left = deadline.saturating_duration_since(clock::now());
            if left.is_zero() {
                return None;
            }
            match self.leader.call(method, request, left).await {
                Ok(applied) => return Some(applied),
                Err(LeaderCallError::Refused(_)) => return None,
                Err(LeaderCallError::NotSent | LeaderCallError::OutcomeUnknown) => {
                    monoio::time::sleep(RETRY_DELAY.min(left)).await;
                }
            }
        }
    }
}
