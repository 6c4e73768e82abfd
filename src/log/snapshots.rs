//! Snapshots: taken when the log has grown, and taken in from a leader.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::disk::Work;
use super::follow;
use super::messages::{Appended, Chunk, Outcome};
use super::model::Snapshot;
use super::node::{IDLE, Node};
use super::slot;
use super::state::Incoming;

/// Pause after a snapshot that could not be written out.
const FAILED_PAUSE: Duration = Duration::from_secs(10);

/// Takes a snapshot whenever enough has been applied, until the log stops.
pub(super) async fn compact(node: Rc<Node>) {
    while !node.stopped() {
        monoio::time::sleep(IDLE).await;
        if !is_due(&node) {
            continue;
        }
        let Some((mut snapshot, encode)) = node.snapshot() else {
            continue;
        };
        match slot::aside(encode).await {
            Some(Ok(data)) => snapshot.data = data,
            Some(Err(reason)) => {
                node.record("log.no_snapshot", &reason);
                monoio::time::sleep(FAILED_PAUSE).await;
                continue;
            }
            None => {
                node.record("log.no_snapshot", "no thread");
                monoio::time::sleep(FAILED_PAUSE).await;
                continue;
            }
        }
        let snapshot = Arc::new(snapshot);
        if !node.write(Work::Save(Arc::clone(&snapshot))).await {
            return;
        }
        node.record("log.snapshot", &format!("index {}", snapshot.index));
        let mut state = node.state_mut();
        if snapshot.index > state.log.covered() {
            state.log.compact(snapshot, node.tuning.trailing_entries);
        }
    }
}

fn is_due(node: &Node) -> bool {
    let state = node.state();
    let grown = state.applied.saturating_sub(state.log.covered());
    grown >= node.tuning.snapshot_entries && !state.installing && !state.stopped
}

/// Takes in a part of a leader's snapshot; after the last one it is installed.
pub(super) async fn receive(node: &Node, chunk: Chunk) -> Appended {
    let outcome = take(node, &chunk).await;
    Appended {
        term: node.state().synced_term,
        outcome,
    }
}

async fn take(node: &Node, chunk: &Chunk) -> Outcome {
    if !follow::is_current(node, &chunk.route) {
        node.sync_term().await;
        return Outcome::Later;
    }
    node.follow(&chunk.route);
    if !node.sync_term().await {
        return Outcome::Later;
    }
    match gather(node, chunk) {
        Ok(incoming) => install(node, incoming).await,
        Err(outcome) => outcome,
    }
}

/// Adds a part to those before it; the whole once it is complete.
fn gather(node: &Node, chunk: &Chunk) -> Result<Incoming, Outcome> {
    let mut state = node.state_mut();
    if state.installing {
        return Err(Outcome::Later);
    }
    let mut incoming = match state.incoming.take() {
        _ if chunk.offset == 0 => Incoming {
            first: chunk.clone(),
            data: Vec::new(),
        },
        Some(incoming) if continues(&incoming, chunk) => incoming,
        _ => return Err(Outcome::Later),
    };
    incoming.data.extend_from_slice(&chunk.data);
    let length = incoming.data.len() as u64;
    if length < chunk.size {
        state.incoming = Some(incoming);
        return Err(Outcome::More);
    }
    let whole = length == chunk.size && crc32fast::hash(&incoming.data) == chunk.crc;
    if whole {
        Ok(incoming)
    } else {
        Err(Outcome::Later)
    }
}

fn continues(incoming: &Incoming, chunk: &Chunk) -> bool {
    let first = &incoming.first;
    let same = first.route == chunk.route && first.index == chunk.index && first.crc == chunk.crc;
    same && incoming.data.len() as u64 == chunk.offset
}

async fn install(node: &Node, incoming: Incoming) -> Outcome {
    let Incoming { first, data } = incoming;
    let index = first.index;
    if holds(node, &first) {
        if !node.wait_synced(index, first.route.term).await {
            return Outcome::Later;
        }
        follow::commit(node, index);
        return Outcome::Synced(index);
    }
    let snapshot = Arc::new(Snapshot {
        index,
        term: first.index_term,
        members: first.members,
        data,
    });
    {
        let mut state = node.state_mut();
        state.installing = true;
        state.log.take_unsaved();
    }
    if !node.write(Work::Install(Arc::clone(&snapshot))).await {
        return Outcome::Later;
    }
    if let Err(reason) = node.restore(&snapshot) {
        node.stop(&reason);
        return Outcome::Later;
    }
    finish(node, snapshot);
    node.record("log.installed", &format!("snapshot at index {index}"));
    Outcome::Synced(index)
}

/// Whether the log already holds what the snapshot covers.
fn holds(node: &Node, first: &Chunk) -> bool {
    let state = node.state();
    first.index <= state.commit || state.log.term_at(first.index) == Some(first.index_term)
}

fn finish(node: &Node, snapshot: Arc<Snapshot>) {
    let mut state = node.state_mut();
    state.commit = snapshot.index;
    state.applied = snapshot.index;
    state.log.reset(snapshot);
    state.installing = false;
}
