//! Log indexes at which the items of a table changed, so that updates contain only those.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids;

/// Number of removed names that are kept; a follower that misses more gets the full table.
const MAX_TOMBSTONES: usize = 4096;

/// Log indexes of the last changes and removals of items, by name.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ModifiedIndex {
    changed: BTreeMap<Arc<str>, ids::LogIndex>,
    #[serde(rename = "gone")]
    removed: BTreeMap<Arc<str>, ids::LogIndex>,
    /// Log index of the newest removal that was pruned.
    #[serde(rename = "floor")]
    pruned_to: ids::LogIndex,
}

impl ModifiedIndex {
    /// Records the differences between the items of two tables as changes at `index`.
    pub fn record_changes<T, N>(
        &mut self,
        index: ids::LogIndex,
        old: &[Arc<T>],
        new: &[Arc<T>],
        name: N,
    ) where
        T: PartialEq,
        N: Fn(&T) -> &Arc<str>,
    {
        let mut before: HashMap<_, _> = old.iter().map(|item| (name(item), item)).collect();
        for item in new {
            let previous = before.remove(name(item));
            if previous.is_none_or(|p| !Arc::ptr_eq(p, item) && p != item) {
                self.changed.insert(Arc::clone(name(item)), index);
            }
            self.removed.remove(name(item));
        }
        for removed in before.into_keys() {
            self.changed.remove(removed);
            self.removed.insert(Arc::clone(removed), index);
        }
        self.prune_tombstones();
    }

    /// Whether an item changed after log index `base`.
    pub fn changed_since(&self, name: &str, base: ids::LogIndex) -> bool {
        self.changed
            .get(name)
            .is_some_and(|changed| *changed > base)
    }

    /// Names of items that were removed after log index `base`.
    pub fn removed_since(&self, base: ids::LogIndex) -> impl Iterator<Item = &Arc<str>> {
        let removed = self.removed.iter().filter(move |(_, index)| **index > base);
        removed.map(|(name, _)| name)
    }

    /// Whether all removals after log index `base` are known.
    pub fn covers(&self, base: ids::LogIndex) -> bool {
        base >= self.pruned_to
    }

    fn prune_tombstones(&mut self) {
        while self.removed.len() > MAX_TOMBSTONES {
            let oldest = self.removed.iter().min_by_key(|(_, index)| **index);
            let Some((name, index)) = oldest.map(|(n, i)| (Arc::clone(n), *i)) else {
                return;
            };
            self.pruned_to = index;
            self.removed.remove(&name);
        }
    }
}
