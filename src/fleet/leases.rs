//! Leases of backend servers, in the leader's memory only.
//!
//! A new leader doesn't know the leases that its predecessor granted, so it assumes that
//! every incarnation has one of the longest duration that any table allowed for its service: the
//! present table may lack the service, or give it shorter leases than the one before. It also has no
//! sequence number to tell a delayed heartbeat from a new one, so a heartbeat says what its sender
//! holds only if it was sent after this leader began.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::call_leases::{CallLeases, PREDECESSOR_MARGIN};
use super::messages::{Heartbeat, HeldRange, ReleasedRange};
use super::model::{HandoverToken, Incarnation, Key, KeyRange, Server};
use super::ranges::AssignedRange;
use super::store::Store;
use crate::ids;
use crate::table::{self, Delivery};

/// Lease of a backend server whose requests are short.
///
/// The keys of a crashed server are unrouted for this long, but an election and the
/// heartbeats that fail meanwhile must fit into it.
pub const MIN_LEASE: Duration = Duration::from_millis(3500);

/// Lease of a service whose requests are to be answered within `latency_target`, up to `max`.
///
/// A backend server aborts work that outlasts its lease, and a range that moves is not renewed.
pub fn lease_duration(latency_target: Duration, max: Duration) -> Duration {
    latency_target.max(MIN_LEASE).min(max)
}

/// Factor on lease durations for slow clocks of backend servers: twice a drift of 2 %.
pub(super) const CLOCK_DRIFT_FACTOR: f64 = 1.04;

/// Longest time between two heartbeats of a running server: the interval and some delay.
const MAX_HEARTBEAT_GAP: Duration = Duration::from_millis(1200);

/// Longest lease that a backend server takes.
pub(super) const LONGEST_LEASE: Duration = Duration::from_secs(10);

/// Time after which heartbeats that have come in order are no delayed copies.
const TRUST_DELAY: Duration = LONGEST_LEASE;

/// Released ranges kept per service; older ones have long been assigned again.
const MAX_RELEASED_RANGES: usize = 512;

/// Newest heartbeat of an incarnation, and its lease.
#[derive(Clone, Debug)]
struct LastHeartbeat {
    incarnation: Incarnation,
    sequence: u64,
    /// Sequence number above which a heartbeat proves a release.
    trusted_above: u64,
    /// Since when heartbeats with lower numbers have come in order.
    untrusted_since: Option<Instant>,
    received: Instant,
    /// Log index that was applied on this VM when the heartbeat was received.
    applied_index: ids::LogIndex,
    held: Option<Vec<HeldRange>>,
    /// End of the longest lease granted to the incarnation.
    expires: Option<Instant>,
}

/// For how long leases of an earlier leader may be in force after the next one has begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InheritedLeases {
    by_service: BTreeMap<ids::ServiceName, Duration>,
    /// The same for a service that had no route.
    other: Duration,
}

impl InheritedLeases {
    /// Derives the longest leases from all tables so far; `max` limits the leases of this VM.
    pub fn from_tables(tables: &table::Store, max: Duration) -> Self {
        // The limit of an earlier leader may have been higher.
        let max = max.max(LONGEST_LEASE);
        let Some(targets) = tables.longest_targets() else {
            return Self::all(max, Delivery::Call);
        };
        let remaining = |(service, target): (&ids::ServiceName, &Duration)| {
            let lease = lease_duration(*target, max);
            (
                Arc::clone(service),
                remaining(lease, tables.any_delivery(service)),
            )
        };
        Self {
            by_service: targets.iter().map(remaining).collect(),
            ..Self::all(MIN_LEASE, Delivery::Call)
        }
    }

    /// Leases of one duration for all services.
    pub fn all(lease: Duration, delivery: Delivery) -> Self {
        Self {
            by_service: BTreeMap::new(),
            other: remaining(lease, delivery),
        }
    }

    fn remaining(&self, service: &str) -> Duration {
        self.by_service.get(service).copied().unwrap_or(self.other)
    }
}

