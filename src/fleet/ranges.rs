//! Key ranges of one service, in order; each key is in exactly one range.

use serde::{Deserialize, Serialize};

use super::model::{HandoverToken, Incarnation, Key, KeyRange, NextOwner};
use crate::ids;

/// Keys to reassign.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Next owner.
    pub next: Incarnation,
}

/// Keys that have a new owner; serialized as a tuple, as there are many.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "(Key, Key, Option<HandoverToken>)",
    into = "(Key, Key, Option<HandoverToken>)"
)]
pub struct AssignedRange {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Handover token of the last owner, if it passed one.
    pub token: Option<HandoverToken>,
}

impl From<(Key, Key, Option<HandoverToken>)> for AssignedRange {
    fn from((from, to, token): (Key, Key, Option<HandoverToken>)) -> Self {
        Self { from, to, token }
    }
}

impl From<AssignedRange> for (Key, Key, Option<HandoverToken>) {
    fn from(assigned: AssignedRange) -> Self {
        (assigned.from, assigned.to, assigned.token)
    }
}

/// All key ranges of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeMap {
    #[serde(rename = "rows")]
    ranges: Vec<KeyRange>,
    /// Log index of the last change.
    pub changed: ids::LogIndex,
}

impl Default for RangeMap {
    fn default() -> Self {
        Self {
            ranges: vec![KeyRange {
                from: 0,
                to: Key::MAX,
                owner: None,
                fence: 0,
                token: None,
                next: None,
                changed: 0,
            }],
            changed: 0,
        }
    }
}

impl RangeMap {
    /// The ranges in order.
    pub fn iter(&self) -> impl Iterator<Item = &KeyRange> {
        self.ranges.iter()
    }

    /// Ranges that share a key with `from..=to`.
    pub fn overlapping(&self, from: Key, to: Key) -> impl Iterator<Item = &KeyRange> {
        let first = self.ranges.partition_point(|r| r.to < from);
        let following = self.ranges.get(first..).unwrap_or_default().iter();
        following.take_while(move |r| r.from <= to)
    }

    /// Names the next owners of some keys.
    pub fn reassign(&mut self, index: ids::LogIndex, moves: &[Move]) {
        let edits = moves.iter().map(|m| (m.from, m.to, &m.next)).collect();
        self.update(index, edits, |range, next| {
            let since = range.next.as_ref().map_or(index, |n| n.since);
            range.changed = index;
            range.next = Some(NextOwner {
                incarnation: next.clone(),
                since,
            });
        });
    }

    /// Removes an owner from keys that it has released and that are being reassigned.
    pub fn release(
        &mut self,
        index: ids::LogIndex,
        incarnation: &Incarnation,
        ranges: &[(Key, Key)],
    ) {
        let edits = ranges.iter().map(|r| (r.0, r.1, ())).collect();
        self.update(index, edits, |range, ()| {
            if range.next.is_some() && range.owner.as_ref() == Some(incarnation) {
                range.owner = None;
                range.changed = index;
            }
        });
    }

    /// Makes `incarnation` the owner of keys; skips those that it is not the next owner of.
    pub fn assign(
        &mut self,
        index: ids::LogIndex,
        incarnation: &Incarnation,
        ranges: &[AssignedRange],
    ) {
        let edits = ranges.iter().map(|r| (r.from, r.to, &r.token)).collect();
        self.update(index, edits, |range, token| {
            if range
                .next
                .as_ref()
                .is_some_and(|n| n.incarnation == *incarnation)
            {
                range.owner = Some(incarnation.clone());
                range.fence = index;
                range.token.clone_from(token);
                range.next = None;
                range.changed = index;
            }
        });
    }

    /// Number of ranges of an owner.
    pub fn owned_count(&self, incarnation: &Incarnation) -> usize {
        let owned = |r: &&KeyRange| r.owner.as_ref() == Some(incarnation);
        self.iter().filter(owned).count()
    }

    /// Whether an owner keeps two neighbouring ranges.
    pub fn is_joinable(&self, incarnation: &Incarnation) -> bool {
        let mut pairs = self.ranges.iter().zip(self.ranges.iter().skip(1));
        pairs.any(|(left, right)| is_kept(left, incarnation) && is_kept(right, incarnation))
    }

    /// Joins neighbouring ranges that an owner keeps, under the higher fence.
    ///
    /// Ranges that it gets by the change at `index` have tokens that it needs, so one of them may be joined
    /// with ranges that the owner has already, but not with others of the change.
    pub fn join(&mut self, index: ids::LogIndex, incarnation: &Incarnation) {
        self.ranges.dedup_by(|right, left| {
            let is_new = left.fence == index && right.fence == index;
            let needs_both = is_new && left.token != right.token;
            if needs_both || !is_kept(left, incarnation) || !is_kept(right, incarnation) {
                return false;
            }
            if right.fence > left.fence {
                left.fence = right.fence;
                left.token = right.token.take();
            }
            left.to = right.to;
            left.changed = index;
            true
        });
        self.changed = index;
    }

    /// Applies edits, each a first key, a last key and a value for `change`; splits ranges.
    ///
    /// Takes one pass over all ranges and edits: there are thousands of both after the first
    /// assignment.
    fn update<T, F>(&mut self, index: ids::LogIndex, mut edits: Vec<(Key, Key, T)>, change: F)
    where
        T: Copy,
        F: Fn(&mut KeyRange, T),
    {
        edits.sort_by_key(|e| e.0);
        let mut edits = edits.into_iter().peekable();
        let mut ranges = Vec::with_capacity(self.ranges.len() + 2 * edits.len());
        for mut range in std::mem::take(&mut self.ranges) {
            loop {
                while edits.next_if(|e| e.1 < range.from).is_some() {}
                let Some(&(from, to, value)) = edits.peek().filter(|e| e.0 <= range.to) else {
                    ranges.push(range);
                    break;
                };
                if range.from < from {
                    let before = from.saturating_sub(1);
                    ranges.push(KeyRange {
                        to: before,
                        ..range.clone()
                    });
                    range.from = from;
                }
                if range.to <= to {
                    change(&mut range, value);
                    ranges.push(range);
                    break;
                }
                let mut inside = KeyRange {
                    to,
                    ..range.clone()
                };
                change(&mut inside, value);
                ranges.push(inside);
                range.from = to.saturating_add(1);
            }
        }
        self.ranges = ranges;
        self.merge(index);
    }

    /// Merges neighbouring ranges that differ in their keys only.
    fn merge(&mut self, index: ids::LogIndex) {
        self.changed = index;
        self.ranges.dedup_by(|right, left| {
            let same = left.owner == right.owner
                && left.fence == right.fence
                && left.token == right.token
                && left.changed == right.changed
                && left.next == right.next;
            if same {
                left.to = right.to;
            }
            same
        });
    }
}

/// Whether a range stays with an owner.
fn is_kept(range: &KeyRange, incarnation: &Incarnation) -> bool {
    range.next.is_none() && range.owner.as_ref() == Some(incarnation)
}
