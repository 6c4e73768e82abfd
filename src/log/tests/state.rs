//! Tests of the state of a single replica.

use std::sync::Arc;

use crate::clock;
use crate::log::membership::{Edit, with_learner, with_voter, without_replaced};
use crate::log::memory_log::MemoryLog;
use crate::log::model::{Body, Membership, Replica, Vote};
use crate::log::state::{Progress, Role, State};

fn membership(ids: &[&str]) -> Membership {
    let replica = |id: &&str| Replica {
        vm: Arc::from(*id),
        id: Arc::from(*id),
        address: ([127, 0, 0, 1], 1).into(),
        voter: true,
        zone: None,
    };
    Membership {
        cluster_id: "a".into(),
        replicas: ids.iter().map(replica).collect(),
    }
}

/// A leader of term 2 whose log has a membership and a command of term 1.
fn leader(ids: &[&str]) -> State {
    let vote = Vote {
        term: 1,
        voted_for: None,
    };
    let mut state = State::new(
        "a".into(),
        vote,
        MemoryLog::default(),
        &crate::log::Tuning::default(),
    );
    state.append(Body::Membership(membership(ids)));
    state.append(Body::Command(Arc::from(&b"x"[..])));
    state.advance_term(2);
    state.role = Role::Candidate;
    state.become_leader(&"a".into());
    state
}

fn progress(match_index: u64, acked_round: u64) -> Progress {
    Progress {
        next_index: match_index + 1,
        match_index,
        last_contact: clock::now(),
        acked_round,
    }
}

#[test]
fn entry_of_an_earlier_term_commits_only_with_one_of_the_current_term() {
    let mut state = leader(&["a", "b", "c"]);
    state.log.mark_synced(3, 0);
    state.progress.insert("b".into(), progress(2, 0));
    state.advance_commit();
    assert_eq!(state.commit_index, 0);
    state.progress.insert("b".into(), progress(3, 0));
    state.advance_commit();
    assert_eq!(state.commit_index, 3);
}

#[test]
fn entry_commits_once_a_majority_has_synced_it() {
    let mut state = leader(&["a", "b", "c"]);
    state.progress.insert("b".into(), progress(3, 0));
    state.advance_commit();
    assert_eq!(state.commit_index, 0, "not synced locally");
    state.log.mark_synced(3, 0);
    state.advance_commit();
    assert_eq!(state.commit_index, 3);
}

#[test]
fn sync_started_before_a_truncation_is_ignored() {
    let mut log = leader(&["a", "b", "c"]).log;
    let (_, truncations) = log.take_unsynced();
    log.truncate_from(2);
    log.mark_synced(3, truncations);
    assert_eq!(log.synced_index(), 0);
}

#[test]
fn membership_changes_one_at_a_time_after_the_first_entry_of_the_term() {
    let mut state = leader(&["a", "b", "c"]);
    assert_eq!(state.changeable_membership(), None);
    state.commit_index = 2;
    assert_eq!(state.changeable_membership(), None);
    state.commit_index = 3;
    assert_eq!(
        state.changeable_membership(),
        Some(&membership(&["a", "b", "c"]))
    );
    state.append(Body::Membership(membership(&["a", "b"])));
    assert_eq!(state.changeable_membership(), None);
    state.commit_index = 4;
    assert_eq!(
        state.changeable_membership(),
        Some(&membership(&["a", "b"]))
    );
}

#[test]
fn lost_replica_is_replaced_in_steps_after_catch_up() {
    let mut state = leader(&["a", "b", "c"]);
    state.commit_index = 3;
    let new = Replica {
        vm: "c".into(),
        id: "c2".into(),
        address: ([127, 0, 0, 1], 1).into(),
        voter: true,
        zone: None,
    };
    let voters = |m: &Membership| -> Vec<_> { m.voters().map(|r| Arc::clone(&r.id)).collect() };
    let with_new = with_learner(&membership(&["a", "b", "c"]), &new);
    assert_eq!(with_new.replicas.len(), 4);
    assert_eq!(voters(&with_new), ["a", "b", "c"].map(Arc::from));
    state.progress.insert("c2".into(), progress(2, 0));
    assert_eq!(without_replaced(&state, &with_new, &new), Edit::Wait);
    assert_eq!(with_voter(&state, &with_new, &new), Edit::Wait);
    state.progress.insert("c2".into(), progress(3, 0));
    let Edit::Apply(without) = without_replaced(&state, &with_new, &new) else {
        panic!("not removed");
    };
    assert_eq!(without.replicas.len(), 3);
    assert_eq!(voters(&without), ["a", "b"].map(Arc::from));
    let Edit::Apply(replaced) = with_voter(&state, &without, &new) else {
        panic!("no voter");
    };
    assert_eq!(voters(&replaced), ["a", "b", "c2"].map(Arc::from));
    state.progress.remove("c2");
    let removed = membership(&["a", "b"]);
    assert_eq!(with_voter(&state, &removed, &new), Edit::Abort);
}

#[test]
fn majority_is_more_than_half_of_the_voters() {
    let mut four = membership(&["a", "b", "c", "d"]);
    assert!(!four.has_majority(|r| ["a", "b"].contains(&&*r.id)));
    assert!(four.has_majority(|r| ["a", "b", "c"].contains(&&*r.id)));
    four.replicas[3].voter = false;
    assert!(four.has_majority(|r| ["a", "b"].contains(&&*r.id)));
    assert!(!four.has_majority(|r| ["a", "d"].contains(&&*r.id)));
    assert!(!membership(&[]).has_majority(|_| true));
}
