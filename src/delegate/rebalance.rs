//! Moves of spans between zones.
//!
//! Spans of an unreachable zone move once every lease in it has expired. A zone
//! with a live primary loses spans only after the primary has released them:
//! all of them if the zone has no backend server left, else a few at a time
//! while another zone has far less than its share by slots.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::Delegation;
use super::planner::{self, Planner, ServiceParams};
use super::state::PrimaryStatus;
use super::store::{Change, PrimaryConfig, Store};
use crate::ids;
use crate::keys;
use crate::timing;

/// Delay after an election before zones are rebalanced.
const REBALANCE_DELAY: Duration = Duration::from_secs(3);

/// Maximum number of spans that a zone is requested to release at a time for rebalancing.
const MAX_BATCH_SPANS: usize = 8;

/// Percentage of its target width below which a zone starts to be filled.
const FILL_START_PERCENT: u128 = 75;

/// Percentage of its target width at which a zone stops being filled.
const FILL_STOP_PERCENT: u128 = 95;

/// State of a zone in one pass.
struct ZoneState<'a> {
    name: ids::ZoneName,
    delegation: Option<&'a Delegation>,
    /// Primary and voters, if the zone can receive spans now.
    receiver: Option<PrimaryConfig>,
    /// Whether every lease in the zone has expired.
    expired: bool,
    /// Whether the zone has no backend server.
    empty: bool,
    /// Whether the primary is reachable and active, or the zone has no delegation.
    ready: bool,
    weight: u64,
    /// Number of key hashes in the delegated spans.
    width: u64,
    /// Number of key hashes that the zone should have by its weight.
    target_width: u64,
}

/// Plans the next move of a service and sets in `planner` which spans primaries are to release.
pub(super) fn plan_moves(
    planner: &mut Planner,
    now: Instant,
    store: &Store,
    params: &ServiceParams,
) -> Option<Change> {
    let zones = zone_states(planner, now, store, params);
    for zone in zones.iter().filter(|z| z.width > 0) {
        let Some(delegation) = zone.delegation else {
            continue;
        };
        let key = planner::service_zone(delegation);
        let Some(state) = planner.delegations.get_mut(&key) else {
            continue;
        };
        let released: Vec<_> = state.released.iter().copied().collect();
        let (movable, status) = if zone.expired {
            (&delegation.spans, PrimaryStatus::Revoked)
        } else {
            (&released, PrimaryStatus::Moving)
        };
        if let Some(change) = move_to_neediest(&zones, delegation, movable) {
            state.advance_status(status);
            return Some(change);
        }
    }
    let releases = spans_to_release(planner, now, params, &zones);
    for delegation in zones.iter().filter_map(|z| z.delegation) {
        let release = releases
            .get(&delegation.zone)
            .map_or(&[][..], Vec::as_slice);
        request_release(planner, delegation, release);
    }
    None
}

fn zone_states<'a>(
    planner: &Planner,
    now: Instant,
    store: &'a Store,
    params: &ServiceParams,
) -> Vec<ZoneState<'a>> {
    let service = &params.service;
    let delegations = store.delegations(service);
    let mut zones: Vec<_> = delegations
        .filter_map(|d| delegated_zone(planner, now, params, d))
        .collect();
    for (name, (_, slots)) in planner.zone_capacities(now, service) {
        if store.delegation(service, &name).is_some() {
            continue;
        }
        zones.push(ZoneState {
            receiver: planner.new_config(now, store, params, &name),
            name,
            delegation: None,
            expired: false,
            empty: false,
            ready: true,
            weight: u64::from(slots),
            width: 0,
            target_width: 0,
        });
    }
    set_target_widths(&mut zones);
    zones
}

fn delegated_zone<'a>(
    planner: &Planner,
    now: Instant,
    params: &ServiceParams,
    delegation: &'a Delegation,
) -> Option<ZoneState<'a>> {
    let state = planner
        .delegations
        .get(&planner::service_zone(delegation))?;
    let heard_at = state.last_renewal.unwrap_or(state.first_seen_at);
    let heard_at = heard_at.max(planner.running_since()?);
    let expired = now >= heard_at + expiry_delay(params, delegation);
    let ready = state.ready(now);
    let empty = state.empty(now);
    let receives = ready && state.servers > 0;
    Some(ZoneState {
        name: Arc::clone(&delegation.zone),
        delegation: Some(delegation),
        receiver: receives.then(|| current_config(delegation)),
        expired,
        empty,
        ready,
        weight: if expired || empty {
            0
        } else {
            u64::from(state.slots())
        },
        width: delegation.spans.iter().map(keys::Span::width).sum(),
        target_width: 0,
    })
}

/// Time since the last renewal after which every lease in a zone has expired.
fn expiry_delay(params: &ServiceParams, delegation: &Delegation) -> Duration {
    let predecessors = delegation.predecessors.iter().map(|p| p.term);
    let term = predecessors.fold(delegation.term, Duration::max);
    let routed = timing::ROUTE_LEASE + params.max_deadline;
    term + timing::SERVER_LEASE.max(routed) + 2 * timing::CLOCK_ALLOWANCE
}

