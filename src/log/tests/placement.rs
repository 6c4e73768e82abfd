//! Tests of the choice of voters, a pure function.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::log::placement::{Candidate, Contact, VoterChange, next_change};

/// Changes after which a choice must have ended.
const MAX_CHANGES: usize = 200;

/// Seeds of the random clusters.
const SEEDS: std::ops::Range<u64> = 0..400;

fn candidate(number: usize, zone: Option<usize>, voter: bool) -> Candidate {
    Candidate {
        id: format!("r{number}").into(),
        zone: zone.map(|z| format!("z{z}").into()),
        voter,
        leads: number == 0,
        contact: Contact::Ready,
    }
}

/// Replicas in the given zones, of which the first `voters` vote.
fn cluster(zones: &[usize], voters: usize) -> Vec<Candidate> {
    let replicas = zones.iter().enumerate();
    replicas
        .map(|(number, zone)| candidate(number, Some(*zone), number < voters))
        .collect()
}

fn voters(candidates: &[Candidate]) -> Vec<&str> {
    let voters = candidates.iter().filter(|c| c.voter);
    voters.map(|c| &*c.id).collect()
}

fn apply(candidates: &mut Vec<Candidate>, change: &VoterChange) {
    let mut set = |id: &Arc<str>, voter: bool| {
        let found = candidates.iter_mut().find(|c| c.id == *id).unwrap();
        assert_ne!(found.voter, voter, "no change");
        assert!(
            !voter || found.contact == Contact::Ready,
            "a replica without the log votes"
        );
        found.voter = voter;
    };
    match change {
        VoterChange::Promote(id) => set(id, true),
        VoterChange::Demote(id) => set(id, false),
        VoterChange::Remove(id) => candidates.retain(|c| c.id != *id),
    }
}

/// Makes changes until there is none; panics if they don't end.
fn settle(candidates: &mut Vec<Candidate>, wanted: usize) {
    for _ in 0..MAX_CHANGES {
        match next_change(candidates, wanted) {
            Some(change) => apply(candidates, &change),
            None => return,
        }
    }
    panic!("the changes don't end: {candidates:?}");
}

/// Most voters in one zone.
fn fullest(candidates: &[Candidate]) -> usize {
    let mut counts = BTreeMap::new();
    for voter in candidates.iter().filter(|c| c.voter) {
        *counts.entry(voter.zone.clone()).or_insert(0) += 1;
    }
    counts.into_values().max().unwrap_or(0)
}

#[test]
fn twelve_vms_in_six_zones_get_five_voters_in_five_zones() {
    let mut candidates = cluster(&[0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5], 3);
    settle(&mut candidates, 5);
    assert_eq!(voters(&candidates).len(), 5);
    assert_eq!(fullest(&candidates), 1);
}

#[test]
fn three_vms_and_a_tolerance_of_one_keep_three_voters_while_one_is_lost() {
    let mut candidates = cluster(&[0, 0, 1], 3);
    candidates[1].contact = Contact::Lost;
    assert_eq!(next_change(&candidates, 3), None);
}

#[test]
fn without_known_zones_the_first_learner_replaces_the_silent_voter() {
    let zones = [None; 5];
    let replicas = zones.iter().enumerate();
    let mut candidates: Vec<_> = replicas.map(|(n, z)| candidate(n, *z, n < 3)).collect();
    assert_eq!(next_change(&candidates, 3), None);
    candidates[1].contact = Contact::Silent;
    settle(&mut candidates, 3);
    assert_eq!(voters(&candidates), ["r0", "r2", "r3"]);
}

#[test]
fn silent_voters_keep_their_vote_until_they_are_lost() {
    let mut candidates = cluster(&[0, 1, 2, 0, 1], 5);
    for number in [3, 4] {
        candidates[number].contact = Contact::Silent;
    }
    assert_eq!(next_change(&candidates, 5), None);
    for number in [3, 4] {
        candidates[number].contact = Contact::Lost;
    }
    settle(&mut candidates, 5);
    assert_eq!(voters(&candidates), ["r0", "r1", "r2"]);
    assert_eq!(candidates.len(), 3, "lost learners are removed");
}

#[test]
fn a_lost_vm_is_replaced_by_one_at_a_new_address_and_removed() {
    let mut candidates = cluster(&[0, 1, 2], 3);
    candidates[1].contact = Contact::Silent;
    candidates.push(Candidate {
        contact: Contact::Behind,
        ..candidate(3, Some(1), false)
    });
    assert_eq!(next_change(&candidates, 3), None, "it lacks the log");
    candidates[3].contact = Contact::Ready;
    settle(&mut candidates, 3);
    assert_eq!(voters(&candidates), ["r0", "r2", "r3"]);
    candidates[1].contact = Contact::Lost;
    settle(&mut candidates, 3);
    assert_eq!(candidates.len(), 3);
}

/// Guards against a choice that never ends, counts replicas that are lost, or leaves more voters
/// in one zone than needed.
#[test]
fn any_cluster_settles_with_the_wanted_number_spread_over_the_zones() {
    for seed in SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let zone_count = random.usize(1..6);
        let count = random.usize(1..14);
        let zones: Vec<_> = (0..count).map(|_| random.usize(0..zone_count)).collect();
        let mut candidates = cluster(&zones, 1);
        for other in candidates.iter_mut().skip(1) {
            other.voter = random.bool();
            other.contact = match random.usize(0..10) {
                0..6 => Contact::Ready,
                6 | 7 => Contact::Behind,
                8 => Contact::Silent,
                _ => Contact::Lost,
            };
        }
        let wanted = random.usize(0..4) * 2 + 1;
        settle(&mut candidates, wanted);
        // Everyone answers again and catches up.
        for candidate in &mut candidates {
            candidate.contact = Contact::Ready;
        }
        settle(&mut candidates, wanted);
        let chosen = voters(&candidates).len();
        let present = candidates.len();
        let largest_odd = present - usize::from(present.is_multiple_of(2));
        let is_expected = chosen == wanted.min(largest_odd) || (present == 2 && chosen == 2);
        assert!(is_expected, "seed {seed}: {chosen} of {present}");
        // The fewest voters that the fullest zone can have: fill the zones in turn.
        let mut free = BTreeMap::new();
        for candidate in &candidates {
            *free.entry(candidate.zone.clone()).or_insert(0) += 1;
        }
        let fits = |most: usize| free.values().map(|n| most.min(*n)).sum::<usize>() >= chosen;
        let least = (1..=chosen).find(|most| fits(*most)).unwrap();
        assert_eq!(fullest(&candidates), least, "seed {seed}: {candidates:?}");
    }
}
