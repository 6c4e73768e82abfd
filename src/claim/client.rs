//! The entry VM's side of claims: records put, ended and taken back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::messages::{Applied, Change, ClaimKey, Lookup, Outcome};
use crate::clock;
use crate::control::leader_client::{LeaderCallError, LeaderClient};
use crate::keys;

/// Wait before a change is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Wait between looks at a record that another attempt put.
const PENDING_DELAY: Duration = Duration::from_millis(25);

/// Method of a [`Change`].
pub const CHANGE_METHOD: &str = "claim.change";

/// Method of a [`Lookup`].
pub const LOOKUP_METHOD: &str = "claim.look";

/// How long a change goes on being sent after its request has been answered.
const AFTERWARDS: Duration = Duration::from_mins(1);

/// A claim about to be sent.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Identity.
    pub key: ClaimKey,
    /// Hash of the key that the request concerns.
    pub hash: keys::KeyHash,
    /// Digest of method, path and body.
    pub digest: u64,
    /// Random name of this attempt.
    pub attempt: Arc<str>,
    /// How long the record is kept.
    pub retention: Duration,
}

/// What an attempt found.
#[derive(Clone, Debug, PartialEq)]
pub enum BeginResult {
    /// The record was put by this attempt, which may send the claim.
    Acquired,
    /// The claim ran before.
    Ended(Outcome),
    /// Another attempt may have sent the claim, and no outcome is known.
    Pending,
    /// The id was used for another request.
    IdReused,
    /// The record could not be put; nothing was sent.
    NotRecorded,
}

/// Handle to the claim records at the control VMs.
#[derive(Clone, Debug)]
pub struct ClaimClient {
    peers: LeaderClient,
}

impl ClaimClient {
    /// A desk that reaches the records through `peers`.
    pub fn new(peers: LeaderClient) -> Self {
        Self { peers }
    }

    /// Puts the record of a claim unless there is one, until `give_up`.
    ///
    /// Waits for the outcome while another attempt has the record. A record
    /// whose putting stays unknown is taken back afterwards.
    pub async fn begin(&self, claim: &Claim, give_up: Instant) -> BeginResult {
        let expires_ms = clock::wall_ms().saturating_add(clock::as_ms(claim.retention));
        let change = Change::Begin {
            key: claim.key.clone(),
            hash: claim.hash,
            digest: claim.digest,
            attempt: Arc::clone(&claim.attempt),
            expires_ms,
        };
        let mut seen_other = false;
        loop {
            match self.send(CHANGE_METHOD, &change, give_up).await {
                Some(Applied::Begun) => return BeginResult::Acquired,
                Some(Applied::Ended { outcome }) => return BeginResult::Ended(outcome),
                Some(Applied::Reused) => return BeginResult::IdReused,
                Some(Applied::Pending { .. }) if clock::now() + PENDING_DELAY < give_up => {
                    seen_other = true;
                    monoio::time::sleep(PENDING_DELAY).await;
                }
                Some(_) => return BeginResult::Pending,
                None if seen_other => {
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

    /// Records the outcome; true once it is durable, false if that stays
    /// unknown at `give_up`, in which case it goes on being sent.
    pub async fn end(&self, claim: &Claim, outcome: Outcome, give_up: Instant) -> bool {
        let change = Change::End {
            key: claim.key.clone(),
            attempt: Arc::clone(&claim.attempt),
            outcome,
        };
        let recorded = self.send(CHANGE_METHOD, &change, give_up).await;
        if recorded.is_none() {
            self.send_afterwards(change);
        }
        recorded == Some(Applied::Done)
    }

    /// What is known of a claim; `None` if that cannot be learnt until `give_up`.
    pub async fn lookup(&self, lookup: &Lookup, give_up: Instant) -> Option<Applied> {
        self.send(LOOKUP_METHOD, lookup, give_up).await
    }

    /// Takes the record back, as the claim is proved not to have run.
    ///
    /// Runs on by itself; until it is done a resend is told `may-have-run`.
    pub fn abort(&self, claim: &Claim) {
        self.send_afterwards(Change::Abort {
            key: claim.key.clone(),
            attempt: Arc::clone(&claim.attempt),
        });
    }

    fn send_afterwards(&self, change: Change) {
        let desk = self.clone();
        monoio::spawn(async move {
            desk.send(CHANGE_METHOD, &change, clock::now() + AFTERWARDS)
                .await;
        });
    }

    /// Sends a question until it was answered; each may be repeated safely.
    async fn send<Q>(&self, method: &str, question: &Q, give_up: Instant) -> Option<Applied>
    where
        Q: Serialize,
    {
        loop {
            let left = give_up.saturating_duration_since(clock::now());
            if left.is_zero() {
                return None;
            }
            match self.peers.call(method, question, left).await {
                Ok(applied) => return Some(applied),
                Err(LeaderCallError::Refused(_)) => return None,
                Err(LeaderCallError::NotSent | LeaderCallError::OutcomeUnknown) => {
                    monoio::time::sleep(RETRY_DELAY.min(left)).await;
                }
            }
        }
    }
}
