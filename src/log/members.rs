//! Members: forming a cluster, admitting a disk, and letting one go.
//!
//! A cluster is formed once, by the VM with the lowest name, and only when
//! every configured VM was reached and has a blank disk. A blank disk that
//! finds a formed cluster asks to be admitted. It first learns the log; then
//! the lost disk of its VM is removed, and then it becomes a voter, each by a
//! change of its own, so that every two majorities in a row share a member.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::Member;
use super::messages::{self, Blank, Condition, Join, Joined};
use super::model::{Body, DiskId, Entry, Membership, Seat, Vote};
use super::node::Node;
use super::replicate;
use super::state::{Role, State};
use crate::clock;
use crate::ids;
use crate::rpc::Peer;

/// Time between looks at the own membership.
const SEEK: Duration = Duration::from_millis(100);

/// Longest wait for an answer about members.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Silence after which a voter asks whether it is still one: several elections.
const LEFT_OUT_AFTER: Duration = Duration::from_secs(3);

/// Time between looks at a change under way.
const POLL: Duration = Duration::from_millis(5);

/// Forms or joins a cluster whenever this disk has no vote, until the log stops.
pub(super) async fn settle(node: Rc<Node>) {
    while !node.stopped() {
        if needs_seat(&node) || is_left_out(&node) {
            seek(&node).await;
        }
        monoio::time::sleep(SEEK).await;
    }
}

/// Whether this disk has no vote, or in an open cluster no seat.
fn needs_seat(node: &Node) -> bool {
    let state = node.state();
    let open = node.config.discovery.is_some();
    let seated = |m: &Membership| match m.seat(&state.disk) {
        Some(seat) => seat.voter || open,
        None => false,
    };
    !state.log.members().is_some_and(seated)
}

/// Whether a voter of an open cluster hears nobody; others may have replaced it.
fn is_left_out(node: &Node) -> bool {
    let state = node.state();
    let silent = clock::now() >= state.heard + LEFT_OUT_AFTER;
    node.config.discovery.is_some() && state.role != Role::Leader && silent
}

async fn seek(node: &Rc<Node>) {
    let conditions = ask_all(node, None).await;
    if conditions.iter().flatten().any(|c| c.formed) {
        node.state_mut().founder = None;
        join(node, &conditions).await;
        return;
    }
    if !is_founder(node, &conditions) || !all_blank(node, &conditions) {
        return;
    }
    let founder = Arc::clone(&node.state().disk);
    let conditions = ask_all(node, Some(founder)).await;
    if all_blank(node, &conditions) {
        form(node, conditions.into_iter().flatten().collect()).await;
    }
}

/// Whether this VM is the one that forms a cluster.
fn is_founder(node: &Node, conditions: &[Option<Condition>]) -> bool {
    let roster = node.roster.borrow();
    let first = roster.iter().map(|m| &m.vm).min() == Some(&node.config.vm);
    let founding =
        |o: super::Discovery| o.may_bootstrap || conditions.iter().flatten().any(|c| c.founding);
    first && node.config.discovery.is_none_or(founding)
}

fn all_blank(node: &Node, conditions: &[Option<Condition>]) -> bool {
    let own = node.state().log.members().is_none();
    own && conditions
        .iter()
        .all(|c| c.as_ref().is_some_and(|c| !c.formed))
}

/// Asks every other configured VM; `None` for each that did not answer.
async fn ask_all(node: &Rc<Node>, founder: Option<DiskId>) -> Vec<Option<Condition>> {
    let others = others(node);
    let ask = |member: &Member| {
        let blank = Blank {
            founder: founder.clone(),
        };
        monoio::spawn(ask(peer(node, member), Arc::clone(&member.vm), blank))
    };
    let calls: Vec<_> = others.iter().map(ask).collect();
    let mut conditions = Vec::new();
    for call in calls {
        conditions.push(call.await);
    }
    conditions
}

fn others(node: &Node) -> Vec<Member> {
    let roster = node.roster.borrow();
    let others = roster.iter().filter(|m| m.vm != node.config.vm);
    others.cloned().collect()
}

fn peer(node: &Node, member: &Member) -> Peer {
    node.peer(&Seat {
        vm: Arc::clone(&member.vm),
        disk: Arc::default(),
        address: member.address,
        voter: false,
    })
}

async fn ask(peer: Peer, vm: ids::VmName, blank: Blank) -> Option<Condition> {
    let call = peer.call::<_, Condition>(messages::BLANK, &blank, CALL_TIMEOUT);
    call.await.ok().filter(|c| c.vm == vm)
}

