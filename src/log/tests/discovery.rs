//! Tests of clusters whose VMs find each other through seeds.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use tempfile::TempDir;

use super::harness::{self, Applied, until};
use crate::ids;
use crate::log::{self, Config, Discovery, Handle, Member, Role, Tuning};
use crate::rpc;
use crate::runtime;
use crate::timeline::Journal;

/// The replica that runs at an address, if any.
type RunningReplica = Rc<RefCell<Option<Handle>>>;

/// A VM whose name is its address.
pub(super) struct Vm {
    pub(super) address: SocketAddr,
    pub(super) zone: Option<ids::ZoneName>,
    voter_count: usize,
    dir: TempDir,
    running: RunningReplica,
    applied: Applied,
    /// Events since the last start.
    journal: RefCell<Option<Journal>>,
}

impl Vm {
    pub(super) fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let running = RunningReplica::default();
        let served = Rc::clone(&running);
        let handler = move |method: Box<str>, body: Box<serde_json::value::RawValue>| {
            let handle = served.borrow().clone();
            async move {
                let refused = rpc::Fault::new(rpc::error::REFUSED, "not running");
                match handle {
                    Some(handle) => handle.answer(&method, &body).await.unwrap_or(Err(refused)),
                    None => Err(refused),
                }
            }
        };
        let journal = Journal::new(address.to_string().into());
        monoio::spawn(rpc::serve(listener, journal, handler));
        Self {
            address,
            zone: None,
            voter_count: 3,
            dir: TempDir::new().unwrap(),
            running,
            applied: Applied::default(),
            journal: RefCell::default(),
        }
    }

    pub(super) fn in_zone(zone: &str, voter_count: usize) -> Self {
        Self {
            zone: Some(zone.into()),
            voter_count,
            ..Self::new()
        }
    }

    /// Removes the data directory of a stopped replica.
    pub(super) fn wipe(&self) {
        std::fs::remove_dir_all(self.dir.path().join("data")).unwrap();
    }

    fn event_count(&self, kind: &str) -> usize {
        let journal = self.journal.borrow();
        let events = journal.iter().flat_map(|j| j.events_after(0));
        events.filter(|e| &*e.kind == kind).count()
    }

    pub(super) fn start(&self, seeds: &[&Self], may_bootstrap: bool) {
        self.start_tuned(seeds, may_bootstrap, Tuning::default());
    }

    fn start_tuned(&self, seeds: &[&Self], may_bootstrap: bool, tuning: Tuning) {
        let member = |vm: &&Self| Member {
            vm: vm.address.to_string().into(),
            address: vm.address,
        };
        let config = Config {
            vm: self.address.to_string().into(),
            data_dir: self.dir.path().join("data"),
            members: seeds.iter().map(member).collect(),
            discovery: Some(Discovery {
                address: self.address,
                may_bootstrap,
                voter_count: self.voter_count,
                zone: self.zone.clone(),
            }),
        };
        self.applied.borrow_mut().clear();
        let state_machine = harness::state_machine(&self.applied);
        let journal = Journal::new(self.address.to_string().into());
        *self.journal.borrow_mut() = Some(journal.clone());
        let handle = log::open_tuned(config, tuning, state_machine, journal).unwrap();
        *self.running.borrow_mut() = Some(handle);
    }

    pub(super) fn kill(&self) {
        if let Some(handle) = self.running.borrow_mut().take() {
            handle.stop();
        }
    }

    pub(super) fn handle(&self) -> Handle {
        self.running.borrow().clone().unwrap()
    }

    pub(super) fn leads(&self) -> bool {
        let handle = self.running.borrow().clone();
        handle.is_some_and(|h| h.leading_since().is_some())
    }

    pub(super) fn has_applied(&self, commands: usize) -> bool {
        self.applied.borrow().len() == commands
    }
}

pub(super) async fn leader<'a>(vms: &[&'a Vm]) -> &'a Vm {
    until("a leader", || vms.iter().any(|v| v.leads())).await;
    vms.iter().find(|v| v.leads()).unwrap()
}