/// Time after which a lease of an earlier leader has ended for certain.
fn remaining(lease: Duration, delivery: Delivery) -> Duration {
    let lease = lease.mul_f64(CLOCK_DRIFT_FACTOR);
    match delivery {
        Delivery::Heartbeat => lease,
        // The last call of the earlier leader may arrive after the next one has begun.
        Delivery::Call => lease + PREDECESSOR_MARGIN,
    }
}

/// Leases of all backend servers, as far as known to this leader.
#[derive(Debug)]
pub struct Leases {
    inherited: InheritedLeases,
    /// When this VM became the leader.
    leading_since: Instant,
    /// Log index that was applied then; ranges with a higher fence were assigned by this leader.
    first_index: ids::LogIndex,
    heartbeats: HashMap<ids::ServerName, LastHeartbeat>,
    /// Ends of leases of incarnations that another one of their name has displaced.
    displaced: Vec<(Incarnation, Instant)>,
    released: BTreeMap<ids::ServiceName, Vec<ReleasedRange>>,
    calls: CallLeases,
}

impl Leases {
    /// Leases of a VM that became the leader at `leading_since`, when `first_index` was applied.
    pub fn new(
        inherited: InheritedLeases,
        leading_since: Instant,
        first_index: ids::LogIndex,
    ) -> Self {
        Self {
            inherited,
            leading_since,
            first_index,
            heartbeats: HashMap::new(),
            displaced: Vec::new(),
            released: BTreeMap::new(),
            calls: CallLeases::default(),
        }
    }

    /// Leases granted by calls.
    pub fn calls(&self) -> &CallLeases {
        &self.calls
    }

    /// Leases granted by calls.
    pub fn calls_mut(&mut self) -> &mut CallLeases {
        &mut self.calls
    }

    /// When this VM became the leader.
    pub fn leading_since(&self) -> Instant {
        self.leading_since
    }

    /// Log index that was applied when this VM became the leader.
    pub fn first_index(&self) -> ids::LogIndex {
        self.first_index
    }

