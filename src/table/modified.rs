//! When the items of a table changed, so that followers are told only what did.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids;

/// Names of removed items that are still known; a follower that has missed more starts anew.
const KNOWN_GONE: usize = 4096;

/// Log positions of the last changes of named items.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ModifiedIndex {
    changed: BTreeMap<Arc<str>, ids::LogIndex>,
    #[serde(rename = "gone")]
    removed: BTreeMap<Arc<str>, ids::LogIndex>,
    /// Log position of the newest removal that is no longer known.
    #[serde(rename = "floor")]
    compacted_to: ids::LogIndex,
}

impl ModifiedIndex {
    /// Notes what differs between the items of two tables.
    pub fn note<T, N>(&mut self, index: ids::LogIndex, old: &[Arc<T>], new: &[Arc<T>], name: N)
    where
        T: PartialEq,
        N: Fn(&T) -> &Arc<str>,
    {
        let mut before: HashMap<_, _> = old.iter().map(|item| (name(item), item)).collect();
        for item in new {
            let known = before.remove(name(item));
            if known.is_none_or(|k| !Arc::ptr_eq(k, item) && k != item) {
                self.changed.insert(Arc::clone(name(item)), index);
            }
            self.removed.remove(name(item));
        }
        for removed in before.into_keys() {
            self.changed.remove(removed);
            self.removed.insert(Arc::clone(removed), index);
        }
        self.forget();
    }

    /// Whether an item changed after a log position.
    pub fn is_new(&self, name: &str, have: ids::LogIndex) -> bool {
        self.changed
            .get(name)
            .is_some_and(|changed| *changed > have)
    }

    /// Items that were removed after a log position.
    pub fn removed_since(&self, have: ids::LogIndex) -> impl Iterator<Item = &Arc<str>> {
        let removed = self.removed.iter().filter(move |(_, index)| **index > have);
        removed.map(|(name, _)| name)
    }

    /// Whether all removals after a log position are known.
    pub fn reaches(&self, have: ids::LogIndex) -> bool {
        have >= self.compacted_to
    }

    fn forget(&mut self) {
        while self.removed.len() > KNOWN_GONE {
            let oldest = self.removed.iter().min_by_key(|(_, index)| **index);
            let Some((name, index)) = oldest.map(|(n, i)| (Arc::clone(n), *i)) else {
                return;
            };
            self.compacted_to = index;
            self.removed.remove(&name);
        }
    }
}