fn current_config(delegation: &Delegation) -> PrimaryConfig {
    PrimaryConfig {
        zone: Arc::clone(&delegation.zone),
        primary: Arc::clone(&delegation.primary),
        voters: delegation.voters.clone(),
        tiebreak: delegation.tiebreak,
        term: delegation.term,
    }
}

/// Sets the target width of each zone in proportion to its slots.
fn set_target_widths(zones: &mut [ZoneState<'_>]) {
    if zones.iter().all(|z| z.weight == 0) {
        for zone in zones.iter_mut().filter(|z| z.receiver.is_some()) {
            zone.weight = 1;
        }
    }
    let total: u128 = zones.iter().map(|z| u128::from(z.weight)).sum();
    for zone in zones {
        let target = u128::from(keys::HASH_SPACE) * u128::from(zone.weight) / total.max(1);
        zone.target_width = u64::try_from(target).unwrap_or(keys::HASH_SPACE);
    }
}

/// Moves spans out of `movable` to the zone with the largest deficit, as many as fill the deficit.
fn move_to_neediest(
    zones: &[ZoneState<'_>],
    from: &Delegation,
    movable: &[keys::Span],
) -> Option<Change> {
    let receivers = zones.iter().filter(|z| z.name != from.zone);
    let receivers = receivers.filter_map(|z| Some((z, z.receiver.as_ref()?)));
    let (zone, to) = receivers.max_by_key(|(z, _)| z.target_width.saturating_sub(z.width))?;
    let mut deficit = zone.target_width.saturating_sub(zone.width);
    let mut spans = Vec::new();
    for span in movable {
        if !spans.is_empty() && span.width() / 2 > deficit {
            break;
        }
        deficit = deficit.saturating_sub(span.width());
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

/// Spans that the primary of each zone is to release.
fn spans_to_release(
    planner: &mut Planner,
    now: Instant,
    params: &ServiceParams,
    zones: &[ZoneState<'_>],
) -> BTreeMap<ids::ZoneName, Vec<keys::Span>> {
    let mut releases = BTreeMap::new();
    if !zones.iter().any(|z| z.receiver.is_some()) {
        return releases;
    }
    for zone in zones.iter().filter(|z| z.empty && z.width > 0) {
        let spans = zone.delegation.map(|d| d.spans.clone());
        releases.insert(Arc::clone(&zone.name), spans.unwrap_or_default());
    }
    let settled = planner
        .leading_since()
        .is_some_and(|s| now >= s + REBALANCE_DELAY);
    let all_ready = zones.iter().all(|z| z.ready || z.width == 0);
    if releases.is_empty() && settled && all_ready {
        releases.extend(surplus_spans(planner, params, zones));
    }
    releases
}

/// Spans to release from the zone with the largest surplus while another zone is to be filled.
fn surplus_spans(
    planner: &mut Planner,
    params: &ServiceParams,
    zones: &[ZoneState<'_>],
) -> Option<(ids::ZoneName, Vec<keys::Span>)> {
    for zone in zones {
        let key = (Arc::clone(&params.service), Arc::clone(&zone.name));
        let percent = u128::from(zone.width) * 100;
        let target = u128::from(zone.target_width);
        if zone.receiver.is_none() || percent >= target * FILL_STOP_PERCENT {
            planner.filling.remove(&key);
        } else if percent < target * FILL_START_PERCENT {
            planner.filling.insert(key);
        }
    }
    let filling = |z: &&ZoneState<'_>| {
        let key = (Arc::clone(&params.service), Arc::clone(&z.name));
        planner.filling.contains(&key)
    };
    let deficit = |z: &ZoneState<'_>| z.target_width.saturating_sub(z.width);
    let deficit = zones.iter().filter(filling).map(deficit).max()?;
    let surplus = |z: &ZoneState<'_>| z.width.saturating_sub(z.target_width);
    let source = zones.iter().max_by_key(|z| surplus(z))?;
    let delegation = source.delegation?;
    let state = planner
        .delegations
        .get(&planner::service_zone(delegation))?;
    if !state.requested.is_empty() {
        return Some((
            Arc::clone(&source.name),
            state.requested.keys().copied().collect(),
        ));
    }
    let mut left = deficit.min(surplus(source));
    let mut spans = Vec::new();
    for span in delegation.spans.iter().rev().take(MAX_BATCH_SPANS) {
        if span.width() / 2 > left {
            break;
        }
        left = left.saturating_sub(span.width());
        spans.push(*span);
    }
    Some((Arc::clone(&source.name), spans))
}

/// Requests the release of `spans` and withdraws other requests.
///
/// A request is kept for a released span that is being moved.
fn request_release(planner: &mut Planner, delegation: &Delegation, spans: &[keys::Span]) {
    let Some(state) = planner
        .delegations
        .get_mut(&planner::service_zone(delegation))
    else {
        return;
    };
    let released = &state.released;
    let moving = state.status == PrimaryStatus::Moving;
    state
        .requested
        .retain(|span, _| spans.contains(span) || (moving && released.contains(span)));
    state.released.retain(|s| state.requested.contains_key(s));
    for span in spans {
        state.requested.entry(*span).or_default();
    }
}
