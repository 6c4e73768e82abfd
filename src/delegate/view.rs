//! What an entry VM knows of documents, delegations and other entry VMs.
//!
//! It comes from the leader of the control VMs and never goes back: an answer
//! that reflects an older log position is ignored.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use super::messages::{Delegation, DocumentUpdate, Drain, EntryVm, WatchResponse};
use super::planner::ServiceZone;
use crate::document::Document;
use crate::ids;
use crate::notify::Notify;

/// View of the replicated state, held by an entry VM.
#[derive(Debug, Default)]
pub struct View {
    /// Wakes on every change.
    pub changed: Notify,
    index: Cell<ids::LogIndex>,
    documents: RefCell<BTreeMap<ids::ServiceName, VersionedDocument>>,
    delegations: RefCell<BTreeMap<ServiceZone, Rc<Delegation>>>,
    entry_vms: RefCell<BTreeMap<ids::VmName, EntryVm>>,
    drains: RefCell<BTreeMap<(ids::ServiceName, ids::ServerName), Drain>>,
}

/// A document in force.
#[derive(Clone, Debug)]
pub struct VersionedDocument {
    /// Version.
    pub version: ids::Version,
    /// Change that made this version.
    pub change: ids::ChangeId,
    /// The document.
    pub document: Rc<Document>,
}

impl View {
    /// Takes in an answer of the leader; false if it is older than this view.
    pub fn apply(&self, answer: WatchResponse) -> bool {
        if answer.index < self.index.get() {
            return false;
        }
        let changed = !answer.is_empty() || self.index.get() == 0;
        self.index.set(answer.index);
        answer
            .documents
            .into_iter()
            .for_each(|d| self.take_document(d));
        for delegation in answer.delegations {
            let key = super::planner::service_zone(&delegation);
            let mut held = self.delegations.borrow_mut();
            if held.get(&key).is_none_or(|h| h.epoch <= delegation.epoch) {
                held.insert(key, Rc::new(delegation));
            }
        }
        let mut entry_vms = self.entry_vms.borrow_mut();
        for entry_vm in answer.entry_vms {
            entry_vms.insert(Arc::clone(&entry_vm.vm), entry_vm);
        }
        let mut drains = self.drains.borrow_mut();
        for drain in answer.drains {
            let key = (Arc::clone(&drain.service), Arc::clone(&drain.server));
            drains.insert(key, drain);
        }
        drop((entry_vms, drains));
        if changed {
            self.changed.wake();
        }
        true
    }

    /// Log position that this view reflects; 0 before the leader was first heard.
    pub fn index(&self) -> ids::LogIndex {
        self.index.get()
    }

    /// The document of a service.
    pub fn document(&self, service: &str) -> Option<VersionedDocument> {
        self.documents.borrow().get(service).cloned()
    }

    /// Every document, by service.
    pub fn documents(&self) -> Vec<VersionedDocument> {
        self.documents.borrow().values().cloned().collect()
    }

    /// The delegation of a service to a zone.
    pub fn delegation(&self, service: &str, zone: &str) -> Option<Rc<Delegation>> {
        let key = (Arc::from(service), Arc::from(zone));
        self.delegations.borrow().get(&key).cloned()
    }

    /// The delegations of a service, by zone.
    pub fn delegations(&self, service: &str) -> Vec<Rc<Delegation>> {
        let delegations = self.delegations.borrow();
        let of_service = delegations.values().filter(|d| &*d.service == service);
        of_service.cloned().collect()
    }

    /// Every delegation.
    pub fn all_delegations(&self) -> Vec<Rc<Delegation>> {
        self.delegations.borrow().values().cloned().collect()
    }

    /// The entry VM of that name.
    pub fn entry_vm(&self, vm: &str) -> Option<EntryVm> {
        self.entry_vms.borrow().get(vm).cloned()
    }

    /// Every entry VM.
    pub fn entry_vms(&self) -> Vec<EntryVm> {
        self.entry_vms.borrow().values().cloned().collect()
    }

    /// Every drain of a service.
    pub fn drains(&self, service: &str) -> Vec<Drain> {
        let drains = self.drains.borrow();
        let of_service = drains.values().filter(|d| &*d.service == service);
        of_service.cloned().collect()
    }

    fn take_document(&self, news: DocumentUpdate) {
        let mut documents = self.documents.borrow_mut();
        let service = Arc::clone(&news.document.service);
        if documents
            .get(&service)
            .is_some_and(|h| h.version >= news.version)
        {
            return;
        }
        let held = VersionedDocument {
            version: news.version,
            change: news.change,
            document: Rc::new(news.document),
        };
        documents.insert(service, held);
    }
}

impl WatchResponse {
    /// Whether the answer tells nothing but the log position.
    pub const fn is_empty(&self) -> bool {
        self.documents.is_empty()
            && self.delegations.is_empty()
            && self.entry_vms.is_empty()
            && self.drains.is_empty()
    }
}
