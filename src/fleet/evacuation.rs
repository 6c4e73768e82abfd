//! Evacuation of availability zones.
//!
//! From the start of an evacuation until its withdrawal, the backend servers of a zone get no
//! requests and no keys. The log keeps the evacuated zones; entry VMs learn of them by
//! [`updates`](super::updates). The servers of a zone give up their keys in groups, so that
//! the requests that wait for moving keys don't reach the other servers all at once.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::coordinator::{Coordinator, RequestError};
use super::frontend::Frontend;
use super::messages;
use super::model::{Incarnation, Server, ServerState};
use super::ranges::RangeMap;
use super::store::{Change, Effect, Store, Versioned};
use crate::ids;
use crate::timeline::Event;

/// Groups of servers that give up their keys one after another.
const GROUPS: usize = 3;

/// Time between two groups. The last one leaves after 0.4 s, and a move by heartbeats takes two
/// heartbeats, so that all keys have moved after 2.2 s; owners get requests for 2.5 s.
const GROUP_INTERVAL: Duration = Duration::from_millis(200);

/// Time after the end of an evacuation in which each running server sends a heartbeat, which says
/// whether it is cold.
const RETURN_CAUTION: Duration = Duration::from_secs(2);

/// Whether a zone is evacuated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEvacuation {
    /// Zone.
    pub zone: ids::ZoneName,
    /// Whether it is evacuated.
    pub active: bool,
}

/// Call that starts or ends the evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// Zone.
    pub zone: ids::ZoneName,
    /// Whether it is to be evacuated.
    pub active: bool,
    /// Log index that was applied on the VM that received the order before it was sent.
    ///
    /// An order has no version, and a suspended VM may read it after newer ones were accepted.
    #[serde(default)]
    pub sent_after: ids::LogIndex,
}

/// Outcome of a call that starts or ends an evacuation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The log has the change.
    Accepted,
    /// No VM or backend server is in the zone; with the known zones.
    UnknownZone(Vec<ids::ZoneName>),
    /// The log has an order for the zone that may be newer.
    Outdated,
}

/// Why a call was refused, as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownZone<'a> {
    /// Zone of the call; may be empty.
    pub zone: &'a str,
    /// Zones that are known.
    pub known: &'a [ids::ZoneName],
}

impl fmt::Display for UnknownZone<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known = self.known.join(", ");
        match self.zone {
            "" => write!(f, "no zone is named; the known zones are {known}"),
            zone => write!(f, "zone {zone:?} is unknown; the known zones are {known}"),
        }
    }
}

impl Store {
    /// Starts or ends the evacuation of a zone, unless that would undo an order which may be newer.
    ///
    /// An order that changes nothing counts as well, whenever it was sent, since it is acknowledged.
    pub(super) fn set_evacuated(
        &mut self,
        index: ids::LogIndex,
        zone: ids::ZoneName,
        active: bool,
        sent_after: ids::LogIndex,
    ) -> Effect {
        let is_changed = self.is_evacuated(&zone) != active;
        if is_changed && self.last_order(&zone) > sent_after {
            return Effect::Outdated;
        }
        self.evacuation_orders.insert(Arc::clone(&zone), index);
        if is_changed {
            let versioned = Versioned {
                value: active,
                changed: index,
            };
            self.evacuations.insert(zone, versioned);
        }
        Effect::Applied
    }

    /// Log index of the last order for a zone; 0 if there was none.
    fn last_order(&self, zone: &str) -> ids::LogIndex {
        let changed = self.evacuations.get(zone).map(|e| e.changed);
        let ordered = self.evacuation_orders.get(zone).copied();
        ordered.max(changed).unwrap_or_default()
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.get(zone).is_some_and(|e| e.value)
    }

    /// Whether an incarnation is ready and in no evacuated zone.
    pub fn accepts_keys(&self, incarnation: &Incarnation) -> bool {
        let server = self.incarnation(incarnation);
        server.is_some_and(|s| s.state == ServerState::Ready && !self.is_evacuated(&s.zone))
    }

    /// Zones of VMs, of backend servers and of earlier evacuations, in order.
    pub fn zones(&self) -> Vec<ids::ZoneName> {
        let servers = self.servers.values().map(|s| &s.value.zone);
        let zones = servers.chain(self.vms().map(|v| &v.zone));
        let mut zones: Vec<_> = zones.chain(self.evacuations.keys()).cloned().collect();
        zones.sort();
        zones.dedup();
        zones
    }
}

/// Evacuations that this leader has seen, with the time at which it first saw each.
#[derive(Debug, Default)]
pub struct Progress {
    started: HashMap<ids::ZoneName, (ids::LogIndex, Instant)>,
    /// Evacuations that ended, with the time at which this leader first saw the end.
    ended: HashMap<ids::ZoneName, (ids::LogIndex, Instant)>,
}

