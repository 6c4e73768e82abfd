//! Control VMs that lose their disk, documents in force, ports under garbage.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a test fails by a panic"
)]

mod support;

use std::fs;
use std::io::Write;
use std::net::TcpStream;

use serde_json::{Value, json};
use support::{Fleet, Load, fleet, load};

const ALL: [&str; 4] = ["entry-1", "entry-2", "entry-3", "entry-4"];
const CONTROL: [&str; 3] = ["control-1", "control-2", "control-3"];

/// Seed of the garbage.
const SEED: u64 = 7;

/// Whether a control VM follows and has all that the leader has committed.
fn has_rejoined(fleet: &Fleet, name: &str) -> bool {
    let members = fleet.status().map(|s| s.control).unwrap_or_default();
    let commit = members.iter().map(|m| m.commit).max();
    members
        .iter()
        .any(|m| &*m.vm == name && &*m.role == "follower" && Some(m.commit + 20) >= commit)
}

#[test]
fn a_lost_disk_and_then_another_vm_lose_nothing_accepted() {
    let mut fleet = Fleet::serving(|_| {}, &[]);
    for n in 0..20 {
        let reply = fleet
            .release("entry-1", "L-1", &format!("before-{n}"))
            .unwrap();
        assert_eq!((reply.status, reply.verdict()), (200, "done"));
    }
    let leader = fleet.leader();
    let lost = CONTROL.into_iter().find(|c| **c != *leader).unwrap();
    fleet.kill(lost);
    fs::remove_dir_all(fleet.path(&format!("{lost}.data"))).unwrap();
    fleet.launch(lost);
    fleet::until("the VM without a disk rejoins", || {
        has_rejoined(&fleet, lost)
    });
    let document = fleet::document();
    assert!(fleet.apply(&document, 1, "between").status.success());
    fleet.kill(&leader);
    fleet::until("a change after both losses", || {
        fleet.apply(&document, 2, "after").status.success()
    });
    for n in 0..20 {
        let reply = fleet
            .release("entry-4", "L-1", &format!("before-{n}"))
            .unwrap();
        assert_eq!(reply.header("agateyoke-replay"), "true", "{reply:?}");
    }
    let history = fleet.client(&["history", "kiosk-core"]);
    let history = String::from_utf8(history.stdout).unwrap();
    for change in ["first", "between", "after"] {
        assert!(history.contains(change), "{history}");
    }
}

/// The second VM is lost before the first one can have been repaired.
#[test]
fn a_vm_without_its_disk_makes_no_majority_with_one_other() {
    let mut fleet = Fleet::serving(|_| {}, &[]);
    let leader = fleet.leader();
    let mut followers = CONTROL.into_iter().filter(|c| **c != *leader);
    let (lost, second) = (followers.next().unwrap(), followers.next().unwrap());
    fleet.kill(lost);
    let mut accepted = Vec::new();
    for base in 1..=5 {
        let change = format!("change-{base}");
        assert!(
            fleet
                .apply(&fleet::document(), base, &change)
                .status
                .success()
        );
        accepted.push(change);
    }
    fleet.kill(&leader);
    fs::remove_dir_all(fleet.path(&format!("{lost}.data"))).unwrap();
    fleet.launch(lost);
    // Only `second` remembers; with it alone nothing may be accepted anew.
    let output = fleet.apply(&fleet::document(), 0, "alone");
    assert_ne!(output.status.code(), Some(0), "{output:?}");
    fleet.launch(&leader);
    fleet::until("all of them", || has_rejoined(&fleet, lost));
    let history = fleet.client(&["history", "kiosk-core"]);
    let history = String::from_utf8(history.stdout).unwrap();
    assert!(accepted.iter().all(|c| history.contains(c)), "{history}");
    assert!(!history.contains("alone"), "{history}");
    assert!(fleet.is_running(second));
}

/// It freezes, so that nothing shows its absence but its silence; then all are killed.
#[test]
fn a_vm_that_missed_hundreds_of_changes_returns_and_a_restart_of_all_keeps_them() {
    let mut fleet = Fleet::serving(|_| {}, &[]);
    let leader = fleet.leader();
    let silent = CONTROL.into_iter().find(|c| **c != *leader).unwrap();
    fleet.signal(silent, libc::SIGSTOP);
    let load = Load::start(&fleet, &ALL);
    load.more(300);
    let asked = load.stop();
    load::assert_claims(&fleet, &asked);
    load::assert_served(asked.iter());
    fleet.signal(silent, libc::SIGCONT);
    fleet::until("its return", || has_rejoined(&fleet, silent));
    for control in CONTROL {
        fleet.kill(control);
    }
    for control in CONTROL {
        fleet.launch(control);
    }
    fleet.leader();
    let claims: Vec<_> = asked.iter().filter(|a| a.claim.is_some()).collect();
    for one in claims.iter().step_by(9) {
        let claim = one.claim.as_ref().unwrap();
        fleet::until("the recorded outcome", || {
            let again = fleet.release("entry-3", &one.locker, claim).unwrap();
            assert_ne!(again.verdict(), "not-run", "{again:?}");
            again.header("agateyoke-replay") == "true"
        });
    }
    load::assert_claims(&fleet, &asked);
}

