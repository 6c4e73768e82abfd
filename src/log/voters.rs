//! The leader's maintenance of the voters of a cluster with discovery.
//!
//! Neither half of an even number of voters is a majority, so an odd number of
//! replicas vote and the others are learners; [`placement`] chooses them. The
//! leader replaces a voter that has not answered for long by a learner: it
//! first promotes the learner, then demotes the silent voter, each by a
//! membership change of its own.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::Discovery;
use super::membership::{self, Edit};
use super::model::{Membership, Replica, ReplicaId};
use super::node::Node;
use super::placement::{self, Candidate, Contact, VoterChange};
use super::state::State;
use crate::clock;
use crate::ids;

/// Time between checks of the voters.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without an answer after which a voter is replaced; longer than a restart takes.
const REPLACE_AFTER: Duration = Duration::from_millis(2500);

/// Time without an answer after which a learner is removed; longer than any network partition
/// that a learner must survive.
const REMOVE_AFTER: Duration = Duration::from_secs(30);

/// Maintains the number and the zones of the voters while this VM leads, until the log stops.
pub(super) async fn maintain_voters(node: Rc<Node>, discovery: Discovery) {
    let wanted = discovery.voter_count;
    while !node.stopped() {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let (term, change) = {
            let state = node.state();
            let leads = state.is_leader(state.term()) && state.has_quorum();
            let change = leads.then(|| next_change(&state, wanted)).flatten();
            (state.term(), change)
        };
        if let Some(zone) = &discovery.zone {
            record_own_zone(&node, term, zone).await;
        }
        let Some(change) = change else { continue };
        // The change is computed again in the step that appends it: meanwhile the replica may have
        // fallen behind or another change may have been made.
        let edit = |s: &State, m: &Membership| match next_change(s, wanted) {
            Some(next) if next == change => Edit::Apply(with_change(m, &change)),
            _ => Edit::Abort,
        };
        let done = membership::change_membership(&node, term, edit).await;
        node.record("log.voters", &format!("{change:?} done={done}"));
    }
}

/// Number of voters that a cluster should have now, of `wanted` ones.
pub(super) fn target(state: &State, wanted: usize) -> usize {
    placement::growth_target(&candidates(state), wanted)
}

/// Sets the zone of this leader's replica in the membership, unless it is there.
async fn record_own_zone(node: &Rc<Node>, term: ids::LogTerm, zone: &ids::ZoneName) {
    let id = Arc::clone(&node.state().id);
    let is_recorded = |r: &Replica| r.zone.as_ref() == Some(zone);
    let missing = {
        let state = node.state();
        let own = state.log.membership().and_then(|m| m.replica(&id));
        state.is_leader(term) && own.is_some_and(|r| !is_recorded(r))
    };
    if missing {
        let edit = |_: &State, m: &Membership| {
            let mut membership = m.clone();
            membership::set_zone(&mut membership, &id, zone);
            Edit::Apply(membership)
        };
        membership::change_membership(node, term, edit).await;
    }
}

fn next_change(state: &State, wanted: usize) -> Option<VoterChange> {
    state.changeable_membership()?;
    placement::next_change(&candidates(state), wanted)
}

/// The replicas of the newest membership as this leader sees them.
fn candidates(state: &State) -> Vec<Candidate> {
    let replicas = state.log.membership().map(|m| &*m.replicas);
    let replicas = replicas.unwrap_or_default();
    let candidate = |r: &Replica| {
        let leads = r.id == state.id;
        let contact = match () {
            () if leads || is_ready(state, &r.id) => Contact::Ready,
            () if is_silent(state, &r.id, REMOVE_AFTER) => Contact::Lost,
            () if is_silent(state, &r.id, REPLACE_AFTER) => Contact::Silent,
            () if is_superseded(state, replicas, r) => Contact::Silent,
            () => Contact::Behind,
        };
        Candidate {
            id: Arc::clone(&r.id),
            zone: r.zone.clone(),
            voter: r.voter,
            leads,
            contact,
        }
    };
    replicas.iter().map(candidate).collect()
}

fn is_silent(state: &State, id: &ReplicaId, limit: Duration) -> bool {
    let last_contact = state.progress.get(id).map(|p| p.last_contact);
    last_contact.is_some_and(|t| clock::now() >= t + limit)
}

fn is_ready(state: &State, id: &ReplicaId) -> bool {
    let match_index = state.progress.get(id).map_or(0, |p| p.match_index);
    state.is_responsive(id) && match_index >= state.commit_index
}

/// Whether a VM answers with a newer replica, so that this one's data directory is lost.
fn is_superseded(state: &State, replicas: &[Replica], replica: &Replica) -> bool {
    let is_newer =
        |other: &Replica| other.vm == replica.vm && other.id != replica.id && !other.voter;
    let newer = replicas.iter().filter(|r| is_newer(r));
    replica.voter
        && !state.is_responsive(&replica.id)
        && newer.into_iter().any(|r| state.is_responsive(&r.id))
}

fn with_change(membership: &Membership, change: &VoterChange) -> Membership {
    let mut membership = membership.clone();
    let replicas = &mut membership.replicas;
    let mut set_voter = |id: &ReplicaId, voter| {
        for replica in replicas.iter_mut().filter(|r| r.id == *id) {
            replica.voter = voter;
        }
    };
    match change {
        VoterChange::Promote(id) => set_voter(id, true),
        VoterChange::Demote(id) => set_voter(id, false),
        VoterChange::Remove(id) => replicas.retain(|r| r.id != *id),
    }
    membership
}
