//! Clusters that work: forming, proposing, reading, starting again.

use super::bench::{Cluster, until};
use crate::log::ProposeError;
use crate::runtime;

const NOBODY: usize = usize::MAX;

#[test]
fn three_members_form_and_apply_in_one_order() {
    runtime::run(async {
        let cluster = Cluster::formed(3, 1000).await;
        for number in 0..20 {
            cluster.propose(&format!("n{number}"), NOBODY).await;
        }
        cluster.agree(&[0, 1, 2], 20).await;
        let leader = cluster.leader().await;
        let status = cluster.handle(leader).status();
        let read = cluster.handle(leader).read_barrier().await;
        assert!(read.unwrap() >= status.commit_index);
    });
}

#[test]
fn a_follower_refuses_and_names_the_leader() {
    runtime::run(async {
        let cluster = Cluster::formed(3, 1000).await;
        let leader = cluster.leader().await;
        let follower = (leader + 1) % 3;
        let vm = Some(cluster.handle(leader).status().vm);
        until("known leader", || {
            cluster.handle(follower).status().leader == vm
        })
        .await;
        let refused = Err(ProposeError::NotLeader { leader: vm });
        let answer = cluster.handle(follower).propose(b"x".to_vec()).await;
        assert_eq!(answer, refused);
    });
}

#[test]
fn nothing_acknowledged_is_lost_when_all_start_again() {
    runtime::run(async {
        let mut cluster = Cluster::formed(3, 1000).await;
        for number in 0..30 {
            cluster.propose(&format!("n{number}"), NOBODY).await;
        }
        (0..3).for_each(|n| cluster.kill(n));
        (0..3).for_each(|n| cluster.start(n));
        cluster.propose("last", NOBODY).await;
        cluster.agree(&[0, 1, 2], 31).await;
    });
}

#[test]
fn another_leads_when_the_leader_is_gone() {
    runtime::run(async {
        let mut cluster = Cluster::formed(3, 1000).await;
        cluster.propose("before", NOBODY).await;
        let old = cluster.leader().await;
        cluster.kill(old);
        cluster.propose("after", NOBODY).await;
        cluster.start(old);
        cluster.agree(&[0, 1, 2], 2).await;
    });
}
