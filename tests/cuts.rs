//! Connections that go silent and availability zones that are cut off.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a test fails by a panic"
)]

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;

use support::load::{self, LOCKERS};
use support::{Fleet, Load, fleet};

const ALL: [&str; 4] = ["entry-1", "entry-2", "entry-3", "entry-4"];
const SERVERS: [(&str, u16); 4] = [
    ("galway-1", 7311),
    ("galway-2", 7312),
    ("cork-1", 7331),
    ("cork-2", 7332),
];

/// Tells a backend server to misbehave.
fn misbehave(fleet: &Fleet, port: u16, change: &str) {
    let mut stream = TcpStream::connect(fleet.at(port)).unwrap();
    let length = change.len();
    let head = "POST /_stand-in HTTP/1.1\r\nhost: x\r\nconnection: close";
    write!(stream, "{head}\r\ncontent-length: {length}\r\n\r\n{change}").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Connections between entry VMs and backend servers that never answer again.
#[test]
fn silent_connections_stop_no_lookup_and_double_no_claim() {
    let fleet = Fleet::serving(|_| {}, &["--slots", "60"]);
    let load = Load::start(&fleet, &ALL);
    for (_, port) in SERVERS {
        load.more(60);
        misbehave(&fleet, port, r#"{"silent": true}"#);
        load.more(60);
    }
    let asked = load.stop();
    load::assert_claims(&fleet, &asked);
    load::assert_served(asked.iter().filter(|a| a.claim.is_none()));
    fleet.assert_fences();
}

/// Requests that run and whose answers never come.
#[test]
fn a_claim_whose_answer_is_lost_is_neither_sent_again_nor_called_not_run() {
    let fleet = Fleet::serving(
        |document| {
            let routes = document.get_mut("routes").unwrap().as_array_mut().unwrap();
            for route in routes {
                fleet::set(route, "deadline_ms", 1500);
            }
        },
        &["--slots", "200"],
    );
    for (_, port) in SERVERS {
        misbehave(&fleet, port, r#"{"lose_half": true}"#);
    }
    let load = Load::start(&fleet, &ALL);
    load.more(60);
    let mut asked = load.stop();
    let is_lost = |a: &&load::Asked| {
        a.claim.is_some()
            && a.reply
                .as_ref()
                .is_ok_and(|r| r.verdict() == "may-have-run")
    };
    let lost: Vec<_> = asked.iter().filter(is_lost).collect();
    assert!(!lost.is_empty());
    let again: Vec<_> = lost
        .iter()
        .take(4)
        .map(|a| load::Asked {
            locker: a.locker.clone(),
            claim: a.claim.clone(),
            entry: a.entry,
            reply: fleet.release("entry-2", &a.locker, a.claim.as_ref().unwrap()),
        })
        .collect();
    asked.extend(again);
    load::assert_claims(&fleet, &asked);
}

/// Cuts cork's entry VMs off from the control VMs and from galway's.
fn cut_cork_off(fleet: &Fleet) {
    let cork = ["entry-3", "entry-4"].map(|e| fleet.pid(e));
    let others = ["entry-1", "entry-2", "control-1", "control-2", "control-3"];
    let others = others.map(|n| fleet.pid(n));
    for entry in ["entry-3", "entry-4"] {
        for control in 1..=3 {
            fleet.link(&format!("{entry}-control-{control}")).cut();
        }
        fleet.link(entry).cut_from(&others);
    }
    for entry in ["entry-1", "entry-2"] {
        fleet.link(entry).cut_from(&cork);
    }
}

fn heal_cork(fleet: &Fleet) {
    for entry in ["entry-3", "entry-4"] {
        for control in 1..=3 {
            fleet.link(&format!("{entry}-control-{control}")).heal();
        }
    }
    for entry in ALL {
        fleet.link(entry).heal();
    }
}

/// Lockers that cork owns.
fn cork_lockers(fleet: &Fleet) -> Vec<String> {
    let lockers = (0..LOCKERS).map(|n| format!("L-{n}"));
    let is_cork = |l: &String| fleet.look("entry-3", l).unwrap().header("agateyoke-zone") == "cork";
    let lockers: Vec<String> = lockers.filter(is_cork).collect();
    assert!(!lockers.is_empty());
    lockers
}

#[test]
fn a_zone_that_is_cut_off_serves_its_own_keys_within_its_term() {
    let fleet = Fleet::serving(|document| fleet::set(document, "term_ms", 600_000), &[]);
    let lockers = cork_lockers(&fleet);
    let load = Load::start(&fleet, &["entry-1", "entry-2"]);
    cut_cork_off(&fleet);
    fleet::until("the leader misses cork", || {
        let entries = fleet.status().map(|s| s.entries).unwrap_or_default();
        entries
            .iter()
            .any(|e| &*e.zone == "cork" && e.since_contact_ms > 2000)
    });
    for locker in &lockers {
        for entry in ["entry-3", "entry-4"] {
            let reply = fleet.look(entry, locker).unwrap();
            assert_eq!(
                (reply.status, reply.header("agateyoke-zone")),
                (200, "cork")
            );
        }
    }
    let reply = fleet.release("entry-3", &lockers[0], "unrecorded").unwrap();
    assert_eq!((reply.status, reply.verdict()), (503, "may-have-run"));
    heal_cork(&fleet);
    fleet.settled();
    let asked = load.stop();
    load::assert_claims(&fleet, &asked);
    for locker in &lockers {
        fleet::until("requests between the zones", || {
            fleet.look("entry-1", locker).is_ok_and(|r| r.status == 200)
        });
    }
    assert!(
        fleet
            .runs()
            .iter()
            .all(|r| r.claim.as_deref() != Some("unrecorded"))
    );
    fleet.assert_fences();
}

#[test]
fn keys_of_a_zone_that_stays_cut_off_are_taken_over_after_its_term() {
    let fleet = Fleet::serving(|document| fleet::set(document, "term_ms", 2000), &[]);
    let lockers = cork_lockers(&fleet);
    let load = Load::start(&fleet, &["entry-3", "entry-4"]);
    cut_cork_off(&fleet);
    for locker in &lockers {
        fleet::until("cork's keys in galway", || {
            let reply = fleet.look("entry-1", locker);
            reply.is_ok_and(|r| r.status == 200 && r.header("agateyoke-zone") == "galway")
        });
    }
    let moved = fleet.runs().len();
    heal_cork(&fleet);
    fleet.settled();
    load.more(60);
    let asked = load.stop();
    load::assert_claims(&fleet, &asked);
    assert!(fleet.runs().len() > moved);
    fleet.assert_fences();
}