/// What an entry VM says reaches the control VMs; what they answer is lost.
#[test]
fn a_cut_of_one_direction_doubles_no_claim_and_stops_no_lookup() {
    let fleet = Fleet::serving(|_| {}, &[]);
    let load = Load::start(&fleet, &["entry-1", "entry-2"]);
    load.more(40);
    let links = (1..=3).map(|c| fleet.link(&format!("entry-1-control-{c}")));
    let links: Vec<_> = links.collect();
    for link in &links {
        link.lose_answers();
    }
    let first = fleet.release("entry-1", "L-2", "unanswered").unwrap();
    assert_eq!(first.verdict(), "may-have-run", "{first:?}");
    load.more(100);
    for link in &links {
        link.heal();
    }
    fleet::until("the claim by another VM", || {
        let again = fleet.release("entry-4", "L-2", "unanswered").unwrap();
        assert_ne!(again.verdict(), "not-run", "{again:?}");
        again.status == 200
    });
    load.more(40);
    let asked = load.stop();
    load::assert_claims(&fleet, &asked);
    load::assert_served(asked.iter().filter(|a| a.claim.is_none()));
    fleet.assert_fences();
}

fn with_probe() -> Value {
    let mut document = fleet::document();
    let routes = document.get_mut("routes").unwrap().as_array_mut().unwrap();
    routes.push(json!({
        "name": "probe",
        "method": "GET",
        "path": "/probe/{locker}",
        "key": "path:locker",
        "rank": "lookup",
        "repeat": "idempotent",
        "deadline_ms": 6000,
    }));
    document
}

#[test]
fn a_document_is_in_force_everywhere_also_after_a_restart() {
    let mut fleet = Fleet::serving(|_| {}, &[]);
    let probe = |fleet: &Fleet, entry| fleet::send(fleet.callers(entry), "GET", "/probe/x", None);
    for entry in ALL {
        assert_eq!(probe(&fleet, entry).unwrap().status, 404);
    }
    let load = Load::start(&fleet, &["entry-1", "entry-3"]);
    assert!(fleet.apply(&with_probe(), 1, "probe").status.success());
    fleet.settled();
    for entry in ALL {
        assert_eq!(probe(&fleet, entry).unwrap().status, 200);
    }
    for entry in ["entry-2", "entry-4"] {
        fleet.kill(entry);
        fleet.launch(entry);
        fleet::until("the document after the restart", || {
            match probe(&fleet, entry) {
                Ok(reply) => {
                    assert!(!reply.body.contains("no such route"), "{reply:?}");
                    reply.status == 200
                }
                Err(_) => false,
            }
        });
    }
    for control in CONTROL {
        fleet.kill(control);
        fleet.launch(control);
    }
    for _ in 0..20 {
        for entry in ALL {
            assert_eq!(probe(&fleet, entry).unwrap().status, 200);
        }
    }
    load.more(40);
    load::assert_claims(&fleet, &load.stop());
    fleet.settled();
    let status = fleet.status().unwrap();
    assert_eq!(
        status.services.first().map(|s| (s.version, s.in_force)),
        Some((2, 4))
    );
}

#[test]
fn no_daemon_uses_io_uring_or_ends_by_garbage() {
    let mut fleet = Fleet::serving(|_| {}, &[]);
    let load = Load::start(&fleet, &ALL);
    load.more(60);
    for name in CONTROL.iter().chain(&ALL) {
        let files = fs::read_dir(format!("/proc/{}/fd", fleet.pid(name))).unwrap();
        let links = files.filter_map(|f| fs::read_link(f.unwrap().path()).ok());
        let links: Vec<_> = links.map(|l| l.display().to_string()).collect();
        assert!(links.iter().any(|l| l.starts_with("socket:")));
        assert!(!links.iter().any(|l| l.contains("io_uring")), "{links:?}");
    }
    let mut random = fastrand::Rng::with_seed(SEED);
    let entry = (1..=4).flat_map(|i| [7200, 7210, 7220, 7230].map(|p| p + i));
    let control = (1..=3).flat_map(|i| [7100, 7110].map(|p| p + i));
    for port in entry.chain(control) {
        for round in 0..12 {
            let mut stream = TcpStream::connect(fleet.at(port)).unwrap();
            let start: &[u8] = match round % 4 {
                0 => b"",
                1 => b"POST /v1/lease HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\n",
                2 => &[0, 0, 0, 40],
                _ => b"GET / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
            };
            let noise: Vec<u8> = (0..random.usize(1..4000)).map(|_| random.u8(..)).collect();
            let _ = stream.write_all(start);
            let _ = stream.write_all(&noise);
        }
    }
    load.more(100);
    for name in CONTROL.iter().chain(&ALL) {
        assert!(fleet.is_running(name), "{name} ended");
    }
    let asked = load.stop();
    load::assert_claims(&fleet, &asked);
    load::assert_served(asked.iter());
}
