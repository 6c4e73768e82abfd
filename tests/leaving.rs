//! Processes that leave while requests run: by `SIGTERM`, or as their responses say.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a test fails by a panic"
)]

mod support;

use std::io::ErrorKind;
use std::thread;
use std::time::{Duration, Instant};

use support::{Cluster, Load, cluster, load};

/// A server gets `SIGTERM` while a claim runs on it: the claim is neither aborted nor retried.
#[test]
fn draining_backend_server_finishes_requests_and_fails_none() {
    let mut cluster = Cluster::start_serving(|_| {}, &["--work-ms", "150"]);
    let load = Load::start(&cluster, &["entry-1", "entry-2", "entry-3", "entry-4"]);
    for name in ["galway-1", "cork-2"] {
        load.wait_for_successes(30);
        let lockers = (0..load::LOCKERS).map(|n| format!("L-{n}"));
        let owned = |l: &String| cluster.lookup("entry-1", l).unwrap().server() == name;
        let locker = lockers.into_iter().find(owned).unwrap();
        let claim = format!("in-flight-{name}");
        let (to, id) = (cluster.caller_address("entry-2"), claim.clone());
        let path = format!("/lockers/{locker}/release");
        let sender = thread::spawn(move || cluster::send_request(to, "POST", &path, Some(&id)));
        cluster::wait_until("the claim to run", || {
            cluster
                .executions()
                .iter()
                .any(|r| r.claim.as_ref() == Some(&claim))
        });
        cluster.signal(name, libc::SIGTERM);
        let response = sender.join().unwrap().unwrap();
        assert_eq!(
            (response.status, response.verdict(), response.server()),
            (200, "done", name)
        );
        assert_eq!(cluster.wait_for_exit(name).code(), Some(0));
    }
    let before = cluster.executions().len();
    load.wait_for_successes(30);
    let results = load.stop();
    let executions = cluster.executions().split_off(before);
    assert!(
        executions
            .iter()
            .all(|r| r.server == "galway-2" || r.server == "cork-1")
    );
    load::assert_verdicts(&cluster, &results);
    load::assert_all_succeeded(results.iter());
    cluster.assert_fences_never_decrease();
}

/// A server says in its responses that it leaves, and nothing in its heartbeats.
#[test]
fn backend_server_that_leaves_by_its_responses_loses_its_keys() {
    let cluster = Cluster::start_serving(|_| {}, &[]);
    let load = Load::start(&cluster, &["entry-1", "entry-2", "entry-3", "entry-4"]);
    load.wait_for_successes(30);
    cluster.inject_faults(7311, r#"{"leaving": true}"#);
    let has_lost_its_keys = || {
        let lockers = (0..load::LOCKERS).map(|n| format!("L-{n}"));
        let owners = lockers.filter_map(|l| cluster.lookup("entry-1", &l).ok());
        let owners: Vec<_> = owners.map(|r| r.server().to_owned()).collect();
        owners.len() == load::LOCKERS && !owners.iter().any(|o| o == "galway-1")
    };
    cluster::wait_until("the keys to move", has_lost_its_keys);
    let before = cluster.executions().len();
    load.wait_for_successes(60);
    let results = load.stop();
    let executions = cluster.executions().split_off(before);
    assert!(executions.iter().all(|r| r.server != "galway-1"));
    load::assert_verdicts(&cluster, &results);
    load::assert_all_succeeded(results.iter());
    cluster.assert_fences_never_decrease();
}

/// Servers that ask for no requests get none; callers are told when to return.
#[test]
fn quiet_backend_servers_get_no_requests() {
    let cluster = Cluster::start_serving(|_| {}, &[]);
    for port in [7311, 7312, 7331, 7332] {
        cluster.inject_faults(port, r#"{"quiet_s": 3}"#);
    }
    let lookup = || cluster.lookup("entry-1", "L-1").unwrap();
    let first = lookup();
    assert_eq!((first.status, first.verdict()), (503, "not-run"));
    let seconds: u64 = first.header("retry-after").parse().unwrap();
    assert!((1..=5).contains(&seconds), "{seconds}");
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(2) {
        let sent = Instant::now();
        assert_eq!(lookup().status, 503);
        assert!(sent.elapsed() < Duration::from_millis(500));
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(cluster.executions().len(), 0);
    cluster::wait_until("a served request", || lookup().status == 200);
}

/// Only refused connections may fail, as no request was sent on them.
#[test]
fn stopping_entry_vm_aborts_no_request() {
    let mut cluster = Cluster::start_serving(|_| {}, &["--work-ms", "50"]);
    for name in ["entry-1", "entry-3"] {
        let load = Load::start(&cluster, &[name]);
        load.wait_for_successes(60);
        cluster.signal(name, libc::SIGTERM);
        assert_eq!(cluster.wait_for_exit(name).code(), Some(0));
        let results = load.stop();
        load::assert_verdicts(&cluster, &results);
        let refused = |a: &&load::CallResult| {
            let kind = a.response.as_ref().map_err(std::io::Error::kind);
            kind.is_err_and(|k| k == ErrorKind::ConnectionRefused)
        };
        assert!(results.iter().any(|a| refused(&a)));
        load::assert_all_succeeded(results.iter().filter(|a| !refused(a)));
    }
    let load = Load::start(&cluster, &["entry-2", "entry-4"]);
    load.wait_for_successes(100);
    load::assert_verdicts(&cluster, &load.stop());
    cluster.assert_fences_never_decrease();
}
