//! Rules that hold in one member alone.

use std::sync::Arc;

use crate::clock;
use crate::log::entries::Entries;
use crate::log::members::{Edit, with_learner, with_voter, without_lost};
use crate::log::model::{Body, Membership, Seat, Vote};
use crate::log::state::{Progress, Role, State};

fn members(disks: &[&str]) -> Membership {
    let seat = |disk: &&str| Seat {
        vm: Arc::from(*disk),
        disk: Arc::from(*disk),
        address: ([127, 0, 0, 1], 1).into(),
        voter: true,
    };
    Membership {
        founder: "a".into(),
        seats: disks.iter().map(seat).collect(),
    }
}

/// A leader of term 2 whose log holds members and a command of term 1.
fn leader(disks: &[&str]) -> State {
    let vote = Vote {
        term: 1,
        choice: None,
    };
    let mut state = State::new(
        "a".into(),
        vote,
        Entries::default(),
        &crate::log::Tuning::default(),
    );
    state.add(Body::Members(members(disks)));
    state.add(Body::Command(Arc::from(&b"x"[..])));
    state.adopt(2);
    state.role = Role::Candidate;
    state.lead(&"a".into());
    state
}

fn progress(matched: u64, round: u64) -> Progress {
    Progress {
        next: matched + 1,
        matched,
        heard: clock::now(),
        round,
    }
}

#[test]
fn entries_of_an_earlier_term_commit_only_with_one_of_the_own() {
    let mut state = leader(&["a", "b", "c"]);
    state.log.saved(3, 0);
    state.progress.insert("b".into(), progress(2, 0));
    state.count_commit();
    assert_eq!(state.commit, 0);
    state.progress.insert("b".into(), progress(3, 0));
    state.count_commit();
    assert_eq!(state.commit, 3);
}

#[test]
fn an_entry_commits_only_when_a_majority_has_synced_it() {
    let mut state = leader(&["a", "b", "c"]);
    state.progress.insert("b".into(), progress(3, 0));
    state.count_commit();
    assert_eq!(state.commit, 0, "not synced here");
    state.log.saved(3, 0);
    state.count_commit();
    assert_eq!(state.commit, 3);
}

#[test]
fn a_sync_begun_before_entries_were_taken_back_counts_for_nothing() {
    let mut log = leader(&["a", "b", "c"]).log;
    let (_, cuts) = log.take_unsaved();
    log.cut_from(2);
    log.saved(3, cuts);
    assert_eq!(log.synced(), 0);
}

#[test]
fn members_change_one_at_a_time_and_not_before_the_own_first_entry() {
    let mut state = leader(&["a", "b", "c"]);
    assert_eq!(state.changeable(), None);
    state.commit = 2;
    assert_eq!(state.changeable(), None);
    state.commit = 3;
    assert_eq!(state.changeable(), Some(&members(&["a", "b", "c"])));
    state.add(Body::Members(members(&["a", "b"])));
    assert_eq!(state.changeable(), None);
    state.commit = 4;
    assert_eq!(state.changeable(), Some(&members(&["a", "b"])));
}

#[test]
fn a_lost_disk_is_replaced_step_by_step_once_the_new_one_holds_everything() {
    let mut state = leader(&["a", "b", "c"]);
    state.commit = 3;
    let new = Seat {
        vm: "c".into(),
        disk: "c2".into(),
        address: ([127, 0, 0, 1], 1).into(),
        voter: true,
    };
    let voters = |m: &Membership| -> Vec<_> { m.voters().map(|s| Arc::clone(&s.disk)).collect() };
    let learning = with_learner(&members(&["a", "b", "c"]), &new);
    assert_eq!(learning.seats.len(), 4);
    assert_eq!(voters(&learning), ["a", "b", "c"].map(Arc::from));
    state.progress.insert("c2".into(), progress(2, 0));
    assert_eq!(without_lost(&state, &learning, &new), Edit::Wait);
    assert_eq!(with_voter(&state, &learning, &new), Edit::Wait);
    state.progress.insert("c2".into(), progress(3, 0));
    let Edit::Make(without) = without_lost(&state, &learning, &new) else {
        panic!("not removed");
    };
    assert_eq!(without.seats.len(), 3);
    assert_eq!(voters(&without), ["a", "b"].map(Arc::from));
    let Edit::Make(whole) = with_voter(&state, &without, &new) else {
        panic!("no voter");
    };
    assert_eq!(voters(&whole), ["a", "b", "c2"].map(Arc::from));
    state.progress.remove("c2");
    let gone = members(&["a", "b"]);
    assert_eq!(with_voter(&state, &gone, &new), Edit::GiveUp);
}

#[test]
fn a_majority_is_more_than_half_of_the_voters() {
    let mut four = members(&["a", "b", "c", "d"]);
    assert!(!four.majority(|s| ["a", "b"].contains(&&*s.disk)));
    assert!(four.majority(|s| ["a", "b", "c"].contains(&&*s.disk)));
    four.seats[3].voter = false;
    assert!(four.majority(|s| ["a", "b"].contains(&&*s.disk)));
    assert!(!four.majority(|s| ["a", "d"].contains(&&*s.disk)));
    assert!(!members(&[]).majority(|_| true));
}
