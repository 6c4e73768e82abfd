//! Test of a snapshot that takes long to encode.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use monoio::net::TcpListener;

use super::harness::until;
use crate::log::{Config, EncodeSnapshot, Member, StateMachine, Tuning, open_tuned};
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
        let saved = || journal.since(0).iter().any(|e| &*e.kind == "log.snapshot");
        until("a saved snapshot", saved).await;
    });
}
