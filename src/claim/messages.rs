//! Claim records and the messages about them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::keys;

/// Identity of a claim: service and claim id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Service.
    pub service: ids::ServiceName,
    /// Claim id given by the caller.
    pub claim: ids::ClaimId,
}

/// A change of the claim records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Change {
    /// Creates a record unless there is one.
    Begin {
        /// Service and claim id.
        key: ClaimKey,
        /// Hash of the key that the request concerns.
        hash: keys::KeyHash,
        /// Digest of method, path and body, to detect reuse of the id.
        digest: u64,
        /// Random id of the attempt.
        attempt: Arc<str>,
        /// Wall time in milliseconds after which the record may be deleted.
        #[serde(rename = "forget_ms")]
        expires_ms: u64,
    },
    /// Records the outcome.
    End {
        /// Service and claim id.
        key: ClaimKey,
        /// Attempt that created the record.
        attempt: Arc<str>,
        /// Response of the backend server.
        outcome: Outcome,
    },
    /// Deletes the record, as the claim provably did not run.
    Abort {
        /// Service and claim id.
        key: ClaimKey,
        /// Attempt that created the record.
        attempt: Arc<str>,
    },
    /// Deletes expired records.
    #[serde(rename = "forget")]
    Expire {
        /// Wall time of the leader, in milliseconds.
        now_ms: u64,
    },
}

/// Request for the record of a claim, method `claim.look`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Look")]
pub struct Lookup {
    /// Service and claim id.
    pub key: ClaimKey,
    /// Digest of method, path and body.
    pub digest: u64,
}

/// Response to a claim that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<Arc<str>>,
    /// Body as text, so that JSON needs no base64; empty if there was none.
    pub body: Arc<str>,
    /// Backend server that answered.
    pub server: ids::ServerName,
    /// Fence under which the claim ran.
    pub fence: ids::Fence,
}

/// Result of a [`Change`] or a [`Lookup`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Applied {
    /// The record exists for this attempt, which may send the claim.
    Begun,
    /// The record was created by an attempt without an outcome yet.
    Pending {
        /// Id of the attempt.
        attempt: Arc<str>,
    },
    /// The claim ran.
    Ended {
        /// Recorded outcome.
        outcome: Outcome,
    },
    /// The claim id was used for another request.
    Reused,
    /// The change was applied.
    Done,
    /// There is no such record, or the change does not fit it; nothing was changed.
    Absent,
}
