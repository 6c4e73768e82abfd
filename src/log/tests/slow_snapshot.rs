//! Tests of a snapshot that takes long to encode.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use monoio::net::TcpListener;

use super::harness::{Cluster, until};
use crate::log::{Config, EncodeSnapshot, Member, StateMachine, Tuning, data_dir, open_tuned};
use crate::runtime;
use crate::timeline::Journal;

/// Blocks the encoding of a snapshot until the test releases it or a timeout passes.
#[derive(Default)]
struct Blocker {
    entered: Mutex<bool>,
    released: Mutex<bool>,
    changed: Condvar,
    timed_out: AtomicBool,
}

impl Blocker {
    fn block(&self) {
        *self.entered.lock().unwrap() = true;
        let released = self.released.lock().unwrap();
        let wait = self
            .changed
            .wait_timeout_while(released, Duration::from_secs(10), |released| !*released);
        if wait.unwrap().1.timed_out() {
            self.timed_out.store(true, Ordering::SeqCst);
        }
    }

    fn release(&self) {
        *self.released.lock().unwrap() = true;
        self.changed.notify_all();
    }
}

#[test]
fn commands_commit_while_a_snapshot_is_encoded() {
    runtime::run(async {
        let blocker = Arc::new(Blocker::default());
        let dir = tempfile::TempDir::new().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let config = Config {
            vm: "alone".into(),
            data_dir: dir.path().join("data"),
            members: vec![Member {
                vm: "alone".into(),
                address: listener.local_addr().unwrap(),
            }],
            discovery: None,
        };
        let tuning = Tuning {
            snapshot_entries: 5,
            trailing_entries: 5,
            ..Tuning::default()
        };
        let shared = Arc::clone(&blocker);
        let snapshot = move || -> EncodeSnapshot {
            let blocker = Arc::clone(&shared);
            Box::new(move || {
                blocker.block();
                Ok(Vec::new())
            })
        };
        let state_machine = StateMachine {
            apply: Box::new(|_, _| Vec::new()),
            snapshot: Box::new(snapshot),
            restore: Box::new(|_, _| Ok(())),
        };
        let journal = Journal::new("alone".into());
        let handle = open_tuned(config, tuning, state_machine, journal.clone()).unwrap();
        until("a leader", || handle.leading_since().is_some()).await;
        for _ in 0..8 {
            handle.propose(b"before".to_vec()).await.unwrap();
        }
        until("a snapshot", || *blocker.entered.lock().unwrap()).await;
        for _ in 0..8 {
            handle.propose(b"meanwhile".to_vec()).await.unwrap();
        }
        blocker.release();
        assert!(!blocker.timed_out.load(Ordering::SeqCst));
        let saved = || {
            journal
                .events_after(0)
                .iter()
                .any(|e| &*e.kind == "log.snapshot")
        };
        until("a saved snapshot", saved).await;
    });
}

/// Entries after which a replica of these clusters takes a snapshot.
const SNAPSHOT_ENTRIES: u64 = 20;

/// Entries covered by a snapshot that the replicas of these clusters keep.
const TRAILING_ENTRIES: u64 = 10;

/// A cluster in which a follower is encoding a snapshot.
struct BlockedFollower {
    cluster: Cluster,
    follower: usize,
    blocker: Arc<Blocker>,
    /// Commands applied by all replicas.
    commands: usize,
}

async fn start_with_blocked_follower() -> BlockedFollower {
    let mut cluster = Cluster::start_new(3, SNAPSHOT_ENTRIES).await;
    let leader = cluster.leader().await;
    let follower = (leader + 1) % 3;
    let blocker = Arc::new(Blocker::default());
    let hook = Arc::clone(&blocker);
    cluster.vms[follower].before_encode = Some(Arc::new(move || hook.block()));
    cluster.kill(follower);
    cluster.start(follower);
    // A follower that lags gets a snapshot of the leader instead of taking its own.
    let mut commands = 0;
    while !*blocker.entered.lock().unwrap() {
        cluster.propose(&format!("a{commands}"), follower).await;
        commands += 1;
        cluster.wait_for_agreement(&[0, 1, 2], commands).await;
    }
    BlockedFollower {
        cluster,
        follower,
        blocker,
        commands,
    }
}

/// Index of the snapshot in a replica's data directory; 0 without one.
fn stored_index(cluster: &Cluster, vm: usize) -> u64 {
    let content = std::fs::read(data_dir::snapshot_path(&cluster.data_dir(vm)));
    let content = content.unwrap_or_default();
    let header = content.split(|b| *b == b'{').nth(1).unwrap_or_default();
    let text = String::from_utf8_lossy(header);
    let digits = text.split("\"index\":").nth(1).unwrap_or("0");
    let digits: String = digits.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or_default()
}

/// Guards against the loss of acknowledged entries: a replica stored its own older snapshot over
/// the newer one that it had installed, and could not open its log any more.
#[test]
fn snapshot_encoded_before_a_newer_one_was_installed_is_dropped() {
    runtime::run(async {
        let BlockedFollower {
            mut cluster,
            follower,
            blocker,
            commands,
        } = start_with_blocked_follower().await;
        cluster.isolate(follower, true);
        for number in 0..60 {
            cluster.propose(&format!("b{number}"), follower).await;
        }
        let leader = cluster.leader_except(follower).await;
        until("the leader to compact its log", || {
            let last_index = cluster.handle(follower).status().last_index;
            cluster.handle(leader).status().snapshot_index > last_index + TRAILING_ENTRIES
        })
        .await;
        cluster.isolate(follower, false);
        until("an installed snapshot", || {
            cluster.event_count(follower, "log.installed") > 0
        })
        .await;
        cluster.propose("after", follower).await;
        cluster.wait_for_agreement(&[0, 1, 2], commands + 61).await;
        let installed = stored_index(&cluster, follower);
        blocker.release();
        until("the snapshot to be stored or dropped", || {
            cluster.event_count(follower, "log.snapshot") > 0
                || cluster.event_count(follower, "log.snapshot_dropped") > 0
        })
        .await;
        assert!(stored_index(&cluster, follower) >= installed);
        cluster.kill(follower);
        assert_eq!(cluster.try_start(follower), Ok(()));
        cluster.wait_for_agreement(&[0, 1, 2], commands + 61).await;
    });
}

/// Guards against the same while the leader's snapshot is still being written.
#[test]
fn snapshot_encoded_while_one_is_installed_is_dropped() {
    runtime::run(async {
        let BlockedFollower {
            cluster,
            follower,
            blocker,
            ..
        } = start_with_blocked_follower().await;
        let stored = stored_index(&cluster, follower);
        cluster.handle(follower).node.state_mut().installing = true;
        blocker.release();
        until("the snapshot to be stored or dropped", || {
            cluster.event_count(follower, "log.snapshot") > 0
                || cluster.event_count(follower, "log.snapshot_dropped") > 0
        })
        .await;
        assert_eq!(stored_index(&cluster, follower), stored);
    });
}