    /// Records a heartbeat of a registered incarnation; `false` if a newer one was received a moment
    /// ago.
    ///
    /// After [`MAX_HEARTBEAT_GAP`] an older one counts again, as the sequence number of the newer one
    /// may be another writer's. It may also be a delayed copy, so it doesn't prove a release until
    /// heartbeats have followed it in order for [`TRUST_DELAY`]. Nor does one that may have been sent
    /// before this VM became the leader, as its predecessor may have granted keys since.
    /// `applied_index` is the log index applied on this VM.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        applied_index: ids::LogIndex,
        now: Instant,
    ) -> bool {
        let incarnation = heartbeat.incarnation();
        let previous = self.heartbeats.get(&incarnation.server);
        if let Some(other) = previous.filter(|l| l.incarnation != *incarnation) {
            self.displaced.retain(|(_, expires)| now <= *expires);
            let lease = other.expires.filter(|e| now <= *e);
            self.displaced
                .extend(lease.map(|e| (other.incarnation.clone(), e)));
        }
        let last = previous.filter(|l| l.incarnation == *incarnation);
        let outdated = last.is_some_and(|l| {
            heartbeat.sequence <= l.sequence && now < l.received + MAX_HEARTBEAT_GAP
        });
        if outdated {
            return false;
        }
        let in_order = last.filter(|l| heartbeat.sequence > l.sequence);
        let untrusted_since = in_order.and_then(|l| l.untrusted_since).unwrap_or(now);
        let is_trusted = last.is_none_or(|l| heartbeat.sequence > l.trusted_above)
            || now >= untrusted_since + TRUST_DELAY;
        let is_current = heartbeat.sent_after >= self.first_index;
        if !is_current {
            ::log::debug!(
                "event=fleet.heartbeat_outdated server={:?} sequence={} sent_after={} leads_after={}",
                incarnation.server,
                heartbeat.sequence,
                heartbeat.sent_after,
                self.first_index,
            );
        }
        let latest = LastHeartbeat {
            incarnation: incarnation.clone(),
            sequence: heartbeat.sequence,
            trusted_above: match last {
                Some(last) if !is_trusted => last.trusted_above,
                _ => heartbeat.sequence,
            },
            untrusted_since: Some(untrusted_since).filter(|_| !is_trusted),
            received: now,
            applied_index,
            held: heartbeat.held.clone().filter(|_| is_trusted && is_current),
            expires: last.and_then(|l| l.expires),
        };
        self.heartbeats
            .insert(Arc::clone(&incarnation.server), latest);
        for released in &heartbeat.released {
            self.record_token(&heartbeat.server.service, released.clone());
        }
        true
    }

    /// Keeps the handover token of released keys for their next owner.
    pub fn record_token(&mut self, service: &ids::ServiceName, range: ReleasedRange) {
        let released = self.released.entry(Arc::clone(service)).or_default();
        released.push(range);
        let excess = released.len().saturating_sub(MAX_RELEASED_RANGES);
        released.drain(..excess);
    }

    /// Records a lease granted in response to a heartbeat received at `received`.
    pub fn record_grant(
        &mut self,
        incarnation: &Incarnation,
        duration: Duration,
        received: Instant,
    ) {
        let last = self.heartbeats.get_mut(&incarnation.server);
        if let Some(last) = last.filter(|l| l.incarnation == *incarnation) {
            // An earlier heartbeat may be answered after a later one.
            last.expires = last
                .expires
                .max(Some(received + duration.mul_f64(CLOCK_DRIFT_FACTOR)));
        }
    }

    /// Drops the heartbeats of servers that `is_known` rejects.
    pub fn retain_heartbeats<F>(&mut self, is_known: F)
    where
        F: Fn(&str) -> bool,
    {
        self.heartbeats.retain(|server, _| is_known(server));
    }

    /// When the newest heartbeat of an incarnation was received, if this leader has one.
    pub fn last_heartbeat(&self, incarnation: &Incarnation) -> Option<Instant> {
        let last = self.heartbeats.get(&incarnation.server);
        last.filter(|l| l.incarnation == *incarnation)
            .map(|l| l.received)
    }

    /// Whether an incarnation has sent no heartbeat for `limit`; counts from the leader's start at
    /// the earliest.
    pub fn is_silent(&self, incarnation: &Incarnation, limit: Duration, now: Instant) -> bool {
        now >= self
            .last_heartbeat(incarnation)
            .unwrap_or(self.leading_since)
            + limit
    }

    /// Whether all leases of an incarnation have expired, or the incarnation has ended.
    pub fn has_expired(&self, incarnation: &Incarnation, store: &Store, now: Instant) -> bool {
        let Some(server) = store.incarnation(incarnation) else {
            return !self.is_leased(incarnation, now);
        };
        now > self.expiry(server) && self.calls.have_ended(incarnation, now)
    }

    /// End of the longest lease that an earlier leader may have granted on keys of a service.
    fn inherited_expiry(&self, service: &str) -> Instant {
        self.leading_since + self.inherited.remaining(service)
    }

    /// End of the longest lease in a heartbeat that this leader granted to a server, or an earlier
    /// one may have granted: the response with the later lease may not have arrived.
    fn expiry(&self, server: &Server) -> Instant {
        let incarnation = &server.incarnation;
        let last = self.newest(incarnation);
        let own = last.and_then(|l| match (l.expires, &l.held) {
            (Some(granted), _) => Some(granted),
            // The server was granted its keys, though this leader doesn't know by whom.
            (None, Some(held)) if !held.is_empty() && !self.calls.is_known(incarnation) => {
                Some(l.received + LONGEST_LEASE.mul_f64(CLOCK_DRIFT_FACTOR))
            }
            (None, _) => None,
        });
        let inherited = self.inherited_expiry(&server.service);
        own.map_or(inherited, |o| o.max(inherited))
    }

    /// Whether this leader granted a lease in a heartbeat that has not expired.
    fn is_leased(&self, incarnation: &Incarnation, now: Instant) -> bool {
        let last = self.newest(incarnation).and_then(|l| l.expires);
        let mut displaced = self.displaced.iter();
        last.is_some_and(|e| now <= e)
            || displaced.any(|(i, expires)| i == incarnation && now <= *expires)
    }

    fn newest(&self, incarnation: &Incarnation) -> Option<&LastHeartbeat> {
        let last = self.heartbeats.get(&incarnation.server);
        last.filter(|l| l.incarnation == *incarnation)
    }

    /// Whether no grant of an earlier leader can be in force or under way for a range of a service.
    pub fn is_settled(&self, service: &str, range: &KeyRange, now: Instant) -> bool {
        range.fence > self.first_index || now > self.inherited_expiry(service)
    }

    /// Whether it is proved that the present owner of a range no longer holds it.
    ///
    /// `delivery` is the present one of the service; leases from before a change of it count
    /// as well.
    pub fn is_free(
        &self,
        range: &KeyRange,
        store: &Store,
        delivery: Delivery,
        now: Instant,
    ) -> bool {
        let Some(owner) = &range.owner else {
            return true;
        };
        let Some(next) = &range.next else {
            return false;
        };
        let Some(server) = store.incarnation(owner) else {
            return !self.is_leased(owner, now);
        };
        let last = self.newest(owner);
        let has_grants = last.is_some_and(|l| l.expires.is_some());
        let no_lease = match delivery {
            Delivery::Call if !has_grants => self.is_settled(&server.service, range, now),
            Delivery::Call | Delivery::Heartbeat => now > self.expiry(server),
        };
        let holds_none = |held: &Vec<HeldRange>| !held.iter().any(|h| range.overlaps(h.from, h.to));
        let reported = last.is_some_and(|l| {
            l.applied_index >= next.since && l.held.as_ref().is_some_and(holds_none)
        });
        (reported || no_lease) && !self.calls.may_hold(owner, range, now)
    }

    /// Whether [`Self::is_free`] is likely to hold for a range by `until`.
    pub fn is_free_by(&self, range: &KeyRange, until: Instant, now: Instant) -> bool {
        let last = range.owner.as_ref().and_then(|owner| {
            let last = self.heartbeats.get(&owner.server);
            last.filter(|l| l.incarnation == *owner)
        });
        last.is_some_and(|l| {
            now < l.received + MAX_HEARTBEAT_GAP || l.expires.is_some_and(|e| e <= until)
        })
    }

    /// Splits a range by the handover tokens that were passed for its keys.
    pub fn split_by_token(&self, service: &str, range: &KeyRange) -> Vec<AssignedRange> {
        let released = self.released.get(service);
        let newest = released.into_iter().flatten().rev();
        let mut parts = Vec::new();
        let mut rest = vec![(range.from, range.to)];
        for released in newest {
            let (inside, outside) = intersect(&rest, released.from, released.to);
            let with_token = |(from, to)| AssignedRange {
                from,
                to,
                token: Some(HandoverToken::clone(&released.token)),
            };
            parts.extend(inside.into_iter().map(with_token));
            rest = outside;
        }
        parts.extend(rest.into_iter().map(|(from, to)| AssignedRange {
            from,
            to,
            token: None,
        }));
        parts.sort_by_key(|p| p.from);
        parts
    }

    /// Drops the handover tokens of keys that have a new owner.
    pub fn drop_tokens(&mut self, service: &str, from: Key, to: Key) {
        if let Some(released) = self.released.get_mut(service) {
            released.retain(|r| r.from < from || to < r.to);
        }
    }
}

/// First and last key.
type Bounds = (Key, Key);

/// Parts of `ranges` inside and outside of `from..=to`.
fn intersect(ranges: &[Bounds], from: Key, to: Key) -> (Vec<Bounds>, Vec<Bounds>) {
    let (mut inside, mut outside) = (Vec::new(), Vec::new());
    for &(first, last) in ranges {
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
