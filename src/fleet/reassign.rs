//! Reassignment of key ranges by the leader's coordinator.
//!
//! `start_moves` names the next owners according to a [`plan`], `release_ranges` records
//! that an owner has released ranges, and `assign_ranges` makes the next owner the owner
//! once nobody else can hold the ranges.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::coordinator::{Coordinator, RequestError, SILENCE_LIMIT};
use super::evacuation::Progress;
use super::leases::Leases;
use super::messages::{GrantedRange, Lease};
use super::model::{Incarnation, KeyRange, Server, ServerState};
use super::plan::{self, Candidate};
use super::ranges::RangeMap;
use super::store::{Change, Store};
use crate::clock;
use crate::ids;
use crate::table::Delivery;
use crate::timeline::Event;

/// Bounds of relative latencies; one beyond them means a server in trouble, not a slow one.
const LATENCY_RATIO_BOUNDS: (f64, f64) = (0.4, 3.0);

impl Coordinator {
    /// Plans moves and names the next owners; `rebalance` also moves keys just to even out load.
    pub(super) async fn start_moves(
        &self,
        leading_since: Instant,
        service: &ids::ServiceName,
        rebalance: bool,
    ) -> Result<(), RequestError> {
        let moves = {
            let now = clock::now();
            let leases = self.leases(leading_since);
            let shares = self.loads.borrow().shares(service);
            self.with_fleet(|store| {
                let none = RangeMap::default();
                let ranges = store.ranges(service).unwrap_or(&none);
                let latencies = self.latencies.borrow();
                let mut evacuations = self.evacuations.borrow_mut();
                evacuations.update(store, now);
                let spares_cold = self.limits_cold(service);
                let mut candidates =
                    candidates(store, &leases, &latencies, &evacuations, service, now);
                if spares_cold {
                    plan::spare_cold(&mut candidates, |i| is_cold(store, &evacuations, i, now));
                }
                let interval = self.rebalance_interval(service);
                let keys = plan::balance_keys(candidates.len(), interval);
                plan::plan_bounded(ranges, &candidates, &shares, rebalance.then_some(keys))
            })
        };
        if moves.is_empty() {
            return Ok(());
        }
        let detail = format!("{} key ranges even={rebalance}", moves.len());
        let event = Event::new("fleet.release").service(service);
        self.journal.record(event.detail(&detail));
        let mut by_owner: BTreeMap<Incarnation, Vec<_>> = BTreeMap::new();
        for moved in moves {
            by_owner
                .entry(moved.next)
                .or_default()
                .push((moved.from, moved.to));
        }
        self.propose_fleet(Change::Reassign {
            service: Arc::clone(service),
            ranges: by_owner.into_iter().collect(),
        })
        .await
    }

    /// Records that an incarnation has released ranges that are being reassigned.
    pub(super) async fn release_ranges(
        &self,
        leading_since: Instant,
        service: &ids::ServiceName,
        incarnation: &Incarnation,
    ) -> Result<(), RequestError> {
        let owned = |r: &KeyRange| r.next.is_some() && r.owner.as_ref() == Some(incarnation);
        let ranges = self.free_ranges(leading_since, service, owned);
        if ranges.is_empty() {
            return Ok(());
        }
        self.propose_fleet(Change::Release {
            service: Arc::clone(service),
            incarnation: incarnation.clone(),
            ranges: ranges.iter().map(|r| (r.from, r.to)).collect(),
        })
        .await?;
        self.wake_delayed(leading_since, service);
        Ok(())
    }

    /// Assigns the free ranges whose next owner is `incarnation`.
    pub(super) async fn assign_ranges(
        &self,
        leading_since: Instant,
        service: &ids::ServiceName,
        incarnation: &Incarnation,
    ) -> Result<(), RequestError> {
        let awaited = |r: &KeyRange| {
            r.next
                .as_ref()
                .is_some_and(|n| n.incarnation == *incarnation)
        };
        let ranges = self.free_ranges(leading_since, service, awaited);
        let is_joinable = || {
            let ranges = |s: &Store| {
                s.ranges(service)
                    .is_some_and(|r| r.is_joinable(incarnation))
            };
            self.has_excess_ranges(service, incarnation, 0) && self.with_fleet(ranges)
        };
        if ranges.is_empty() && !is_joinable() {
            return Ok(());
        }
        self.assign(leading_since, service, incarnation, &ranges)
            .await
    }

    /// Whether the ranges of an incarnation, with `added` new ones, are to be joined: a response to a
    /// heartbeat names all of them.
    pub(super) fn has_excess_ranges(
        &self,
        service: &str,
        incarnation: &Incarnation,
        added: usize,
    ) -> bool {
        let owned = |s: &Store| s.ranges(service).map_or(0, |r| r.owned_count(incarnation));
        // Grants by calls name the fence of each range, so theirs stay apart.
        self.delivery(service) == Delivery::Heartbeat
            && self.with_fleet(owned) + added > plan::JOINED_RANGES
    }

    /// Waits until `deadline` for ranges whose next owner is `incarnation` to become free, and
    /// assigns them.
    ///
    /// Otherwise they would have no owner until its next heartbeat.
    pub(super) async fn await_ranges(
        &self,
        leading_since: Instant,
        service: &ids::ServiceName,
        incarnation: &Incarnation,
        deadline: Instant,
    ) -> Result<(), RequestError> {
        while self.expects_ranges(leading_since, service, incarnation, deadline) {
            let left = deadline.saturating_duration_since(clock::now());
            if left.is_zero() {
                return Ok(());
            }
            let notify = {
                let mut delayed = self.delayed.borrow_mut();
                Rc::clone(delayed.entry(incarnation.clone()).or_default())
            };
            if !notify.wait(left).await {
                self.delayed
                    .borrow_mut()
                    .retain(|_, n| n.waiter_count() > 0);
            }
            self.assign_ranges(leading_since, service, incarnation)
                .await?;
        }
        Ok(())
    }

