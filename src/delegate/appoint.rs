//! The leader's decisions about carriers and zones.
//!
//! The [`Office`] keeps what only the leader of the control VMs knows: when it
//! last answered each carrier, which entry VMs it heard, and what they say of
//! their backend servers. All of it is forgotten on a new election, so a new
//! leader first waits out what the one before it may have answered.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::balance;
use super::choose;
use super::known::{Known, Standing};
use super::messages::{
    Delegation, DutyReport, EntryVm, Heard, RenewAnswer, RenewRequest, Renewed, WatchRequest,
};
use super::store::{Change, Share, Store};
use crate::document::Document;
use crate::ids;
use crate::keys;
use crate::timing;

/// Silence after which a carrier is replaced or an entry VM is no longer in touch.
pub const SILENCE: Duration = timing::CARRIER_LEASE.saturating_add(timing::CLOCK_ALLOWANCE);

/// Silence after which an entry VM votes for no carrier.
const VOTER_SILENCE: Duration = Duration::from_secs(2);

/// Silence after which an entry VM is forgotten.
const FORGET: Duration = Duration::from_mins(10);

/// Time from the first announcement of a service to its first delegation.
const SETTLE: Duration = Duration::from_secs(1);

/// Time between decisions after which this VM was frozen and has missed what it was told.
const FROZEN: Duration = Duration::from_millis(100);

/// Time after which a carrier that gave up its duty may get it again, if no other can.
const AGAIN: Duration = Duration::from_millis(500);

/// Time after which a change that is still due is proposed again.
const PROPOSE_AGAIN: Duration = Duration::from_millis(500);

/// A service and a zone.
pub type Key = (ids::ServiceName, ids::ZoneName);

/// What the leader needs to know of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Described {
    /// Service.
    pub service: ids::ServiceName,
    /// How long a zone that is cut off keeps its keys.
    pub term: Duration,
    /// Number of spans that the key space is first cut into.
    pub spans: u64,
    /// Longest deadline of a request.
    pub longest: Duration,
}

impl Described {
    /// What a document says.
    pub fn of(document: &Document) -> Self {
        let deadlines = document.routes.iter().map(|r| r.deadline);
        Self {
            service: Arc::clone(&document.service),
            term: document.delegation_term,
            spans: document.placement.spans,
            longest: deadlines.max().unwrap_or_default(),
        }
    }
}

/// The leader's knowledge of one election.
#[derive(Debug, Default)]
pub struct Office {
    since: Option<Instant>,
    decided: Option<Instant>,
    /// Since when decisions were made without a gap.
    awake: Option<Instant>,
    entries: BTreeMap<ids::VmName, HeardEntry>,
    first_heard: BTreeMap<ids::ServiceName, Instant>,
    pub(super) duties: BTreeMap<Key, Known>,
    pub(super) filling: BTreeSet<Key>,
    proposed: Vec<(Instant, Change)>,
}

#[derive(Debug)]
struct HeardEntry {
    at: Instant,
    entry: EntryVm,
    services: Vec<Heard>,
}

impl Office {
    /// Decides what has to change now; called by the leader every few milliseconds.
    pub fn decide(
        &mut self,
        now: Instant,
        leading_since: Instant,
        store: &Store,
        services: &[Described],
    ) -> Vec<Change> {
        self.begin(leading_since);
        self.notice_gap(now);
        self.learn(now, store);
        let mut changes = self.entry_changes(now, store);
        for described in services {
            let first = store.delegations(&described.service).next().is_none();
            if first {
                changes.extend(self.first(now, store, described));
                continue;
            }
            let before = changes.len();
            for delegation in store.delegations(&described.service) {
                changes.extend(self.carrier_change(now, store, described, delegation));
            }
            if changes.len() == before {
                changes.extend(balance::moves(self, now, store, described));
            }
        }
        self.not_lately_proposed(now, changes)
    }

    /// Takes in that an entry VM asked for news.
    pub fn watch_seen(&mut self, now: Instant, request: &WatchRequest) {
        for heard in request.heard.iter().filter(|h| h.servers > 0) {
            let service = Arc::clone(&heard.service);
            self.first_heard.entry(service).or_insert(now);
        }
        let seen = HeardEntry {
            at: now,
            entry: request.entry.clone(),
            services: request.heard.clone(),
        };
        self.entries.insert(Arc::clone(&request.entry.vm), seen);
    }

    /// When the leader last answered a renewal of a service in a zone.
    pub fn renewed(&self, service: &ids::ServiceName, zone: &ids::ZoneName) -> Option<Instant> {
        let key = (Arc::clone(service), Arc::clone(zone));
        self.duties.get(&key)?.renewed
    }

