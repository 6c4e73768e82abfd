//! Operators against three real control VMs that race, freeze and die.

#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    clippy::panic,
    reason = "a test fails by a panic"
)]

use std::fs;
use std::path::Path;
use std::process::{self, Child, Command, Output, Stdio};
use std::thread;

use serde_json::{Value, json};
use tempfile::TempDir;

const MEMBERS: usize = 3;

/// Changes that race for each version.
const RACERS: usize = 5;

/// Three control VMs with their data folders.
struct Trio {
    folder: TempDir,
    network: String,
    members: Vec<Child>,
}

impl Trio {
    /// Starts them on loopback addresses of their own.
    fn start(test: u8) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let id = process::id();
        let network = format!("127.{}.{}", 100 + id / 250 % 100, id % 250 + 1);
        let mut trio = Self {
            folder,
            network: format!("{network}.{test}"),
            members: Vec::new(),
        };
        trio.members = (0..MEMBERS).map(|i| trio.spawn(i)).collect();
        trio.leader();
        trio
    }

    fn operator(&self, i: usize) -> String {
        format!("{}{}:7110", self.network, i + 1)
    }

    fn spawn(&self, i: usize) -> Child {
        let peer = |i: usize| format!("{}{}:7100", self.network, i + 1);
        let name = |i: usize| format!("control-{}", i + 1);
        let members = (0..MEMBERS).map(|i| json!({ "vm": name(i), "peer": peer(i) }));
        let settings = json!({
            "vm": name(i),
            "zone": "cork",
            "peer": peer(i),
            "operator": self.operator(i),
            "data": self.folder.path().join(name(i)),
            "members": members.collect::<Vec<_>>(),
        });
        let file = self.folder.path().join(name(i) + ".json");
        fs::write(&file, settings.to_string()).unwrap();
        Command::new(env!("CARGO_BIN_EXE_agateyoke-control"))
            .arg(file)
            .stdout(Stdio::null())
            .spawn()
            .unwrap()
    }

    /// Kills all of them at once and starts them again on their data.
    fn restart(&mut self) {
        for member in &mut self.members {
            member.kill().unwrap();
            member.wait().unwrap();
        }
        self.members = (0..MEMBERS).map(|i| self.spawn(i)).collect();
        self.leader();
    }

    fn signal(&self, i: usize, signal: libc::c_int) {
        let id = libc::pid_t::try_from(self.members[i].id()).unwrap();
        // SAFETY: a signal to a child that has not been waited for.
        let result = unsafe { libc::kill(id, signal) };
        assert_eq!(result, 0);
    }

    fn all(&self) -> String {
        let addresses: Vec<String> = (0..MEMBERS).map(|i| self.operator(i)).collect();
        addresses.join(",")
    }

    /// Position of the leader; waits until there is one.
    fn leader(&self) -> usize {
        for _ in 0..10 {
            let output = client(&self.all(), &["--json", "status"]).output().unwrap();
            let status: Value = serde_json::from_slice(&output.stdout).unwrap();
            let members = status["control"].as_array().into_iter().flatten();
            if let Some(i) = members.into_iter().position(|m| m["role"] == "leader") {
                return i;
            }
        }
        panic!("no leader");
    }

    fn history(&self) -> String {
        let output = client(&self.all(), &["history", "rota"]).output().unwrap();
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        String::from_utf8(output.stdout).unwrap()
    }
}

impl Drop for Trio {
    fn drop(&mut self) {
        for member in &mut self.members {
            let _ = member.kill();
            let _ = member.wait();
        }
    }
}

fn client(control: &str, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agateyoke"));
    command
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/documents"))
        .env("AGATEYOKE_CONTROL", control)
        .args(arguments);
    command
}

fn apply(control: &str, base: usize, change: &str) -> Output {
    let base = base.to_string();
    let arguments = [
        "apply",
        "rota.json",
        "--base",
        &base,
        "--change",
        change,
        "--author",
        change,
    ];
    client(control, &arguments).output().unwrap()
}

/// Operators race for each version by way of different control VMs: one wins,
/// the others hear of the conflict. Resends get the first answer, also after
/// all control VMs were killed.
#[test]
fn of_racing_changes_one_wins_for_good() {
    let mut trio = Trio::start(10);
    let mut winners = Vec::new();
    for base in 0..4 {
        let race = (0..RACERS).map(|racer| {
            let control = format!("{},{}", trio.operator(racer % MEMBERS), trio.all());
            thread::spawn(move || apply(&control, base, &format!("change-{base}-{racer}")))
        });
        let race: Vec<_> = race.collect();
        let outputs: Vec<Output> = race.into_iter().map(|r| r.join().unwrap()).collect();
        let won = |o: &&Output| o.status.code() == Some(0);
        let lost = |o: &&Output| o.status.code() == Some(3);
        let count = (
            outputs.iter().filter(won).count(),
            outputs.iter().filter(lost).count(),
        );
        assert_eq!(count, (1, RACERS - 1), "{outputs:?}");
        let winner = outputs.iter().position(|o| won(&o)).unwrap();
        winners.push(format!("change-{base}-{winner}"));
    }
    let history = trio.history();
    for killed in [false, true] {
        if killed {
            trio.restart();
        }
        for (base, winner) in winners.iter().enumerate() {
            let output = apply(&trio.all(), base, winner);
            let text = String::from_utf8(output.stdout).unwrap();
            let version = base + 1;
            assert_eq!(
                text,
                format!("rota got version {version} by this change before\n")
            );
        }
        assert_eq!(trio.history(), history);
    }
}

/// A leader that froze and returns, and can reach nobody, shows no old version.
#[test]
fn a_leader_that_was_replaced_shows_no_old_version() {
    let trio = Trio::start(20);
    assert_eq!(apply(&trio.all(), 0, "first").status.code(), Some(0));
    let old = trio.leader();
    trio.signal(old, libc::SIGSTOP);
    assert_eq!(apply(&trio.all(), 1, "second").status.code(), Some(0));
    let others: Vec<usize> = (0..MEMBERS).filter(|i| *i != old).collect();
    for i in &others {
        trio.signal(*i, libc::SIGSTOP);
    }
    trio.signal(old, libc::SIGCONT);
    let alone = client(&trio.operator(old), &["show", "rota"])
        .output()
        .unwrap();
    assert_eq!(alone.status.code(), Some(1), "{alone:?}");
    for i in &others {
        trio.signal(*i, libc::SIGCONT);
    }
    let shown = client(&trio.all(), &["--json", "show", "rota"])
        .output()
        .unwrap();
    let shown: Value = serde_json::from_slice(&shown.stdout).unwrap();
    assert_eq!(shown["current"], 2);
}
