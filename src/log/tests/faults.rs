//! Tests of failures: leaders, links and data directories, also several in a row.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::harness::{Cluster, in_time, until};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::clock;
use crate::log::messages::{
    self, HeartbeatRequest, HeartbeatResponse, JoinRequest, JoinResponse, MessageHeader,
    ProbeRequest, ProbeResponse, VoteRequest, VoteResponse,
};
use crate::log::{ProposeError, Role};
use crate::runtime;

/// Excludes no VM from the leaders to propose to.
const NO_VM: usize = usize::MAX;

async fn propose_many(cluster: &Cluster, prefix: &str, count: usize, except: usize) {
    for number in 0..count {
        cluster.propose(&format!("{prefix}{number}"), except).await;
    }
}

#[test]
fn partitioned_leader_confirms_no_read() {
    runtime::run(async {
        let cluster = Cluster::start_new(3, 1000).await;
        cluster.propose("a", NO_VM).await;
        let old = cluster.leader().await;
        cluster.isolate(old, true);
        assert_eq!(cluster.role(old), Role::Leader);
        let read = in_time(cluster.handle(old).read_barrier()).await;
        assert_eq!(read, Err(ProposeError::NotLeader { leader: None }));
        let new = cluster.leader_except(old).await;
        assert!(cluster.handle(new).read_barrier().await.is_ok());
        cluster.isolate(old, false);
        until("the old leader to follow", || {
            cluster.role(old) == Role::Follower
        })
        .await;
    });
}

#[test]
fn suspended_leader_steps_down() {
    runtime::run(async {
        let cluster = Cluster::start_new(3, 1000).await;
        let leader = cluster.leader().await;
        clock::advance(Duration::from_mins(10));
        assert_eq!(cluster.handle(leader).leading_since(), None);
        cluster.propose("a", NO_VM).await;
        cluster.wait_for_agreement(&[0, 1, 2], 1).await;
    });
}

#[test]
fn entries_of_a_partitioned_leader_are_replaced() {
    runtime::run(async {
        let cluster = Cluster::start_new(3, 1000).await;
        cluster.propose("kept", NO_VM).await;
        let old = cluster.leader().await;
        cluster.isolate(old, true);
        let result = in_time(cluster.handle(old).propose(b"dropped".to_vec())).await;
        assert_eq!(result, Err(ProposeError::OutcomeUnknown));
        propose_many(&cluster, "n", 5, old).await;
        cluster.isolate(old, false);
        cluster.wait_for_agreement(&[0, 1, 2], 6).await;
        assert!(!cluster.commands(old).contains(&"dropped".to_owned()));
    });
}

#[test]
fn returning_follower_does_not_depose_the_leader() {
    runtime::run(async {
        let cluster = Cluster::start_new(3, 1000).await;
        // A replica that has not received the membership yet requests no votes.
        cluster.propose("first", NO_VM).await;
        cluster.wait_for_agreement(&[0, 1, 2], 1).await;
        let leader = cluster.leader().await;
        let term = cluster.handle(leader).status().term;
        let partitioned = (leader + 1) % 3;
        cluster.isolate(partitioned, true);
        let no_leader = || cluster.handle(partitioned).status().leader.is_none();
        until("the follower to request votes", no_leader).await;
        assert_eq!(cluster.handle(partitioned).status().term, term);
        cluster.isolate(partitioned, false);
        cluster.propose("a", NO_VM).await;
        cluster.wait_for_agreement(&[0, 1, 2], 2).await;
        let lost_quorum = cluster.event_count(leader, "log.stepped_down") > 0;
        assert!(lost_quorum || cluster.role(leader) == Role::Leader);
    });
}