    /// Answers a carrier; the leader has confirmed its leadership since the request arrived.
    pub fn renew(&mut self, now: Instant, request: &RenewRequest, store: &Store) -> RenewAnswer {
        self.learn(now, store);
        let duties = request.duties.iter();
        RenewAnswer {
            renewed: duties
                .filter_map(|duty| self.renew_one(now, request, duty, store))
                .collect(),
        }
    }

    /// Whether an entry VM was heard within `silence`, the time before the election left out.
    fn heard_within(&self, now: Instant, vm: &str, silence: Duration) -> bool {
        let heard = self.entries.get(vm).map(|e| e.at).max(self.since);
        heard.is_some_and(|at| now < at + silence)
    }

    /// Entry VMs of a zone that can carry a duty.
    pub(super) fn in_touch(&self, now: Instant, store: &Store, zone: &str) -> Vec<ids::VmName> {
        let fit = |e: &&EntryVm| {
            let heard = self.entries.get(&e.vm);
            let fresh = heard.is_some_and(|h| now < h.at + SILENCE && !h.entry.stopping);
            *e.zone == *zone && fresh
        };
        let entries = store.entries().filter(fit);
        entries.map(|e| Arc::clone(&e.vm)).collect()
    }

    /// Entry VMs of a zone that can vote.
    pub(super) fn alive(&self, now: Instant, store: &Store, zone: &str) -> Vec<ids::VmName> {
        let fit = |e: &&EntryVm| {
            *e.zone == *zone && !e.stopping && self.heard_within(now, &e.vm, VOTER_SILENCE)
        };
        let entries = store.entries().filter(fit);
        entries.map(|e| Arc::clone(&e.vm)).collect()
    }

    /// Servers and slots of a service in each zone, as entry VMs heard them lately.
    pub(super) fn heard(&self, now: Instant, service: &str) -> BTreeMap<ids::ZoneName, (u32, u32)> {
        let mut zones: BTreeMap<_, (u32, u32)> = BTreeMap::new();
        let fresh = self.entries.values().filter(|e| now < e.at + SILENCE);
        for entry in fresh {
            let heard = entry.services.iter();
            for heard in heard.filter(|h| &*h.service == service && h.servers > 0) {
                let zone = zones.entry(Arc::clone(&entry.entry.zone)).or_default();
                zone.0 = zone.0.saturating_add(heard.servers);
                zone.1 = zone.1.saturating_add(heard.slots);
            }
        }
        zones
    }

    fn begin(&mut self, leading_since: Instant) {
        if self.since != Some(leading_since) {
            *self = Self {
                since: Some(leading_since),
                ..Self::default()
            };
        }
    }

    fn notice_gap(&mut self, now: Instant) {
        if self.decided.is_none_or(|at| now > at + FROZEN) {
            self.awake = Some(now);
        }
        self.decided = Some(now);
    }

    fn learn(&mut self, now: Instant, store: &Store) {
        for delegation in store.all() {
            let key = key(delegation);
            match self.duties.get_mut(&key) {
                Some(known) if known.epoch == delegation.epoch => {}
                Some(known) => known.follow(now, delegation),
                None => {
                    self.duties.insert(key, Known::new(now, delegation));
                }
            }
        }
    }

    fn renew_one(
        &mut self,
        now: Instant,
        request: &RenewRequest,
        duty: &DutyReport,
        store: &Store,
    ) -> Option<Renewed> {
        let delegation = store.delegation(&duty.service, &duty.zone)?;
        let known = self.duties.get_mut(&key(delegation))?;
        let stands = delegation.epoch == duty.epoch && delegation.carrier == request.vm;
        if !stands {
            return None;
        }
        known.renew(now, request, duty)
    }

    fn entry_changes(&self, now: Instant, store: &Store) -> Vec<Change> {
        let heard = self.entries.values().filter(|e| now < e.at + SILENCE);
        let changed = heard.filter(|e| store.entry(&e.entry.vm) != Some(&e.entry));
        let seen = changed.map(|e| Change::Seen {
            entry: e.entry.clone(),
        });
        let silent = store
            .entries()
            .filter(|e| !self.heard_within(now, &e.vm, FORGET));
        let gone = silent.map(|e| Change::Gone {
            vm: Arc::clone(&e.vm),
        });
        seen.chain(gone).collect()
    }

    fn first(&self, now: Instant, store: &Store, described: &Described) -> Option<Change> {
        let service = &described.service;
        let heard_at = self.first_heard.get(service)?;
        if now < *heard_at + SETTLE {
            return None;
        }
        let zones = self.heard(now, service);
        let able = zones.into_iter().filter_map(|(zone, (_, slots))| {
            let appointment = self.appointment(now, store, described, &zone)?;
            Some((appointment, u64::from(slots)))
        });
        let able: Vec<_> = able.collect();
        let all_full = able.iter().all(|(_, slots)| *slots == 0);
        let weights: Vec<_> = able.iter().map(|(_, s)| s + u64::from(all_full)).collect();
        let spans = keys::Span::cut(described.spans);
        let runs = choose::deal(&spans, &weights);
        let shares = able.into_iter().zip(runs);
        let shares: Vec<_> = shares
            .map(|((appointment, _), spans)| Share { appointment, spans })
            .collect();
        (!shares.is_empty()).then(|| Change::First {
            service: Arc::clone(service),
            shares,
        })
    }

