//! Losses: of leaders, links, disks, and of two things in a row.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::bench::{Cluster, in_time, until};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::clock;
use crate::log::messages::{
    self, Ballot, Beat, Beaten, Blank, Condition, Join, Joined, Route, Voted,
};
use crate::log::{ProposeError, Role};
use crate::runtime;

const NOBODY: usize = usize::MAX;

async fn propose_many(cluster: &Cluster, prefix: &str, count: usize, not: usize) {
    for number in 0..count {
        cluster.propose(&format!("{prefix}{number}"), not).await;
    }
}

#[test]
fn an_isolated_leader_confirms_no_read() {
    runtime::run(async {
        let cluster = Cluster::formed(3, 1000).await;
        cluster.propose("a", NOBODY).await;
        let old = cluster.leader().await;
        cluster.isolate(old, true);
        assert_eq!(cluster.role(old), Role::Leader);
        let read = in_time(cluster.handle(old).read_barrier()).await;
        assert_eq!(read, Err(ProposeError::NotLeader { leader: None }));
        let new = cluster.leader_but(old).await;
        assert!(cluster.handle(new).read_barrier().await.is_ok());
        cluster.isolate(old, false);
        until("follower", || cluster.role(old) == Role::Follower).await;
    });
}

#[test]
fn a_leader_that_slept_leads_no_more() {
    runtime::run(async {
        let cluster = Cluster::formed(3, 1000).await;
        let leader = cluster.leader().await;
        clock::advance(Duration::from_mins(10));
        assert_eq!(cluster.handle(leader).leading_since(), None);
        cluster.propose("a", NOBODY).await;
        cluster.agree(&[0, 1, 2], 1).await;
    });
}

#[test]
fn what_an_isolated_leader_appended_is_replaced() {
    runtime::run(async {
        let cluster = Cluster::formed(3, 1000).await;
        cluster.propose("kept", NOBODY).await;
        let old = cluster.leader().await;
        cluster.isolate(old, true);
        let answer = in_time(cluster.handle(old).propose(b"dropped".to_vec())).await;
        assert_eq!(answer, Err(ProposeError::OutcomeUnknown));
        propose_many(&cluster, "n", 5, old).await;
        cluster.isolate(old, false);
        cluster.agree(&[0, 1, 2], 6).await;
        assert!(!cluster.list(old).contains(&"dropped".to_owned()));
    });
}

#[test]
fn a_returning_follower_disturbs_no_leader() {
    runtime::run(async {
        let cluster = Cluster::formed(3, 1000).await;
        // A disk that was not yet told who the members are asks nobody for votes.
        cluster.propose("first", NOBODY).await;
        cluster.agree(&[0, 1, 2], 1).await;
        let leader = cluster.leader().await;
        let term = cluster.handle(leader).status().term;
        let cut = (leader + 1) % 3;
        cluster.isolate(cut, true);
        let without = || cluster.handle(cut).status().leader.is_none();
        until("a follower that asked for votes", without).await;
        assert_eq!(cluster.handle(cut).status().term, term);
        cluster.isolate(cut, false);
        cluster.propose("a", NOBODY).await;
        cluster.agree(&[0, 1, 2], 2).await;
        let starved = cluster.events(leader, "log.stepped_down") > 0;
        assert!(starved || cluster.role(leader) == Role::Leader);
    });
}

#[test]
fn a_lost_disk_comes_back_as_a_new_one_and_a_second_loss_loses_nothing() {
    runtime::run(async {
        let mut cluster = Cluster::formed(3, 20).await;
        propose_many(&cluster, "a", 25, NOBODY).await;
        let first = cluster.leader().await;
        let (lost, behind) = ((first + 1) % 3, (first + 2) % 3);
        cluster.isolate(behind, true);
        propose_many(&cluster, "b", 25, NOBODY).await;
        cluster.kill(lost);
        cluster.lose_disk(lost);
        cluster.start(lost);
        cluster.isolate(behind, false);
        let leader = cluster.leader().await;
        cluster.voters(leader, &cluster.disks()).await;
        cluster.kill(first);
        cluster.lose_disk(first);
        propose_many(&cluster, "c", 5, NOBODY).await;
        cluster.agree(&[lost, behind], 55).await;
        cluster.start(first);
        let leader = cluster.leader().await;
        cluster.voters(leader, &cluster.disks()).await;
        cluster.agree(&[0, 1, 2], 55).await;
    });
}

/// Calls a member directly, without any link.
async fn ask<Q, A>(cluster: &Cluster, vm: usize, method: &str, request: &Q) -> A
where
    Q: Serialize,
    A: DeserializeOwned,
{
    let body = serde_json::value::to_raw_value(request).unwrap();
    let answer = cluster.handle(vm).answer(method, &body).await;
    serde_json::from_str(answer.unwrap().unwrap().get()).unwrap()
}

