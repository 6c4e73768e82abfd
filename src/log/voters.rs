//! Choice of the voters of a cluster with discovery.
//!
//! Neither half of an even number of voters is a majority, so a fixed odd
//! number of replicas vote and the others are learners. The leader replaces a
//! voter that has not answered for long by a learner: it first promotes the
//! learner, then demotes the silent voter, each by a membership change of its
//! own.

use std::rc::Rc;
use std::time::Duration;

use super::Discovery;
use super::membership::{self, Edit};
use super::model::{Membership, ReplicaId};
use super::node::Node;
use super::state::State;
use crate::clock;

/// Time between checks of the voters.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without an answer after which a voter is replaced; longer than a restart takes.
const REPLACE_AFTER: Duration = Duration::from_millis(2500);

/// Time without an answer after which a learner is removed; longer than any network partition
/// that a learner must survive.
const REMOVE_AFTER: Duration = Duration::from_secs(30);

/// A change to keep the number of responsive voters.
#[derive(Debug, PartialEq, Eq)]
enum VoterChange {
    /// Makes a learner a voter.
    Promote(ReplicaId),
    /// Makes a voter a learner.
    Demote(ReplicaId),
    /// Removes a learner.
    Remove(ReplicaId),
}

/// Maintains the number of voters while this VM leads, until the log stops.
pub(super) async fn maintain_voters(node: Rc<Node>, discovery: Discovery) {
    while !node.stopped() {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let (term, change) = {
            let state = node.state();
            let leads = state.is_leader(state.term()) && state.has_quorum();
            let change = leads
                .then(|| next_change(&state, discovery.voter_count))
                .flatten();
            (state.term(), change)
        };
        let Some(change) = change else { continue };
        let done = match &change {
            VoterChange::Promote(id) => {
                membership::change_membership(&node, term, |_, m| {
                    Edit::Apply(with_voter(m, id, true))
                })
                .await
            }
            VoterChange::Demote(id) => {
                membership::change_membership(&node, term, |_, m| {
                    Edit::Apply(with_voter(m, id, false))
                })
                .await
            }
            VoterChange::Remove(id) => {
                membership::change_membership(&node, term, |_, m| {
                    Edit::Apply(without_replica(m, id))
                })
                .await
            }
        };
        node.record("log.voters", &format!("{change:?} done={done}"));
    }
}

fn next_change(state: &State, voter_count: usize) -> Option<VoterChange> {
    let membership = state.changeable_membership()?;
    let is_silent = |id: &ReplicaId, limit: Duration| {
        let last_contact = state.progress.get(id).map(|p| p.last_contact);
        *id != state.id && last_contact.is_some_and(|t| clock::now() >= t + limit)
    };
    let voters = membership.voters().count();
    let silent = membership
        .voters()
        .find(|r| is_silent(&r.id, REPLACE_AFTER));
    let standby = membership.replicas.iter().find(|r| {
        let match_index = state.progress.get(&r.id).map_or(0, |p| p.match_index);
        !r.voter && state.is_responsive(&r.id) && match_index >= state.commit_index
    });
    let unresponsive = membership
        .replicas
        .iter()
        .find(|r| !r.voter && is_silent(&r.id, REMOVE_AFTER));
    match (silent, standby) {
        (Some(silent), _) if voters > voter_count => {
            Some(VoterChange::Demote(ReplicaId::clone(&silent.id)))
        }
        (None, _) if voters > voter_count => {
            let other = membership.voters().filter(|r| r.id != state.id).last()?;
            Some(VoterChange::Demote(ReplicaId::clone(&other.id)))
        }
        (Some(_), Some(standby)) => Some(VoterChange::Promote(ReplicaId::clone(&standby.id))),
        (None, Some(standby)) if voters < voter_count => {
            Some(VoterChange::Promote(ReplicaId::clone(&standby.id)))
        }
        _ => unresponsive.map(|r| VoterChange::Remove(ReplicaId::clone(&r.id))),
    }
}

fn with_voter(membership: &Membership, id: &ReplicaId, voter: bool) -> Membership {
    let mut membership = membership.clone();
    for replica in membership.replicas.iter_mut().filter(|r| r.id == *id) {
        replica.voter = voter;
    }
    membership
}

fn without_replica(membership: &Membership, id: &ReplicaId) -> Membership {
    let mut membership = membership.clone();
    membership.replicas.retain(|r| r.id != *id);
    membership
}