#[test]
fn two_data_directories_lost_in_a_row_lose_no_command() {
    runtime::run(async {
        let mut cluster = Cluster::start_new(3, 20).await;
        propose_many(&cluster, "a", 25, NO_VM).await;
        let first = cluster.leader().await;
        let (lost, behind) = ((first + 1) % 3, (first + 2) % 3);
        cluster.isolate(behind, true);
        propose_many(&cluster, "b", 25, NO_VM).await;
        cluster.kill(lost);
        cluster.wipe_data_dir(lost);
        cluster.start(lost);
        cluster.isolate(behind, false);
        let leader = cluster.leader().await;
        cluster.wait_for_voters(leader, &cluster.replicas()).await;
        cluster.kill(first);
        cluster.wipe_data_dir(first);
        propose_many(&cluster, "c", 5, NO_VM).await;
        cluster.wait_for_agreement(&[lost, behind], 55).await;
        cluster.start(first);
        let leader = cluster.leader().await;
        cluster.wait_for_voters(leader, &cluster.replicas()).await;
        cluster.wait_for_agreement(&[0, 1, 2], 55).await;
    });
}

/// Calls a replica directly, not through a link.
async fn call<Q, A>(cluster: &Cluster, vm: usize, method: &str, request: &Q) -> A
where
    Q: Serialize,
    A: DeserializeOwned,
{
    let body = serde_json::value::to_raw_value(request).unwrap();
    let response = cluster.handle(vm).answer(method, &body).await;
    serde_json::from_str(response.unwrap().unwrap().get()).unwrap()
}

/// A vote request that any replica grants unless it has voted in the term.
fn vote_request(cluster: &Cluster, candidate: usize, voter: usize) -> VoteRequest {
    let (from, to) = (
        cluster.handle(candidate).status(),
        cluster.handle(voter).status(),
    );
    VoteRequest {
        header: MessageHeader {
            cluster_id: cluster.cluster_id(),
            term: 100,
            vm: from.vm,
            from: from.replica,
            to: to.replica,
        },
        last_index: 1000,
        last_term: 99,
        pre_vote: false,
        transfer: false,
    }
}

#[test]
fn new_replica_casts_no_vote_for_the_lost_one() {
    runtime::run(async {
        let mut cluster = Cluster::start_new(3, 1000).await;
        let request = vote_request(&cluster, 2, 1);
        (0..3).for_each(|n| cluster.kill(n));
        cluster.wipe_data_dir(1);
        cluster.start(1);
        assert_ne!(cluster.handle(1).status().replica, request.header.to);
        let response: VoteResponse = call(&cluster, 1, messages::VOTE, &request).await;
        assert!(!response.granted);
    });
}

#[test]
fn vote_survives_a_restart() {
    runtime::run(async {
        let mut cluster = Cluster::start_new(3, 1000).await;
        let (first, second) = (vote_request(&cluster, 2, 1), vote_request(&cluster, 0, 1));
        (0..3).for_each(|n| cluster.kill(n));
        cluster.start(1);
        let response: VoteResponse = call(&cluster, 1, messages::VOTE, &first).await;
        assert!(response.granted);
        cluster.kill(1);
        cluster.start(1);
        let response: VoteResponse = call(&cluster, 1, messages::VOTE, &second).await;
        assert_eq!(
            response,
            VoteResponse {
                term: 100,
                granted: false
            }
        );
        let response: VoteResponse = call(&cluster, 1, messages::VOTE, &first).await;
        assert!(response.granted);
    });
}

#[test]
fn uninitialized_replica_follows_only_the_last_probed_cluster() {
    runtime::run(async {
        let mut cluster = Cluster::new(2, 1000);
        cluster.start(1);
        for cluster_id in ["lost", "new"] {
            let probe = ProbeRequest {
                cluster_id: Some(cluster_id.into()),
            };
            let _: ProbeResponse = call(&cluster, 1, messages::PROBE, &probe).await;
        }
        let to = cluster.handle(1).status().replica;
        let header = |cluster_id: &str| MessageHeader {
            cluster_id: cluster_id.into(),
            term: 1,
            vm: "c0".into(),
            from: cluster_id.into(),
            to: Arc::clone(&to),
        };
        for (cluster_id, follows) in [("lost", false), ("new", true)] {
            let heartbeat = HeartbeatRequest {
                header: header(cluster_id),
                commit_index: 0,
            };
            let response: HeartbeatResponse =
                call(&cluster, 1, messages::HEARTBEAT, &heartbeat).await;
            assert_eq!(response.follows, follows, "{cluster_id}");
        }
    });
}

