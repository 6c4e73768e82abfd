//! The log in memory: the newest snapshot, recent entries and the memberships
//! that they hold.

use std::collections::VecDeque;
use std::sync::Arc;

use super::model::{Body, Entry, Membership, Snapshot};
use crate::ids;

/// Size of an entry in memory without its command.
const ENTRY_BYTES: usize = size_of::<Entry>();

/// A membership and the index of the entry or snapshot that holds it.
#[derive(Clone, Debug)]
struct MembershipRecord {
    index: ids::LogIndex,
    membership: Membership,
}

/// In-memory log of one replica.
#[derive(Debug, Default)]
pub(super) struct MemoryLog {
    /// Index and term of the entry before the first one in memory.
    base: (ids::LogIndex, ids::LogTerm),
    entries: VecDeque<Entry>,
    /// Size of `entries`.
    bytes: usize,
    /// Size of the entries after the snapshot.
    uncovered_bytes: usize,
    memberships: Vec<MembershipRecord>,
    snapshot: Option<Arc<Snapshot>>,
    /// Entries not yet handed to the writer thread.
    unsynced: Vec<Entry>,
    /// Last entry that is synced to disk.
    synced_index: ids::LogIndex,
    /// Number of times that entries were truncated or replaced.
    truncations: u64,
}

impl MemoryLog {
    /// The log as read from the data directory.
    pub(super) fn from_disk(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = snapshot {
            log.reset(Arc::new(snapshot));
        }
        for entry in entries {
            log.push(entry);
        }
        log.unsynced.clear();
        log.synced_index = log.last_index();
        log
    }

    /// Index of the last entry.
    pub(super) fn last_index(&self) -> ids::LogIndex {
        self.entries.back().map_or(self.base.0, |e| e.index)
    }

    /// Term of the last entry.
    pub(super) fn last_term(&self) -> ids::LogTerm {
        self.entries.back().map_or(self.base.1, |e| e.term)
    }

    /// Index before the first entry in memory.
    pub(super) fn base_index(&self) -> ids::LogIndex {
        self.base.0
    }

    /// Last entry that is synced to disk.
    pub(super) fn synced_index(&self) -> ids::LogIndex {
        self.synced_index
    }

    /// Size of the entries in memory.
    #[cfg(test)]
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Size of the entries after the newest snapshot.
    pub(super) fn uncovered_bytes(&self) -> usize {
        self.uncovered_bytes
    }

    /// Size of the entries after the newest snapshot up to `index`.
    pub(super) fn uncovered_bytes_to(&self, index: ids::LogIndex) -> usize {
        let first = self.snapshot_index().max(self.base.0).saturating_add(1);
        let entries = (first..=index).map_while(|i| self.get(i));
        entries.map(entry_bytes).sum()
    }

    /// Newest snapshot.
    pub(super) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Last entry that the newest snapshot covers; 0 without a snapshot.
    pub(super) fn snapshot_index(&self) -> ids::LogIndex {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// Newest membership, committed or not.
    pub(super) fn membership(&self) -> Option<&Membership> {
        self.memberships.last().map(|r| &r.membership)
    }

    /// Index of the entry or snapshot that holds the newest membership.
    pub(super) fn membership_index(&self) -> ids::LogIndex {
        self.memberships.last().map_or(0, |r| r.index)
    }

    /// Membership as of the entry at `index`.
    fn membership_at(&self, index: ids::LogIndex) -> Option<&Membership> {
        let record = self.memberships.iter().rev().find(|r| r.index <= index);
        record.map(|r| &r.membership)
    }

    /// Entry at `index`, if it is in memory.
    pub(super) fn get(&self, index: ids::LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.0)?.checked_sub(1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Term of the entry at `index`, if it is known.
    pub(super) fn term_at(&self, index: ids::LogIndex) -> Option<ids::LogTerm> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|e| e.term)
    }

