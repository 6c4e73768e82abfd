//! The log in memory: the newest snapshot, the entries after it, and the
//! members that they name.

use std::collections::VecDeque;
use std::sync::Arc;

use super::model::{Body, Entry, Membership, Snapshot};
use crate::ids;

/// Members from an entry on.
#[derive(Clone, Debug)]
struct Change {
    index: ids::LogIndex,
    members: Membership,
}

/// The log of one member.
#[derive(Debug, Default)]
pub(super) struct Entries {
    /// Index and term before the first entry kept.
    base: (ids::LogIndex, ids::LogTerm),
    kept: VecDeque<Entry>,
    changes: Vec<Change>,
    snapshot: Option<Arc<Snapshot>>,
    /// Entries that wait for the disk.
    unsaved: Vec<Entry>,
    /// Last entry that is synced here.
    synced: ids::LogIndex,
    /// How often entries were taken back.
    cuts: u64,
}

impl Entries {
    /// The log as recovered from the disk.
    pub(super) fn recovered(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = snapshot {
            log.reset(Arc::new(snapshot));
        }
        for entry in entries {
            log.push(entry);
        }
        log.unsaved.clear();
        log.synced = log.last();
        log
    }

    /// Index of the last entry.
    pub(super) fn last(&self) -> ids::LogIndex {
        self.kept.back().map_or(self.base.0, |e| e.index)
    }

    /// Term of the last entry.
    pub(super) fn last_term(&self) -> ids::LogTerm {
        self.kept.back().map_or(self.base.1, |e| e.term)
    }

    /// Index before the first entry kept.
    pub(super) fn base(&self) -> ids::LogIndex {
        self.base.0
    }

    /// Last entry that is synced here.
    pub(super) fn synced(&self) -> ids::LogIndex {
        self.synced
    }

    /// The newest snapshot.
    pub(super) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Index that the newest snapshot covers.
    pub(super) fn covered(&self) -> ids::LogIndex {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// The newest members, committed or not.
    pub(super) fn members(&self) -> Option<&Membership> {
        self.changes.last().map(|c| &c.members)
    }

    /// Index of the entry that named the newest members.
    pub(super) fn members_index(&self) -> ids::LogIndex {
        self.changes.last().map_or(0, |c| c.index)
    }

    /// Members as of an entry.
    fn members_at(&self, index: ids::LogIndex) -> Option<&Membership> {
        let change = self.changes.iter().rev().find(|c| c.index <= index);
        change.map(|c| &c.members)
    }

    /// The entry at `index`, if it is kept.
    pub(super) fn get(&self, index: ids::LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.0)?.checked_sub(1)?;
        self.kept.get(usize::try_from(offset).ok()?)
    }

    /// Term of the entry at `index`, if it is known.
    pub(super) fn term_at(&self, index: ids::LogIndex) -> Option<ids::LogTerm> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|e| e.term)
    }

    /// Adds the next entry; it waits for the disk.
    pub(super) fn push(&mut self, entry: Entry) {
        if let Body::Members(members) = &entry.body {
            self.changes.push(Change {
                index: entry.index,
                members: members.clone(),
            });
        }
        self.unsaved.push(entry.clone());
        self.kept.push_back(entry);
    }

    /// Takes back the entry at `index` and all after it.
    pub(super) fn cut_from(&mut self, index: ids::LogIndex) {
        self.kept.truncate(
            usize::try_from(index.saturating_sub(self.base.0).saturating_sub(1)).unwrap_or(0),
        );
        self.changes.retain(|c| c.index < index);
        self.synced = self.synced.min(index.saturating_sub(1));
        self.cuts += 1;
    }

    /// Entries that wait for the disk, and how often entries were taken back so far.
    pub(super) fn take_unsaved(&mut self) -> (Vec<Entry>, u64) {
        (std::mem::take(&mut self.unsaved), self.cuts)
    }

    /// Whether entries wait for the disk.
    pub(super) fn has_unsaved(&self) -> bool {
        !self.unsaved.is_empty()
    }

    /// Notes that everything up to `index` is synced, unless entries were taken back since.
    pub(super) fn saved(&mut self, index: ids::LogIndex, cuts: u64) {
        if cuts == self.cuts {
            self.synced = self.synced.max(index);
        }
    }

    /// A snapshot header for the state after `index`; `data` is still empty.
    pub(super) fn snapshot_at(&self, index: ids::LogIndex) -> Option<Snapshot> {
        Some(Snapshot {
            index,
            term: self.term_at(index)?,
            members: self.members_at(index)?.clone(),
            data: Vec::new(),
        })
    }

    /// Keeps a snapshot of the own state and forgets entries well before it.
    pub(super) fn compact(&mut self, snapshot: Arc<Snapshot>, trailing: u64) {
        let until = snapshot.index.saturating_sub(trailing);
        while let Some(first) = self.kept.front().filter(|e| e.index <= until) {
            self.base = (first.index, first.term);
            self.kept.pop_front();
        }
        let current = self.changes.iter().rposition(|c| c.index <= snapshot.index);
        self.changes.drain(..current.unwrap_or(0));
        self.snapshot = Some(snapshot);
    }

    /// Replaces everything by a snapshot.
    pub(super) fn reset(&mut self, snapshot: Arc<Snapshot>) {
        self.base = (snapshot.index, snapshot.term);
        self.kept.clear();
        self.unsaved.clear();
        self.changes = vec![Change {
            index: snapshot.index,
            members: snapshot.members.clone(),
        }];
        self.synced = snapshot.index;
        self.cuts += 1;
        self.snapshot = Some(snapshot);
    }
}
