//! The leader's decisions, and the claim records.

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
use super::{heap, line, mean_us};

const TERM: Duration = Duration::from_secs(2);

const SPANS: usize = 256;

/// Rounds of decisions until nothing is left to change.
const SETTLE_ROUNDS: usize = 2;

/// One round of decisions, which the leader makes every duty tick.
pub(crate) fn office() {
    for (services, zones, entries) in [
        (1, 4, 12),
        (10, 4, 12),
        (10, 32, 320),
        (10, 32, 1600),
        (10, 32, 16_000),
    ] {
        decide(services, zones, entries);
    }
}

fn decide(services: usize, zones: usize, entries: usize) {
    let mut store = Store::default();
    let mut index = 0;
    let mut apply = |store: &mut Store, change: Change| {
        index += 1;
        store.apply(index, change);
    };
    let vms: Vec<_> = (0..entries)
        .map(|n| messages::entry(n / zones, n % zones))
        .collect();
    for entry in &vms {
        let entry_vm = entry.clone();
        apply(&mut store, Change::UpsertEntryVm { entry_vm });
    }
    for service in 0..services {
        apply(&mut store, first(service, zones));
    }
    let begun = Instant::now();
    let mut office = Planner::default();
    let described: Vec<_> = (0..services).map(described).collect();
    office.plan(begun, begun, &store, &[]);
    for entry in vms {
        let request = WatchRequest {
            entry_vm: entry,
            known_index: 0,
            wait: timing::LONG_POLL_TIMEOUT,
            capacities: (0..services).map(messages::heard).collect(),
        };
        office.record_watch(begun, &request);
    }
    let mut number = 0;
    for _ in 0..SETTLE_ROUNDS {
        number += 1;
        renew(&mut office, begun, &store, number);
        for change in office.plan(begun, begun, &store, &described) {
            apply(&mut store, change);
        }
    }
    renew(&mut office, begun, &store, number + 1);
    let mut changes = 0;
    let decide_us = mean_us(|| changes = office.plan(begun, begun, &store, &described).len());
    line(json!({
        "part": "office", "services": services, "zones": zones, "entries": entries,
        "delegations": services * zones, "decide_us": decide_us, "changes": changes,
        "news_us": mean_us(|| store.updates_since(index)),
    }));
}

/// Every carrier renews.
fn renew(office: &mut Planner, now: Instant, store: &Store, number: u64) {
    for delegation in store.all_delegations() {
        let duty = DelegationReport {
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
            sequence: number,
            reports: vec![duty],
            active_epochs: vec![delegation.epoch],
        };
        office.renew(now, &request, store);
    }
}

fn first(service: usize, zones: usize) -> Change {
    let mut shares: Vec<ZoneShare> = (0..zones)
        .map(|zone| {
            let primary = messages::entry(0, zone).vm;
            ZoneShare {
                config: PrimaryConfig {
                    zone: format!("zone-{zone}").into(),
                    voters: vec![Arc::clone(&primary)],
                    primary,
                    tiebreak: true,
                    term: TERM,
                },
                spans: Vec::new(),
            }
        })
        .collect();
    for (at, span) in Span::split_evenly(SPANS as u64).into_iter().enumerate() {
        if let Some(share) = shares.get_mut(at * zones / SPANS) {
            share.spans.push(span);
        }
    }
    Change::Initialize {
        service: format!("service-{service}").into(),
        shares,
    }
}

fn described(service: usize) -> ServiceParams {
    ServiceParams {
        service: format!("service-{service}").into(),
        term: TERM,
        span_count: SPANS as u64,
        max_deadline: Duration::from_millis(300),
    }
}

/// Claim records: time to put and end one, memory, and the snapshot.
pub(crate) fn claims() {
    for count in [10_000_u32, 100_000, 500_000] {
        let state = State::default();
        let before = heap::in_use();
        let begun = Instant::now();
        for number in 0..count {
            run(&mut state.claims.borrow_mut(), number);
        }
        let took = begun.elapsed().as_secs_f64();
        let memory = heap::in_use() - before;
        let begun = Instant::now();
        let encode = state.snapshot();
        let held = begun.elapsed().as_secs_f64();
        let image = encode().unwrap_or_default();
        let snapshot = begun.elapsed().as_secs_f64();
        let begun = Instant::now();
        let restored = State::default().restore(&image).is_ok();
        let restore = begun.elapsed().as_secs_f64();
        let each = |value: f64| super::rounded(value * 1e6 / f64::from(count));
        line(json!({
            "part": "claim", "records": count,
            "begin_end_us": each(took),
            "memory_per_record": memory as u64 / u64::from(count),
            "snapshot_bytes_per_record": image.len() as u64 / u64::from(count),
            "snapshot_us_per_record": each(snapshot),
            "restore_us_per_record": each(restore),
            "snapshot_ms": super::rounded(snapshot * 1e3),
            "snapshot_in_daemon_ms": super::rounded(held * 1e3),
            "restored": restored,
        }));
    }
}

fn run(claims: &mut Claims, number: u32) {
    claims.apply(begin(u64::from(number)));
    claims.apply(end(u64::from(number)));
}

/// A record as an entry VM puts it.
pub(crate) fn begin(number: u64) -> ClaimChange {
    ClaimChange::Begin {
        key: key(number),
        hash: number,
        digest: number,
        attempt: attempt(number).into(),
        forget_ms: 1_800_000_000_000 + number,
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
