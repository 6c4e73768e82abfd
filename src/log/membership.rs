//! Membership changes: bootstrapping a cluster, adding and removing replicas.
//!
//! A cluster is bootstrapped once, by the VM with the lowest name, and only if
//! every configured VM is reachable and has an uninitialized replica. An
//! uninitialized replica that finds a cluster asks to join it. The leader adds
//! it as a learner, then removes the lost replica of the same VM, then makes
//! the new one a voter. Each step is a membership change of its own, so that
//! the majorities before and after a change overlap.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Member;
use super::messages::{self, JoinRequest, JoinResponse, ProbeRequest, ProbeResponse};
use super::model::{Body, Entry, Membership, Replica, ReplicaId, Vote};
use super::node::Node;
use super::replication;
use super::state::{Role, State};
use super::voters;
use crate::clock;
use crate::ids;
use crate::rpc::Peer;

/// Time between checks whether this replica needs to join a cluster.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a probe or join request.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a leader after which a replica asks to join again: several elections.
const ISOLATED_AFTER: Duration = Duration::from_secs(3);

/// Time between reports of a zone that the membership does not have; an older leader ignores them.
const ZONE_REPORT_INTERVAL: Duration = Duration::from_secs(3);

/// Time between checks whether a membership change can be made or is committed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Bootstraps or joins a cluster whenever this replica is no voter, until the log stops.
pub(super) async fn maintain_membership(node: Rc<Node>) {
    let mut reported: Option<Instant> = None;
    while !node.stopped() {
        let now = clock::now();
        let report_due = reported.is_none_or(|at| now >= at + ZONE_REPORT_INTERVAL);
        let reports_zone = report_due && has_unrecorded_zone(&node);
        if reports_zone {
            reported = Some(now);
        }
        if needs_vote(&node) || is_isolated(&node) || reports_zone {
            find_cluster(&node).await;
        }
        monoio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Whether this replica is no voter, or with discovery not even a learner.
fn needs_vote(node: &Node) -> bool {
    let state = node.state();
    let discovery = node.config.discovery.is_some();
    let has_role = |m: &Membership| match m.replica(&state.id) {
        Some(replica) => replica.voter || discovery,
        None => false,
    };
    !state.log.membership().is_some_and(has_role)
}

/// Whether this replica of a cluster with discovery has had no leader for long; it may have been
/// replaced.
fn is_isolated(node: &Node) -> bool {
    let state = node.state();
    let timed_out = clock::now() >= state.timer_start + ISOLATED_AFTER;
    node.config.discovery.is_some() && state.role != Role::Leader && timed_out
}

/// Whether this replica is a member whose zone in the membership is not that of the settings.
fn has_unrecorded_zone(node: &Node) -> bool {
    let state = node.state();
    let membership = state.log.membership();
    let own = membership.and_then(|m| m.replica(&state.id));
    let zone = own_zone(node);
    zone.is_some() && state.role != Role::Leader && own.is_some_and(|r| r.zone != zone)
}

/// Availability zone of this VM, if the settings give it.
pub(super) fn own_zone(node: &Node) -> Option<ids::ZoneName> {
    node.config.discovery.as_ref()?.zone.clone()
}

async fn find_cluster(node: &Rc<Node>) {
    let responses = probe_all(node, None).await;
    if responses.iter().flatten().any(|r| r.bootstrapped) {
        node.state_mut().pending_cluster = None;
        join(node, &responses).await;
        return;
    }
    if !is_bootstrapper(node, &responses) || !all_uninitialized(node, &responses) {
        return;
    }
    let cluster_id = Arc::clone(&node.state().id);
    let responses = probe_all(node, Some(cluster_id)).await;
    if all_uninitialized(node, &responses) {
        bootstrap(node, responses.into_iter().flatten().collect()).await;
    }
}

/// Whether this VM is the one that bootstraps a cluster.
fn is_bootstrapper(node: &Node, responses: &[Option<ProbeResponse>]) -> bool {
    let seeds = node.seeds.borrow();
    let first = seeds.iter().map(|m| &m.vm).min() == Some(&node.config.vm);
    let may_bootstrap = |d: &super::Discovery| {
        d.may_bootstrap || responses.iter().flatten().any(|r| r.may_bootstrap)
    };
    first && node.config.discovery.as_ref().is_none_or(may_bootstrap)
}

fn all_uninitialized(node: &Node, responses: &[Option<ProbeResponse>]) -> bool {
    let own = node.state().log.membership().is_none();
    own && responses
        .iter()
        .all(|r| r.as_ref().is_some_and(|r| !r.bootstrapped))
}

/// Probes all other seeds; `None` for each that did not respond.
async fn probe_all(node: &Rc<Node>, cluster_id: Option<ReplicaId>) -> Vec<Option<ProbeResponse>> {
    let others = others(node);
    let probe = |member: &Member| {
        let request = ProbeRequest {
            cluster_id: cluster_id.clone(),
        };
        monoio::spawn(probe(peer(node, member), Arc::clone(&member.vm), request))
    };
    let calls: Vec<_> = others.iter().map(probe).collect();
    let mut responses = Vec::new();
    for call in calls {
        responses.push(call.await);
    }
    responses
}

fn others(node: &Node) -> Vec<Member> {
    let seeds = node.seeds.borrow();
    let others = seeds.iter().filter(|m| m.vm != node.config.vm);
    others.cloned().collect()
}

fn peer(node: &Node, member: &Member) -> Peer {
    node.peer(&Replica {
        vm: Arc::clone(&member.vm),
        id: Arc::default(),
        address: member.address,
        voter: false,
        zone: None,
    })
}

async fn probe(peer: Peer, vm: ids::VmName, request: ProbeRequest) -> Option<ProbeResponse> {
    let call = peer.call::<_, ProbeResponse>(messages::PROBE, &request, CALL_TIMEOUT);
    call.await.ok().filter(|r| r.vm == vm)
}

/// Asks VMs that belong to a cluster to let this replica join, until one accepts.
async fn join(node: &Node, responses: &[Option<ProbeResponse>]) {
    let request = JoinRequest {
        vm: Arc::clone(&node.config.vm),
        replica: Arc::clone(&node.state().id),
        address: node.config.discovery.as_ref().map(|d| d.address),
        zone: own_zone(node),
    };
    let others = others(node);
    for response in responses.iter().flatten().filter(|r| r.bootstrapped) {
        let member = others.iter().find(|m| m.vm == response.vm);
        let Some(member) = member else { continue };
        let peer = peer(node, member);
        let call = peer.call::<_, JoinResponse>(messages::JOIN, &request, CALL_TIMEOUT);
        let Ok(response) = call.await else { continue };
        if response.accepted || join_leader(node, &request, response.leader).await {
            return;
        }
    }
}

/// Asks the leader whose address another VM gave; false if it refused or did not respond.
async fn join_leader(node: &Node, request: &JoinRequest, leader: Option<SocketAddr>) -> bool {
    let Some(address) = leader else { return false };
    let leader = Member {
        vm: address.to_string().into(),
        address,
    };
    let peer = peer(node, &leader);
    let call = peer.call::<_, JoinResponse>(messages::JOIN, request, CALL_TIMEOUT);
    call.await.is_ok_and(|r| r.accepted)
}

/// Writes the first entry, which holds the initial membership; an election follows at once.
async fn bootstrap(node: &Node, responses: Vec<ProbeResponse>) {
    {
        let mut state = node.state_mut();
        let own = Arc::clone(&state.id);
        let replica = |m: &Member| {
            let other = responses.iter().find(|r| r.vm == m.vm);
            Replica {
                vm: Arc::clone(&m.vm),
                id: other.map_or_else(|| Arc::clone(&own), |r| Arc::clone(&r.replica)),
                address: m.address,
                voter: true,
                zone: other.map_or_else(|| own_zone(node), |r| r.zone.clone()),
            }
        };
        let replicas = node.seeds.borrow().iter().map(replica).collect();
        let term = state.term().saturating_add(1);
        state.vote = Vote {
            term,
            voted_for: Some(Arc::clone(&own)),
        };
        let membership = Membership {
            cluster_id: own,
            replicas,
        };
        state.log.push(Entry {
            index: 1,
            term,
            body: Body::Membership(membership),
        });
        state.election_timeout = Duration::ZERO;
    }
    node.record(
        "log.formed",
        &format!("{} members", node.seeds.borrow().len()),
    );
    node.save_vote().await;
    node.unsynced.wake();
}

/// Reports whether this replica is uninitialized; if so, it agrees to be part of the given cluster.
pub(super) fn handle_probe(node: &Node, request: ProbeRequest) -> ProbeResponse {
    let mut state = node.state_mut();
    let bootstrapped = state.log.membership().is_some();
    if !bootstrapped && request.cluster_id.is_some() {
        state.pending_cluster = request.cluster_id;
    }
    ProbeResponse {
        vm: Arc::clone(&node.config.vm),
        replica: Arc::clone(&state.id),
        bootstrapped,
        may_bootstrap: node
            .config
            .discovery
            .as_ref()
            .is_some_and(|d| d.may_bootstrap),
        zone: own_zone(node),
    }
}

/// Starts to add a replica to the membership, if this replica leads.
pub(super) fn handle_join(node: &Rc<Node>, request: JoinRequest) -> JoinResponse {
    let refused = |reason: &str, leader| JoinResponse {
        accepted: false,
        reason: Some(reason.into()),
        leader,
    };
    let mut state = node.state_mut();
    let term = state.term();
    if !state.is_leader(term) || state.transferring {
        return refused("another VM leads", leader_address(&state));
    }
    let Some(address) = join_address(node, &state, &request) else {
        drop(state);
        node.record("log.join_refused", &request.vm);
        return refused("the VM is no member", None);
    };
    if has_live_replica(node, &state, &request) {
        return refused("another disk of the VM is in use", None);
    }
    if state.joining.insert(Arc::clone(&request.replica)) {
        let replica = Replica {
            vm: request.vm,
            id: request.replica,
            address,
            voter: false,
            zone: request.zone,
        };
        monoio::spawn(add_replica(Rc::clone(node), replica, term));
    }
    JoinResponse {
        accepted: true,
        reason: None,
        leader: None,
    }
}

/// Whether another replica of the same VM is still responsive.
fn has_live_replica(node: &Node, state: &State, request: &JoinRequest) -> bool {
    let is_responsive = |id: &ReplicaId| state.is_responsive(id);
    let membership = state.log.membership();
    let mut replicas = membership.into_iter().flat_map(|m| &m.replicas);
    request.vm == node.config.vm
        || replicas.any(|r| r.vm == request.vm && r.id != request.replica && is_responsive(&r.id))
}

/// Address of the leader in the current membership, if a leader is known.
pub(super) fn leader_address(state: &State) -> Option<SocketAddr> {
    let leader = state.leader.as_ref()?;
    let replica = state.log.membership()?.replica(&leader.id)?;
    Some(replica.address)
}

/// Address of a VM that may join: a member, one that was allowed to join, or any VM with discovery.
fn join_address(node: &Node, state: &State, request: &JoinRequest) -> Option<SocketAddr> {
    let vm = &request.vm;
    let replicas = &state.log.membership()?.replicas;
    let current = replicas.iter().find(|r| r.vm == *vm).map(|r| r.address);
    let seeds = node.seeds.borrow();
    let configured = seeds.iter().find(|m| m.vm == *vm);
    let requested = request.address.filter(|_| node.config.discovery.is_some());
    let allowed = state
        .allowed_joins
        .iter()
        .find(|m| m.vm == *vm)
        .map(|m| m.address);
    let known = current.or(allowed).or(requested)?;
    Some(configured.map_or(known, |m| m.address))
}

async fn add_replica(node: Rc<Node>, replica: Replica, term: ids::LogTerm) {
    node.record(
        "log.admitting",
        &format!("{} replica {}", replica.vm, replica.id),
    );
    let done = change_membership(&node, term, |_, m| Edit::Apply(with_learner(m, &replica))).await
        && change_membership(&node, term, |s, m| without_replaced(s, m, &replica)).await
        && (has_enough_voters(&node)
            || change_membership(&node, term, |s, m| with_voter(s, m, &replica)).await);
    let mut state = node.state_mut();
    state.joining.remove(&replica.id);
    state.allowed_joins.retain(|m| !done || m.vm != replica.vm);
    drop(state);
    let kind = if done {
        "log.admitted"
    } else {
        "log.not_admitted"
    };
    node.record(kind, &format!("{} replica {}", replica.vm, replica.id));
}

/// Whether a cluster with discovery has its number of voters.
fn has_enough_voters(node: &Node) -> bool {
    let state = node.state();
    let voters = state.log.membership().map_or(0, |m| m.voters().count());
    let is_enough = |d: &super::Discovery| voters >= voters::target(&state, d.voter_count);
    node.config.discovery.as_ref().is_some_and(is_enough)
}

/// Adds a learner; it replaces another learner of the same VM. Updates the zone of a member.
pub(super) fn with_learner(membership: &Membership, replica: &Replica) -> Membership {
    let mut membership = membership.clone();
    if membership.replica(&replica.id).is_none() {
        membership
            .replicas
            .retain(|r| r.voter || r.vm != replica.vm);
        membership.replicas.push(Replica {
            voter: false,
            ..replica.clone()
        });
    }
    if let Some(zone) = &replica.zone {
        set_zone(&mut membership, &replica.id, zone);
    }
    membership
}

/// Sets the zone of a replica.
pub(super) fn set_zone(membership: &mut Membership, id: &ReplicaId, zone: &ids::ZoneName) {
    for replica in membership.replicas.iter_mut().filter(|r| r.id == *id) {
        replica.zone = Some(Arc::clone(zone));
    }
}

/// Removes the lost voter of a VM once the new replica has all committed entries.
///
/// At most one voter is removed, so that the majorities before and after overlap.
pub(super) fn without_replaced(state: &State, membership: &Membership, replica: &Replica) -> Edit {
    if !has_caught_up(state, replica) {
        return wait_or_abort(membership, replica);
    }
    let mut membership = membership.clone();
    let mut voters_removed = 0;
    membership.replicas.retain(|r| {
        let is_lost = r.vm == replica.vm && r.id != replica.id;
        let removes = is_lost && (!r.voter || voters_removed == 0);
        voters_removed += u32::from(removes && r.voter);
        !removes
    });
    Edit::Apply(membership)
}

/// Makes a replica a voter once it has all committed entries.
pub(super) fn with_voter(state: &State, membership: &Membership, replica: &Replica) -> Edit {
    if !has_caught_up(state, replica) {
        return wait_or_abort(membership, replica);
    }
    let mut membership = membership.clone();
    for new in membership
        .replicas
        .iter_mut()
        .filter(|r| r.id == replica.id)
    {
        new.voter = true;
    }
    Edit::Apply(membership)
}

/// Waits for a replica to catch up, unless it was removed from the membership.
fn wait_or_abort(membership: &Membership, replica: &Replica) -> Edit {
    match membership.replica(&replica.id) {
        Some(_) => Edit::Wait,
        None => Edit::Abort,
    }
}

fn has_caught_up(state: &State, replica: &Replica) -> bool {
    let progress = state.progress.get(&replica.id);
    progress.is_some_and(|p| p.match_index >= state.commit_index)
}

/// Result of computing a membership change.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Edit {
    /// The change can't be made yet.
    Wait,
    /// The change can no longer be made.
    Abort,
    /// The new membership.
    Apply(Membership),
}

/// Progress of a membership change.
enum Step {
    Wait,
    Committed,
    Aborted,
}

/// Makes one membership change as soon as it is allowed; true once it is committed.
pub(super) async fn change_membership<F>(node: &Rc<Node>, term: ids::LogTerm, edit: F) -> bool
where
    F: Fn(&State, &Membership) -> Edit,
{
    let mut appended = None;
    loop {
        match try_change(node, term, &edit, &mut appended) {
            Step::Committed => return true,
            Step::Aborted => return false,
            Step::Wait => monoio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

fn try_change<F>(
    node: &Rc<Node>,
    term: ids::LogTerm,
    edit: &F,
    appended: &mut Option<ids::LogIndex>,
) -> Step
where
    F: Fn(&State, &Membership) -> Edit,
{
    let mut state = node.state_mut();
    if !state.is_leader(term) {
        return Step::Aborted;
    }
    if let Some(index) = *appended {
        let committed = state.commit_index >= index;
        return if committed {
            Step::Committed
        } else {
            Step::Wait
        };
    }
    let Some(membership) = state.changeable_membership() else {
        return Step::Wait;
    };
    match edit(&state, membership) {
        Edit::Wait => Step::Wait,
        Edit::Abort => Step::Aborted,
        Edit::Apply(new) if new == *membership => Step::Committed,
        Edit::Apply(new) => {
            *appended = Some(state.append(Body::Membership(new)));
            drop(state);
            replication::start_replication(node);
            node.unsynced.wake();
            node.unsent.wake();
            Step::Wait
        }
    }
}
