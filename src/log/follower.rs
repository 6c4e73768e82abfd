//! Handling of a leader's messages by a follower.

use super::codec;
use super::messages::{
    AppendOutcome, AppendRequest, AppendResponse, HeartbeatRequest, HeartbeatResponse,
    MessageHeader,
};
use super::model::Entry;
use super::node::Node;
use crate::ids;

/// Handles a heartbeat; responds once the term is synced.
pub(super) async fn handle_heartbeat(node: &Node, request: HeartbeatRequest) -> HeartbeatResponse {
    let follows = accepts_leader(node, &request.header);
    if follows {
        node.follow_leader(&request.header);
        advance_commit(node, request.commit_index);
    }
    let synced = node.sync_term().await;
    let state = node.state();
    HeartbeatResponse {
        term: state.synced_term,
        follows: follows && synced && state.term() == request.header.term,
    }
}

/// Handles an append request; responds once the entries are synced.
pub(super) async fn handle_append(node: &Node, request: AppendRequest) -> AppendResponse {
    let outcome = append_entries(node, &request).await;
    AppendResponse {
        term: node.state().synced_term,
        outcome,
    }
}

/// Whether a message is addressed to this replica and its sender may lead in its term.
pub(super) fn accepts_leader(node: &Node, header: &MessageHeader) -> bool {
    let state = node.state();
    let other_leader = state.role == super::Role::Leader && state.term() == header.term;
    state.accepts(header) && header.term >= state.term() && !other_leader
}

async fn append_entries(node: &Node, request: &AppendRequest) -> AppendOutcome {
    let header = &request.header;
    if !accepts_leader(node, header) {
        node.sync_term().await;
        return AppendOutcome::Retry;
    }
    node.follow_leader(header);
    let Some(entries) = codec::decode_entries(&request.entries) else {
        return AppendOutcome::Retry;
    };
    let match_index = match store_entries(node, request, entries) {
        Ok(match_index) => match_index,
        Err(outcome) => {
            node.sync_term().await;
            return outcome;
        }
    };
    node.unsynced.wake();
    if !node.sync_term().await || !node.wait_synced(match_index, header.term).await {
        return AppendOutcome::Retry;
    }
    advance_commit(node, request.commit_index.min(match_index));
    AppendOutcome::Synced(match_index)
}

/// Stores entries that follow a matching one; returns the last index that matches the leader's log.
fn store_entries(
    node: &Node,
    request: &AppendRequest,
    entries: Vec<Entry>,
) -> Result<ids::LogIndex, AppendOutcome> {
    let prev_index = request.prev_index;
    let mut state = node.state_mut();
    if state.installing {
        return Err(AppendOutcome::Retry);
    }
    let compacted = prev_index < state.log.base_index();
    if !compacted && state.log.term_at(prev_index) != Some(request.prev_term) {
        return Err(AppendOutcome::Mismatch(conflict_index(
            &state.log, prev_index,
        )));
    }
    let mut last = prev_index;
    for entry in entries {
        if entry.index != last.saturating_add(1) {
            return Err(AppendOutcome::Retry);
        }
        last = entry.index;
        if entry.index <= state.log.base_index() || state.log.term_at(last) == Some(entry.term) {
            continue;
        }
        if entry.index <= state.commit_index {
            drop(state);
            node.stop("a committed entry differs from the leader's");
            return Err(AppendOutcome::Retry);
        }
        if entry.index <= state.log.last_index() {
            state.log.truncate_from(entry.index);
        }
        state.log.push(entry);
    }
    Ok(last)
}

/// Index that the leader should retry from: the first entry of the conflicting term.
fn conflict_index(log: &super::memory_log::MemoryLog, prev_index: ids::LogIndex) -> ids::LogIndex {
    let Some(term) = log.term_at(prev_index) else {
        return log.last_index().saturating_add(1).min(prev_index);
    };
    let mut first = prev_index;
    while first > log.base_index().saturating_add(1) && log.term_at(first - 1) == Some(term) {
        first -= 1;
    }
    first
}

/// Advances the commit index up to `index` as far as entries are synced here, and applies them.
pub(super) fn advance_commit(node: &Node, index: ids::LogIndex) {
    {
        let mut state = node.state_mut();
        let synced = index.min(state.log.synced_index());
        state.commit_index = state.commit_index.max(synced);
    }
    node.apply_committed();
}
