//! Processes that are killed or freeze while requests run.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a test fails by a panic"
)]

mod support;

use std::collections::BTreeMap;

use support::load::{self, LOCKERS};
use support::{Fleet, Load, fleet};

const ALL: [&str; 4] = ["entry-1", "entry-2", "entry-3", "entry-4"];

/// Owner of each locker.
fn owners(fleet: &Fleet) -> BTreeMap<String, String> {
    let lockers = (0..LOCKERS).map(|n| format!("L-{n}"));
    let owner = |locker: String| {
        let reply = fleet.look("entry-1", &locker).unwrap();
        (locker, reply.server().to_owned())
    };
    lockers.map(owner).collect()
}

/// A backend server that owns the first locker, and the owners of all.
fn victim(fleet: &Fleet) -> (String, BTreeMap<String, String>) {
    let owners = owners(fleet);
    (owners.get("L-0").unwrap().clone(), owners)
}

/// Waits until all lockers are served, none of them by `lost`.
fn served_by_others(fleet: &Fleet, lost: &str) {
    for n in 0..LOCKERS {
        fleet::until("keys at another server", || {
            let reply = fleet.look("entry-1", &format!("L-{n}"));
            reply.is_ok_and(|r| r.status == 200 && r.server() != lost)
        });
    }
}

#[test]
fn keys_of_a_killed_backend_server_are_served_by_another() {
    let mut fleet = Fleet::serving(|_| {}, &[]);
    let (victim, owners) = victim(&fleet);
    let load = Load::start(&fleet, &ALL);
    load.more(60);
    fleet.kill(&victim);
    load.more(200);
    served_by_others(&fleet, &victim);
    let asked = load.stop();
    load::assert_claims(&fleet, &asked);
    load::assert_served(
        asked
            .iter()
            .filter(|a| owners.get(&a.locker) != Some(&victim)),
    );
    fleet.assert_fences();
}

#[test]
fn a_killed_carrier_is_replaced_and_requests_go_on() {
    let mut fleet = Fleet::serving(|_| {}, &[]);
    let load = Load::start(&fleet, &["entry-3", "entry-4"]);
    load.more(60);
    let carrier = fleet.carrier("galway");
    fleet.kill(&carrier);
    load.more(200);
    fleet::until("another carrier", || fleet.carrier("galway") != carrier);
    load.more(100);
    let document = fleet::document();
    assert!(fleet.apply(&document, 1, "after").status.success());
    let asked = load.stop();
    load::assert_claims(&fleet, &asked);
    load::assert_served(asked.iter());
    fleet.assert_fences();
}

#[test]
fn a_killed_leader_is_replaced_and_requests_go_on() {
    let mut fleet = Fleet::serving(|_| {}, &[]);
    let load = Load::start(&fleet, &ALL);
    load.more(60);
    let leader = fleet.leader();
    fleet.kill(&leader);
    load.more(200);
    let document = fleet::document();
    fleet::until("a change after the loss", || {
        fleet.apply(&document, 1, "after").status.success()
    });
    load.more(60);
    let asked = load.stop();
    load::assert_claims(&fleet, &asked);
    load::assert_served(asked.iter());
    fleet.assert_fences();
    assert_ne!(fleet.leader(), leader);
}

/// It returns as though nothing happened, with requests on their way to it.
#[test]
fn a_frozen_backend_server_runs_nothing_under_an_old_grant() {
    let fleet = Fleet::serving(|_| {}, &[]);
    let (victim, owners) = victim(&fleet);
    let load = Load::start(&fleet, &ALL);
    for _ in 0..2 {
        load.more(60);
        fleet.signal(&victim, libc::SIGSTOP);
        load.more(60);
        served_by_others(&fleet, &victim);
        fleet.signal(&victim, libc::SIGCONT);
        load.more(100);
        fleet.settled();
    }
    let asked = load.stop();
    load::assert_claims(&fleet, &asked);
    load::assert_served(
        asked
            .iter()
            .filter(|a| a.claim.is_none() && owners.get(&a.locker) != Some(&victim)),
    );
    fleet.assert_fences();
}

#[test]
fn a_frozen_carrier_is_replaced_and_its_return_does_no_harm() {
    let fleet = Fleet::serving(|_| {}, &[]);
    let load = Load::start(&fleet, &["entry-3", "entry-4"]);
    load.more(60);
    let carrier = fleet.carrier("galway");
    fleet.signal(&carrier, libc::SIGSTOP);
    load.more(100);
    fleet::until("another carrier", || fleet.carrier("galway") != carrier);
    load.more(100);
    fleet.signal(&carrier, libc::SIGCONT);
    load.more(200);
    let asked = load.stop();
    load::assert_claims(&fleet, &asked);
    load::assert_served(asked.iter());
    fleet.assert_fences();
    fleet::until("requests by the VM that froze", || {
        fleet.look(&carrier, "L-0").is_ok_and(|r| r.status == 200)
    });
}

#[test]
fn a_frozen_leader_is_replaced_and_its_return_does_no_harm() {
    let fleet = Fleet::serving(|_| {}, &[]);
    let load = Load::start(&fleet, &ALL);
    load.more(60);
    let leader = fleet.leader();
    fleet.signal(&leader, libc::SIGSTOP);
    let mut document = fleet::document();
    fleet::set(document.get_mut("limits").unwrap(), "queue", 999);
    fleet::until("a change without the old leader", || {
        fleet.apply(&document, 1, "without").status.success()
    });
    load.more(100);
    fleet.signal(&leader, libc::SIGCONT);
    load.more(100);
    let shown = fleet.client(&["--json", "show", "kiosk-core"]);
    let shown: serde_json::Value = serde_json::from_slice(&shown.stdout).unwrap();
    assert_eq!(shown.get("current"), Some(&2.into()));
    let asked = load.stop();
    load::assert_claims(&fleet, &asked);
    load::assert_served(asked.iter());
    fleet.assert_fences();
}

/// At the same time through two entry VMs, and again after one of them died.
#[test]
fn a_claim_by_many_ways_runs_at_most_once() {
    let mut fleet = Fleet::serving(|_| {}, &["--work-ms", "20"]);
    for n in 0..8 {
        let claim = format!("claim-{n}");
        let (claim, shared) = (&*claim, &fleet);
        std::thread::scope(|scope| {
            for entry in ALL {
                scope.spawn(move || shared.release(entry, "L-3", claim));
            }
        });
    }
    let (claim, to) = ("claim-lost", fleet.callers("entry-2"));
    let sender =
        std::thread::spawn(move || fleet::send(to, "POST", "/lockers/L-5/release", Some(claim)));
    fleet::until("the claim runs", || {
        fleet
            .runs()
            .iter()
            .any(|r| r.claim.as_deref() == Some(claim))
    });
    fleet.kill("entry-2");
    let first = sender.join().unwrap();
    let mut asked = Vec::new();
    for entry in ["entry-1", "entry-3", "entry-4"] {
        asked.push(load::Asked {
            locker: "L-5".to_owned(),
            claim: Some(claim.to_owned()),
            entry: fleet.callers(entry),
            reply: fleet.release(entry, "L-5", claim),
        });
    }
    load::assert_claims(&fleet, &asked);
    let count = |id: &str| {
        fleet
            .runs()
            .iter()
            .filter(|r| r.claim.as_deref() == Some(id))
            .count()
    };
    for n in 0..8 {
        assert_eq!(count(&format!("claim-{n}")), 1);
    }
    assert_eq!(count(claim), 1, "{first:?}");
}