#[test]
fn replica_without_data_directory_stops_and_the_others_continue() {
    runtime::run(async {
        let cluster = Cluster::start_new(3, 1000).await;
        cluster.propose("a", NO_VM).await;
        let leader = cluster.leader().await;
        std::fs::remove_dir_all(cluster.data_dir(leader)).unwrap();
        let result = in_time(cluster.handle(leader).propose(b"b".to_vec())).await;
        assert!(result.is_ok() || result == Err(ProposeError::OutcomeUnknown));
        until("the log to stop", || {
            cluster.handle(leader).status().stopped
        })
        .await;
        cluster.propose("c", leader).await;
        assert_eq!(
            cluster.handle(leader).propose(b"d".to_vec()).await,
            Err(ProposeError::Stopped)
        );
    });
}

#[test]
fn wiped_bootstrapper_starts_no_second_cluster() {
    runtime::run(async {
        let mut cluster = Cluster::start_new(3, 1000).await;
        propose_many(&cluster, "a", 5, NO_VM).await;
        cluster.wait_for_agreement(&[0, 1, 2], 5).await;
        (0..3).for_each(|n| cluster.kill(n));
        cluster.wipe_data_dir(0);
        cluster.start(0);
        cluster.start(1);
        monoio::time::sleep(Duration::from_millis(500)).await;
        cluster.start(2);
        let leader = cluster.leader().await;
        cluster.wait_for_voters(leader, &cluster.replicas()).await;
        cluster.wait_for_agreement(&[0, 1, 2], 5).await;
        assert_eq!(cluster.event_count(0, "log.formed"), 1);
    });
}

#[test]
fn no_bootstrap_while_a_vm_is_unreachable() {
    runtime::run(async {
        let mut cluster = Cluster::start_new(3, 1000).await;
        cluster.propose("a", NO_VM).await;
        (0..3).for_each(|n| cluster.kill(n));
        (0..2).for_each(|n| cluster.wipe_data_dir(n));
        let before = cluster.refused_calls(0, 2);
        (0..2).for_each(|n| cluster.start(n));
        let bootstrapped = || cluster.event_count(0, "log.formed") > 1;
        let probed = || cluster.refused_calls(0, 2) >= before + 3;
        until("three probes", || probed() || bootstrapped()).await;
        assert!(!bootstrapped());
    });
}

#[test]
fn follower_and_restart_recover_from_a_snapshot() {
    runtime::run(async {
        let mut cluster = Cluster::start_new(3, 40).await;
        let leader = cluster.leader().await;
        let behind = (leader + 1) % 3;
        propose_many(&cluster, "a", 10, NO_VM).await;
        cluster.kill(behind);
        cluster
            .propose(&"more than one message ".repeat(15_000), NO_VM)
            .await;
        propose_many(&cluster, "b", 299, NO_VM).await;
        let covered = || cluster.handle(leader).status().snapshot_index > 200;
        until("a snapshot", covered).await;
        cluster.start(behind);
        cluster.wait_for_agreement(&[0, 1, 2], 310).await;
        assert!(cluster.event_count(behind, "log.installed") >= 1);
        (0..3).for_each(|n| cluster.kill(n));
        (0..3).for_each(|n| cluster.start(n));
        propose_many(&cluster, "c", 1, NO_VM).await;
        cluster.wait_for_agreement(&[0, 1, 2], 311).await;
    });
}

#[test]
fn leader_transfers_leadership_on_step_down() {
    runtime::run(async {
        let cluster = Cluster::start_new(3, 1000).await;
        propose_many(&cluster, "a", 5, NO_VM).await;
        let old = cluster.leader().await;
        let term = cluster.handle(old).status().term;
        cluster.handle(old).step_down().await;
        let new = cluster.leader_except(old).await;
        assert_eq!(cluster.handle(new).status().term, term + 1);
        assert_eq!(cluster.event_count(new, "log.succeeds"), 1);
        cluster.propose("b", NO_VM).await;
        cluster.wait_for_agreement(&[0, 1, 2], 6).await;
    });
}