/// Asks those that belong to a cluster for admission; the leader begins it.
async fn join(node: &Node, conditions: &[Option<Condition>]) {
    let request = Join {
        vm: Arc::clone(&node.config.vm),
        disk: Arc::clone(&node.state().disk),
        address: node.config.discovery.map(|o| o.address),
    };
    let others = others(node);
    for condition in conditions.iter().flatten().filter(|c| c.formed) {
        let member = others.iter().find(|m| m.vm == condition.vm);
        let Some(member) = member else { continue };
        let peer = peer(node, member);
        let call = peer.call::<_, Joined>(messages::JOIN, &request, CALL_TIMEOUT);
        let Ok(joined) = call.await else { continue };
        if joined.begun || join_at(node, &request, joined.leader).await {
            return;
        }
    }
}

/// Asks the leader that another member named.
async fn join_at(node: &Node, request: &Join, leader: Option<SocketAddr>) -> bool {
    let Some(address) = leader else { return false };
    let leader = Member {
        vm: address.to_string().into(),
        address,
    };
    let peer = peer(node, &leader);
    let call = peer.call::<_, Joined>(messages::JOIN, request, CALL_TIMEOUT);
    call.await.is_ok_and(|j| j.begun)
}

/// Writes the first entry, which names the members; an election follows.
async fn form(node: &Node, conditions: Vec<Condition>) {
    let disks: Vec<_> = conditions.into_iter().map(|c| (c.vm, c.disk)).collect();
    {
        let mut state = node.state_mut();
        let own = Arc::clone(&state.disk);
        let disk_of = |vm: &ids::VmName| {
            let found = disks.iter().find(|(v, _)| v == vm);
            found.map_or_else(|| Arc::clone(&own), |(_, disk)| Arc::clone(disk))
        };
        let seat = |m: &Member| Seat {
            vm: Arc::clone(&m.vm),
            disk: disk_of(&m.vm),
            address: m.address,
            voter: true,
        };
        let seats = node.roster.borrow().iter().map(seat).collect();
        let term = state.term().saturating_add(1);
        state.vote = Vote {
            term,
            choice: Some(Arc::clone(&own)),
        };
        let members = Membership {
            founder: own,
            seats,
        };
        state.log.push(Entry {
            index: 1,
            term,
            body: Body::Members(members),
        });
        state.patience = Duration::ZERO;
    }
    node.record(
        "log.formed",
        &format!("{} members", node.roster.borrow().len()),
    );
    node.save_vote().await;
    node.work.wake();
}

/// Says whether this disk is blank, and agrees to follow a founder if so.
pub(super) fn blank(node: &Node, blank: Blank) -> Condition {
    let mut state = node.state_mut();
    let formed = state.log.members().is_some();
    if !formed && blank.founder.is_some() {
        state.founder = blank.founder;
    }
    Condition {
        vm: Arc::clone(&node.config.vm),
        disk: Arc::clone(&state.disk),
        formed,
        founding: node.config.discovery.is_some_and(|o| o.may_bootstrap),
    }
}

/// Begins to admit a disk, as leader.
pub(super) fn admit(node: &Rc<Node>, join: Join) -> Joined {
    let refused = |reason: &str, leader| Joined {
        begun: false,
        reason: Some(reason.into()),
        leader,
    };
    let mut state = node.state_mut();
    let term = state.term();
    if !state.leads(term) || state.leaving {
        return refused("another VM leads", leader_of(&state));
    }
    let Some(address) = address_of(node, &state, &join) else {
        drop(state);
        node.record("log.join_refused", &join.vm);
        return refused("the VM is no member", None);
    };
    if is_in_use(node, &state, &join) {
        return refused("another disk of the VM is in use", None);
    }
    if state.admitting.insert(Arc::clone(&join.disk)) {
        let seat = Seat {
            vm: join.vm,
            disk: join.disk,
            address,
            voter: false,
        };
        monoio::spawn(admit_disk(Rc::clone(node), seat, term));
    }
    Joined {
        begun: true,
        reason: None,
        leader: None,
    }
}

/// Whether another disk of the same VM still answers.
fn is_in_use(node: &Node, state: &State, join: &Join) -> bool {
    let answers = |disk: &DiskId| state.is_fresh(disk);
    let members = state.log.members();
    let mut seats = members.into_iter().flat_map(|m| &m.seats);
    join.vm == node.config.vm
        || seats.any(|s| s.vm == join.vm && s.disk != join.disk && answers(&s.disk))
}

/// Address of the leader, if that is another VM.
pub(super) fn leader_of(state: &State) -> Option<SocketAddr> {
    let leader = state.leader.as_ref()?;
    let seat = state.log.members()?.seat(&leader.disk)?;
    Some(seat.address)
}

/// Address of a VM that is a member, was invited, or asks an open cluster.
fn address_of(node: &Node, state: &State, join: &Join) -> Option<SocketAddr> {
    let vm = &join.vm;
    let seats = &state.log.members()?.seats;
    let seated = seats.iter().find(|s| s.vm == *vm).map(|s| s.address);
    let roster = node.roster.borrow();
    let configured = roster.iter().find(|m| m.vm == *vm);
    let asking = join.address.filter(|_| node.config.discovery.is_some());
    let invited = state
        .invited
        .iter()
        .find(|m| m.vm == *vm)
        .map(|m| m.address);
    let known = seated.or(invited).or(asking)?;
    Some(configured.map_or(known, |m| m.address))
}

