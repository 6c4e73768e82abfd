//! Snapshots that take long.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use monoio::net::TcpListener;

use super::bench::until;
use crate::log::{Config, EncodeSnapshot, Member, StateMachine, Tuning, open_tuned};
use crate::runtime;
use crate::timeline::Journal;

/// Holds snapshots back until the test lets them go, or gives up.
#[derive(Default)]
struct Held {
    entered: Mutex<bool>,
    released: Mutex<bool>,
    changed: Condvar,
    gave_up: AtomicBool,
}

impl Held {
    fn hold(&self) {
        *self.entered.lock().unwrap() = true;
        let released = self.released.lock().unwrap();
        let wait = self
            .changed
            .wait_timeout_while(released, Duration::from_secs(10), |released| !*released);
        if wait.unwrap().1.timed_out() {
            self.gave_up.store(true, Ordering::SeqCst);
        }
    }

    fn release(&self) {
        *self.released.lock().unwrap() = true;
        self.changed.notify_all();
    }
}

#[test]
fn commands_commit_while_a_snapshot_is_written_out() {
    runtime::run(async {
        let held = Arc::new(Held::default());
        let folder = tempfile::TempDir::new().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let config = Config {
            vm: "alone".into(),
            data_dir: folder.path().join("data"),
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
        let holding = Arc::clone(&held);
        let snapshot = move || -> EncodeSnapshot {
            let held = Arc::clone(&holding);
            Box::new(move || {
                held.hold();
                Ok(Vec::new())
            })
        };
        let machine = StateMachine {
            apply: Box::new(|_, _| Vec::new()),
            snapshot: Box::new(snapshot),
            restore: Box::new(|_, _| Ok(())),
        };
        let journal = Journal::new("alone".into());
        let handle = open_tuned(config, tuning, machine, journal.clone()).unwrap();
        until("a leader", || handle.leading_since().is_some()).await;
        for _ in 0..8 {
            handle.propose(b"before".to_vec()).await.unwrap();
        }
        until("a snapshot", || *held.entered.lock().unwrap()).await;
        for _ in 0..8 {
            handle.propose(b"meanwhile".to_vec()).await.unwrap();
        }
        held.release();
        assert!(!held.gave_up.load(Ordering::SeqCst));
        let saved = || journal.since(0).iter().any(|e| &*e.kind == "log.snapshot");
        until("a saved snapshot", saved).await;
    });
}