    /// Carrier and voters for a zone that has none.
    pub(super) fn appointment(
        &self,
        now: Instant,
        store: &Store,
        described: &Described,
        zone: &ids::ZoneName,
    ) -> Option<super::store::Appointment> {
        let service = &described.service;
        let candidates = self.in_touch(now, store, zone);
        let carrier = choose::carrier(service, candidates.iter())?;
        let voters = choose::voters(service, carrier, &[], &self.alive(now, store, zone));
        Some(choose::appointment(zone, carrier, voters, described.term))
    }

    fn carrier_change(
        &mut self,
        now: Instant,
        store: &Store,
        described: &Described,
        delegation: &Delegation,
    ) -> Option<Change> {
        let known = self.duties.get(&key(delegation))?;
        let heard = self.awake.map_or(known.heard(), |at| at.max(known.heard()));
        if known.standing == Standing::Resigned || now >= heard + SILENCE {
            let change = self.replaced(now, store, described, delegation)?;
            if let Some(known) = self.duties.get_mut(&key(delegation)) {
                known.sink(Standing::Ousted);
            }
            return Some(change);
        }
        if known.acting && !delegation.prior.is_empty() {
            return Some(Change::Settle {
                service: Arc::clone(&delegation.service),
                zone: Arc::clone(&delegation.zone),
                epoch: delegation.epoch,
            });
        }
        self.revised(now, store, described, delegation)
    }

    /// Another carrier in place of one that is silent or resigned.
    fn replaced(
        &self,
        now: Instant,
        store: &Store,
        described: &Described,
        delegation: &Delegation,
    ) -> Option<Change> {
        let known = self.duties.get(&key(delegation))?;
        let resigned = known.standing == Standing::Resigned;
        let candidates = self.in_touch(now, store, &delegation.zone);
        let others = candidates.iter().filter(|vm| **vm != delegation.carrier);
        let again = known.standing >= Standing::Ousted && known.appointed_for(now) >= AGAIN;
        let same = candidates
            .iter()
            .filter(|vm| again && **vm == delegation.carrier);
        let carrier = choose::carrier(&delegation.service, others)
            .or_else(|| choose::carrier(&delegation.service, same))?;
        Some(appoint(
            described,
            delegation,
            carrier,
            &candidates,
            resigned,
        ))
    }

    /// The same carrier with other voters or another term.
    fn revised(
        &self,
        now: Instant,
        store: &Store,
        described: &Described,
        delegation: &Delegation,
    ) -> Option<Change> {
        let carrier = &delegation.carrier;
        let candidates = self.in_touch(now, store, &delegation.zone);
        let mut others = self.alive(now, store, &delegation.zone);
        others.retain(|vm| delegation.voters.contains(vm) || candidates.contains(vm));
        let change = appoint(described, delegation, carrier, &others, false);
        let same = matches!(
            &change,
            Change::Appoint { appointment, .. }
                if appointment.voters == delegation.voters && appointment.term == delegation.term
        );
        (!same && candidates.contains(carrier)).then_some(change)
    }

    fn not_lately_proposed(&mut self, now: Instant, changes: Vec<Change>) -> Vec<Change> {
        self.proposed.retain(|(at, _)| now < *at + PROPOSE_AGAIN);
        let known = &self.proposed;
        let due = changes
            .into_iter()
            .filter(|change| !known.iter().any(|(_, p)| p == change));
        let due: Vec<_> = due.collect();
        self.proposed.extend(due.iter().map(|c| (now, c.clone())));
        due
    }

    /// Start of this leadership.
    pub(super) const fn since(&self) -> Option<Instant> {
        self.since
    }

    /// Since when decisions were made without a gap.
    pub(super) const fn awake(&self) -> Option<Instant> {
        self.awake
    }
}

fn appoint(
    described: &Described,
    delegation: &Delegation,
    carrier: &ids::VmName,
    others: &[ids::VmName],
    resigned: bool,
) -> Change {
    let service = &delegation.service;
    let voters = choose::voters(service, carrier, &delegation.voters, others);
    Change::Appoint {
        service: Arc::clone(service),
        epoch: delegation.epoch,
        appointment: choose::appointment(&delegation.zone, carrier, voters, described.term),
        resigned,
    }
}

/// The key of a delegation.
pub(super) fn key(delegation: &Delegation) -> Key {
    (
        Arc::clone(&delegation.service),
        Arc::clone(&delegation.zone),
    )
}