    /// Wakes the delayed responses that wait for ranges of a service that are free now.
    pub(super) fn wake_delayed(&self, leading_since: Instant, service: &str) {
        if self.delayed.borrow().is_empty() {
            return;
        }
        for range in self.free_ranges(leading_since, service, |r| r.next.is_some()) {
            let notify = range
                .next
                .and_then(|n| self.delayed.borrow_mut().remove(&n.incarnation));
            if let Some(notify) = notify {
                notify.wake();
            }
        }
    }

    /// Whether an incarnation is likely to get ranges by `deadline` and has none to release.
    fn expects_ranges(
        &self,
        leading_since: Instant,
        service: &str,
        incarnation: &Incarnation,
        deadline: Instant,
    ) -> bool {
        let now = clock::now();
        let leases = self.leases(leading_since);
        let to_release = |r: &KeyRange| r.next.is_some() && r.owner.as_ref() == Some(incarnation);
        let to_get = |r: &KeyRange| {
            r.next
                .as_ref()
                .is_some_and(|n| n.incarnation == *incarnation)
                && leases.is_free_by(r, deadline, now)
        };
        self.with_fleet(|store| {
            let ranges = || store.ranges(service).into_iter().flat_map(RangeMap::iter);
            ranges().any(to_get) && !ranges().any(to_release)
        })
    }

    /// Wanted ranges whose present owner is proved to hold them no longer.
    pub(super) fn free_ranges<F>(
        &self,
        leading_since: Instant,
        service: &str,
        wanted: F,
    ) -> Vec<KeyRange>
    where
        F: Fn(&KeyRange) -> bool,
    {
        let now = clock::now();
        let leases = self.leases(leading_since);
        let delivery = self.delivery(service);
        self.with_fleet(|store| {
            let ranges = store.ranges(service).into_iter().flat_map(RangeMap::iter);
            let free = ranges.filter(|r| wanted(r) && leases.is_free(r, store, delivery, now));
            free.cloned().collect()
        })
    }
}

/// Backend servers that may own keys: ready ones that sent a heartbeat lately or own keys under
/// a lease that has not expired. Those of an evacuated zone only keep keys, until their turn to give
/// them up.
pub(super) fn candidates(
    store: &Store,
    leases: &Leases,
    latencies: &HashMap<ids::ServerName, f64>,
    evacuations: &Progress,
    service: &str,
    now: Instant,
) -> Vec<Candidate> {
    let is_silent = |s: &Server| {
        leases.is_silent(&s.incarnation, SILENCE_LIMIT, now)
            || leases.calls().is_unreachable(&s.incarnation, now)
    };
    let owns_keys = |s: &Server| {
        let mut ranges = store.ranges(service).into_iter().flat_map(RangeMap::iter);
        ranges.any(|r| r.owner.as_ref() == Some(&s.incarnation) && r.next.is_none())
    };
    let is_alive = |s: &Server| {
        !is_silent(s) || (owns_keys(s) && !leases.has_expired(&s.incarnation, store, now))
    };
    let retained = evacuations.retained(store, service, leases.first_index(), now);
    let may_own =
        |s: &Server| !store.is_evacuated(&s.zone) || retained.contains(&s.incarnation.server);
    let ready = store
        .servers_of(service)
        .filter(|s| s.state == ServerState::Ready && may_own(s) && is_alive(s));
    let latency_ratio = |incarnation: &Incarnation| {
        let ratio = latencies.get(&incarnation.server).copied().unwrap_or(1.0);
        ratio.clamp(LATENCY_RATIO_BOUNDS.0, LATENCY_RATIO_BOUNDS.1)
    };
    let candidate = |s: &Arc<Server>| Candidate {
        incarnation: s.incarnation.clone(),
        weight: f64::from(s.slots.max(1)) / latency_ratio(&s.incarnation),
        accepts_keys: !leases.calls().is_failing(&s.incarnation, now)
            && !store.is_evacuated(&s.zone),
    };
    ready.map(candidate).collect()
}

/// Whether an incarnation is cold by the log, or may be as its zone was just returned.
fn is_cold(store: &Store, evacuations: &Progress, incarnation: &Incarnation, now: Instant) -> bool {
    let server = store.incarnation(incarnation);
    server.is_some_and(|s| !s.warmup.is_zero() || evacuations.is_just_returned(&s.zone, now))
}

/// Lease on all ranges that an incarnation owns and that stay with it.
pub(super) fn lease(
    store: &Store,
    service: &str,
    incarnation: &Incarnation,
    duration: Duration,
) -> Lease {
    let ranges = store.ranges(service).into_iter().flat_map(RangeMap::iter);
    let owned = ranges.filter(|r| r.owner.as_ref() == Some(incarnation) && r.next.is_none());
    let grant = |r: &KeyRange| GrantedRange {
        from: r.from,
        to: r.to,
        fence: r.fence,
        token: r.token.clone(),
    };
    Lease {
        grants: owned.map(grant).collect(),
        duration,
    }
}
