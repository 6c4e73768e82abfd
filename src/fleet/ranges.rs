//! The ranges of one service: together they hold every key once, in order.

use serde::{Deserialize, Serialize};

use super::model::{HandoverToken, Incarnation, Key, KeyRange, NextOwner};
use crate::ids;

/// Keys that are to change hands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Who is to hold them next.
    pub next: Incarnation,
}

/// Keys that have changed hands; written without names, as there are many.
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
    /// What the last owner handed over, if it did.
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

/// All ranges of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeMap {
    #[serde(rename = "rows")]
    ranges: Vec<KeyRange>,
    /// Log position of the last change.
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

    /// Names the next ranges of some keys.
    pub fn reassign(&mut self, index: ids::LogIndex, spans: &[Move]) {
        let spans = spans.iter().map(|s| (s.from, s.to, &s.next)).collect();
        self.update(index, spans, |range, next| {
            let since = range.next.as_ref().map_or(index, |n| n.since);
            range.changed = index;
            range.next = Some(NextOwner {
                incarnation: next.clone(),
                since,
            });
        });
    }

    /// Takes keys from a owner that has let go of them.
    pub fn release(
        &mut self,
        index: ids::LogIndex,
        incarnation: &Incarnation,
        spans: &[(Key, Key)],
    ) {
        let spans = spans.iter().map(|s| (s.0, s.1, ())).collect();
        self.update(index, spans, |range, ()| {
            if range.next.is_some() && range.owner.as_ref() == Some(incarnation) {
                range.owner = None;
                range.changed = index;
            }
        });
    }

    /// Hands keys to `incarnation`; only those that it was named for.
    pub fn assign(
        &mut self,
        index: ids::LogIndex,
        incarnation: &Incarnation,
        spans: &[AssignedRange],
    ) {
        let spans = spans.iter().map(|s| (s.from, s.to, &s.token)).collect();
        self.update(index, spans, |range, token| {
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

    /// Changes the ranges of some spans, each with what belongs to its span.
    ///
    /// One pass serves all spans: there are thousands of both after a first deal.
    fn update<T, F>(&mut self, index: ids::LogIndex, mut spans: Vec<(Key, Key, T)>, change: F)
    where
        T: Copy,
        F: Fn(&mut KeyRange, T),
    {
        spans.sort_by_key(|s| s.0);
        let mut spans = spans.into_iter().peekable();
        let mut ranges = Vec::with_capacity(self.ranges.len() + 2 * spans.len());
        for mut range in std::mem::take(&mut self.ranges) {
            loop {
                while spans.next_if(|s| s.1 < range.from).is_some() {}
                let Some(&(from, to, with)) = spans.peek().filter(|s| s.0 <= range.to) else {
                    ranges.push(range);
                    break;
                };
                if range.from < from {
                    let left = from.saturating_sub(1);
                    ranges.push(KeyRange {
                        to: left,
                        ..range.clone()
                    });
                    range.from = from;
                }
                if range.to <= to {
                    change(&mut range, with);
                    ranges.push(range);
                    break;
                }
                let mut inside = KeyRange {
                    to,
                    ..range.clone()
                };
                change(&mut inside, with);
                ranges.push(inside);
                range.from = to.saturating_add(1);
            }
        }
        self.ranges = ranges;
        self.join(index);
    }

    /// Joins neighbours that differ in their keys only.
    fn join(&mut self, index: ids::LogIndex) {
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
