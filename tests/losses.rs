//! Processes that are killed or suspended while requests run.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a test fails by a panic"
)]

mod support;

use std::collections::BTreeMap;

use support::load::{self, LOCKERS};
use support::{Cluster, Load, cluster};

const ENTRY_VMS: [&str; 4] = ["entry-1", "entry-2", "entry-3", "entry-4"];

/// Owner of each locker.
fn owners(cluster: &Cluster) -> BTreeMap<String, String> {
    let lockers = (0..LOCKERS).map(|n| format!("L-{n}"));
    let owner = |locker: String| {
        let response = cluster.lookup("entry-1", &locker).unwrap();
        (locker, response.server().to_owned())
    };
    lockers.map(owner).collect()
}

/// The backend server that owns locker `L-0`, and the owners of all lockers.
fn victim(cluster: &Cluster) -> (String, BTreeMap<String, String>) {
    let owners = owners(cluster);
    (owners.get("L-0").unwrap().clone(), owners)
}

/// Waits until all lockers are served by backend servers other than `failed`.
fn wait_until_served_by_others(cluster: &Cluster, failed: &str) {
    for n in 0..LOCKERS {
        cluster::wait_until("keys to be served by another server", || {
            let response = cluster.lookup("entry-1", &format!("L-{n}"));
            response.is_ok_and(|r| r.status == 200 && r.server() != failed)
        });
    }
}

#[test]
fn keys_of_a_killed_backend_server_move_to_others() {
    let mut cluster = Cluster::start_serving(|_| {}, &[]);
    let (victim, owners) = victim(&cluster);
    let load = Load::start(&cluster, &ENTRY_VMS);
    load.wait_for_successes(60);
    cluster.kill(&victim);
    load.wait_for_successes(200);
    wait_until_served_by_others(&cluster, &victim);
    let results = load.stop();
    load::assert_verdicts(&cluster, &results);
    load::assert_all_succeeded(
        results
            .iter()
            .filter(|a| owners.get(&a.locker) != Some(&victim)),
    );
    cluster.assert_fences_never_decrease();
}

#[test]
fn killed_primary_is_replaced_without_failed_requests() {
    let mut cluster = Cluster::start_serving(|_| {}, &[]);
    let load = Load::start(&cluster, &["entry-3", "entry-4"]);
    load.wait_for_successes(60);
    let primary = cluster.primary("galway");
    cluster.kill(&primary);
    load.wait_for_successes(200);
    cluster::wait_until("another primary", || cluster.primary("galway") != primary);
    load.wait_for_successes(100);
    let document = cluster::document();
    assert!(cluster.apply(&document, 1, "after").status.success());
    let results = load.stop();
    load::assert_verdicts(&cluster, &results);
    load::assert_all_succeeded(results.iter());
    cluster.assert_fences_never_decrease();
}

#[test]
fn killed_leader_is_replaced_without_failed_requests() {
    let mut cluster = Cluster::start_serving(|_| {}, &[]);
    let load = Load::start(&cluster, &ENTRY_VMS);
    load.wait_for_successes(60);
    let leader = cluster.leader();
    cluster.kill(&leader);
    load.wait_for_successes(200);
    let document = cluster::document();
    cluster::wait_until("a change after the failure", || {
        cluster.apply(&document, 1, "after").status.success()
    });
    load.wait_for_successes(60);
    let results = load.stop();
    load::assert_verdicts(&cluster, &results);
    load::assert_all_succeeded(results.iter());
    cluster.assert_fences_never_decrease();
    assert_ne!(cluster.leader(), leader);
}

/// The server resumes after its lease has expired, with requests already on their way to it.
#[test]
fn suspended_backend_server_runs_nothing_under_an_expired_grant() {
    let cluster = Cluster::start_serving(|_| {}, &[]);
    let (victim, owners) = victim(&cluster);
    let load = Load::start(&cluster, &ENTRY_VMS);
    for _ in 0..2 {
        load.wait_for_successes(60);
        cluster.signal(&victim, libc::SIGSTOP);
        load.wait_for_successes(60);
        wait_until_served_by_others(&cluster, &victim);
        cluster.signal(&victim, libc::SIGCONT);
        load.wait_for_successes(100);
        cluster.wait_until_serving();
    }
    let results = load.stop();
    load::assert_verdicts(&cluster, &results);
    load::assert_all_succeeded(
        results
            .iter()
            .filter(|a| a.claim.is_none() && owners.get(&a.locker) != Some(&victim)),
    );
    cluster.assert_fences_never_decrease();
}

