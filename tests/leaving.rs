//! Processes that get `SIGTERM` while requests run.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a test fails by a panic"
)]

mod support;

use std::io::ErrorKind;
use std::thread;

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