#[test]
fn second_replica_of_a_live_vm_is_refused() {
    runtime::run(async {
        let cluster = Cluster::start_new(3, 1000).await;
        cluster.propose("a", NO_VM).await;
        cluster.wait_for_agreement(&[0, 1, 2], 1).await;
        let leader = cluster.leader().await;
        for vm in 0..3 {
            let request = JoinRequest {
                vm: cluster.handle(vm).status().vm,
                replica: "another".into(),
                address: None,
                zone: None,
            };
            let response: JoinResponse = call(&cluster, leader, messages::JOIN, &request).await;
            assert!(!response.accepted, "{vm}");
        }
    });
}

#[test]
fn removed_vm_rejoins_only_when_allowed() {
    runtime::run(async {
        let mut cluster = Cluster::start_new(4, 1000).await;
        let leader = cluster.leader().await;
        let removed_vm = (leader + 1) % 4;
        let member = cluster.vms[removed_vm].config.members[removed_vm].clone();
        cluster.propose("a", NO_VM).await;
        let removed = cluster.handle(leader).remove_member(&member.vm).await;
        assert_eq!(removed, Ok(()));
        cluster.kill(removed_vm);
        cluster.wipe_data_dir(removed_vm);
        cluster.wait_for_voters(leader, &cluster.replicas()).await;
        cluster.start(removed_vm);
        let refused = || cluster.event_count(leader, "log.join_refused") > 0;
        until("a refusal", refused).await;
        assert_eq!(cluster.handle(leader).status().replicas.len(), 3);
        cluster.handle(leader).allow_join(member);
        cluster.wait_for_voters(leader, &cluster.replicas()).await;
        cluster.wait_for_agreement(&[0, 1, 2, 3], 1).await;
    });
}

/// Proposes one command after another and records the acknowledged ones.
async fn client(cluster: Rc<RefCell<Cluster>>, acked: Rc<RefCell<Vec<String>>>, id: usize) {
    for number in 0.. {
        let text = format!("{id}-{number}");
        let handles: Vec<_> = {
            let cluster = cluster.borrow();
            cluster
                .vms
                .iter()
                .filter_map(|v| v.handle.clone())
                .collect()
        };
        for handle in handles {
            if handle.propose(text.clone().into_bytes()).await.is_ok() {
                acked.borrow_mut().push(text.clone());
                break;
            }
        }
        monoio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn restart_random_replicas(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let cluster = Rc::new(RefCell::new(Cluster::start_new(3, 50).await));
    let acked = Rc::new(RefCell::new(Vec::new()));
    let clients: Vec<_> = (0..4)
        .map(|id| monoio::spawn(client(Rc::clone(&cluster), Rc::clone(&acked), id)))
        .collect();
    for round in 0..5 {
        let vm = random.usize(0..3);
        let enough = 40 * (round + 1);
        until("acknowledged commands", || acked.borrow().len() >= enough).await;
        cluster.borrow_mut().kill(vm);
        cluster.borrow_mut().start(vm);
    }
    drop(clients);
    let acked: Vec<String> = acked.borrow().clone();
    let has_all = |n: usize| {
        let list = cluster.borrow().commands(n);
        acked.iter().all(|a| list.contains(a))
    };
    until("all VMs to apply the acknowledged commands", || {
        (0..3).all(has_all)
    })
    .await;
}

#[test]
fn acknowledged_commands_survive_random_restarts() {
    for seed in 0..3 {
        println!("seed {seed}");
        runtime::run(restart_random_replicas(seed));
    }
}

#[test]
fn locked_data_directory_is_refused() {
    runtime::run(async {
        let mut cluster = Cluster::new(1, 1000);
        cluster.start(0);
        let first = cluster.handle(0).clone();
        let error = cluster.try_start(0).unwrap_err();
        let file: Arc<str> = cluster
            .data_dir(0)
            .join("lock")
            .display()
            .to_string()
            .into();
        assert_eq!(error, crate::log::OpenError::Locked { file });
        first.stop();
        cluster.start(0);
    });
}
