//! The replicated state: documents, delegations, claims, routing table and fleet.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::command::{Applied, Command};
use crate::claim;
use crate::delegate;
use crate::document;
use crate::fleet;
use crate::ids;
use crate::log;
use crate::notify::Notify;
use crate::table;

/// The state of this control VM after the applied part of the log; clones share it.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Documents.
    pub documents: Rc<RefCell<document::store::Store>>,
    /// Delegations and entry VMs.
    pub delegations: Rc<RefCell<delegate::Store>>,
    /// Claim records.
    pub claims: Rc<RefCell<claim::Store>>,
    /// Routing table.
    pub table: Rc<RefCell<table::Store>>,
    /// Backend servers and their keys.
    pub fleet: Rc<RefCell<fleet::Store>>,
    /// Wakes waiting tasks after each applied command.
    pub changed: Rc<Notify>,
}

/// The state captured for a snapshot.
#[derive(Serialize)]
struct CapturedState {
    documents: document::store::Store,
    delegations: delegate::Store,
    claims: claim::store::Snapshot,
    table: table::Store,
    fleet: fleet::Store,
}

/// The state decoded from a snapshot.
#[derive(Deserialize)]
struct RestoredState {
    documents: document::store::Store,
    delegations: delegate::Store,
    claims: claim::Store,
    #[serde(default)]
    table: table::Store,
    #[serde(default)]
    fleet: fleet::Store,
}

impl State {
    /// The hooks by which the replicated log drives this state.
    pub fn state_machine(&self) -> log::StateMachine {
        let (apply, snapshot, restore) = (self.clone(), self.clone(), self.clone());
        log::StateMachine {
            apply: Box::new(move |index, payload| apply.apply(index, payload)),
            snapshot: Box::new(move || snapshot.snapshot()),
            restore: Box::new(move |_, bytes| restore.restore(bytes)),
        }
    }

    /// Applies an encoded command and returns its encoded result.
    pub fn apply(&self, index: ids::LogIndex, payload: &[u8]) -> Vec<u8> {
        let applied = match serde_json::from_slice(payload) {
            Ok(command) => self.execute(index, command),
            Err(_) => Applied::Unreadable,
        };
        self.changed.wake();
        serde_json::to_vec(&applied).unwrap_or_default()
    }

    /// Captures the state; the returned function encodes it and may run on another thread.
    pub fn snapshot(&self) -> log::EncodeSnapshot {
        let captured = CapturedState {
            documents: self.documents.borrow().clone(),
            delegations: self.delegations.borrow().clone(),
            claims: self.claims.borrow().snapshot(),
            table: self.table.borrow().clone(),
            fleet: self.fleet.borrow().clone(),
        };
        Box::new(move || serde_json::to_vec(&captured).map_err(|e| e.to_string().into()))
    }

    /// Replaces the state with that of an encoded snapshot.
    ///
    /// # Errors
    ///
    /// The reason why the snapshot cannot be decoded; the state is unchanged then.
    pub fn restore(&self, snapshot: &[u8]) -> Result<(), Arc<str>> {
        let restored: RestoredState =
            serde_json::from_slice(snapshot).map_err(|e| Arc::from(e.to_string()))?;
        *self.documents.borrow_mut() = restored.documents;
        *self.delegations.borrow_mut() = restored.delegations;
        *self.claims.borrow_mut() = restored.claims;
        *self.table.borrow_mut() = restored.table;
        *self.fleet.borrow_mut() = restored.fleet;
        self.changed.wake();
        Ok(())
    }

    fn execute(&self, index: ids::LogIndex, command: Command) -> Applied {
        match command {
            Command::Document(change) => {
                Applied::Document(self.documents.borrow_mut().apply(index, change))
            }
            Command::Delegate(change) => {
                Applied::Delegate(self.delegations.borrow_mut().apply(index, change))
            }
            Command::Claim(change) => Applied::Claim(self.claims.borrow_mut().apply(change)),
            Command::Table(change) => Applied::Table(self.table.borrow_mut().apply(index, change)),
            Command::Fleet(change) => Applied::Fleet(self.fleet.borrow_mut().apply(index, change)),
        }
    }
}