/// A ballot that wins any vote not yet given.
fn ballot(cluster: &Cluster, candidate: usize, voter: usize) -> Ballot {
    let (from, to) = (
        cluster.handle(candidate).status(),
        cluster.handle(voter).status(),
    );
    Ballot {
        route: Route {
            cluster: cluster.founder(),
            term: 100,
            vm: from.vm,
            from: from.replica,
            to: to.replica,
        },
        last: 1000,
        last_term: 99,
        pre: false,
        asked: false,
    }
}

#[test]
fn a_blank_disk_casts_no_vote_of_the_lost_one() {
    runtime::run(async {
        let mut cluster = Cluster::formed(3, 1000).await;
        let ballot = ballot(&cluster, 2, 1);
        (0..3).for_each(|n| cluster.kill(n));
        cluster.lose_disk(1);
        cluster.start(1);
        assert_ne!(cluster.handle(1).status().replica, ballot.route.to);
        let voted: Voted = ask(&cluster, 1, messages::VOTE, &ballot).await;
        assert!(!voted.granted);
    });
}

#[test]
fn a_vote_is_not_given_twice_after_a_restart() {
    runtime::run(async {
        let mut cluster = Cluster::formed(3, 1000).await;
        let (first, second) = (ballot(&cluster, 2, 1), ballot(&cluster, 0, 1));
        (0..3).for_each(|n| cluster.kill(n));
        cluster.start(1);
        let voted: Voted = ask(&cluster, 1, messages::VOTE, &first).await;
        assert!(voted.granted);
        cluster.kill(1);
        cluster.start(1);
        let voted: Voted = ask(&cluster, 1, messages::VOTE, &second).await;
        assert_eq!(
            voted,
            Voted {
                term: 100,
                granted: false
            }
        );
        let voted: Voted = ask(&cluster, 1, messages::VOTE, &first).await;
        assert!(voted.granted);
    });
}

#[test]
fn a_blank_disk_follows_only_the_founder_that_asked_last() {
    runtime::run(async {
        let mut cluster = Cluster::new(2, 1000);
        cluster.start(1);
        for founder in ["lost", "new"] {
            let blank = Blank {
                founder: Some(founder.into()),
            };
            let _: Condition = ask(&cluster, 1, messages::BLANK, &blank).await;
        }
        let to = cluster.handle(1).status().replica;
        let route = |founder: &str| Route {
            cluster: founder.into(),
            term: 1,
            vm: "c0".into(),
            from: founder.into(),
            to: Arc::clone(&to),
        };
        for (founder, followed) in [("lost", false), ("new", true)] {
            let beat = Beat {
                route: route(founder),
                commit: 0,
            };
            let answer: Beaten = ask(&cluster, 1, messages::BEAT, &beat).await;
            assert_eq!(answer.follows, followed, "{founder}");
        }
    });
}

#[test]
fn a_member_whose_folder_is_removed_stops_and_the_others_go_on() {
    runtime::run(async {
        let cluster = Cluster::formed(3, 1000).await;
        cluster.propose("a", NOBODY).await;
        let leader = cluster.leader().await;
        std::fs::remove_dir_all(cluster.data(leader)).unwrap();
        let answer = in_time(cluster.handle(leader).propose(b"b".to_vec())).await;
        assert!(answer.is_ok() || answer == Err(ProposeError::OutcomeUnknown));
        until("a stop", || cluster.handle(leader).status().stopped).await;
        cluster.propose("c", leader).await;
        assert_eq!(
            cluster.handle(leader).propose(b"d".to_vec()).await,
            Err(ProposeError::Stopped)
        );
    });
}

#[test]
fn a_blank_founder_forms_no_second_cluster() {
    runtime::run(async {
        let mut cluster = Cluster::formed(3, 1000).await;
        propose_many(&cluster, "a", 5, NOBODY).await;
        cluster.agree(&[0, 1, 2], 5).await;
        (0..3).for_each(|n| cluster.kill(n));
        cluster.lose_disk(0);
        cluster.start(0);
        cluster.start(1);
        monoio::time::sleep(Duration::from_millis(500)).await;
        cluster.start(2);
        let leader = cluster.leader().await;
        cluster.voters(leader, &cluster.disks()).await;
        cluster.agree(&[0, 1, 2], 5).await;
        assert_eq!(cluster.events(0, "log.formed"), 1);
    });
}

