//! What the leader knows of leases, in its memory only.
//!
//! A leader that has just begun knows of no lease, so it counts every incarnation as
//! holding one for the longest time that its predecessor may have granted.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::{Heartbeat, HeldRange, ReleasedRange};
use super::model::{HandoverToken, Incarnation, Key, KeyRange};
use super::ranges::AssignedRange;
use super::store::Store;
use crate::ids;

/// Lease of a backend server, unless it takes only shorter ones.
///
/// The keys of one that crashed are dark for so long, and an election with the
/// heartbeats that miss it must fit in.
pub const MAX_LEASE: Duration = Duration::from_millis(3500);

/// Longest lease with what the clock of a backend server may run slow: 2 %, and as much again.
const CLOCK_SLACK: f64 = 1.04;

/// Time in which a backend server that lives heartbeats again: a heartbeat, and some delay.
const MAX_HEARTBEAT_GAP: Duration = Duration::from_millis(1200);

/// ReleasedRange spans that are kept for each service; older ones are long handed on.
const FREED_SPANS: usize = 512;

/// The newest heartbeat of one incarnation.
#[derive(Clone, Debug)]
struct Known {
    incarnation: Incarnation,
    sequence: u64,
    /// When it came.
    received: Instant,
    /// Log position that was applied here when it came.
    index: ids::LogIndex,
    held: Vec<HeldRange>,
    /// When all that it was granted has run out.
    ends: Option<Instant>,
}

/// Leases of all backend servers, as far as this leader knows.
#[derive(Debug)]
pub struct Leases {
    /// Longest lease granted.
    length: Duration,
    /// When this VM began to lead.
    since: Instant,
    known: HashMap<ids::ServerName, Known>,
    released: BTreeMap<ids::ServiceName, Vec<ReleasedRange>>,
}

impl Leases {
    /// No knowledge, from `since` on; leases are at most `length` long.
    pub fn new(length: Duration, since: Instant) -> Self {
        Self {
            length,
            since,
            known: HashMap::new(),
            released: BTreeMap::new(),
        }
    }

    /// When this VM began to lead.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Takes in a heartbeat; false if a newer one of its incarnation, or of a later incarnation, came before.
    pub fn take(&mut self, heartbeat: &Heartbeat, index: ids::LogIndex, now: Instant) -> bool {
        let incarnation = heartbeat.incarnation();
        let known = self.known.get(&incarnation.server);
        let newer = known.is_some_and(|k| {
            (k.incarnation.start_ms, k.sequence) >= (incarnation.start_ms, heartbeat.sequence)
        });
        if newer {
            return false;
        }
        let ends = known
            .filter(|k| k.incarnation == *incarnation)
            .and_then(|k| k.ends);
        let known = Known {
            incarnation: incarnation.clone(),
            sequence: heartbeat.sequence,
            received: now,
            index,
            held: heartbeat.held.clone(),
            ends,
        };
        self.known.insert(Arc::clone(&incarnation.server), known);
        let released = self
            .released
            .entry(Arc::clone(&heartbeat.server.service))
            .or_default();
        released.extend(heartbeat.released.iter().cloned());
        let excess = released.len().saturating_sub(FREED_SPANS);
        released.drain(..excess);
        true
    }

    /// Notes that a incarnation was granted a lease on a heartbeat that came at `received`.
    pub fn granted(&mut self, incarnation: &Incarnation, received: Instant) {
        let known = self.known.get_mut(&incarnation.server);
        if let Some(known) = known.filter(|k| k.incarnation == *incarnation) {
            // An answer to an earlier heartbeat may be given after that to a later one.
            known.ends = known
                .ends
                .max(Some(received + self.length.mul_f64(CLOCK_SLACK)));
        }
    }

    /// When a incarnation last reported, as far as this leader knows.
    pub fn heard(&self, incarnation: &Incarnation) -> Option<Instant> {
        let known = self.known.get(&incarnation.server);
        known
            .filter(|k| k.incarnation == *incarnation)
            .map(|k| k.received)
    }

    /// Whether nothing was heard of a incarnation for `limit`, counted from this leader's start at least.
    pub fn is_silent(&self, incarnation: &Incarnation, limit: Duration, now: Instant) -> bool {
        now >= self.heard(incarnation).unwrap_or(self.since) + limit
    }

    /// Whether whatever a incarnation was granted has run out, or the incarnation has ended.
    pub fn has_ended(&self, incarnation: &Incarnation, store: &Store, now: Instant) -> bool {
        if store.incarnation(incarnation).is_none() {
            return true;
        }
        let unknown = self.since + self.length.mul_f64(CLOCK_SLACK);
        let known = self
            .known
            .get(&incarnation.server)
            .filter(|k| k.incarnation == *incarnation);
        now > known.and_then(|k| k.ends).unwrap_or(unknown)
    }

    /// Whether the present owner of a range is proved to hold it no more.
    pub fn is_free(&self, range: &KeyRange, store: &Store, now: Instant) -> bool {
        let Some(owner) = &range.owner else {
            return true;
        };
        let Some(next) = &range.next else {
            return false;
        };
        let known = self
            .known
            .get(&owner.server)
            .filter(|k| k.incarnation == *owner);
        let released = known.is_some_and(|k| {
            k.index >= next.since && !k.held.iter().any(|h| range.overlaps(h.from, h.to))
        });
        released || self.has_ended(owner, store, now)
    }

    /// Whether the present owner of a range is likely to be proved to hold it no more by `until`.
    pub fn is_free_by(&self, range: &KeyRange, until: Instant, now: Instant) -> bool {
        let known = range.owner.as_ref().and_then(|owner| {
            let known = self.known.get(&owner.server);
            known.filter(|k| k.incarnation == *owner)
        });
        known.is_some_and(|k| {
            now < k.received + MAX_HEARTBEAT_GAP || k.ends.is_some_and(|e| e <= until)
        })
    }

    /// Spans of a range with what was handed over for each.
    pub fn handed(&self, service: &str, range: &KeyRange) -> Vec<AssignedRange> {
        let released = self.released.get(service);
        let newest = released.into_iter().flatten().rev();
        let mut spans = Vec::new();
        let mut rest = vec![(range.from, range.to)];
        for released in newest {
            let (taken, left) = cut(&rest, released.from, released.to);
            let with_token = |(from, to)| AssignedRange {
                from,
                to,
                token: Some(HandoverToken::clone(&released.token)),
            };
            spans.extend(taken.into_iter().map(with_token));
            rest = left;
        }
        spans.extend(rest.into_iter().map(|(from, to)| AssignedRange {
            from,
            to,
            token: None,
        }));
        spans.sort_by_key(|s| s.from);
        spans
    }

    /// Forgets what was handed over for keys that have a new owner.
    pub fn handed_on(&mut self, service: &str, from: Key, to: Key) {
        if let Some(released) = self.released.get_mut(service) {
            released.retain(|f| f.from < from || to < f.to);
        }
    }
}

/// First and last key.
type Span = (Key, Key);

/// Parts of some spans inside and outside of another.
fn cut(spans: &[Span], from: Key, to: Key) -> (Vec<Span>, Vec<Span>) {
    let (mut inside, mut outside) = (Vec::new(), Vec::new());
    for &(first, last) in spans {
        if last < from || to < first {
            outside.push((first, last));
            continue;
        }
        inside.push((first.max(from), last.min(to)));
        if first < from {
            outside.push((first, from.saturating_sub(1)));
        }
        if to < last {
            outside.push((to.saturating_add(1), last));
        }
    }
    (inside, outside)
}
