//! Commands of the replicated log; each slice brings its own.

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

/// What a [`Command`] led to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "slice", content = "applied", rename_all = "snake_case")]
pub enum Applied {
    /// Outcome for documents.
    Document(document::store::Applied),
    /// Outcome for delegations.
    Delegate(delegate::store::Applied),
    /// Outcome for claim records.
    Claim(claim::Applied),
    /// Outcome for the routing table.
    Table(table::Outcome),
    /// Outcome for backend servers and their keys.
    Fleet,
    /// The command could not be read and was passed over.
    Unreadable,
}
