//! The replicated state: the stores of the slices side by side.

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

/// The state of this control VM, as far as its log is applied; clones share it.
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
    /// Wakes when a command was applied.
    pub changed: Rc<Notify>,
}

/// The state as a snapshot takes hold of it.
#[derive(Serialize)]
struct Held {
    documents: document::store::Store,
    delegations: delegate::Store,
    claims: claim::store::Snapshot,
    table: table::Store,
    fleet: fleet::Store,
}

/// The state as a snapshot holds it.
#[derive(Deserialize)]
struct Image {
    documents: document::store::Store,
    delegations: delegate::Store,
    claims: claim::Store,
    #[serde(default)]
    table: table::Store,
    #[serde(default)]
    fleet: fleet::Store,
}

impl State {
    /// The state as the machine of the replicated log.
    pub fn state_machine(&self) -> log::StateMachine {
        let (apply, snapshot, restore) = (self.clone(), self.clone(), self.clone());
        log::StateMachine {
            apply: Box::new(move |index, payload| apply.apply(index, payload)),
            snapshot: Box::new(move || snapshot.snapshot()),
            restore: Box::new(move |_, image| restore.restore(image)),
        }
    }

    /// Carries out a command and gives its encoded outcome.
    pub fn apply(&self, index: ids::LogIndex, payload: &[u8]) -> Vec<u8> {
        let applied = match serde_json::from_slice(payload) {
            Ok(command) => self.carry_out(index, command),
            Err(_) => Applied::Unreadable,
        };
        self.changed.wake();
        serde_json::to_vec(&applied).unwrap_or_default()
    }

    /// Takes hold of the state, to be written out in another thread.
    pub fn snapshot(&self) -> log::EncodeSnapshot {
        let held = Held {
            documents: self.documents.borrow().clone(),
            delegations: self.delegations.borrow().clone(),
            claims: self.claims.borrow().snapshot(),
            table: self.table.borrow().clone(),
            fleet: self.fleet.borrow().clone(),
        };
        Box::new(move || serde_json::to_vec(&held).map_err(|e| e.to_string().into()))
    }

    /// Replaces the state by one written out.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the image; the state is unchanged then.
    pub fn restore(&self, image: &[u8]) -> Result<(), Arc<str>> {
        let image: Image = serde_json::from_slice(image).map_err(|e| Arc::from(e.to_string()))?;
        *self.documents.borrow_mut() = image.documents;
        *self.delegations.borrow_mut() = image.delegations;
        *self.claims.borrow_mut() = image.claims;
        *self.table.borrow_mut() = image.table;
        *self.fleet.borrow_mut() = image.fleet;
        self.changed.wake();
        Ok(())
    }

    fn carry_out(&self, index: ids::LogIndex, command: Command) -> Applied {
        match command {
            Command::Document(change) => {
                Applied::Document(self.documents.borrow_mut().apply(index, change))
            }
            Command::Delegate(change) => {
                Applied::Delegate(self.delegations.borrow_mut().apply(index, change))
            }
            Command::Claim(change) => Applied::Claim(self.claims.borrow_mut().apply(change)),
            Command::Table(change) => Applied::Table(self.table.borrow_mut().apply(index, change)),
            Command::Fleet(change) => {
                self.fleet.borrow_mut().apply(index, change);
                Applied::Fleet
            }
        }
    }
}
