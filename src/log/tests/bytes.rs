//! The size of the log in memory and on the disk, in bytes.

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tempfile::TempDir;

use super::harness::until;
use crate::log::memory_log::MemoryLog;
use crate::log::model::{Body, Entry, Membership, Snapshot};
use crate::log::{self, Config, Handle, Member, ProposeError, StateMachine, Tuning};
use crate::runtime;
use crate::timeline::Journal;

/// Size of each command, and of the state, which is the last one.
const COMMAND_BYTES: usize = 20 << 10;

const SNAPSHOT_BYTES: usize = 10 * COMMAND_BYTES;

const TRAILING_BYTES: usize = 5 * COMMAND_BYTES;

/// Number of changes of one configuration.
const CHANGES: u64 = 2000;

/// The last command applied.
type Last = Rc<RefCell<Vec<u8>>>;

fn state_machine(last: &Last, may_snapshot: bool) -> StateMachine {
    let (applying, capturing, restoring) = (Rc::clone(last), Rc::clone(last), Rc::clone(last));
    StateMachine {
        apply: Box::new(move |_, payload| {
            *applying.borrow_mut() = payload.to_vec();
            Vec::new()
        }),
        snapshot: Box::new(move || {
            let state = capturing.borrow().clone();
            let refused = || Err(Arc::from("no snapshot"));
            Box::new(move || if may_snapshot { Ok(state) } else { refused() })
        }),
        restore: Box::new(move |_, bytes| {
            *restoring.borrow_mut() = bytes.to_vec();
            Ok(())
        }),
    }
}

/// Opens the log of a cluster of one VM.
fn open(dir: &Path, last: &Last, may_snapshot: bool) -> Handle {
    let config = Config {
        vm: "a".into(),
        data_dir: dir.to_path_buf(),
        members: vec![Member {
            vm: "a".into(),
            address: ([127, 0, 0, 1], 1).into(),
        }],
        discovery: None,
    };
    let tuning = Tuning {
        snapshot_entries: 512,
        trailing_entries: 512,
        snapshot_bytes: SNAPSHOT_BYTES,
        trailing_bytes: TRAILING_BYTES,
        ..Tuning::default()
    };
    let state_machine = state_machine(last, may_snapshot);
    log::open_tuned(config, tuning, state_machine, Journal::new("a".into())).unwrap()
}

async fn leads(handle: &Handle) {
    until("a leader", || handle.leading_since().is_some()).await;
}

fn command(number: u64) -> Vec<u8> {
    let mut command = vec![b'x'; COMMAND_BYTES];
    command[..8].copy_from_slice(&number.to_be_bytes());
    command
}

fn disk_bytes(dir: &Path) -> u64 {
    let files = std::fs::read_dir(dir).unwrap();
    files.map(|f| f.unwrap().metadata().unwrap().len()).sum()
}

/// Guards against a log that is compacted by number of entries only, so that hundreds of large
/// changes end the process (review case 3).
#[test]
fn the_size_stays_constant_over_2000_changes_and_a_restart() {
    runtime::run(async {
        let dir = TempDir::new().unwrap();
        let last = Last::default();
        let handle = open(dir.path(), &last, true);
        leads(&handle).await;
        // Entries that arrive while a snapshot is encoded and written come on top.
        let bound = 4 * SNAPSHOT_BYTES + TRAILING_BYTES;
        for number in 0..CHANGES {
            loop {
                match handle.propose(command(number)).await {
                    Ok(_) => break,
                    Err(ProposeError::Backlog) => {
                        monoio::time::sleep(Duration::from_millis(5)).await;
                    }
                    Err(error) => panic!("{error}"),
                }
            }
            let memory = handle.node.state().log.bytes();
            assert!(memory <= bound + 2 * COMMAND_BYTES, "{memory} bytes");
            let disk = disk_bytes(dir.path());
            // A segment stays until all of its entries are covered, so up to two intervals are
            // there, with the old and the new snapshot.
            let most = (2 * bound + 4 * COMMAND_BYTES) as u64;
            assert!(disk <= most, "{disk} bytes on the disk after {number}");
        }
        handle.stop();
        let handle = open(dir.path(), &last, true);
        assert!(handle.node.state().log.bytes() <= bound);
        leads(&handle).await;
        until("the last change", || *last.borrow() == command(CHANGES - 1)).await;
        handle.stop();
    });
}

/// Guards against a log that grows without an end while no snapshot can be taken.
#[test]
fn a_proposal_is_refused_while_too_much_awaits_a_snapshot() {
    runtime::run(async {
        let dir = TempDir::new().unwrap();
        let handle = open(dir.path(), &Last::default(), false);
        leads(&handle).await;
        let mut accepted = 0_u64;
        let error = loop {
            match handle.propose(command(accepted)).await {
                Ok(_) => accepted += 1,
                Err(error) => break error,
            }
        };
        assert_eq!(error, ProposeError::Backlog);
        assert!(handle.leading_since().is_some(), "the log goes on");
        assert!(accepted <= 5 * (SNAPSHOT_BYTES / COMMAND_BYTES) as u64);
        handle.stop();
    });
}

/// Guards against a bound that counts wrong after truncations and compactions.
#[test]
fn the_bytes_are_those_of_the_entries_in_memory() {
    let entry = |index, bytes: usize| Entry {
        index,
        term: 1,
        body: Body::Command(vec![0; bytes].into()),
    };
    let mut log = MemoryLog::default();
    for index in 1..=10 {
        log.push(entry(index, 100));
    }
    let each = log.bytes() / 10;
    assert_eq!((log.bytes(), log.uncovered_bytes()), (10 * each, 10 * each));
    log.truncate_from(9);
    assert_eq!(log.bytes(), 8 * each);
    let membership = Membership {
        cluster_id: "a".into(),
        replicas: Vec::new(),
    };
    let snapshot = Arc::new(Snapshot {
        index: 6,
        term: 1,
        membership,
        data: Vec::new(),
    });
    log.compact(Arc::clone(&snapshot), 100, 3 * each);
    assert_eq!((log.bytes(), log.uncovered_bytes()), (5 * each, 2 * each));
    assert_eq!(log.base_index(), 3);
    log.reset(snapshot);
    assert_eq!((log.bytes(), log.uncovered_bytes()), (0, 0));
}
