//! Connections without responses and partitions of availability zones.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a test fails by a panic"
)]

mod support;

use support::load::{self, LOCKERS};
use support::{Cluster, Load, cluster};

const ENTRY_VMS: [&str; 4] = ["entry-1", "entry-2", "entry-3", "entry-4"];
const SERVERS: [(&str, u16); 4] = [
    ("galway-1", 7311),
    ("galway-2", 7312),
    ("cork-1", 7331),
    ("cork-2", 7332),
];

/// The open connections of each backend server in turn stay open and give no more responses.
#[test]
fn unresponsive_connections_fail_no_lookup_and_repeat_no_claim() {
    let cluster = Cluster::start_serving(|_| {}, &["--slots", "60"]);
    let load = Load::start(&cluster, &ENTRY_VMS);
    for (_, port) in SERVERS {
        load.wait_for_successes(60);
        cluster.inject_faults(port, r#"{"silent": true}"#);
        load.wait_for_successes(60);
    }
    let results = load.stop();
    load::assert_verdicts(&cluster, &results);
    load::assert_all_succeeded(results.iter().filter(|a| a.claim.is_none()));
    cluster.assert_fences_never_decrease();
}

/// Each backend server runs every second request without a response.
#[test]
fn claim_with_a_lost_response_is_neither_retried_nor_reported_as_not_run() {
    let cluster = Cluster::start_serving(
        |document| {
            let routes = document.get_mut("routes").unwrap().as_array_mut().unwrap();
            for route in routes {
                cluster::set_number(route, "deadline_ms", 1500);
            }
        },
        &["--slots", "200"],
    );
    for (_, port) in SERVERS {
        cluster.inject_faults(port, r#"{"lose_half": true}"#);
    }
    let load = Load::start(&cluster, &ENTRY_VMS);
    load.wait_for_successes(60);
    let mut results = load.stop();
    let is_unknown = |a: &&load::CallResult| {
        a.claim.is_some()
            && a.response
                .as_ref()
                .is_ok_and(|r| r.verdict() == "may-have-run")
    };
    let unknown: Vec<_> = results.iter().filter(is_unknown).collect();
    assert!(!unknown.is_empty());
    let retried: Vec<_> = unknown
        .iter()
        .take(4)
        .map(|a| load::CallResult {
            locker: a.locker.clone(),
            claim: a.claim.clone(),
            entry: a.entry,
            response: cluster.release("entry-2", &a.locker, a.claim.as_ref().unwrap()),
        })
        .collect();
    results.extend(retried);
    load::assert_verdicts(&cluster, &results);
}

/// Partitions the entry VMs of zone cork from the control VMs and from those of zone galway.
fn partition_cork(cluster: &Cluster) {
    let cork = ["entry-3", "entry-4"].map(|e| cluster.pid(e));
    let others = ["entry-1", "entry-2", "control-1", "control-2", "control-3"];
    let others = others.map(|n| cluster.pid(n));
    for entry in ["entry-3", "entry-4"] {
        for control in 1..=3 {
            cluster
                .relay(&format!("{entry}-control-{control}"))
                .partition();
        }
        cluster.relay(entry).partition_from(&others);
    }
    for entry in ["entry-1", "entry-2"] {
        cluster.relay(entry).partition_from(&cork);
    }
}

fn heal_cork(cluster: &Cluster) {
    for entry in ["entry-3", "entry-4"] {
        for control in 1..=3 {
            cluster.relay(&format!("{entry}-control-{control}")).heal();
        }
    }
    for entry in ENTRY_VMS {
        cluster.relay(entry).heal();
    }
}

/// Lockers whose owner is in zone cork.
fn cork_lockers(cluster: &Cluster) -> Vec<String> {
    let lockers = (0..LOCKERS).map(|n| format!("L-{n}"));
    let is_cork = |l: &String| {
        cluster
            .lookup("entry-3", l)
            .unwrap()
            .header("agateyoke-zone")
            == "cork"
    };
    let lockers: Vec<String> = lockers.filter(is_cork).collect();
    assert!(!lockers.is_empty());
    lockers
}

#[test]
fn partitioned_zone_serves_its_own_keys_within_its_term() {
    let cluster = Cluster::start_serving(
        |document| cluster::set_number(document, "term_ms", 600_000),
        &[],
    );
    let lockers = cork_lockers(&cluster);
    let load = Load::start(&cluster, &["entry-1", "entry-2"]);
    partition_cork(&cluster);
    cluster::wait_until("the leader to lose contact with cork", || {
        let entries = cluster.status().map(|s| s.entries).unwrap_or_default();
        entries
            .iter()
            .any(|e| &*e.zone == "cork" && e.since_contact_ms > 2000)
    });
    for locker in &lockers {
        for entry in ["entry-3", "entry-4"] {
            let response = cluster.lookup(entry, locker).unwrap();
            assert_eq!(
                (response.status, response.header("agateyoke-zone")),
                (200, "cork")
            );
        }
    }
    let response = cluster
        .release("entry-3", &lockers[0], "unrecorded")
        .unwrap();
    assert_eq!((response.status, response.verdict()), (503, "may-have-run"));
    heal_cork(&cluster);
    cluster.wait_until_serving();
    let results = load.stop();
    load::assert_verdicts(&cluster, &results);
    for locker in &lockers {
        cluster::wait_until("requests between zones to succeed", || {
            cluster
                .lookup("entry-1", locker)
                .is_ok_and(|r| r.status == 200)
        });
    }
    assert!(
        cluster
            .executions()
            .iter()
            .all(|r| r.claim.as_deref() != Some("unrecorded"))
    );
    cluster.assert_fences_never_decrease();
}

#[test]
fn keys_of_a_partitioned_zone_move_to_another_zone_after_its_term() {
    let cluster = Cluster::start_serving(
        |document| cluster::set_number(document, "term_ms", 2000),
        &[],
    );
    let lockers = cork_lockers(&cluster);
    let load = Load::start(&cluster, &["entry-3", "entry-4"]);
    partition_cork(&cluster);
    for locker in &lockers {
        cluster::wait_until("cork's keys to be served in galway", || {
            let response = cluster.lookup("entry-1", locker);
            response.is_ok_and(|r| r.status == 200 && r.header("agateyoke-zone") == "galway")
        });
    }
    let before = cluster.executions().len();
    heal_cork(&cluster);
    cluster.wait_until_serving();
    load.wait_for_successes(60);
    let results = load.stop();
    load::assert_verdicts(&cluster, &results);
    assert!(cluster.executions().len() > before);
    cluster.assert_fences_never_decrease();
}
