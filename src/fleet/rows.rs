//! The rows of one service: together they hold every key once, in order.

use serde::{Deserialize, Serialize};

use super::model::{Key, Life, Next, Row, Token};
use crate::ids;

/// Keys that are to change hands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Who is to hold them next.
    pub next: Life,
}

/// Keys that have changed hands; written without names, as there are many.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Key, Key, Option<Token>)", into = "(Key, Key, Option<Token>)")]
pub struct Assigned {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// What the last holder handed over, if it did.
    pub token: Option<Token>,
}

impl From<(Key, Key, Option<Token>)> for Assigned {
    fn from((from, to, token): (Key, Key, Option<Token>)) -> Self {
        Self { from, to, token }
    }
}

impl From<Assigned> for (Key, Key, Option<Token>) {
    fn from(assigned: Assigned) -> Self {
        (assigned.from, assigned.to, assigned.token)
    }
}

/// All rows of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    rows: Vec<Row>,
    /// Log position of the last change.
    pub changed: ids::LogIndex,
}

impl Default for Rows {
    fn default() -> Self {
        Self {
            rows: vec![Row {
                from: 0,
                to: Key::MAX,
                holder: None,
                fence: 0,
                token: None,
                next: None,
                changed: 0,
            }],
            changed: 0,
        }
    }
}

impl Rows {
    /// The rows in order.
    pub fn iter(&self) -> impl Iterator<Item = &Row> {
        self.rows.iter()
    }

    /// Names the next holder of some keys.
    pub fn release(&mut self, index: ids::LogIndex, next: &Life, (from, to): (Key, Key)) {
        self.cut(from, to);
        for row in self.within(from, to) {
            let since = row.next.as_ref().map_or(index, |n| n.since);
            row.changed = index;
            row.next = Some(Next {
                life: next.clone(),
                since,
            });
        }
        self.join(index);
    }

    /// Takes keys from a holder that has let go of them.
    pub fn free(&mut self, index: ids::LogIndex, life: &Life, (from, to): (Key, Key)) {
        self.cut(from, to);
        let held = |row: &Row| row.holder.as_ref() == Some(life) && row.next.is_some();
        for row in self.within(from, to).filter(|r| held(r)) {
            row.holder = None;
            row.changed = index;
        }
        self.join(index);
    }

    /// Hands keys to `life`; only those that it was named for.
    pub fn assign(&mut self, index: ids::LogIndex, life: &Life, assigned: &Assigned) {
        self.cut(assigned.from, assigned.to);
        let named = |row: &Row| row.next.as_ref().is_some_and(|n| n.life == *life);
        for row in self.within(assigned.from, assigned.to).filter(|r| named(r)) {
            row.holder = Some(life.clone());
            row.fence = index;
            row.token.clone_from(&assigned.token);
            row.next = None;
            row.changed = index;
        }
        self.join(index);
    }

    /// Cuts rows so that none crosses either end of a span.
    fn cut(&mut self, from: Key, to: Key) {
        self.cut_before(from);
        if let Some(after) = to.checked_add(1) {
            self.cut_before(after);
        }
    }

    fn cut_before(&mut self, key: Key) {
        let crossing = self.rows.iter().position(|r| r.from < key && key <= r.to);
        let Some(at) = crossing else { return };
        let Some(row) = self.rows.get_mut(at) else {
            return;
        };
        let mut right = row.clone();
        row.to = key.saturating_sub(1);
        right.from = key;
        self.rows.insert(at + 1, right);
    }

    fn within(&mut self, from: Key, to: Key) -> impl Iterator<Item = &mut Row> {
        let rows = self.rows.iter_mut();
        rows.filter(move |r| from <= r.from && r.to <= to)
    }

    /// Joins neighbours that differ in their keys only.
    fn join(&mut self, index: ids::LogIndex) {
        self.changed = index;
        self.rows.dedup_by(|right, left| {
            let same = left.holder == right.holder
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
