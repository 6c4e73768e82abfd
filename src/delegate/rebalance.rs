//! Which spans go from one zone to another.
//!
//! Spans of a lost zone go once all that may still act there has run out. Of a
//! zone whose carrier lives, spans go only after the carrier released them:
//! all when it has no backend server left, else a few at a time while another
//! zone has far less than its share of slots.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::Delegation;
use super::planner::{self, Planner, ServiceParams};
use super::state::Standing;
use super::store::{Change, PrimaryConfig, Store};
use crate::ids;
use crate::keys;
use crate::timing;

/// Time after an election in which no zone is filled up.
const STEADY: Duration = Duration::from_secs(3);

/// Spans asked back from a zone at a time while another is filled up.
const BATCH_SPANS: usize = 8;

/// Share of its part below which a zone is filled up, in percent.
const LOW_PERCENT: u128 = 75;

/// Share of its part at which filling up ends, in percent.
const FULL_PERCENT: u128 = 95;

/// A zone as it stands.
struct Zone<'a> {
    name: ids::ZoneName,
    delegation: Option<&'a Delegation>,
    /// Carrier and voters, if the zone can take spans now.
    takes: Option<PrimaryConfig>,
    lost: bool,
    empty: bool,
    ready: bool,
    weight: u64,
    width: u64,
    part: u64,
}

/// The next moves of a service; notes in `office` what carriers are to release.
pub(super) fn moves(
    planner: &mut Planner,
    now: Instant,
    store: &Store,
    params: &ServiceParams,
) -> Option<Change> {
    let zones = zones(planner, now, store, params);
    for zone in zones.iter().filter(|z| z.width > 0) {
        let Some(delegation) = zone.delegation else {
            continue;
        };
        let key = planner::key(delegation);
        let Some(known) = planner.duties.get_mut(&key) else {
            continue;
        };
        let released: Vec<_> = known.released.iter().copied().collect();
        let (free, standing) = if zone.lost {
            (&delegation.spans, Standing::Ousted)
        } else {
            (&released, Standing::Moving)
        };
        if let Some(change) = transfer(&zones, delegation, free) {
            known.sink(standing);
            return Some(change);
        }
    }
    let wanted = wanted(planner, now, params, &zones);
    for delegation in zones.iter().filter_map(|z| z.delegation) {
        let want = wanted.get(&delegation.zone).map_or(&[][..], Vec::as_slice);
        ask(planner, delegation, want);
    }
    None
}

fn zones<'a>(
    planner: &Planner,
    now: Instant,
    store: &'a Store,
    params: &ServiceParams,
) -> Vec<Zone<'a>> {
    let service = &params.service;
    let known = store.delegations(service);
    let mut zones: Vec<_> = known
        .filter_map(|d| delegated(planner, now, params, d))
        .collect();
    for (name, (_, slots)) in planner.heard(now, service) {
        if store.delegation(service, &name).is_some() {
            continue;
        }
        zones.push(Zone {
            takes: planner.config(now, store, params, &name),
            name,
            delegation: None,
            lost: false,
            empty: false,
            ready: true,
            weight: u64::from(slots),
            width: 0,
            part: 0,
        });
    }
    share_out(&mut zones);
    zones
}

fn delegated<'a>(
    planner: &Planner,
    now: Instant,
    params: &ServiceParams,
    delegation: &'a Delegation,
) -> Option<Zone<'a>> {
    let known = planner.duties.get(&planner::key(delegation))?;
    let heard = known.renewed.unwrap_or(known.since);
    let heard = heard.max(planner.awake()?);
    let lost = now >= heard + lost_after(params, delegation);
    let ready = known.ready(now);
    let empty = known.empty(now);
    let takes = ready && known.servers > 0;
    Some(Zone {
        name: Arc::clone(&delegation.zone),
        delegation: Some(delegation),
        takes: takes.then(|| standing(delegation)),
        lost,
        empty,
        ready,
        weight: if lost || empty {
            0
        } else {
            u64::from(known.slots())
        },
        width: delegation.spans.iter().map(keys::Span::width).sum(),
        part: 0,
    })
}

/// Time since the last renewal after which nothing acts for a zone any more.
fn lost_after(params: &ServiceParams, delegation: &Delegation) -> Duration {
    let predecessors = delegation.predecessors.iter().map(|p| p.term);
    let term = predecessors.fold(delegation.term, Duration::max);
    let routed = timing::ROUTE_LEASE + params.max_deadline;
    term + timing::SERVER_LEASE.max(routed) + 2 * timing::CLOCK_ALLOWANCE
}

fn standing(delegation: &Delegation) -> PrimaryConfig {
    PrimaryConfig {
        zone: Arc::clone(&delegation.zone),
        primary: Arc::clone(&delegation.primary),
        voters: delegation.voters.clone(),
        tiebreak: delegation.tiebreak,
        term: delegation.term,
    }
}

