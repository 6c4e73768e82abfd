//! How keys change hands, on the leader's coordinator.
//!
//! [`Coordinator::settle`] names the next ranges that a [plan](plan) finds,
//! [`Coordinator::free`] notes that a owner has let go, and [`Coordinator::assign`] hands the
//! keys to the next one once nobody else can hold them.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::coordinator::{Coordinator, QUIET_AFTER, RequestError};
use super::leases::Leases;
use super::messages::{GrantedRange, Lease};
use super::model::{Incarnation, KeyRange, Server, ServerState};
use super::plan::{self, Candidate};
use super::ranges::RangeMap;
use super::store::{Change, Store};
use crate::clock;
use crate::ids;
use crate::timeline::Event;

/// Paces that are told apart; what lies beyond is a server in trouble, not a slow one.
const PACES: (f64, f64) = (0.4, 3.0);

impl Coordinator {
    /// Names new ranges where that is due.
    pub(super) async fn settle(
        &self,
        since: Instant,
        service: &ids::ServiceName,
        even: bool,
    ) -> Result<(), RequestError> {
        let spans = {
            let now = clock::now();
            let leases = self.leases(since);
            let shares = self.loads.borrow().shares(service);
            self.fleet_ref(|store| {
                let none = RangeMap::default();
                let ranges = store.ranges(service).unwrap_or(&none);
                let latencies = self.latencies.borrow();
                let candidates = candidates(store, &leases, &latencies, service, now);
                plan::plan(ranges, &candidates, &shares, even)
            })
        };
        if spans.is_empty() {
            return Ok(());
        }
        let detail = format!("{} spans even={even}", spans.len());
        let event = Event::new("fleet.release").service(service);
        self.journal.record(event.detail(&detail));
        let mut named: BTreeMap<Incarnation, Vec<_>> = BTreeMap::new();
        for span in spans {
            named
                .entry(span.next)
                .or_default()
                .push((span.from, span.to));
        }
        self.fleet(Change::Reassign {
            service: Arc::clone(service),
            ranges: named.into_iter().collect(),
        })
        .await
    }

    /// Notes that a incarnation has let go of keys that another is to hold.
    pub(super) async fn free(
        &self,
        since: Instant,
        service: &ids::ServiceName,
        incarnation: &Incarnation,
    ) -> Result<(), RequestError> {
        let own = |r: &KeyRange| r.next.is_some() && r.owner.as_ref() == Some(incarnation);
        let ranges = self.free_ranges(since, service, own);
        if ranges.is_empty() {
            return Ok(());
        }
        self.fleet(Change::Release {
            service: Arc::clone(service),
            incarnation: incarnation.clone(),
            ranges: ranges.iter().map(|r| (r.from, r.to)).collect(),
        })
        .await?;
        self.wake_waiting(since, service);
        Ok(())
    }

    /// Hands to a incarnation the keys that it is the next owner of and that are free.
    pub(super) async fn assign(
        &self,
        since: Instant,
        service: &ids::ServiceName,
        incarnation: &Incarnation,
    ) -> Result<(), RequestError> {
        let named = |r: &KeyRange| {
            r.next
                .as_ref()
                .is_some_and(|n| n.incarnation == *incarnation)
        };
        let ranges = self.free_ranges(since, service, named);
        if ranges.is_empty() {
            return Ok(());
        }
        let spans: Vec<_> = {
            let mut leases = self.leases(since);
            let handed = ranges
                .iter()
                .flat_map(|r| leases.split_by_token(service, r));
            let spans = handed.collect();
            for range in &ranges {
                leases.drop_tokens(service, range.from, range.to);
            }
            spans
        };
        let event = Event::new("fleet.assign")
            .service(service)
            .server(&incarnation.server);
        self.journal
            .record(event.detail(&format!("{} spans", spans.len())));
        self.fleet(Change::Assign {
            service: Arc::clone(service),
            incarnation: incarnation.clone(),
            ranges: spans,
        })
        .await
    }

