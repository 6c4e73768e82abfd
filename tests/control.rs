//! Control VMs that lose their data directory, applied documents, malformed input on all ports.
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
use support::{Cluster, Load, cluster, load};

const ENTRY_VMS: [&str; 4] = ["entry-1", "entry-2", "entry-3", "entry-4"];
const CONTROL_VMS: [&str; 3] = ["control-1", "control-2", "control-3"];

/// Seed of the random input.
const NOISE_SEED: u64 = 7;

/// Whether a control VM is a follower and its commit index is close to the highest one.
fn has_rejoined(cluster: &Cluster, name: &str) -> bool {
    let members = cluster.status().map(|s| s.control).unwrap_or_default();
    let commit = members.iter().map(|m| m.commit).max();
    members
        .iter()
        .any(|m| &*m.vm == name && &*m.role == "follower" && Some(m.commit + 20) >= commit)
}

#[test]
fn losing_a_data_directory_and_then_the_leader_keeps_accepted_data() {
    let mut cluster = Cluster::start_serving(|_| {}, &[]);
    for n in 0..20 {
        let response = cluster
            .release("entry-1", "L-1", &format!("before-{n}"))
            .unwrap();
        assert_eq!((response.status, response.verdict()), (200, "done"));
    }
    let leader = cluster.leader();
    let lost = CONTROL_VMS.into_iter().find(|c| **c != *leader).unwrap();
    cluster.kill(lost);
    fs::remove_dir_all(cluster.path(&format!("{lost}.data"))).unwrap();
    cluster.launch(lost);
    cluster::wait_until("the VM without data to rejoin", || {
        has_rejoined(&cluster, lost)
    });
    let document = cluster::document();
    assert!(cluster.apply(&document, 1, "between").status.success());
    cluster.kill(&leader);
    cluster::wait_until("a change after both failures", || {
        cluster.apply(&document, 2, "after").status.success()
    });
    for n in 0..20 {
        let response = cluster
            .release("entry-4", "L-1", &format!("before-{n}"))
            .unwrap();
        assert_eq!(response.header("agateyoke-replay"), "true", "{response:?}");
    }
    let history = cluster.run_client(&["history", "kiosk-core"]);
    let history = String::from_utf8(history.stdout).unwrap();
    for change in ["first", "between", "after"] {
        assert!(history.contains(change), "{history}");
    }
}

/// The leader fails before the follower that lost its data has caught up. If that follower
/// voted, it would form a majority that misses accepted documents.
#[test]
fn vm_that_lost_its_data_forms_no_majority_with_one_other() {
    let mut cluster = Cluster::start_serving(|_| {}, &[]);
    let leader = cluster.leader();
    let mut followers = CONTROL_VMS.into_iter().filter(|c| **c != *leader);
    let (lost, second) = (followers.next().unwrap(), followers.next().unwrap());
    cluster.kill(lost);
    let mut accepted = Vec::new();
    for base in 1..=5 {
        let change = format!("change-{base}");
        assert!(
            cluster
                .apply(&cluster::document(), base, &change)
                .status
                .success()
        );
        accepted.push(change);
    }
    cluster.kill(&leader);
    fs::remove_dir_all(cluster.path(&format!("{lost}.data"))).unwrap();
    cluster.launch(lost);
    // Only `second` has the documents; on its own it may accept nothing.
    let output = cluster.apply(&cluster::document(), 0, "alone");
    assert_ne!(output.status.code(), Some(0), "{output:?}");
    cluster.launch(&leader);
    cluster::wait_until("all control VMs to rejoin", || has_rejoined(&cluster, lost));
    let history = cluster.run_client(&["history", "kiosk-core"]);
    let history = String::from_utf8(history.stdout).unwrap();
    assert!(accepted.iter().all(|c| history.contains(c)), "{history}");
    assert!(!history.contains("alone"), "{history}");
    assert!(cluster.is_running(second));
}

/// A follower is suspended while its connections stay open, and misses hundreds of changes; after
/// it has caught up, all control VMs are killed and restarted.
#[test]
fn outcomes_survive_a_lagging_follower_and_a_restart_of_all_control_vms() {
    let mut cluster = Cluster::start_serving(|_| {}, &[]);
    let leader = cluster.leader();
    let paused = CONTROL_VMS.into_iter().find(|c| **c != *leader).unwrap();
    cluster.signal(paused, libc::SIGSTOP);
    let load = Load::start(&cluster, &ENTRY_VMS);
    load.wait_for_successes(300);
    let results = load.stop();
    load::assert_verdicts(&cluster, &results);
    load::assert_all_succeeded(results.iter());
    cluster.signal(paused, libc::SIGCONT);
    cluster::wait_until("the follower to catch up", || {
        has_rejoined(&cluster, paused)
    });
    for control in CONTROL_VMS {
        cluster.kill(control);
    }
    for control in CONTROL_VMS {
        cluster.launch(control);
    }
    cluster.leader();
    let claims: Vec<_> = results.iter().filter(|a| a.claim.is_some()).collect();
    for result in claims.iter().step_by(9) {
        let claim = result.claim.as_ref().unwrap();
        cluster::wait_until("a replay of the recorded outcome", || {
            let replay = cluster.release("entry-3", &result.locker, claim).unwrap();
            assert_ne!(replay.verdict(), "not-run", "{replay:?}");
            replay.header("agateyoke-replay") == "true"
        });
    }
    load::assert_verdicts(&cluster, &results);
}