#[test]
fn suspended_primary_is_replaced_and_resumes_safely() {
    let cluster = Cluster::start_serving(|_| {}, &[]);
    let load = Load::start(&cluster, &["entry-3", "entry-4"]);
    load.wait_for_successes(60);
    let primary = cluster.primary("galway");
    cluster.signal(&primary, libc::SIGSTOP);
    load.wait_for_successes(100);
    cluster::wait_until("another primary", || cluster.primary("galway") != primary);
    load.wait_for_successes(100);
    cluster.signal(&primary, libc::SIGCONT);
    load.wait_for_successes(200);
    let results = load.stop();
    load::assert_verdicts(&cluster, &results);
    load::assert_all_succeeded(results.iter());
    cluster.assert_fences_never_decrease();
    cluster::wait_until("requests through the resumed VM to succeed", || {
        cluster
            .lookup(&primary, "L-0")
            .is_ok_and(|r| r.status == 200)
    });
}

#[test]
fn suspended_leader_is_replaced_and_resumes_safely() {
    let cluster = Cluster::start_serving(|_| {}, &[]);
    let load = Load::start(&cluster, &ENTRY_VMS);
    load.wait_for_successes(60);
    let leader = cluster.leader();
    cluster.signal(&leader, libc::SIGSTOP);
    let mut document = cluster::document();
    cluster::set_number(document.get_mut("limits").unwrap(), "queue", 999);
    cluster::wait_until("a change without the suspended leader", || {
        cluster.apply(&document, 1, "without").status.success()
    });
    load.wait_for_successes(100);
    cluster.signal(&leader, libc::SIGCONT);
    load.wait_for_successes(100);
    let shown = cluster.run_client(&["--json", "show", "kiosk-core"]);
    let shown: serde_json::Value = serde_json::from_slice(&shown.stdout).unwrap();
    assert_eq!(shown.get("current"), Some(&2.into()));
    let results = load.stop();
    load::assert_verdicts(&cluster, &results);
    load::assert_all_succeeded(results.iter());
    cluster.assert_fences_never_decrease();
}

/// A claim is sent through all entry VMs at the same time, and another one is retried through
/// other entry VMs after the first one was killed.
#[test]
fn claim_through_several_entry_vms_runs_at_most_once() {
    let mut cluster = Cluster::start_serving(|_| {}, &["--work-ms", "20"]);
    for n in 0..8 {
        let claim = format!("claim-{n}");
        let (claim, shared) = (&*claim, &cluster);
        std::thread::scope(|scope| {
            for entry in ENTRY_VMS {
                scope.spawn(move || shared.release(entry, "L-3", claim));
            }
        });
    }
    let (claim, to) = ("claim-lost", cluster.caller_address("entry-2"));
    let sender = std::thread::spawn(move || {
        cluster::send_request(to, "POST", "/lockers/L-5/release", Some(claim))
    });
    cluster::wait_until("the claim to run", || {
        cluster
            .executions()
            .iter()
            .any(|r| r.claim.as_deref() == Some(claim))
    });
    cluster.kill("entry-2");
    let first = sender.join().unwrap();
    let mut results = Vec::new();
    for entry in ["entry-1", "entry-3", "entry-4"] {
        results.push(load::CallResult {
            locker: "L-5".to_owned(),
            claim: Some(claim.to_owned()),
            entry: cluster.caller_address(entry),
            response: cluster.release(entry, "L-5", claim),
        });
    }
    load::assert_verdicts(&cluster, &results);
    let count = |id: &str| {
        cluster
            .executions()
            .iter()
            .filter(|r| r.claim.as_deref() == Some(id))
            .count()
    };
    for n in 0..8 {
        assert_eq!(count(&format!("claim-{n}")), 1);
    }
    assert_eq!(count(claim), 1, "{first:?}");
}
