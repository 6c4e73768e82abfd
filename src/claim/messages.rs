//! Claim records and the messages about them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::keys;

/// Identity of a claim: a service and the caller's id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Service.
    pub service: ids::ServiceName,
    /// Id given by the caller.
    pub claim: ids::ClaimId,
}

/// A change of the claim records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Change {
    /// Puts a record unless there is one, method `claim.begin`.
    Begin {
        /// Identity.
        key: ClaimKey,
        /// Hash of the key that the request concerns.
        hash: keys::KeyHash,
        /// Digest of method, path and body, to tell reuse of an id.
        digest: u64,
        /// Random name of this attempt.
        attempt: Arc<str>,
        /// Wall time in milliseconds after which the record may be forgotten.
        #[serde(rename = "forget_ms")]
        expires_ms: u64,
    },
    /// Records the outcome, method `claim.end`.
    End {
        /// Identity.
        key: ClaimKey,
        /// Attempt that put the record.
        attempt: Arc<str>,
        /// Answer of the backend server.
        outcome: Outcome,
    },
    /// Takes the record back, as the claim is proved not to have run, method `claim.abort`.
    Abort {
        /// Identity.
        key: ClaimKey,
        /// Attempt that put the record.
        attempt: Arc<str>,
    },
    /// Forgets records whose time is over.
    #[serde(rename = "forget")]
    Expire {
        /// Wall time of the leader, in milliseconds.
        now_ms: u64,
    },
}

/// Asks for the record of a claim and changes nothing, method `claim.look`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lookup {
    /// Identity.
    pub key: ClaimKey,
    /// Digest of method, path and body.
    pub digest: u64,
}

/// The answer that a claim got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<Arc<str>>,
    /// Body, base64 is not needed as it is kept as text; empty if it was none.
    pub body: Arc<str>,
    /// Backend server that answered.
    pub server: ids::ServerName,
    /// Fence under which it ran.
    pub fence: ids::Fence,
}

/// What a [`Change`] led to, or a [`Lookup`] found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Applied {
    /// The record was put; this attempt may send the claim.
    Begun,
    /// Another attempt put the record and has no outcome yet.
    Pending {
        /// That attempt.
        attempt: Arc<str>,
    },
    /// The claim ran; here is its outcome.
    Ended {
        /// Recorded answer.
        outcome: Outcome,
    },
    /// The id was used for another request.
    Reused,
    /// The change was carried out.
    Done,
    /// There is no record of this attempt; nothing was changed.
    Absent,
}