/// Requests of an entry VM reach the control VMs and their responses are dropped.
#[test]
fn one_way_partition_repeats_no_claim_and_fails_no_lookup() {
    let cluster = Cluster::start_serving(|_| {}, &[]);
    let load = Load::start(&cluster, &["entry-1", "entry-2"]);
    load.wait_for_successes(40);
    let links = (1..=3).map(|c| cluster.relay(&format!("entry-1-control-{c}")));
    let links: Vec<_> = links.collect();
    for link in &links {
        link.drop_responses();
    }
    let first = cluster.release("entry-1", "L-2", "unanswered").unwrap();
    assert_eq!(first.verdict(), "may-have-run", "{first:?}");
    load.wait_for_successes(100);
    for link in &links {
        link.heal();
    }
    cluster::wait_until("the claim through another VM", || {
        let retry = cluster.release("entry-4", "L-2", "unanswered").unwrap();
        assert_ne!(retry.verdict(), "not-run", "{retry:?}");
        retry.status == 200
    });
    load.wait_for_successes(40);
    let results = load.stop();
    load::assert_verdicts(&cluster, &results);
    load::assert_all_succeeded(results.iter().filter(|a| a.claim.is_none()));
    cluster.assert_fences_never_decrease();
}

fn document_with_probe() -> Value {
    let mut document = cluster::document();
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
fn applied_document_is_used_by_all_entry_vms_after_restarts() {
    let mut cluster = Cluster::start_serving(|_| {}, &[]);
    let probe = |cluster: &Cluster, entry| {
        cluster::send_request(cluster.caller_address(entry), "GET", "/probe/x", None)
    };
    for entry in ENTRY_VMS {
        assert_eq!(probe(&cluster, entry).unwrap().status, 404);
    }
    let load = Load::start(&cluster, &["entry-1", "entry-3"]);
    assert!(
        cluster
            .apply(&document_with_probe(), 1, "probe")
            .status
            .success()
    );
    cluster.wait_until_serving();
    for entry in ENTRY_VMS {
        assert_eq!(probe(&cluster, entry).unwrap().status, 200);
    }
    for entry in ["entry-2", "entry-4"] {
        cluster.kill(entry);
        cluster.launch(entry);
        cluster::wait_until("the document after the restart", || {
            match probe(&cluster, entry) {
                Ok(response) => {
                    assert!(!response.body.contains("no such route"), "{response:?}");
                    response.status == 200
                }
                Err(_) => false,
            }
        });
    }
    for control in CONTROL_VMS {
        cluster.kill(control);
        cluster.launch(control);
    }
    for _ in 0..20 {
        for entry in ENTRY_VMS {
            assert_eq!(probe(&cluster, entry).unwrap().status, 200);
        }
    }
    load.wait_for_successes(40);
    load::assert_verdicts(&cluster, &load.stop());
    cluster.wait_until_serving();
    let status = cluster.status().unwrap();
    assert_eq!(
        status.services.first().map(|s| (s.version, s.in_force)),
        Some((2, 4))
    );
}

#[test]
fn daemons_use_no_io_uring_and_survive_malformed_input() {
    let mut cluster = Cluster::start_serving(|_| {}, &[]);
    let load = Load::start(&cluster, &ENTRY_VMS);
    load.wait_for_successes(60);
    for name in CONTROL_VMS.iter().chain(&ENTRY_VMS) {
        let files = fs::read_dir(format!("/proc/{}/fd", cluster.pid(name))).unwrap();
        let links = files.filter_map(|f| fs::read_link(f.unwrap().path()).ok());
        let links: Vec<_> = links.map(|l| l.display().to_string()).collect();
        assert!(links.iter().any(|l| l.starts_with("socket:")));
        assert!(!links.iter().any(|l| l.contains("io_uring")), "{links:?}");
    }
    let mut random = fastrand::Rng::with_seed(NOISE_SEED);
    let entry = (1..=4).flat_map(|i| [7200, 7210, 7220, 7230].map(|p| p + i));
    let control = (1..=3).flat_map(|i| [7100, 7110].map(|p| p + i));
    for port in entry.chain(control) {
        for round in 0..12 {
            let mut stream = TcpStream::connect(cluster.address(port)).unwrap();
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
    load.wait_for_successes(100);
    for name in CONTROL_VMS.iter().chain(&ENTRY_VMS) {
        assert!(cluster.is_running(name), "{name} has exited");
    }
    let results = load.stop();
    load::assert_verdicts(&cluster, &results);
    load::assert_all_succeeded(results.iter());
}
