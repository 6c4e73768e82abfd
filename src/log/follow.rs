//! The answering side of a leader's messages.

use super::codec;
use super::messages::{Append, Appended, Beat, Beaten, Outcome, Route};
use super::model::Entry;
use super::node::Node;
use crate::ids;

/// Answers a heartbeat.
pub(super) async fn beat(node: &Node, beat: Beat) -> Beaten {
    let follows = is_current(node, &beat.route);
    if follows {
        node.follow(&beat.route);
        commit(node, beat.commit);
    }
    let synced = node.sync_term().await;
    let state = node.state();
    Beaten {
        term: state.synced_term,
        follows: follows && synced && state.term() == beat.route.term,
    }
}

/// Takes in entries; the answer says that they are synced.
pub(super) async fn append(node: &Node, append: Append) -> Appended {
    let outcome = take(node, &append).await;
    Appended {
        term: node.state().synced_term,
        outcome,
    }
}

/// Whether a message is for this disk and not from a past term.
pub(super) fn is_current(node: &Node, route: &Route) -> bool {
    let state = node.state();
    let rival = state.role == super::Role::Leader && state.term() == route.term;
    state.accepts(route) && route.term >= state.term() && !rival
}

async fn take(node: &Node, append: &Append) -> Outcome {
    let route = &append.route;
    if !is_current(node, route) {
        node.sync_term().await;
        return Outcome::Later;
    }
    node.follow(route);
    let Some(entries) = codec::read_all(&append.entries) else {
        return Outcome::Later;
    };
    let matched = match store(node, append, entries) {
        Ok(matched) => matched,
        Err(outcome) => {
            node.sync_term().await;
            return outcome;
        }
    };
    node.work.wake();
    if !node.sync_term().await || !node.wait_synced(matched, route.term).await {
        return Outcome::Later;
    }
    commit(node, append.commit.min(matched));
    Outcome::Synced(matched)
}

/// Stores entries after one that agrees; the last index that agrees then.
fn store(node: &Node, append: &Append, entries: Vec<Entry>) -> Result<ids::LogIndex, Outcome> {
    let prior = append.prior;
    let mut state = node.state_mut();
    if state.installing {
        return Err(Outcome::Later);
    }
    let covered = prior < state.log.base();
    if !covered && state.log.term_at(prior) != Some(append.prior_term) {
        return Err(Outcome::Differs(retry_from(&state.log, prior)));
    }
    let mut last = prior;
    for entry in entries {
        if entry.index != last.saturating_add(1) {
            return Err(Outcome::Later);
        }
        last = entry.index;
        if entry.index <= state.log.base() || state.log.term_at(last) == Some(entry.term) {
            continue;
        }
        if entry.index <= state.commit {
            drop(state);
            node.stop("a committed entry differs from the leader's");
            return Err(Outcome::Later);
        }
        if entry.index <= state.log.last() {
            state.log.cut_from(entry.index);
        }
        state.log.push(entry);
    }
    Ok(last)
}

/// Index that the leader should try next: the first of the term that differs.
fn retry_from(log: &super::entries::Entries, prior: ids::LogIndex) -> ids::LogIndex {
    let Some(term) = log.term_at(prior) else {
        return log.last().saturating_add(1).min(prior);
    };
    let mut first = prior;
    while first > log.base().saturating_add(1) && log.term_at(first - 1) == Some(term) {
        first -= 1;
    }
    first
}

/// Commits what the leader has committed and this member holds.
pub(super) fn commit(node: &Node, index: ids::LogIndex) {
    {
        let mut state = node.state_mut();
        let held = index.min(state.log.synced());
        state.commit = state.commit.max(held);
    }
    node.apply();
}
