//! Snapshots: taken as the log grows, and received from a leader.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::Tuning;
use super::follower;
use super::messages::{AppendOutcome, AppendResponse, SnapshotChunk};
use super::model::Snapshot;
use super::node::{MAX_WAIT, Node};
use super::oneshot;
use super::state::PartialSnapshot;
use super::writer::Job;
use crate::ids;

/// Delay after a snapshot that could not be encoded.
const RETRY_DELAY: Duration = Duration::from_secs(10);

/// Takes a snapshot and compacts the log whenever enough entries were applied, until the log stops.
pub(super) async fn take_snapshots(node: Rc<Node>) {
    while !node.stopped() {
        monoio::time::sleep(MAX_WAIT).await;
        if !is_due(&node) {
            continue;
        }
        let Some((mut snapshot, encode)) = node.begin_snapshot() else {
            continue;
        };
        match oneshot::run_blocking(encode).await {
            Some(Ok(mut data)) => {
                data.shrink_to_fit();
                snapshot.data = data;
            }
            Some(Err(reason)) => {
                node.record("log.no_snapshot", &reason);
                monoio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            None => {
                node.record("log.no_snapshot", "no thread could be started");
                monoio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        }
        let snapshot = Arc::new(snapshot);
        if is_superseded(&node, snapshot.index) {
            node.record("log.snapshot_dropped", &format!("index {}", snapshot.index));
            continue;
        }
        // No await between the check and the write: jobs for the disk run in the order of their
        // writes, and an installation that begins later is queued behind this one.
        if !node.write(Job::SaveSnapshot(Arc::clone(&snapshot))).await {
            return;
        }
        node.record("log.snapshot", &format!("index {}", snapshot.index));
        let mut state = node.state_mut();
        if snapshot.index > state.log.snapshot_index() {
            let Tuning {
                trailing_entries,
                trailing_bytes,
                ..
            } = node.tuning;
            state
                .log
                .compact(snapshot, trailing_entries, trailing_bytes);
        }
    }
}

fn is_due(node: &Node) -> bool {
    let state = node.state();
    let grown = state
        .applied_index
        .saturating_sub(state.log.snapshot_index());
    let bytes = || state.log.uncovered_bytes_to(state.applied_index);
    let is_large = || grown > 0 && bytes() >= node.snapshot_bytes(&state);
    let is_due = grown >= node.tuning.snapshot_entries || is_large();
    is_due && !state.installing && !state.stopped
}

/// Whether a leader's snapshot was installed, or began to be, while a snapshot of this replica up to
/// `index` was encoded.
fn is_superseded(node: &Node, index: ids::LogIndex) -> bool {
    let state = node.state();
    state.installing || index <= state.log.snapshot_index()
}

/// Handles a chunk of a leader's snapshot; the last chunk installs the snapshot.
pub(super) async fn handle_chunk(node: &Node, chunk: SnapshotChunk) -> AppendResponse {
    let outcome = receive_chunk(node, &chunk).await;
    AppendResponse {
        term: node.state().synced_term,
        outcome,
    }
}

async fn receive_chunk(node: &Node, chunk: &SnapshotChunk) -> AppendOutcome {
    if !follower::accepts_leader(node, &chunk.header) {
        node.sync_term().await;
        return AppendOutcome::Retry;
    }
    node.follow_leader(&chunk.header);
    if !node.sync_term().await {
        return AppendOutcome::Retry;
    }
    match add_chunk(node, chunk) {
        Ok(partial) => install(node, partial).await,
        Err(outcome) => outcome,
    }
}

/// Adds a chunk to the partial snapshot; returns it once it is complete and its checksum matches.
fn add_chunk(node: &Node, chunk: &SnapshotChunk) -> Result<PartialSnapshot, AppendOutcome> {
    let mut state = node.state_mut();
    if state.installing {
        return Err(AppendOutcome::Retry);
    }
    let mut partial = match state.partial_snapshot.take() {
        _ if chunk.offset == 0 => PartialSnapshot {
            first_chunk: chunk.clone(),
            data: Vec::new(),
        },
        Some(partial) if is_next_chunk(&partial, chunk) => partial,
        _ => return Err(AppendOutcome::Retry),
    };
    partial.data.extend_from_slice(&chunk.data);
    let length = partial.data.len() as u64;
    if length < chunk.total_bytes {
        state.partial_snapshot = Some(partial);
        return Err(AppendOutcome::NextChunk);
    }
    let complete = length == chunk.total_bytes && crc32fast::hash(&partial.data) == chunk.crc;
    if complete {
        Ok(partial)
    } else {
        Err(AppendOutcome::Retry)
    }
}

fn is_next_chunk(partial: &PartialSnapshot, chunk: &SnapshotChunk) -> bool {
    let first = &partial.first_chunk;
    let same = first.header == chunk.header
        && first.last_index == chunk.last_index
        && first.crc == chunk.crc;
    same && partial.data.len() as u64 == chunk.offset
}

async fn install(node: &Node, partial: PartialSnapshot) -> AppendOutcome {
    let PartialSnapshot { first_chunk, data } = partial;
    let index = first_chunk.last_index;
    if is_covered(node, &first_chunk) {
        if !node.wait_synced(index, first_chunk.header.term).await {
            return AppendOutcome::Retry;
        }
        follower::advance_commit(node, index);
        return AppendOutcome::Synced(index);
    }
    let snapshot = Arc::new(Snapshot {
        index,
        term: first_chunk.last_term,
        membership: first_chunk.membership,
        data,
    });
    {
        let mut state = node.state_mut();
        state.installing = true;
        state.log.take_unsynced();
    }
    if !node
        .write(Job::InstallSnapshot(Arc::clone(&snapshot)))
        .await
    {
        return AppendOutcome::Retry;
    }
    if let Err(reason) = node.restore(&snapshot) {
        node.stop(&reason);
        return AppendOutcome::Retry;
    }
    replace_log(node, snapshot);
    node.record("log.installed", &format!("snapshot at index {index}"));
    AppendOutcome::Synced(index)
}

/// Whether the log already contains everything that the snapshot covers.
fn is_covered(node: &Node, chunk: &SnapshotChunk) -> bool {
    let state = node.state();
    chunk.last_index <= state.commit_index
        || state.log.term_at(chunk.last_index) == Some(chunk.last_term)
}

fn replace_log(node: &Node, snapshot: Arc<Snapshot>) {
    let mut state = node.state_mut();
    state.commit_index = snapshot.index;
    state.applied_index = snapshot.index;
    state.log.reset(snapshot);
    state.installing = false;
}