/// Works out each zone's part of the space by its slots.
fn share_out(zones: &mut [Zone<'_>]) {
    if zones.iter().all(|z| z.weight == 0) {
        for zone in zones.iter_mut().filter(|z| z.takes.is_some()) {
            zone.weight = 1;
        }
    }
    let total: u128 = zones.iter().map(|z| u128::from(z.weight)).sum();
    for zone in zones {
        let part = u128::from(keys::SPACE) * u128::from(zone.weight) / total.max(1);
        zone.part = u64::try_from(part).unwrap_or(keys::SPACE);
    }
}

/// Moves free spans to the zone that lacks most, as many as it lacks.
fn transfer(zones: &[Zone<'_>], from: &Delegation, free: &[keys::Span]) -> Option<Change> {
    let takers = zones.iter().filter(|z| z.name != from.zone);
    let takers = takers.filter_map(|z| Some((z, z.takes.as_ref()?)));
    let (zone, to) = takers.max_by_key(|(z, _)| z.part.saturating_sub(z.width))?;
    let mut lack = zone.part.saturating_sub(zone.width);
    let mut spans = Vec::new();
    for span in free {
        if !spans.is_empty() && span.width() / 2 > lack {
            break;
        }
        lack = lack.saturating_sub(span.width());
        spans.push(*span);
    }
    (!spans.is_empty()).then(|| Change::MoveSpans {
        service: Arc::clone(&from.service),
        from: Arc::clone(&from.zone),
        from_epoch: from.epoch,
        to: to.clone(),
        to_epoch: zone.delegation.map_or(0, |d| d.epoch),
        spans,
    })
}

/// Spans that each zone's carrier is to release.
fn wanted(
    planner: &mut Planner,
    now: Instant,
    params: &ServiceParams,
    zones: &[Zone<'_>],
) -> BTreeMap<ids::ZoneName, Vec<keys::Span>> {
    let mut wanted = BTreeMap::new();
    if !zones.iter().any(|z| z.takes.is_some()) {
        return wanted;
    }
    for zone in zones.iter().filter(|z| z.empty && z.width > 0) {
        let spans = zone.delegation.map(|d| d.spans.clone());
        wanted.insert(Arc::clone(&zone.name), spans.unwrap_or_default());
    }
    let steady = planner.since().is_some_and(|s| now >= s + STEADY);
    let calm = zones.iter().all(|z| z.ready || z.width == 0);
    if wanted.is_empty() && steady && calm {
        wanted.extend(surplus(planner, params, zones));
    }
    wanted
}

/// A few spans of the zone with most above its part, if another is to be filled up.
fn surplus(
    planner: &mut Planner,
    params: &ServiceParams,
    zones: &[Zone<'_>],
) -> Option<(ids::ZoneName, Vec<keys::Span>)> {
    for zone in zones {
        let key = (Arc::clone(&params.service), Arc::clone(&zone.name));
        let percent = u128::from(zone.width) * 100;
        let part = u128::from(zone.part);
        if zone.takes.is_none() || percent >= part * FULL_PERCENT {
            planner.filling.remove(&key);
        } else if percent < part * LOW_PERCENT {
            planner.filling.insert(key);
        }
    }
    let fills = |z: &&Zone<'_>| {
        let key = (Arc::clone(&params.service), Arc::clone(&z.name));
        planner.filling.contains(&key)
    };
    let lack = |z: &Zone<'_>| z.part.saturating_sub(z.width);
    let lack = zones.iter().filter(fills).map(lack).max()?;
    let over = |z: &Zone<'_>| z.width.saturating_sub(z.part);
    let giver = zones.iter().max_by_key(|z| over(z))?;
    let delegation = giver.delegation?;
    let known = planner.duties.get(&planner::key(delegation))?;
    if !known.asked.is_empty() {
        return Some((
            Arc::clone(&giver.name),
            known.asked.keys().copied().collect(),
        ));
    }
    let mut left = lack.min(over(giver));
    let mut spans = Vec::new();
    for span in delegation.spans.iter().rev().take(BATCH_SPANS) {
        if span.width() / 2 > left {
            break;
        }
        left = left.saturating_sub(span.width());
        spans.push(*span);
    }
    Some((Arc::clone(&giver.name), spans))
}

/// Asks for `want`; takes back what is asked no more, but for spans already released.
fn ask(planner: &mut Planner, delegation: &Delegation, want: &[keys::Span]) {
    let Some(known) = planner.duties.get_mut(&planner::key(delegation)) else {
        return;
    };
    let released = &known.released;
    let moving = known.standing == Standing::Moving;
    known
        .asked
        .retain(|span, _| want.contains(span) || (moving && released.contains(span)));
    known.released.retain(|s| known.asked.contains_key(s));
    for span in want {
        known.asked.entry(*span).or_default();
    }
}
