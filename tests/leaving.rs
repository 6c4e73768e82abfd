//! Processes that are told to stop while requests run.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a test fails by a panic"
)]

mod support;

use std::io::ErrorKind;
use std::thread;

use support::{Fleet, Load, fleet, load};

/// Claims are at work when each server is told to stop: none is cut off or sent again.
#[test]
fn a_backend_server_that_drains_ends_whole_and_fails_no_request() {
    let mut fleet = Fleet::serving(|_| {}, &["--work-ms", "150"]);
    let load = Load::start(&fleet, &["entry-1", "entry-2", "entry-3", "entry-4"]);
    for name in ["galway-1", "cork-2"] {
        load.more(30);
        let lockers = (0..load::LOCKERS).map(|n| format!("L-{n}"));
        let owned = |l: &String| fleet.look("entry-1", l).unwrap().server() == name;
        let locker = lockers.into_iter().find(owned).unwrap();
        let claim = format!("in-flight-{name}");
        let (to, id) = (fleet.callers("entry-2"), claim.clone());
        let path = format!("/lockers/{locker}/release");
        let sent = thread::spawn(move || fleet::send(to, "POST", &path, Some(&id)));
        fleet::until("the claim at work", || {
            fleet
                .runs()
                .iter()
                .any(|r| r.claim.as_ref() == Some(&claim))
        });
        fleet.signal(name, libc::SIGTERM);
        let reply = sent.join().unwrap().unwrap();
        assert_eq!(
            (reply.status, reply.verdict(), reply.server()),
            (200, "done", name)
        );
        assert_eq!(fleet.ended(name).code(), Some(0));
    }
    let before = fleet.runs().len();
    load.more(30);
    let asked = load.stop();
    let late = fleet.runs().split_off(before);
    assert!(
        late.iter()
            .all(|r| r.server == "galway-2" || r.server == "cork-1")
    );
    load::assert_claims(&fleet, &asked);
    load::assert_served(asked.iter());
    fleet.assert_fences();
}

/// Only a connection that was refused may fail: on it nothing was sent.
#[test]
fn an_entry_vm_that_stops_cuts_off_no_request() {
    let mut fleet = Fleet::serving(|_| {}, &["--work-ms", "50"]);
    for name in ["entry-1", "entry-3"] {
        let load = Load::start(&fleet, &[name]);
        load.more(60);
        fleet.signal(name, libc::SIGTERM);
        assert_eq!(fleet.ended(name).code(), Some(0));
        let asked = load.stop();
        load::assert_claims(&fleet, &asked);
        let refused = |a: &&load::Asked| {
            let kind = a.reply.as_ref().map_err(std::io::Error::kind);
            kind.is_err_and(|k| k == ErrorKind::ConnectionRefused)
        };
        assert!(asked.iter().any(|a| refused(&a)));
        load::assert_served(asked.iter().filter(|a| !refused(a)));
    }
    let load = Load::start(&fleet, &["entry-2", "entry-4"]);
    load.more(100);
    load::assert_claims(&fleet, &load.stop());
    fleet.assert_fences();
}
