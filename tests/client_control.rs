//! Operators' changes that race at three real control VMs, which are suspended and killed.

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

/// Concurrent changes for each version.
const CONCURRENT_CHANGES: usize = 5;

/// Three control VMs with their data directories.
struct ControlCluster {
    directory: TempDir,
    network: String,
    members: Vec<Child>,
}

impl ControlCluster {
    /// Starts the control VMs on loopback addresses that no other test uses.
    fn start(test: u8) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let id = process::id();
        let network = format!("127.{}.{}", 100 + id / 250 % 100, id % 250 + 1);
        let mut cluster = Self {
            directory,
            network: format!("{network}.{test}"),
            members: Vec::new(),
        };
        cluster.members = (0..MEMBERS).map(|i| cluster.spawn(i)).collect();
        cluster.leader();
        cluster
    }

    fn operator_address(&self, i: usize) -> String {
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
            "operator": self.operator_address(i),
            "data": self.directory.path().join(name(i)),
            "members": members.collect::<Vec<_>>(),
        });
        let file = self.directory.path().join(name(i) + ".json");
        fs::write(&file, settings.to_string()).unwrap();
        Command::new(env!("CARGO_BIN_EXE_agateyoke-control"))
            .arg(file)
            .stdout(Stdio::null())
            .spawn()
            .unwrap()
    }

    /// Kills all control VMs and restarts them on their data.
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

    fn operator_addresses(&self) -> String {
        let addresses: Vec<String> = (0..MEMBERS).map(|i| self.operator_address(i)).collect();
        addresses.join(",")
    }

    /// Index of the leader; waits until there is one.
    fn leader(&self) -> usize {
        for _ in 0..10 {
            let output = client_command(&self.operator_addresses(), &["--json", "status"])
                .output()
                .unwrap();
            let status: Value = serde_json::from_slice(&output.stdout).unwrap();
            let members = status["control"].as_array().into_iter().flatten();
            if let Some(i) = members.into_iter().position(|m| m["role"] == "leader") {
                return i;
            }
        }
        panic!("no leader");
    }

    fn history(&self) -> String {
        let output = client_command(&self.operator_addresses(), &["history", "rota"])
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        String::from_utf8(output.stdout).unwrap()
    }
}

impl Drop for ControlCluster {
    fn drop(&mut self) {
        for member in &mut self.members {
            let _ = member.kill();
            let _ = member.wait();
        }
    }
}

fn client_command(control: &str, arguments: &[&str]) -> Command {
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
    client_command(control, &arguments).output().unwrap()
}

/// Operators apply changes to the same version through different control VMs: one succeeds, the
/// others get a conflict. A retried change gets its first response, also after all control VMs were
/// killed.
#[test]
fn one_of_several_concurrent_changes_wins_and_stays() {
    let mut cluster = ControlCluster::start(10);
    let mut winners = Vec::new();
    for base in 0..4 {
        let attempts = (0..CONCURRENT_CHANGES).map(|operator| {
            let control = format!(
                "{},{}",
                cluster.operator_address(operator % MEMBERS),
                cluster.operator_addresses()
            );
            thread::spawn(move || apply(&control, base, &format!("change-{base}-{operator}")))
        });
        let attempts: Vec<_> = attempts.collect();
        let outputs: Vec<Output> = attempts.into_iter().map(|r| r.join().unwrap()).collect();
        let won = |o: &&Output| o.status.code() == Some(0);
        let lost = |o: &&Output| o.status.code() == Some(3);
        let count = (
            outputs.iter().filter(won).count(),
            outputs.iter().filter(lost).count(),
        );
        assert_eq!(count, (1, CONCURRENT_CHANGES - 1), "{outputs:?}");
        let winner = outputs.iter().position(|o| won(&o)).unwrap();
        winners.push(format!("change-{base}-{winner}"));
    }
    let history = cluster.history();
    for restart in [false, true] {
        if restart {
            cluster.restart();
        }
        for (base, winner) in winners.iter().enumerate() {
            let output = apply(&cluster.operator_addresses(), base, winner);
            let text = String::from_utf8(output.stdout).unwrap();
            let version = base + 1;
            assert_eq!(
                text,
                format!("rota got version {version} by this change before\n")
            );
        }
        assert_eq!(cluster.history(), history);
    }
}

/// A leader that was suspended and then resumes without a reachable majority shows no stale version.
#[test]
fn replaced_leader_shows_no_stale_version() {
    let cluster = ControlCluster::start(20);
    assert_eq!(
        apply(&cluster.operator_addresses(), 0, "first")
            .status
            .code(),
        Some(0)
    );
    let old = cluster.leader();
    cluster.signal(old, libc::SIGSTOP);
    assert_eq!(
        apply(&cluster.operator_addresses(), 1, "second")
            .status
            .code(),
        Some(0)
    );
    let others: Vec<usize> = (0..MEMBERS).filter(|i| *i != old).collect();
    for i in &others {
        cluster.signal(*i, libc::SIGSTOP);
    }
    cluster.signal(old, libc::SIGCONT);
    let isolated = client_command(&cluster.operator_address(old), &["show", "rota"])
        .output()
        .unwrap();
    assert_eq!(isolated.status.code(), Some(1), "{isolated:?}");
    for i in &others {
        cluster.signal(*i, libc::SIGCONT);
    }
    let shown = client_command(&cluster.operator_addresses(), &["--json", "show", "rota"])
        .output()
        .unwrap();
    let shown: Value = serde_json::from_slice(&shown.stdout).unwrap();
    assert_eq!(shown["current"], 2);
}
