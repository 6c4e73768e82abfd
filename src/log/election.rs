//! Elections.
//!
//! A member first asks whether it would get the votes, so that one which was
//! cut off does not disturb a working leader when it returns. Terms and votes
//! are synced before anybody hears of them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use local_sync::mpsc::unbounded as queue;

use super::messages::{self, Ballot, Succeed, Voted};
use super::model::{DiskId, Membership, Seat, Vote};
use super::node::Node;
use super::replicate;
use super::state::{self, Role};
use crate::clock;
use crate::ids;

/// Time between looks at the leader's health.
const TICK: Duration = Duration::from_millis(20);

/// Longest wait for the votes of one election.
const BALLOT_TIMEOUT: Duration = Duration::from_millis(200);

/// Watches the leader and holds elections, until the log stops.
pub(super) async fn watch(node: Rc<Node>) {
    while !node.stopped() {
        monoio::time::sleep(TICK).await;
        step_down_if_alone(&node);
        if is_due(&node) {
            campaign(&node, false).await;
            let mut state = node.state_mut();
            state.patience = state::patience(state.election);
            if state.role != Role::Leader && state.leader.is_none() {
                state.heard = clock::now();
            }
        }
    }
}

fn step_down_if_alone(node: &Node) {
    let alone = {
        let state = node.state();
        state.role == Role::Leader && !state.hears_majority()
    };
    if alone {
        node.state_mut().follow(None);
        node.record("log.stepped_down", "no majority answers");
        node.wake_all();
    }
}

fn is_due(node: &Node) -> bool {
    let state = node.state();
    let voter = state.log.members().is_some_and(|m| m.is_voter(&state.disk));
    let late = clock::now() >= state.heard + state.patience;
    voter && late && state.role != Role::Leader && !state.stopped && !state.installing
}

/// Tries to become leader; `asked` if the leader handed over.
async fn campaign(node: &Rc<Node>, asked: bool) {
    let term = node.state().term();
    let next = term.saturating_add(1);
    if node.state().installing {
        return;
    }
    node.state_mut().leader = None;
    if !asked && !wins(node, term, next, true, false).await {
        return;
    }
    {
        let mut state = node.state_mut();
        if state.term() != term || state.stopped {
            return;
        }
        state.adopt(next);
        state.role = Role::Candidate;
        state.vote = Vote {
            term: next,
            choice: Some(Arc::clone(&state.disk)),
        };
        state.heard = clock::now();
    }
    if node.save_vote().await && wins(node, next, next, false, asked).await {
        take_office(node, next);
    }
}

fn take_office(node: &Rc<Node>, term: ids::LogTerm) {
    {
        let mut state = node.state_mut();
        if state.term() != term || state.role != Role::Candidate || state.stopped {
            return;
        }
        state.lead(&node.config.vm);
    }
    node.record("log.leads", &format!("term {term}"));
    replicate::start_links(node);
    node.work.wake();
}

/// Whether a majority gives its vote before the time is up or the own term moves on.
async fn wins(
    node: &Rc<Node>,
    own: ids::LogTerm,
    term: ids::LogTerm,
    pre: bool,
    asked: bool,
) -> bool {
    let Some(members) = node.state().log.members().cloned() else {
        return false;
    };
    let mut granted = vec![Arc::clone(&node.state().disk)];
    let mut votes = ask_all(node, &members, term, pre, asked);
    let deadline = monoio::time::Instant::now() + BALLOT_TIMEOUT;
    while !has_majority(&members, &granted) {
        let Ok(Some(disk)) = monoio::time::timeout_at(deadline, votes.recv()).await else {
            return false;
        };
        granted.push(disk);
    }
    let state = node.state();
    state.term() == own && !state.stopped && state.leader.is_none()
}

fn has_majority(members: &Membership, granted: &[DiskId]) -> bool {
    members.majority(|s| granted.contains(&s.disk))
}

fn ask_all(
    node: &Rc<Node>,
    members: &Membership,
    term: ids::LogTerm,
    pre: bool,
    asked: bool,
) -> queue::Rx<DiskId> {
    let (sender, receiver) = queue::channel();
    let own = Arc::clone(&node.state().disk);
    for seat in members.voters().filter(|s| s.disk != own) {
        if let Some(ballot) = ballot(node, &seat.disk, term, pre, asked) {
            monoio::spawn(ask(Rc::clone(node), seat.clone(), ballot, sender.clone()));
        }
    }
    receiver
}

fn ballot(
    node: &Node,
    disk: &DiskId,
    term: ids::LogTerm,
    pre: bool,
    asked: bool,
) -> Option<Ballot> {
    let route = node.route(disk, term)?;
    let state = node.state();
    Some(Ballot {
        route,
        last: state.log.last(),
        last_term: state.log.last_term(),
        pre,
        asked,
    })
}

async fn ask(node: Rc<Node>, seat: Seat, ballot: Ballot, votes: queue::Tx<DiskId>) {
    let peer = node.peer(&seat);
    let answer = peer.call::<_, Voted>(messages::VOTE, &ballot, BALLOT_TIMEOUT);
    let Ok(reply) = answer.await else { return };
    if reply.granted {
        let _ = votes.send(seat.disk);
    } else {
        node.yield_to(reply.term);
    }
}

/// Answers a candidate, once its vote is synced.
pub(super) async fn vote(node: &Node, ballot: Ballot) -> Voted {
    let granted = decide(node, &ballot);
    let synced = ballot.pre || node.sync_vote(granted).await;
    let state = node.state();
    let same = ballot.pre || state.term() == ballot.route.term;
    Voted {
        term: state.synced_term,
        granted: granted && synced && same,
    }
}

fn decide(node: &Node, ballot: &Ballot) -> bool {
    let mut state = node.state_mut();
    let Ballot { route, .. } = ballot;
    if !state.accepts(route) || (state.has_leader() && !ballot.asked) {
        return false;
    }
    let own = (state.log.last_term(), state.log.last());
    let current = (ballot.last_term, ballot.last) >= own;
    if ballot.pre {
        return current && route.term > state.term();
    }
    if route.term < state.term() {
        return false;
    }
    state.adopt(route.term);
    let free = state.vote.choice.as_ref().is_none_or(|c| *c == route.from);
    if current && free {
        state.vote.choice = Some(Arc::clone(&route.from));
        state.heard = clock::now();
    }
    current && free
}

/// Holds an election at once, on the leader's word.
pub(super) fn succeed(node: &Rc<Node>, succeed: &Succeed) -> bool {
    let leads = {
        let state = node.state();
        let voter = state.log.members().is_some_and(|m| m.is_voter(&state.disk));
        let leader = state.leader.as_ref().map(|l| &l.disk);
        let known = leader == Some(&succeed.route.from);
        voter && known && state.accepts(&succeed.route) && state.term() == succeed.route.term
    };
    if leads {
        node.record("log.succeeds", &succeed.route.vm);
        let node = Rc::clone(node);
        monoio::spawn(async move { campaign(&node, true).await });
    }
    leads
}