async fn admit_disk(node: Rc<Node>, seat: Seat, term: ids::LogTerm) {
    node.record("log.admitting", &format!("{} disk {}", seat.vm, seat.disk));
    let done = change(&node, term, |_, m| Edit::Make(with_learner(m, &seat))).await
        && change(&node, term, |s, m| without_lost(s, m, &seat)).await
        && (has_all_voters(&node) || change(&node, term, |s, m| with_voter(s, m, &seat)).await);
    let mut state = node.state_mut();
    state.admitting.remove(&seat.disk);
    state.invited.retain(|m| !done || m.vm != seat.vm);
    drop(state);
    let kind = if done {
        "log.admitted"
    } else {
        "log.not_admitted"
    };
    node.record(kind, &format!("{} disk {}", seat.vm, seat.disk));
}

/// Whether an open cluster has as many voters as it wants.
fn has_all_voters(node: &Node) -> bool {
    let state = node.state();
    let voters = state.log.members().map_or(0, |m| m.voters().count());
    node.config
        .discovery
        .is_some_and(|o| voters >= o.voter_count)
}

/// Adds a disk that learns, in place of any other disk of its VM that does so.
pub(super) fn with_learner(members: &Membership, seat: &Seat) -> Membership {
    let mut members = members.clone();
    if members.seat(&seat.disk).is_none() {
        members.seats.retain(|s| s.voter || s.vm != seat.vm);
        members.seats.push(Seat {
            voter: false,
            ..seat.clone()
        });
    }
    members
}

/// Removes the lost voter of a VM once the new disk holds all that is committed.
pub(super) fn without_lost(state: &State, members: &Membership, seat: &Seat) -> Edit {
    if !has_caught_up(state, seat) {
        return wait_for(members, seat);
    }
    let mut members = members.clone();
    members
        .seats
        .retain(|s| s.vm != seat.vm || s.disk == seat.disk);
    Edit::Make(members)
}

/// Makes a disk a voter once it holds all that is committed.
pub(super) fn with_voter(state: &State, members: &Membership, seat: &Seat) -> Edit {
    if !has_caught_up(state, seat) {
        return wait_for(members, seat);
    }
    let mut members = members.clone();
    for own in members.seats.iter_mut().filter(|s| s.disk == seat.disk) {
        own.voter = true;
    }
    Edit::Make(members)
}

/// Waits for a disk, unless another has taken its seat.
fn wait_for(members: &Membership, seat: &Seat) -> Edit {
    match members.seat(&seat.disk) {
        Some(_) => Edit::Wait,
        None => Edit::GiveUp,
    }
}

fn has_caught_up(state: &State, seat: &Seat) -> bool {
    let progress = state.progress.get(&seat.disk);
    progress.is_some_and(|p| p.matched >= state.commit)
}

/// What is to be done about members.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Edit {
    /// It is too early.
    Wait,
    /// There is nothing left to change.
    GiveUp,
    /// These are the new members.
    Make(Membership),
}

/// Outcome of a look at a change.
enum Step {
    Wait,
    Committed,
    Lost,
}

/// Makes one change of members as soon as it is allowed; true once it is committed.
pub(super) async fn change<F>(node: &Rc<Node>, term: ids::LogTerm, edit: F) -> bool
where
    F: Fn(&State, &Membership) -> Edit,
{
    let mut appended = None;
    loop {
        match step(node, term, &edit, &mut appended) {
            Step::Committed => return true,
            Step::Lost => return false,
            Step::Wait => monoio::time::sleep(POLL).await,
        }
    }
}

fn step<F>(
    node: &Rc<Node>,
    term: ids::LogTerm,
    edit: &F,
    appended: &mut Option<ids::LogIndex>,
) -> Step
where
    F: Fn(&State, &Membership) -> Edit,
{
    let mut state = node.state_mut();
    if !state.leads(term) {
        return Step::Lost;
    }
    if let Some(index) = *appended {
        let committed = state.commit >= index;
        return if committed {
            Step::Committed
        } else {
            Step::Wait
        };
    }
    let Some(members) = state.changeable() else {
        return Step::Wait;
    };
    match edit(&state, members) {
        Edit::Wait => Step::Wait,
        Edit::GiveUp => Step::Lost,
        Edit::Make(new) if new == *members => Step::Committed,
        Edit::Make(new) => {
            *appended = Some(state.add(Body::Members(new)));
            drop(state);
            replicate::start_links(node);
            node.work.wake();
            node.grown.wake();
            Step::Wait
        }
    }
}