#[test]
fn blank_disks_form_nothing_while_one_vm_is_not_reached() {
    runtime::run(async {
        let mut cluster = Cluster::formed(3, 1000).await;
        cluster.propose("a", NOBODY).await;
        (0..3).for_each(|n| cluster.kill(n));
        (0..2).for_each(|n| cluster.lose_disk(n));
        let before = cluster.refused(0, 2);
        (0..2).for_each(|n| cluster.start(n));
        let formed = || cluster.events(0, "log.formed") > 1;
        let asked = || cluster.refused(0, 2) >= before + 3;
        until("three questions", || asked() || formed()).await;
        assert!(!formed());
    });
}

#[test]
fn hundreds_of_entries_start_again_from_a_snapshot() {
    runtime::run(async {
        let mut cluster = Cluster::formed(3, 40).await;
        let leader = cluster.leader().await;
        let behind = (leader + 1) % 3;
        propose_many(&cluster, "a", 10, NOBODY).await;
        cluster.kill(behind);
        cluster
            .propose(&"more than one message ".repeat(15_000), NOBODY)
            .await;
        propose_many(&cluster, "b", 299, NOBODY).await;
        let covered = || cluster.handle(leader).status().snapshot_index > 200;
        until("a snapshot", covered).await;
        cluster.start(behind);
        cluster.agree(&[0, 1, 2], 310).await;
        assert!(cluster.events(behind, "log.installed") >= 1);
        (0..3).for_each(|n| cluster.kill(n));
        (0..3).for_each(|n| cluster.start(n));
        propose_many(&cluster, "c", 1, NOBODY).await;
        cluster.agree(&[0, 1, 2], 311).await;
    });
}

#[test]
fn a_leader_hands_over_when_it_leaves() {
    runtime::run(async {
        let cluster = Cluster::formed(3, 1000).await;
        propose_many(&cluster, "a", 5, NOBODY).await;
        let old = cluster.leader().await;
        let term = cluster.handle(old).status().term;
        cluster.handle(old).step_down().await;
        let new = cluster.leader_but(old).await;
        assert_eq!(cluster.handle(new).status().term, term + 1);
        assert_eq!(cluster.events(new, "log.succeeds"), 1);
        cluster.propose("b", NOBODY).await;
        cluster.agree(&[0, 1, 2], 6).await;
    });
}

#[test]
fn a_second_disk_under_the_name_of_a_live_vm_is_refused() {
    runtime::run(async {
        let cluster = Cluster::formed(3, 1000).await;
        cluster.propose("a", NOBODY).await;
        cluster.agree(&[0, 1, 2], 1).await;
        let leader = cluster.leader().await;
        for vm in 0..3 {
            let join = Join {
                vm: cluster.handle(vm).status().vm,
                disk: "another".into(),
                address: None,
            };
            let joined: Joined = ask(&cluster, leader, messages::JOIN, &join).await;
            assert!(!joined.begun, "{vm}");
        }
    });
}

#[test]
fn a_removed_vm_returns_only_when_invited() {
    runtime::run(async {
        let mut cluster = Cluster::formed(4, 1000).await;
        let leader = cluster.leader().await;
        let gone = (leader + 1) % 4;
        let member = cluster.vms[gone].config.members[gone].clone();
        cluster.propose("a", NOBODY).await;
        let removed = cluster.handle(leader).remove_member(&member.vm).await;
        assert_eq!(removed, Ok(()));
        cluster.kill(gone);
        cluster.lose_disk(gone);
        cluster.voters(leader, &cluster.disks()).await;
        cluster.start(gone);
        let asked = || cluster.events(leader, "log.join_refused") > 0;
        until("a refusal", asked).await;
        assert_eq!(cluster.handle(leader).status().replicas.len(), 3);
        cluster.handle(leader).allow_join(member);
        cluster.voters(leader, &cluster.disks()).await;
        cluster.agree(&[0, 1, 2, 3], 1).await;
    });
}

/// Proposes one command after another, and notes those that were acknowledged.
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

async fn kill_in_turn(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let cluster = Rc::new(RefCell::new(Cluster::formed(3, 50).await));
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
    let holds = |n: usize| {
        let list = cluster.borrow().list(n);
        acked.iter().all(|a| list.contains(a))
    };
    until("all acknowledged commands everywhere", || (0..3).all(holds)).await;
}

#[test]
fn what_was_acknowledged_survives_kills_in_turn() {
    for seed in 0..3 {
        println!("seed {seed}");
        runtime::run(kill_in_turn(seed));
    }
}

#[test]
fn a_folder_in_use_is_refused() {
    runtime::run(async {
        let mut cluster = Cluster::new(1, 1000);
        cluster.start(0);
        let kept = cluster.handle(0).clone();
        let again = cluster.try_start(0).unwrap_err();
        let file: Arc<str> = cluster.data(0).join("lock").display().to_string().into();
        assert_eq!(again, crate::log::OpenError::Locked { file });
        kept.stop();
        cluster.start(0);
    });
}
