//! Which replicas vote: their number and their zones, as a pure function.
//!
//! Addresses the load pattern of disks and zones that are lost together, or one
//! during the repair of another: a majority of the voters must survive them.
//! The function returns one change at a time, so that the majorities before and
//! after it overlap; repeated, it ends at a membership that needs no change.

use super::model::ReplicaId;
use crate::ids;

/// Number of voters below which silent ones keep their vote: with fewer, a commit would be on one
/// disk only.
const MIN_VOTERS: usize = 3;

/// A replica as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Candidate {
    pub(super) id: ReplicaId,
    /// Availability zone, if it is known.
    pub(super) zone: Option<ids::ZoneName>,
    pub(super) voter: bool,
    /// Whether this is the leader's own replica.
    pub(super) leads: bool,
    pub(super) contact: Contact,
}

/// What the leader knows of a replica's contact and progress, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Contact {
    /// It answers and has all committed entries.
    Ready,
    /// It has not answered just now, or lacks entries.
    Behind,
    /// It should lose its vote: it has not answered for a while, or its VM has a newer replica.
    Silent,
    /// It has not answered for so long that it is taken for lost.
    Lost,
}

impl Candidate {
    fn is_live(&self) -> bool {
        self.contact < Contact::Silent
    }
}

/// A change of who votes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum VoterChange {
    /// Makes a learner a voter.
    Promote(ReplicaId),
    /// Makes a voter a learner.
    Demote(ReplicaId),
    /// Removes a learner.
    Remove(ReplicaId),
}

/// Number of voters to grow to: `wanted`, or the largest odd number of replicas that answer.
pub(super) fn growth_target(candidates: &[Candidate], wanted: usize) -> usize {
    let live = candidates.iter().filter(|c| c.is_live()).count();
    wanted.max(1).min(largest_odd(live))
}

/// The next change towards `wanted` voters in different zones; `None` if there is none to make.
pub(super) fn next_change(candidates: &[Candidate], wanted: usize) -> Option<VoterChange> {
    let voters = candidates.iter().filter(|c| c.voter).count();
    if voters > most_voters(candidates, wanted) {
        return surplus(candidates).map(|c| VoterChange::Demote(ReplicaId::clone(&c.id)));
    }
    let has_silent = candidates.iter().any(|c| c.voter && !c.is_live());
    let is_short = voters < growth_target(candidates, wanted);
    let promoted = if has_silent || is_short {
        standby(candidates)
    } else {
        standby(candidates).filter(|c| evens_zones(candidates, c))
    };
    if let Some(promoted) = promoted {
        return Some(VoterChange::Promote(ReplicaId::clone(&promoted.id)));
    }
    let lost = candidates
        .iter()
        .find(|c| !c.voter && c.contact == Contact::Lost)?;
    Some(VoterChange::Remove(ReplicaId::clone(&lost.id)))
}

/// Number of voters above which one is demoted. Replicas count until they are lost: a restart of some
/// VMs must not leave commits on fewer disks.
fn most_voters(candidates: &[Candidate], wanted: usize) -> usize {
    let wanted = wanted.max(1);
    let present = candidates.iter().filter(|c| c.contact < Contact::Lost);
    let present = present.count();
    wanted.min(largest_odd(present).max(MIN_VOTERS))
}

fn largest_odd(count: usize) -> usize {
    if count.is_multiple_of(2) {
        count.saturating_sub(1)
    } else {
        count
    }
}

/// The voter to demote: a silent one, else one of the zone with the most voters.
fn surplus(candidates: &[Candidate]) -> Option<&Candidate> {
    let voters = || candidates.iter().filter(|c| c.voter && !c.leads);
    let silent = voters().filter(|c| !c.is_live()).max_by_key(|c| c.contact);
    silent.or_else(|| voters().max_by_key(|c| live_voters(candidates, c)))
}

/// The learner to promote: the first one in the zone with the fewest voters; without a known
/// zone, only if there is no other.
fn standby(candidates: &[Candidate]) -> Option<&Candidate> {
    let ready = candidates
        .iter()
        .filter(|c| !c.voter && c.contact == Contact::Ready);
    ready.min_by_key(|c| (c.zone.is_none(), live_voters(candidates, c)))
}

/// Whether some zone has at least two voters more than the zone of this learner.
fn evens_zones(candidates: &[Candidate], learner: &Candidate) -> bool {
    let fullest = candidates.iter().filter(|c| c.voter);
    let fullest = fullest.map(|c| live_voters(candidates, c)).max();
    learner.zone.is_some() && fullest.unwrap_or(0) >= live_voters(candidates, learner) + 2
}

/// Voters that answer in the zone of a replica; 0 if its zone is unknown.
fn live_voters(candidates: &[Candidate], of: &Candidate) -> usize {
    let is_counted =
        |c: &&Candidate| c.voter && c.is_live() && c.zone.is_some() && c.zone == of.zone;
    candidates.iter().filter(is_counted).count()
}