impl Progress {
    /// Follows the evacuations of the log.
    pub fn update(&mut self, store: &Store, now: Instant) {
        let follow = |known: &HashMap<ids::ZoneName, (ids::LogIndex, Instant)>, active: bool| {
            let zones = store.evacuations.iter().filter(|(_, e)| e.value == active);
            let zones = zones.map(|(zone, e)| {
                let known = known.get(zone).filter(|k| k.0 == e.changed);
                (Arc::clone(zone), known.copied().unwrap_or((e.changed, now)))
            });
            zones.collect()
        };
        self.started = follow(&self.started, true);
        self.ended = follow(&self.ended, false);
    }

    /// Whether a zone was returned so recently that its servers may be cold without having said so.
    pub fn is_just_returned(&self, zone: &str, now: Instant) -> bool {
        let ended = self.ended.get(zone);
        ended.is_some_and(|(_, at)| now < *at + RETURN_CAUTION)
    }

    /// Number of groups of a zone that have to give up their keys; all of those of an evacuation
    /// that is part of the log up to `first_index`, with which this leader began.
    fn due_groups(&self, zone: &str, first_index: ids::LogIndex, now: Instant) -> usize {
        match self.started.get(zone) {
            Some((index, started)) if *index > first_index => {
                let passed = now.saturating_duration_since(*started).as_millis();
                let due = passed / GROUP_INTERVAL.as_millis();
                usize::try_from(due).map_or(GROUPS, |due| due.saturating_add(1))
            }
            _ => GROUPS,
        }
    }

    /// Names of the servers of a service that are in an evacuated zone and keep their keys for
    /// the moment.
    ///
    /// A server that is named as a next owner doesn't, so that no key moves into the zone.
    pub fn retained(
        &self,
        store: &Store,
        service: &str,
        first_index: ids::LogIndex,
        now: Instant,
    ) -> Vec<ids::ServerName> {
        if self.started.is_empty() {
            return Vec::new();
        }
        let ranges = || store.ranges(service).into_iter().flat_map(RangeMap::iter);
        let owns = |s: &Server| {
            ranges().any(|r| r.next.is_none() && r.owner.as_ref() == Some(&s.incarnation))
        };
        let is_next = |s: &Server| {
            let mut next = ranges().filter_map(|r| r.next.as_ref());
            next.any(|n| n.incarnation == s.incarnation)
        };
        let mut retained = Vec::new();
        for zone in self.started.keys() {
            let due = self.due_groups(zone, first_index, now);
            let in_zone = store.servers_of(service).filter(|s| s.zone == *zone);
            let later = in_zone.enumerate().filter(|(i, _)| i % GROUPS >= due);
            let staying = later.filter(|(_, s)| owns(s) && !is_next(s));
            retained.extend(staying.map(|(_, s)| Arc::clone(&s.incarnation.server)));
        }
        retained
    }
}

impl Coordinator {
    /// Starts or ends the evacuation of a zone.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if the change was not or may not have been committed.
    pub async fn evacuate(&self, order: EvacuationOrder) -> Result<Outcome, RequestError> {
        self.log.leading_since().ok_or(RequestError::NotLeader)?;
        let known = self.with_fleet(Store::zones);
        let EvacuationOrder {
            zone,
            active,
            sent_after,
        } = order;
        if !known.contains(&zone) {
            return Ok(Outcome::UnknownZone(known));
        }
        let changes = self.with_fleet(|store| store.is_evacuated(&zone) != active);
        let (kind, change) = if active {
            let zone = Arc::clone(&zone);
            ("fleet.evacuate", Change::Evacuate { zone, sent_after })
        } else {
            let zone = Arc::clone(&zone);
            let change = Change::EndEvacuation { zone, sent_after };
            ("fleet.evacuate_end", change)
        };
        // A call that is sent again is proposed as well: its acknowledgement says that the log has it.
        match self.propose_ordered(change).await? {
            Effect::Applied => {
                if changes {
                    self.journal.record(Event::new(kind).zone(&zone));
                    self.request_pass();
                }
                Ok(Outcome::Accepted)
            }
            Effect::Outdated => {
                let event = Event::new("fleet.evacuate_outdated").zone(&zone);
                let detail = format!("active={active} sent_after={sent_after}");
                self.journal.record(event.detail(&detail));
                Ok(Outcome::Outdated)
            }
        }
    }
}

impl Frontend {
    /// Starts or ends the evacuation of a zone.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if the outcome is unknown or the leader was not reached.
    pub async fn evacuate(&self, order: EvacuationOrder) -> Result<Outcome, RequestError> {
        if self.is_leader() {
            return self.coordinator.evacuate(order).await;
        }
        self.forward(messages::EVACUATION, &order).await
    }
}
