//! Clusters whose members find each other by seeds.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use tempfile::TempDir;

use super::bench::{self, Applied, until};
use crate::log::{self, Config, Discovery, Handle, Member, Role, Tuning};
use crate::rpc;
use crate::runtime;
use crate::timeline::Journal;

/// What runs at an address.
type Slot = Rc<RefCell<Option<Handle>>>;

/// A VM named by its address.
struct Vm {
    address: SocketAddr,
    folder: TempDir,
    slot: Slot,
    applied: Applied,
    /// Events since the last start.
    journal: RefCell<Option<Journal>>,
}

impl Vm {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let slot = Slot::default();
        let served = Rc::clone(&slot);
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
            folder: TempDir::new().unwrap(),
            slot,
            applied: Applied::default(),
            journal: RefCell::default(),
        }
    }

    fn events(&self, kind: &str) -> usize {
        let journal = self.journal.borrow();
        let events = journal.iter().flat_map(|j| j.since(0));
        events.filter(|e| &*e.kind == kind).count()
    }

    fn start(&self, seeds: &[&Self], founding: bool) {
        self.start_tuned(seeds, founding, Tuning::default());
    }

    fn start_tuned(&self, seeds: &[&Self], founding: bool, tuning: Tuning) {
        let member = |vm: &&Self| Member {
            vm: vm.address.to_string().into(),
            address: vm.address,
        };
        let config = Config {
            vm: self.address.to_string().into(),
            data_dir: self.folder.path().join("data"),
            members: seeds.iter().map(member).collect(),
            discovery: Some(Discovery {
                address: self.address,
                may_bootstrap: founding,
                voter_count: 3,
            }),
        };
        self.applied.borrow_mut().clear();
        let machine = bench::machine(&self.applied);
        let journal = Journal::new(self.address.to_string().into());
        *self.journal.borrow_mut() = Some(journal.clone());
        let handle = log::open_tuned(config, tuning, machine, journal).unwrap();
        *self.slot.borrow_mut() = Some(handle);
    }

    fn kill(&self) {
        if let Some(handle) = self.slot.borrow_mut().take() {
            handle.stop();
        }
    }

    fn handle(&self) -> Handle {
        self.slot.borrow().clone().unwrap()
    }

    fn leads(&self) -> bool {
        let handle = self.slot.borrow().clone();
        handle.is_some_and(|h| h.leading_since().is_some())
    }

    fn has(&self, commands: usize) -> bool {
        self.applied.borrow().len() == commands
    }
}

async fn leader<'a>(vms: &[&'a Vm]) -> &'a Vm {
    until("a leader", || vms.iter().any(|v| v.leads())).await;
    vms.iter().find(|v| v.leads()).unwrap()
}

async fn propose(vms: &[&Vm], text: &str) {
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

/// Waits until a leader knows just these VMs as voters.
async fn voters(vms: &[&Vm], wanted: &[&Vm]) {
    until("voters", || {
        let Some(leader) = vms.iter().find(|v| v.leads()) else {
            return false;
        };
        let status = leader.handle().status();
        let voting = status.replicas.iter().filter(|m| m.voter);
        let addresses: Vec<_> = voting.map(|m| m.address).collect();
        status.membership_committed
            && addresses.len() == wanted.len()
            && wanted.iter().all(|w| addresses.contains(&w.address))
    })
    .await;
}

#[test]
fn three_seeds_form_a_cluster_and_a_fourth_vm_learns() {
    runtime::run(async {
        let (a, b, c, d) = (Vm::new(), Vm::new(), Vm::new(), Vm::new());
        let seeds = [&a, &b, &c];
        // The fourth starts first and finds nobody.
        d.start(&seeds, true);
        // A seed that ended before the cluster formed no longer knows that it never was.
        a.start(&seeds, false);
        b.start(&seeds, true);
        monoio::time::sleep(Duration::from_millis(50)).await;
        c.start(&seeds, true);
        propose(&seeds, "one").await;
        until("the fourth has learnt", || d.has(1)).await;
        voters(&seeds, &seeds).await;
        assert_eq!(d.handle().status().role, Role::Follower);
    });
}

#[test]
fn vms_that_do_not_know_that_nothing_was_formed_form_nothing() {
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
fn a_learner_takes_the_place_of_a_lost_voter() {
    runtime::run(async {
        let (a, b, c, d) = (Vm::new(), Vm::new(), Vm::new(), Vm::new());
        let seeds = [&a, &b, &c];
        for vm in [&a, &b, &c, &d] {
            vm.start(&seeds, true);
        }
        propose(&seeds, "one").await;
        until("the fourth has learnt", || d.has(1)).await;
        let lost = leader(&seeds).await;
        lost.kill();
        let all = [&a, &b, &c, &d];
        let left: Vec<_> = all
            .into_iter()
            .filter(|v| v.address != lost.address)
            .collect();
        voters(&left, &left).await;
        propose(&left, "two").await;
        lost.start(&seeds, false);
        until("the lost one has learnt", || lost.has(2)).await;
        voters(&left, &left).await;
    });
}

#[test]
fn after_a_change_of_voters_and_a_restart_of_all_a_leader_stays() {
    runtime::run(async {
        let (a, b, c, d) = (Vm::new(), Vm::new(), Vm::new(), Vm::new());
        let seeds = [&a, &b, &c];
        let all = [&a, &b, &c, &d];
        for vm in all {
            vm.start(&seeds, true);
        }
        propose(&seeds, "one").await;
        until("the fourth has learnt", || d.has(1)).await;
        // The fourth gets a vote only later, so older entries name members without it.
        let lost = leader(&seeds).await;
        lost.kill();
        let left: Vec<_> = all
            .into_iter()
            .filter(|v| v.address != lost.address)
            .collect();
        voters(&left, &left).await;
        for vm in &left {
            vm.kill();
        }
        // Only the fourth asks for votes, and it does not doubt its majority.
        let patient = Tuning {
            election_timeout: Duration::from_mins(1),
            startup_timeout: Duration::from_mins(1),
            ..Tuning::default()
        };
        for vm in &left {
            let startup_timeout = if vm.address == d.address {
                Duration::from_millis(100)
            } else {
                patient.startup_timeout
            };
            let tuning = Tuning {
                startup_timeout,
                ..patient
            };
            vm.start_tuned(&seeds, false, tuning);
        }
        until("the fourth leads", || d.leads()).await;
        until("all applied", || left.iter().all(|v| v.has(1))).await;
        assert!(d.leads());
        assert_eq!(d.events("log.leads"), 1, "it stepped down in between");
    });
}

#[test]
fn a_vm_with_an_empty_disk_joins_by_any_member() {
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
        until("the new one has learnt", || new.has(1)).await;
    });
}