    /// Hands to a incarnation the keys that it is the next owner of and that become free until `end`.
    ///
    /// Otherwise they would have no owner until its next heartbeat.
    pub(super) async fn await_keys(
        &self,
        since: Instant,
        service: &ids::ServiceName,
        incarnation: &Incarnation,
        end: Instant,
    ) -> Result<(), RequestError> {
        while self.expects_keys(since, service, incarnation, end) {
            let left = end.saturating_duration_since(clock::now());
            if left.is_zero() {
                return Ok(());
            }
            let waiting = {
                let mut waiting = self.waiting.borrow_mut();
                Rc::clone(waiting.entry(incarnation.clone()).or_default())
            };
            if !waiting.wait(left).await {
                self.waiting.borrow_mut().retain(|_, w| w.waiting() > 0);
            }
            self.assign(since, service, incarnation).await?;
        }
        Ok(())
    }

    /// Wakes the heartbeats that wait for keys of a service that are free now.
    pub(super) fn wake_waiting(&self, since: Instant, service: &str) {
        if self.waiting.borrow().is_empty() {
            return;
        }
        for range in self.free_ranges(since, service, |r| r.next.is_some()) {
            let woken = range
                .next
                .and_then(|n| self.waiting.borrow_mut().remove(&n.incarnation));
            if let Some(woken) = woken {
                woken.wake();
            }
        }
    }

    /// Whether a incarnation is likely to get keys by `end`, and has none to let go of before that.
    fn expects_keys(
        &self,
        since: Instant,
        service: &str,
        incarnation: &Incarnation,
        end: Instant,
    ) -> bool {
        let now = clock::now();
        let leases = self.leases(since);
        let lets_go = |r: &KeyRange| r.next.is_some() && r.owner.as_ref() == Some(incarnation);
        let gets = |r: &KeyRange| {
            r.next
                .as_ref()
                .is_some_and(|n| n.incarnation == *incarnation)
                && leases.is_free_by(r, end, now)
        };
        self.fleet_ref(|store| {
            let ranges = || store.ranges(service).into_iter().flat_map(RangeMap::iter);
            ranges().any(gets) && !ranges().any(lets_go)
        })
    }

    /// RangeMap that are wanted and whose owner is proved to hold them no more.
    fn free_ranges<F>(&self, since: Instant, service: &str, wanted: F) -> Vec<KeyRange>
    where
        F: Fn(&KeyRange) -> bool,
    {
        let now = clock::now();
        let leases = self.leases(since);
        self.fleet_ref(|store| {
            let ranges = store.ranges(service).into_iter().flat_map(RangeMap::iter);
            let free = ranges.filter(|r| wanted(r) && leases.is_free(r, store, now));
            free.cloned().collect()
        })
    }
}

/// Backend servers that may hold keys: those that take requests and whose lease lives.
fn candidates(
    store: &Store,
    leases: &Leases,
    latencies: &HashMap<ids::ServerName, f64>,
    service: &str,
    now: Instant,
) -> Vec<Candidate> {
    let quiet = |s: &Server| leases.is_silent(&s.incarnation, QUIET_AFTER, now);
    let holds = |s: &Server| {
        let mut ranges = store.ranges(service).into_iter().flat_map(RangeMap::iter);
        ranges.any(|r| r.owner.as_ref() == Some(&s.incarnation) && r.next.is_none())
    };
    let lives =
        |s: &Server| !quiet(s) || (holds(s) && !leases.has_expired(&s.incarnation, store, now));
    let ready = store
        .servers_of(service)
        .filter(|s| s.state == ServerState::Ready && lives(s));
    let latency = |incarnation: &Incarnation| {
        let latency = latencies.get(&incarnation.server).copied().unwrap_or(1.0);
        latency.clamp(PACES.0, PACES.1)
    };
    let candidate = |s: &Arc<Server>| Candidate {
        incarnation: s.incarnation.clone(),
        weight: f64::from(s.slots.max(1)) / latency(&s.incarnation),
    };
    ready.map(candidate).collect()
}

/// All that a incarnation is to hold.
pub(super) fn lease(
    store: &Store,
    service: &str,
    incarnation: &Incarnation,
    length: Duration,
) -> Lease {
    let ranges = store.ranges(service).into_iter().flat_map(RangeMap::iter);
    let own = ranges.filter(|r| r.owner.as_ref() == Some(incarnation) && r.next.is_none());
    let grant = |r: &KeyRange| GrantedRange {
        from: r.from,
        to: r.to,
        fence: r.fence,
        token: r.token.clone(),
    };
    Lease {
        grants: own.map(grant).collect(),
        duration: length,
    }
}
