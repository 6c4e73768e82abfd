//! Commands of the replicated log; each slice brings its own.

use serde::{Deserialize, Serialize};

use crate::claim;

/// One command of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "slice", content = "change", rename_all = "snake_case")]
pub enum Command {
    /// A change of claim records.
    Claim(claim::messages::Change),
}

/// What a [`Command`] led to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "slice", content = "applied", rename_all = "snake_case")]
pub enum Applied {
    /// Outcome for claim records.
    Claim(claim::messages::Applied),
    /// The command could not be read and was passed over.
    Unreadable,
}
