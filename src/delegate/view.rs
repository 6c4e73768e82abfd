//! An entry VM's view of documents, delegations and other entry VMs.
//!
//! The view is fed by the leader of the control VMs and never goes back: a
//! response that reflects an older log position is ignored.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use super::messages::{Delegation, DocumentUpdate, Drain, EntryVm, WatchResponse};
use super::planner::ServiceZone;
use crate::document::Document;
use crate::ids;
use crate::notify::Notify;

/// An entry VM's copy of the replicated state.
#[derive(Debug, Default)]
pub struct View {
    /// Notified on every change.
    pub changed: Notify,
    index: Cell<ids::LogIndex>,
    documents: RefCell<BTreeMap<ids::ServiceName, VersionedDocument>>,
    delegations: RefCell<BTreeMap<ServiceZone, Rc<Delegation>>>,
    entry_vms: RefCell<BTreeMap<ids::VmName, EntryVm>>,
    drains: RefCell<BTreeMap<(ids::ServiceName, ids::ServerName), Drain>>,
}

/// Document in force and its version.
#[derive(Clone, Debug)]
pub struct VersionedDocument {
    /// Version.
    pub version: ids::Version,
    /// Change that produced this version.
    pub change: ids::ChangeId,
    /// The document.
    pub document: Rc<Document>,
}

impl View {
    /// Applies a response of the leader; false if the response is older than this view.
    pub fn apply(&self, response: WatchResponse) -> bool {
        if response.index < self.index.get() {
            return false;
        }
        let changed = !response.is_empty() || self.index.get() == 0;
        self.index.set(response.index);
        response
            .documents
            .into_iter()
            .for_each(|d| self.apply_document(d));
        for delegation in response.delegations {
            let key = super::planner::service_zone(&delegation);
            let mut delegations = self.delegations.borrow_mut();
            if delegations
                .get(&key)
                .is_none_or(|d| d.epoch <= delegation.epoch)
            {
                delegations.insert(key, Rc::new(delegation));
            }
        }
        let mut entry_vms = self.entry_vms.borrow_mut();
        if response.all_vms {
            entry_vms.clear();
        }
        for vm in &response.removed_vms {
            entry_vms.remove(vm);
        }
        for entry_vm in response.entry_vms {
            entry_vms.insert(Arc::clone(&entry_vm.vm), entry_vm);
        }
        let mut drains = self.drains.borrow_mut();
        for drain in response.drains {
            let key = (Arc::clone(&drain.service), Arc::clone(&drain.server));
            drains.insert(key, drain);
        }
        drop((entry_vms, drains));
        if changed {
            self.changed.wake();
        }
        true
    }

    /// Log position that this view reflects; 0 before the first response of the leader.
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

    fn apply_document(&self, update: DocumentUpdate) {
        let mut documents = self.documents.borrow_mut();
        let service = Arc::clone(&update.document.service);
        if documents
            .get(&service)
            .is_some_and(|d| d.version >= update.version)
        {
            return;
        }
        let versioned = VersionedDocument {
            version: update.version,
            change: update.change,
            document: Rc::new(update.document),
        };
        documents.insert(service, versioned);
    }
}

impl WatchResponse {
    /// Whether the response has no change.
    pub const fn is_empty(&self) -> bool {
        self.documents.is_empty()
            && self.delegations.is_empty()
            && self.entry_vms.is_empty()
            && self.removed_vms.is_empty()
            && !self.all_vms
            && self.drains.is_empty()
    }
}