    /// Appends an entry, still to be synced.
    pub(super) fn push(&mut self, entry: Entry) {
        if let Body::Membership(membership) = &entry.body {
            self.memberships.push(MembershipRecord {
                index: entry.index,
                membership: membership.clone(),
            });
        }
        let bytes = entry_bytes(&entry);
        self.bytes += bytes;
        self.uncovered_bytes += bytes;
        self.unsynced.push(entry.clone());
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all later ones.
    pub(super) fn truncate_from(&mut self, index: ids::LogIndex) {
        while let Some(last) = self.entries.pop_back_if(|e| e.index >= index) {
            let bytes = entry_bytes(&last);
            self.bytes = self.bytes.saturating_sub(bytes);
            self.uncovered_bytes = self.uncovered_bytes.saturating_sub(bytes);
        }
        self.memberships.retain(|r| r.index < index);
        self.synced_index = self.synced_index.min(index.saturating_sub(1));
        self.truncations += 1;
    }

    /// Takes the entries to sync, with the number of truncations so far.
    pub(super) fn take_unsynced(&mut self) -> (Vec<Entry>, u64) {
        (std::mem::take(&mut self.unsynced), self.truncations)
    }

    /// Whether entries are to be synced.
    pub(super) fn has_unsynced(&self) -> bool {
        !self.unsynced.is_empty()
    }

    /// Records that entries up to `index` are synced, unless entries were truncated since
    /// [`MemoryLog::take_unsynced`] returned `truncations`.
    pub(super) fn mark_synced(&mut self, index: ids::LogIndex, truncations: u64) {
        if truncations == self.truncations {
            self.synced_index = self.synced_index.max(index);
        }
    }

    /// Snapshot of the state after `index`, with empty `data`; `None` if the entry is unknown.
    pub(super) fn snapshot_at(&self, index: ids::LogIndex) -> Option<Snapshot> {
        Some(Snapshot {
            index,
            term: self.term_at(index)?,
            membership: self.membership_at(index)?.clone(),
            data: Vec::new(),
        })
    }

    /// Stores a snapshot of this replica and drops the entries that it covers, except the last
    /// `trailing` ones and of these the last `trailing_bytes`.
    pub(super) fn compact(
        &mut self,
        snapshot: Arc<Snapshot>,
        trailing: u64,
        trailing_bytes: usize,
    ) {
        let until = snapshot.index.saturating_sub(trailing);
        let uncovered = self.entries.iter().rev();
        let uncovered = uncovered.take_while(|e| e.index > snapshot.index);
        self.uncovered_bytes = uncovered.map(entry_bytes).sum();
        let most_bytes = self.uncovered_bytes.saturating_add(trailing_bytes);
        while let Some(first) = self.entries.front().filter(|e| e.index <= snapshot.index) {
            if first.index > until && self.bytes <= most_bytes {
                break;
            }
            self.base = (first.index, first.term);
            self.bytes = self.bytes.saturating_sub(entry_bytes(first));
            self.entries.pop_front();
        }
        let current = self
            .memberships
            .iter()
            .rposition(|r| r.index <= snapshot.index);
        self.memberships.drain(..current.unwrap_or(0));
        self.snapshot = Some(snapshot);
    }

    /// Replaces the whole log by a snapshot.
    pub(super) fn reset(&mut self, snapshot: Arc<Snapshot>) {
        self.base = (snapshot.index, snapshot.term);
        self.entries.clear();
        self.bytes = 0;
        self.uncovered_bytes = 0;
        self.unsynced.clear();
        self.memberships = vec![MembershipRecord {
            index: snapshot.index,
            membership: snapshot.membership.clone(),
        }];
        self.synced_index = snapshot.index;
        self.truncations += 1;
        self.snapshot = Some(snapshot);
    }
}

/// Size of an entry in memory.
fn entry_bytes(entry: &Entry) -> usize {
    match &entry.body {
        Body::Command(payload) => ENTRY_BYTES + payload.len(),
        Body::Noop | Body::Membership(_) => ENTRY_BYTES,
    }
}
