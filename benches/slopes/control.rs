//! Plans of the leader for delegations, and claim records.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agateyoke::claim::{Change as ClaimChange, ClaimKey, Outcome, Store as Claims};
use agateyoke::control::state::State;
use agateyoke::delegate::messages::{DelegationReport, RenewRequest, WatchRequest};
use agateyoke::delegate::planner::{Planner, ServiceParams};
use agateyoke::delegate::store::{Change, PrimaryConfig, Store, ZoneShare};
use agateyoke::keys::Span;
use agateyoke::timing;
use serde_json::json;

use super::messages;
use super::{heap, mean_us, print_line};

const DELEGATION_TERM: Duration = Duration::from_secs(2);

const SPAN_COUNT: usize = 256;

/// Passes until a plan has no more changes.
const SETTLE_PASSES: usize = 2;

/// Measures one planning pass, which the leader runs at a fixed interval.
pub(crate) fn planner() {
    for (services, zones, entries) in [
        (1, 4, 12),
        (10, 4, 12),
        (10, 32, 320),
        (10, 32, 1600),
        (10, 32, 16_000),
    ] {
        plan(services, zones, entries);
    }
}

fn plan(services: usize, zones: usize, entries: usize) {
    let mut store = Store::default();
    let mut index = 0;
    let mut apply = |store: &mut Store, change: Change| {
        index += 1;
        store.apply(index, change);
    };
    let vms: Vec<_> = (0..entries)
        .map(|n| messages::entry_vm(n / zones, n % zones))
        .collect();
    for entry in &vms {
        let entry_vm = entry.clone();
        apply(&mut store, Change::UpsertEntryVm { entry_vm });
    }
    for service in 0..services {
        apply(&mut store, initial_delegations(service, zones));
    }
    let started = Instant::now();
    let mut planner = Planner::default();
    let all_params: Vec<_> = (0..services).map(service_params).collect();
    planner.plan(started, started, &store, &[]);
    for entry in vms {
        let request = WatchRequest {
            entry_vm: entry,
            known_index: 0,
            wait: timing::LONG_POLL_TIMEOUT,
            capacities: (0..services).map(messages::service_capacity).collect(),
        };
        planner.record_watch(started, &request);
    }
    let mut sequence = 0;
    for _ in 0..SETTLE_PASSES {
        sequence += 1;
        renew(&mut planner, started, &store, sequence);
        for change in planner.plan(started, started, &store, &all_params) {
            apply(&mut store, change);
        }
    }
    renew(&mut planner, started, &store, sequence + 1);
    let mut changes = 0;
    let plan_us = mean_us(|| changes = planner.plan(started, started, &store, &all_params).len());
    print_line(json!({
        "part": "office", "services": services, "zones": zones, "entries": entries,
        "delegations": services * zones, "decide_us": plan_us, "changes": changes,
        "news_us": mean_us(|| store.updates_since(index)),
    }));
}

/// Renews the lease of every primary.
fn renew(planner: &mut Planner, now: Instant, store: &Store, sequence: u64) {
    for delegation in store.all_delegations() {
        let report = DelegationReport {
            service: Arc::clone(&delegation.service),
            zone: Arc::clone(&delegation.zone),
            epoch: delegation.epoch,
            servers: 10,
            slots: 60,
            released: Vec::new(),
            resigned: false,
        };
        let request = RenewRequest {
            vm: Arc::clone(&delegation.primary),
            sequence,
            reports: vec![report],
            active_epochs: vec![delegation.epoch],
        };
        planner.renew(now, &request, store);
    }
}

fn initial_delegations(service: usize, zones: usize) -> Change {
    let mut shares: Vec<ZoneShare> = (0..zones)
        .map(|zone| {
            let primary = messages::entry_vm(0, zone).vm;
            ZoneShare {
                config: PrimaryConfig {
                    zone: format!("zone-{zone}").into(),
                    voters: vec![Arc::clone(&primary)],
                    primary,
                    tiebreak: true,
                    term: DELEGATION_TERM,
                },
                spans: Vec::new(),
            }
        })
        .collect();
    for (index, span) in Span::split_evenly(SPAN_COUNT as u64)
        .into_iter()
        .enumerate()
    {
        if let Some(share) = shares.get_mut(index * zones / SPAN_COUNT) {
            share.spans.push(span);
        }
    }
    Change::Initialize {
        service: format!("service-{service}").into(),
        shares,
    }
}

fn service_params(service: usize) -> ServiceParams {
    ServiceParams {
        service: format!("service-{service}").into(),
        term: DELEGATION_TERM,
        span_count: SPAN_COUNT as u64,
        max_deadline: Duration::from_millis(300),
    }
}

/// Measures claim records: time to begin and end one, memory, and the snapshot.
pub(crate) fn claims() {
    for count in [10_000_u32, 100_000, 500_000] {
        let state = State::default();
        let before = heap::allocated_bytes();
        let started = Instant::now();
        for number in 0..count {
            begin_and_end(&mut state.claims.borrow_mut(), number);
        }
        let run_s = started.elapsed().as_secs_f64();
        let memory = heap::allocated_bytes() - before;
        let started = Instant::now();
        let encode = state.snapshot();
        let capture_s = started.elapsed().as_secs_f64();
        let image = encode().unwrap_or_default();
        let snapshot_s = started.elapsed().as_secs_f64();
        let started = Instant::now();
        let restored = State::default().restore(&image).is_ok();
        let restore_s = started.elapsed().as_secs_f64();
        let per_record_us = |value: f64| super::round(value * 1e6 / f64::from(count));
        print_line(json!({
            "part": "claim", "records": count,
            "begin_end_us": per_record_us(run_s),
            "memory_per_record": memory as u64 / u64::from(count),
            "snapshot_bytes_per_record": image.len() as u64 / u64::from(count),
            "snapshot_us_per_record": per_record_us(snapshot_s),
            "restore_us_per_record": per_record_us(restore_s),
            "snapshot_ms": super::round(snapshot_s * 1e3),
            "snapshot_in_daemon_ms": super::round(capture_s * 1e3),
            "restored": restored,
        }));
    }
}

fn begin_and_end(claims: &mut Claims, number: u32) {
    claims.apply(begin(u64::from(number)));
    claims.apply(end(u64::from(number)));
}

/// Change by which an entry VM begins a claim.
pub(crate) fn begin(number: u64) -> ClaimChange {
    ClaimChange::Begin {
        key: key(number),
        hash: number,
        digest: number,
        attempt: attempt(number).into(),
        expires_ms: 1_800_000_000_000 + number,
    }
}

fn end(number: u64) -> ClaimChange {
    ClaimChange::End {
        key: key(number),
        attempt: attempt(number).into(),
        outcome: Outcome {
            status: 200,
            content_type: Some("application/json".into()),
            body: r#"{"locker":"L-17","state":"released"}"#.into(),
            server: "kiosk-core-galway-1".into(),
            fence: 3_145_728,
        },
    }
}

fn key(number: u64) -> ClaimKey {
    ClaimKey {
        service: "kiosk-core".into(),
        claim: format!("{number:032x}").into(),
    }
}

fn attempt(number: u64) -> String {
    format!("{number:016x}")
}
