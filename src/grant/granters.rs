//! The granters of this entry VM.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use super::granter::Granter;
use crate::ids;

type Key = (ids::ServiceName, ids::ZoneName);

/// Granters by service and zone.
#[derive(Debug, Default)]
pub struct Granters {
    granters: RefCell<BTreeMap<Key, Rc<Granter>>>,
}

impl Granters {
    /// Adds a granter; returns the one that it replaces.
    pub fn insert(&self, granter: Rc<Granter>) -> Option<Rc<Granter>> {
        let key = (
            ids::ServiceName::clone(granter.service()),
            ids::ZoneName::clone(granter.zone()),
        );
        self.granters.borrow_mut().insert(key, granter)
    }

    /// Removes and returns a granter.
    pub fn remove(&self, service: &ids::ServiceName, zone: &ids::ZoneName) -> Option<Rc<Granter>> {
        self.granters.borrow_mut().remove(&key(service, zone))
    }

    /// The granter of a service in a zone.
    pub fn get(&self, service: &ids::ServiceName, zone: &ids::ZoneName) -> Option<Rc<Granter>> {
        self.granters.borrow().get(&key(service, zone)).cloned()
    }

    /// All granters, ordered by service and zone.
    pub fn list(&self) -> Vec<Rc<Granter>> {
        self.granters.borrow().values().cloned().collect()
    }
}

fn key(service: &ids::ServiceName, zone: &ids::ZoneName) -> Key {
    (ids::ServiceName::clone(service), ids::ZoneName::clone(zone))
}
