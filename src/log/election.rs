//! Elections.
//!
//! A replica holds a pre-vote before each election, so that one that returns
//! after a network partition does not disturb a working leader. Terms and votes
//! are synced before other replicas learn of them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use local_sync::mpsc::unbounded as queue;

use super::messages::{self, TimeoutNowRequest, VoteRequest, VoteResponse};
use super::model::{Membership, Replica, ReplicaId, Vote};
use super::node::Node;
use super::replication;
use super::state::{self, Role};
use crate::clock;
use crate::ids;

/// Time between checks of the leader and of the election timer.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for the votes of one election or pre-vote.
const VOTE_TIMEOUT: Duration = Duration::from_millis(200);

/// Steps down without a quorum and starts elections when they are due, until the log stops.
pub(super) async fn run_elections(node: Rc<Node>) {
    while !node.stopped() {
        monoio::time::sleep(CHECK_INTERVAL).await;
        step_down_without_quorum(&node);
        if is_election_due(&node) {
            campaign(&node, false).await;
            let mut state = node.state_mut();
            state.election_timeout = state::randomized_timeout(state.base_timeout);
            if state.role != Role::Leader && state.leader.is_none() {
                state.timer_start = clock::now();
            }
        }
    }
}

fn step_down_without_quorum(node: &Node) {
    let no_quorum = {
        let state = node.state();
        state.role == Role::Leader && !state.has_quorum()
    };
    if no_quorum {
        node.state_mut().become_follower(None);
        node.record("log.stepped_down", "no majority answers");
        node.wake_all();
    }
}

fn is_election_due(node: &Node) -> bool {
    let state = node.state();
    let voter = state
        .log
        .membership()
        .is_some_and(|m| m.is_voter(&state.id));
    let timed_out = clock::now() >= state.timer_start + state.election_timeout;
    voter && timed_out && state.role != Role::Leader && !state.stopped && !state.installing
}

/// Tries to become leader; with `transfer`, at the leader's request and without a pre-vote.
async fn campaign(node: &Rc<Node>, transfer: bool) {
    let term = node.state().term();
    let next = term.saturating_add(1);
    if node.state().installing {
        return;
    }
    node.state_mut().leader = None;
    if !transfer && !wins_vote(node, term, next, true, false).await {
        return;
    }
    {
        let mut state = node.state_mut();
        if state.term() != term || state.stopped {
            return;
        }
        state.advance_term(next);
        state.role = Role::Candidate;
        state.vote = Vote {
            term: next,
            voted_for: Some(Arc::clone(&state.id)),
        };
        state.timer_start = clock::now();
    }
    if node.save_vote().await && wins_vote(node, next, next, false, transfer).await {
        become_leader(node, next);
    }
}

fn become_leader(node: &Rc<Node>, term: ids::LogTerm) {
    {
        let mut state = node.state_mut();
        if state.term() != term || state.role != Role::Candidate || state.stopped {
            return;
        }
        state.become_leader(&node.config.vm);
    }
    node.record("log.leads", &format!("term {term}"));
    replication::start_replication(node);
    node.unsynced.wake();
}

/// Whether a majority grants its vote before the timeout and before the own term changes.
async fn wins_vote(
    node: &Rc<Node>,
    own: ids::LogTerm,
    term: ids::LogTerm,
    pre_vote: bool,
    transfer: bool,
) -> bool {
    let Some(membership) = node.state().log.membership().cloned() else {
        return false;
    };
    let mut granted = vec![Arc::clone(&node.state().id)];
    let mut votes = request_votes(node, &membership, term, pre_vote, transfer);
    let deadline = monoio::time::Instant::now() + VOTE_TIMEOUT;
    while !has_majority(&membership, &granted) {
        let Ok(Some(id)) = monoio::time::timeout_at(deadline, votes.recv()).await else {
            return false;
        };
        granted.push(id);
    }
    let state = node.state();
    state.term() == own && !state.stopped && state.leader.is_none()
}

fn has_majority(membership: &Membership, granted: &[ReplicaId]) -> bool {
    membership.has_majority(|r| granted.contains(&r.id))
}

fn request_votes(
    node: &Rc<Node>,
    membership: &Membership,
    term: ids::LogTerm,
    pre_vote: bool,
    transfer: bool,
) -> queue::Rx<ReplicaId> {
    let (sender, receiver) = queue::channel();
    let own = Arc::clone(&node.state().id);
    for replica in membership.voters().filter(|r| r.id != own) {
        if let Some(request) = vote_request(node, &replica.id, term, pre_vote, transfer) {
            monoio::spawn(request_vote(
                Rc::clone(node),
                replica.clone(),
                request,
                sender.clone(),
            ));
        }
    }
    receiver
}

fn vote_request(
    node: &Node,
    id: &ReplicaId,
    term: ids::LogTerm,
    pre_vote: bool,
    transfer: bool,
) -> Option<VoteRequest> {
    let header = node.header_to(id, term)?;
    let state = node.state();
    Some(VoteRequest {
        header,
        last_index: state.log.last_index(),
        last_term: state.log.last_term(),
        pre_vote,
        transfer,
    })
}

async fn request_vote(
    node: Rc<Node>,
    replica: Replica,
    request: VoteRequest,
    votes: queue::Tx<ReplicaId>,
) {
    let peer = node.peer(&replica);
    let call = peer.call::<_, VoteResponse>(messages::VOTE, &request, VOTE_TIMEOUT);
    let Ok(response) = call.await else { return };
    if response.granted {
        let _ = votes.send(replica.id);
    } else {
        node.observe_term(response.term);
    }
}

/// Handles a vote request; responds once the vote is synced.
pub(super) async fn handle_vote(node: &Node, request: VoteRequest) -> VoteResponse {
    let granted = decide_vote(node, &request);
    let synced = request.pre_vote || node.sync_vote(granted).await;
    let state = node.state();
    let same_term = request.pre_vote || state.term() == request.header.term;
    VoteResponse {
        term: state.synced_term,
        granted: granted && synced && same_term,
    }
}

fn decide_vote(node: &Node, request: &VoteRequest) -> bool {
    let mut state = node.state_mut();
    let VoteRequest { header, .. } = request;
    if !state.accepts(header) || (state.has_live_leader() && !request.transfer) {
        return false;
    }
    let own = (state.log.last_term(), state.log.last_index());
    let up_to_date = (request.last_term, request.last_index) >= own;
    if request.pre_vote {
        return up_to_date && header.term > state.term();
    }
    if header.term < state.term() {
        return false;
    }
    state.advance_term(header.term);
    let may_vote = state
        .vote
        .voted_for
        .as_ref()
        .is_none_or(|c| *c == header.from);
    if up_to_date && may_vote {
        state.vote.voted_for = Some(Arc::clone(&header.from));
        state.timer_start = clock::now();
    }
    up_to_date && may_vote
}

/// Starts an election at once at the leader's request; false if the request is refused.
pub(super) fn handle_timeout_now(node: &Rc<Node>, request: &TimeoutNowRequest) -> bool {
    let accepted = {
        let state = node.state();
        let voter = state
            .log
            .membership()
            .is_some_and(|m| m.is_voter(&state.id));
        let leader = state.leader.as_ref().map(|l| &l.id);
        let from_leader = leader == Some(&request.header.from);
        voter
            && from_leader
            && state.accepts(&request.header)
            && state.term() == request.header.term
    };
    if accepted {
        node.record("log.succeeds", &request.header.vm);
        let node = Rc::clone(node);
        monoio::spawn(async move { campaign(&node, true).await });
    }
    accepted
}
