//! The duties that this entry VM carries.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use super::granter::Granter;
use crate::ids;

type Key = (ids::ServiceName, ids::ZoneName);

/// Registry of duties by service and zone.
#[derive(Debug, Default)]
pub struct Granters {
    granters: RefCell<BTreeMap<Key, Rc<Granter>>>,
}

impl Granters {
    /// Adds a duty; returns the one that it replaces.
    pub fn insert(&self, duty: Rc<Granter>) -> Option<Rc<Granter>> {
        let key = (
            ids::ServiceName::clone(duty.service()),
            ids::ZoneName::clone(duty.zone()),
        );
        self.granters.borrow_mut().insert(key, duty)
    }

    /// Takes a duty out.
    pub fn remove(&self, service: &ids::ServiceName, zone: &ids::ZoneName) -> Option<Rc<Granter>> {
        self.granters.borrow_mut().remove(&key(service, zone))
    }

    /// The duty for a service in a zone.
    pub fn get(&self, service: &ids::ServiceName, zone: &ids::ZoneName) -> Option<Rc<Granter>> {
        self.granters.borrow().get(&key(service, zone)).cloned()
    }

    /// All duties, in order of their names.
    pub fn list(&self) -> Vec<Rc<Granter>> {
        self.granters.borrow().values().cloned().collect()
    }
}

fn key(service: &ids::ServiceName, zone: &ids::ZoneName) -> Key {
    (ids::ServiceName::clone(service), ids::ZoneName::clone(zone))
}