pub(super) async fn propose(vms: &[&Vm], text: &str) {
    loop {
        let leader = leader(vms).await;
        if leader
            .handle()
            .propose(text.as_bytes().to_vec())
            .await
            .is_ok()
        {
            return;
        }
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until the committed membership has exactly these voters.
pub(super) async fn wait_for_voters(vms: &[&Vm], expected: &[&Vm]) {
    until("the voters", || {
        let Some(leader) = vms.iter().find(|v| v.leads()) else {
            return false;
        };
        let status = leader.handle().status();
        let voting = status.replicas.iter().filter(|m| m.voter);
        let addresses: Vec<_> = voting.map(|m| m.address).collect();
        status.membership_committed
            && addresses.len() == expected.len()
            && expected.iter().all(|e| addresses.contains(&e.address))
    })
    .await;
}

#[test]
fn three_seeds_bootstrap_and_a_fourth_vm_becomes_a_learner() {
    runtime::run(async {
        let (a, b, c, d) = (Vm::new(), Vm::new(), Vm::new(), Vm::new());
        let seeds = [&a, &b, &c];
        // The fourth VM starts first and finds no other.
        d.start(&seeds, true);
        // One seed was restarted before the bootstrap, so it may not bootstrap itself.
        a.start(&seeds, false);
        b.start(&seeds, true);
        monoio::time::sleep(Duration::from_millis(50)).await;
        c.start(&seeds, true);
        propose(&seeds, "one").await;
        until("the fourth VM to catch up", || d.has_applied(1)).await;
        wait_for_voters(&seeds, &seeds).await;
        assert_eq!(d.handle().status().role, Role::Follower);
    });
}

#[test]
fn no_bootstrap_without_permission() {
    runtime::run(async {
        let (a, b, c) = (Vm::new(), Vm::new(), Vm::new());
        let seeds = [&a, &b, &c];
        for vm in seeds {
            vm.start(&seeds, false);
        }
        monoio::time::sleep(Duration::from_millis(1500)).await;
        assert!(
            seeds
                .iter()
                .all(|v| v.handle().status().cluster_id.is_none())
        );
    });
}

#[test]
fn learner_replaces_a_lost_voter() {
    runtime::run(async {
        let (a, b, c, d) = (Vm::new(), Vm::new(), Vm::new(), Vm::new());
        let seeds = [&a, &b, &c];
        for vm in [&a, &b, &c, &d] {
            vm.start(&seeds, true);
        }
        propose(&seeds, "one").await;
        until("the fourth VM to catch up", || d.has_applied(1)).await;
        let stopped = leader(&seeds).await;
        stopped.kill();
        let all = [&a, &b, &c, &d];
        let remaining: Vec<_> = all
            .into_iter()
            .filter(|v| v.address != stopped.address)
            .collect();
        wait_for_voters(&remaining, &remaining).await;
        propose(&remaining, "two").await;
        stopped.start(&seeds, false);
        until("the restarted VM to catch up", || stopped.has_applied(2)).await;
        wait_for_voters(&remaining, &remaining).await;
    });
}

#[test]
fn promoted_voter_keeps_leading_after_a_restart_of_all() {
    runtime::run(async {
        let (a, b, c, d) = (Vm::new(), Vm::new(), Vm::new(), Vm::new());
        let seeds = [&a, &b, &c];
        let all = [&a, &b, &c, &d];
        for vm in all {
            vm.start(&seeds, true);
        }
        propose(&seeds, "one").await;
        until("the fourth VM to catch up", || d.has_applied(1)).await;
        // The fourth VM is promoted later, so older entries hold memberships without its vote.
        let stopped = leader(&seeds).await;
        stopped.kill();
        let remaining: Vec<_> = all
            .into_iter()
            .filter(|v| v.address != stopped.address)
            .collect();
        wait_for_voters(&remaining, &remaining).await;
        for vm in &remaining {
            vm.kill();
        }
        // Only the fourth VM starts an election, and its timeout as leader is too long to lose its
        // majority.
        let no_elections = Tuning {
            election_timeout: Duration::from_mins(1),
            startup_timeout: Duration::from_mins(1),
            ..Tuning::default()
        };
        for vm in &remaining {
            let startup_timeout = if vm.address == d.address {
                Duration::from_millis(100)
            } else {
                no_elections.startup_timeout
            };
            let tuning = Tuning {
                startup_timeout,
                ..no_elections
            };
            vm.start_tuned(&seeds, false, tuning);
        }
        until("the fourth VM to lead", || d.leads()).await;
        until("all VMs to apply the command", || {
            remaining.iter().all(|v| v.has_applied(1))
        })
        .await;
        assert!(d.leads());
        assert_eq!(d.event_count("log.leads"), 1, "it stepped down in between");
    });
}

#[test]
fn new_vm_joins_through_any_member() {
    runtime::run(async {
        let (a, b, c, new) = (Vm::new(), Vm::new(), Vm::new(), Vm::new());
        let seeds = [&a, &b, &c];
        for vm in seeds {
            vm.start(&seeds, true);
        }
        propose(&seeds, "one").await;
        let leader = leader(&seeds).await;
        let other = seeds.into_iter().find(|v| v.address != leader.address);
        new.start(&[other.unwrap()], false);
        until("the new VM to catch up", || new.has_applied(1)).await;
    });
}
