//! Which disks of an open cluster vote.
//!
//! Halves of an even number have no majority, so a fixed odd number votes and
//! the others learn. A leader lets a learner take the place of a voter that
//! has been silent for long: the learner becomes a voter first, then the
//! silent one only learns, each by a change of its own.

use std::rc::Rc;
use std::time::Duration;

use super::Discovery;
use super::members::{self, Edit};
use super::model::{DiskId, Membership};
use super::node::Node;
use super::state::State;
use crate::clock;

/// Time between looks at the voters.
const TICK: Duration = Duration::from_millis(250);

/// Silence after which a voter is replaced: longer than a restart takes.
const REPLACE_AFTER: Duration = Duration::from_millis(2500);

/// Silence after which a learner loses its seat: longer than any cut to be borne.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// What is to be done about the voters.
#[derive(Debug, PartialEq, Eq)]
enum Remedy {
    /// Make a learner a voter.
    Promote(DiskId),
    /// Make a voter a learner.
    Demote(DiskId),
    /// Take a seat away.
    Remove(DiskId),
}

/// Keeps the number of voters while this VM leads, until the log stops.
pub(super) async fn tend(node: Rc<Node>, discovery: Discovery) {
    while !node.stopped() {
        monoio::time::sleep(TICK).await;
        let (term, found) = {
            let state = node.state();
            let leads = state.leads(state.term()) && state.hears_majority();
            let found = leads
                .then(|| remedy(&state, discovery.voter_count))
                .flatten();
            (state.term(), found)
        };
        let Some(remedy) = found else { continue };
        let done = match &remedy {
            Remedy::Promote(disk) => {
                members::change(&node, term, |_, m| Edit::Make(with_vote(m, disk, true))).await
            }
            Remedy::Demote(disk) => {
                members::change(&node, term, |_, m| Edit::Make(with_vote(m, disk, false))).await
            }
            Remedy::Remove(disk) => {
                members::change(&node, term, |_, m| Edit::Make(without(m, disk))).await
            }
        };
        node.record("log.voters", &format!("{remedy:?} done={done}"));
    }
}

fn remedy(state: &State, wanted: usize) -> Option<Remedy> {
    let members = state.changeable()?;
    let silent = |disk: &DiskId, limit: Duration| {
        let heard = state.progress.get(disk).map(|p| p.heard);
        *disk != state.disk && heard.is_some_and(|h| clock::now() >= h + limit)
    };
    let voters = members.voters().count();
    let lost = members.voters().find(|s| silent(&s.disk, REPLACE_AFTER));
    let heir = members.seats.iter().find(|s| {
        let matched = state.progress.get(&s.disk).map_or(0, |p| p.matched);
        !s.voter && state.is_fresh(&s.disk) && matched >= state.commit
    });
    let forgotten = members
        .seats
        .iter()
        .find(|s| !s.voter && silent(&s.disk, FORGET_AFTER));
    match (lost, heir) {
        (Some(lost), _) if voters > wanted => Some(Remedy::Demote(DiskId::clone(&lost.disk))),
        (None, _) if voters > wanted => {
            let other = members.voters().filter(|s| s.disk != state.disk).last()?;
            Some(Remedy::Demote(DiskId::clone(&other.disk)))
        }
        (Some(_), Some(heir)) => Some(Remedy::Promote(DiskId::clone(&heir.disk))),
        (None, Some(heir)) if voters < wanted => Some(Remedy::Promote(DiskId::clone(&heir.disk))),
        _ => forgotten.map(|s| Remedy::Remove(DiskId::clone(&s.disk))),
    }
}

fn with_vote(members: &Membership, disk: &DiskId, voter: bool) -> Membership {
    let mut members = members.clone();
    for seat in members.seats.iter_mut().filter(|s| s.disk == *disk) {
        seat.voter = voter;
    }
    members
}

fn without(members: &Membership, disk: &DiskId) -> Membership {
    let mut members = members.clone();
    members.seats.retain(|s| s.disk != *disk);
    members
}
