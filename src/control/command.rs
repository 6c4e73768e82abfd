//! Commands of the replicated log, one kind for each store.

use serde::{Deserialize, Serialize};

use crate::claim;
use crate::delegate;
use crate::document;
use crate::fleet;
use crate::table;

/// One command of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "slice", content = "change", rename_all = "snake_case")]
pub enum Command {
    /// A change of a document.
    Document(document::store::Change),
    /// A change of delegations.
    Delegate(delegate::store::Change),
    /// A change of claim records.
    Claim(claim::Change),
    /// A change of the routing table.
    Table(table::Change),
    /// A change of backend servers and their keys.
    Fleet(fleet::Change),
}

/// Result of applying a [`Command`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "slice", content = "applied", rename_all = "snake_case")]
pub enum Applied {
    /// Result of a change of a document.
    Document(document::store::Applied),
    /// Result of a change of delegations.
    Delegate(delegate::store::Applied),
    /// Result of a change of claim records.
    Claim(claim::Applied),
    /// Result of a change of the routing table.
    Table(table::Outcome),
    /// Effect of a change of backend servers and their keys.
    Fleet(fleet::Effect),
    /// The command could not be decoded and was skipped.
    Unreadable,
}
