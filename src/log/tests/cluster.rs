//! Tests of a working cluster: bootstrap, proposals, reads, restarts.

use super::harness::{Cluster, until};
use crate::log::ProposeError;
use crate::runtime;

/// Excludes no VM from the leaders to propose to.
const NO_VM: usize = usize::MAX;

#[test]
fn three_vms_bootstrap_and_apply_in_one_order() {
    runtime::run(async {
        let cluster = Cluster::start_new(3, 1000).await;
        for number in 0..20 {
            cluster.propose(&format!("n{number}"), NO_VM).await;
        }
        cluster.wait_for_agreement(&[0, 1, 2], 20).await;
        let leader = cluster.leader().await;
        let status = cluster.handle(leader).status();
        let read = cluster.handle(leader).read_barrier().await;
        assert!(read.unwrap() >= status.commit_index);
    });
}

#[test]
fn follower_refuses_proposals_and_names_the_leader() {
    runtime::run(async {
        let cluster = Cluster::start_new(3, 1000).await;
        let leader = cluster.leader().await;
        let follower = (leader + 1) % 3;
        let vm = Some(cluster.handle(leader).status().vm);
        until("the leader to be known", || {
            cluster.handle(follower).status().leader == vm
        })
        .await;
        let refused = Err(ProposeError::NotLeader { leader: vm });
        let result = cluster.handle(follower).propose(b"x".to_vec()).await;
        assert_eq!(result, refused);
    });
}

#[test]
fn acknowledged_commands_survive_a_restart_of_all() {
    runtime::run(async {
        let mut cluster = Cluster::start_new(3, 1000).await;
        for number in 0..30 {
            cluster.propose(&format!("n{number}"), NO_VM).await;
        }
        (0..3).for_each(|n| cluster.kill(n));
        (0..3).for_each(|n| cluster.start(n));
        cluster.propose("last", NO_VM).await;
        cluster.wait_for_agreement(&[0, 1, 2], 31).await;
    });
}

#[test]
fn another_vm_leads_after_the_leader_stops() {
    runtime::run(async {
        let mut cluster = Cluster::start_new(3, 1000).await;
        cluster.propose("before", NO_VM).await;
        let old = cluster.leader().await;
        cluster.kill(old);
        cluster.propose("after", NO_VM).await;
        cluster.start(old);
        cluster.wait_for_agreement(&[0, 1, 2], 2).await;
    });
}
