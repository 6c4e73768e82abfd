//! The rows of one service: together they hold every key once, in order.

use serde::{Deserialize, Serialize};

use super::model::{Incarnation, Key, Next, Row, Token};
use crate::ids;

/// Keys that are to change hands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Who is to hold them next.
    pub next: Incarnation,
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

    /// Names the next holders of some keys.
    pub fn release(&mut self, index: ids::LogIndex, spans: &[Release]) {
        let spans = spans.iter().map(|s| (s.from, s.to, &s.next)).collect();
        self.update(index, spans, |row, next| {
            let since = row.next.as_ref().map_or(index, |n| n.since);
            row.changed = index;
            row.next = Some(Next {
                incarnation: next.clone(),
                since,
            });
        });
    }

    /// Takes keys from a holder that has let go of them.
    pub fn free(&mut self, index: ids::LogIndex, incarnation: &Incarnation, spans: &[(Key, Key)]) {
        let spans = spans.iter().map(|s| (s.0, s.1, ())).collect();
        self.update(index, spans, |row, ()| {
            if row.next.is_some() && row.holder.as_ref() == Some(incarnation) {
                row.holder = None;
                row.changed = index;
            }
        });
    }

    /// Hands keys to `incarnation`; only those that it was named for.
    pub fn assign(&mut self, index: ids::LogIndex, incarnation: &Incarnation, spans: &[Assigned]) {
        let spans = spans.iter().map(|s| (s.from, s.to, &s.token)).collect();
        self.update(index, spans, |row, token| {
            if row
                .next
                .as_ref()
                .is_some_and(|n| n.incarnation == *incarnation)
            {
                row.holder = Some(incarnation.clone());
                row.fence = index;
                row.token.clone_from(token);
                row.next = None;
                row.changed = index;
            }
        });
    }

    /// Changes the rows of some spans, each with what belongs to its span.
    ///
    /// One pass serves all spans: there are thousands of both after a first deal.
    fn update<T, F>(&mut self, index: ids::LogIndex, mut spans: Vec<(Key, Key, T)>, change: F)
    where
        T: Copy,
        F: Fn(&mut Row, T),
    {
        spans.sort_by_key(|s| s.0);
        let mut spans = spans.into_iter().peekable();
        let mut rows = Vec::with_capacity(self.rows.len() + 2 * spans.len());
        for mut row in std::mem::take(&mut self.rows) {
            loop {
                while spans.next_if(|s| s.1 < row.from).is_some() {}
                let Some(&(from, to, with)) = spans.peek().filter(|s| s.0 <= row.to) else {
                    rows.push(row);
                    break;
                };
                if row.from < from {
                    let left = from.saturating_sub(1);
                    rows.push(Row {
                        to: left,
                        ..row.clone()
                    });
                    row.from = from;
                }
                if row.to <= to {
                    change(&mut row, with);
                    rows.push(row);
                    break;
                }
                let mut inside = Row { to, ..row.clone() };
                change(&mut inside, with);
                rows.push(inside);
                row.from = to.saturating_add(1);
            }
        }
        self.rows = rows;
        self.join(index);
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
