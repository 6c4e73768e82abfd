//! Replication from the leader: for each other replica, one task sends entries
//! and one sends heartbeats, so that a replica's slow disk delays no heartbeat.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::codec;
use super::messages::{
    self, AppendOutcome, AppendRequest, AppendResponse, HeartbeatRequest, HeartbeatResponse,
    SnapshotChunk,
};
use super::model::{Replica, ReplicaId, Snapshot};
use super::node::{MAX_WAIT, Node};
use super::state::{Progress, State};
use crate::clock;
use crate::ids;
use crate::rpc::Peer;

/// Default for [`Tuning::heartbeat_interval`](super::Tuning::heartbeat_interval).
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of an append request or a snapshot chunk; it covers the sync by the follower.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Size from which on no more entries are added to an append request.
const APPEND_MAX_BYTES: usize = 256 << 10;

/// Size of a snapshot chunk.
const CHUNK_BYTES: usize = 256 << 10;

/// Context of the leader's tasks for one other replica in one term.
struct Replicator {
    node: Rc<Node>,
    replica: Replica,
    peer: Peer,
    term: ids::LogTerm,
}

/// Message to send next.
enum NextMessage {
    Nothing,
    Entries(AppendRequest),
    Snapshot(Arc<Snapshot>),
}

/// Starts tasks for new replicas; tasks of replicas that left the membership end.
pub(super) fn start_replication(node: &Rc<Node>) {
    let replicas = add_progress(&mut node.state_mut());
    for replica in replicas {
        let peer = node.peer(&replica);
        let replicator = Rc::new(Replicator {
            node: Rc::clone(node),
            peer,
            replica,
            term: node.state().term(),
        });
        monoio::spawn(replicate(Rc::clone(&replicator)));
        monoio::spawn(send_heartbeats(replicator));
    }
}

fn add_progress(state: &mut State) -> Vec<Replica> {
    let Some(membership) = state.log.membership().cloned() else {
        return Vec::new();
    };
    state
        .progress
        .retain(|id, _| membership.replica(id).is_some());
    let own = Arc::clone(&state.id);
    let mut replicas = membership.replicas;
    replicas.retain(|r| r.id != own && !state.progress.contains_key(&r.id));
    for replica in &replicas {
        let progress = Progress {
            next_index: state.log.last_index().max(1),
            match_index: 0,
            last_contact: clock::now(),
            acked_round: 0,
        };
        state.progress.insert(Arc::clone(&replica.id), progress);
    }
    replicas
}

impl Replicator {
    fn id(&self) -> &ReplicaId {
        &self.replica.id
    }

    /// Whether this VM still leads in the term and the replica is still a member.
    fn is_active(&self) -> bool {
        let state = self.node.state();
        state.is_leader(self.term) && state.progress.contains_key(self.id())
    }

    fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut Progress),
    {
        let mut state = self.node.state_mut();
        if state.is_leader(self.term)
            && let Some(progress) = state.progress.get_mut(self.id())
        {
            change(progress);
        }
    }

    fn next(&self) -> Option<NextMessage> {
        let header = self.node.header_to(self.id(), self.term)?;
        let state = self.node.state();
        let progress = state.progress.get(self.id())?;
        if progress.next_index > state.log.last_index() {
            return Some(NextMessage::Nothing);
        }
        let prev_index = progress.next_index.saturating_sub(1);
        let Some(prev_term) = state.log.term_at(prev_index) else {
            return state.log.snapshot().cloned().map(NextMessage::Snapshot);
        };
        let mut entries = Vec::new();
        let mut index = progress.next_index;
        while let Some(entry) = state
            .log
            .get(index)
            .filter(|_| entries.len() < APPEND_MAX_BYTES)
        {
            codec::encode_entry(&mut entries, entry);
            index += 1;
        }
        Some(NextMessage::Entries(AppendRequest {
            header,
            prev_index,
            prev_term,
            entries,
            commit_index: state.commit_index,
        }))
    }

    fn handle_response(&self, sent_at: Instant, response: &AppendResponse) {
        if response.term > self.term {
            self.node.observe_term(response.term);
            return;
        }
        if response.outcome == AppendOutcome::Retry {
            return;
        }
        self.update(|p| {
            p.last_contact = p.last_contact.max(sent_at);
            match response.outcome {
                AppendOutcome::Synced(index) => {
                    p.match_index = p.match_index.max(index);
                    p.next_index = p.next_index.max(index.saturating_add(1));
                }
                AppendOutcome::Mismatch(index) => p.next_index = index.clamp(1, p.next_index),
                AppendOutcome::NextChunk | AppendOutcome::Retry => {}
            }
        });
        self.node.advance_commit();
    }
}

async fn replicate(replicator: Rc<Replicator>) {
    while replicator.is_active() {
        let Some(next) = replicator.next() else {
            return;
        };
        let sent = match next {
            NextMessage::Nothing => {
                replicator.node.unsent.wait(MAX_WAIT).await;
                true
            }
            NextMessage::Entries(append) => send_entries(&replicator, &append).await,
            NextMessage::Snapshot(snapshot) => send_snapshot(&replicator, &snapshot).await,
        };
        if !sent {
            monoio::time::sleep(MAX_WAIT).await;
        }
    }
}

/// Sends entries; false if they should be sent again later.
async fn send_entries(replicator: &Replicator, append: &AppendRequest) -> bool {
    let sent_at = clock::now();
    let call = replicator
        .peer
        .call::<_, AppendResponse>(messages::APPEND, append, APPEND_TIMEOUT);
    let Ok(response) = call.await else {
        return false;
    };
    replicator.handle_response(sent_at, &response);
    response.outcome != AppendOutcome::Retry
}

/// Sends a snapshot in chunks; false if it should be sent again later.
async fn send_snapshot(replicator: &Replicator, snapshot: &Snapshot) -> bool {
    let crc = crc32fast::hash(&snapshot.data);
    let mut offset = 0;
    while replicator.is_active() {
        let Some(header) = replicator.node.header_to(replicator.id(), replicator.term) else {
            return false;
        };
        // The offset never exceeds the length, so the default is never used.
        let rest = snapshot.data.get(offset..).unwrap_or_default();
        let data = rest.get(..CHUNK_BYTES).unwrap_or(rest).to_vec();
        offset += data.len();
        let chunk = SnapshotChunk {
            header,
            last_index: snapshot.index,
            last_term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset: (offset - data.len()) as u64,
            total_bytes: snapshot.data.len() as u64,
            crc,
            data,
        };
        let sent_at = clock::now();
        let call =
            replicator
                .peer
                .call::<_, AppendResponse>(messages::SNAPSHOT, &chunk, APPEND_TIMEOUT);
        let Ok(response) = call.await else {
            return false;
        };
        replicator.handle_response(sent_at, &response);
        if response.outcome != AppendOutcome::NextChunk {
            return matches!(response.outcome, AppendOutcome::Synced(_));
        }
    }
    false
}

async fn send_heartbeats(replicator: Rc<Replicator>) {
    while let Some(heartbeat) = next_heartbeat(&replicator) {
        let round = replicator.node.state().heartbeat_round;
        if !send_heartbeat(&replicator, &heartbeat, round).await {
            monoio::time::sleep(replicator.node.tuning.heartbeat_interval).await;
        } else if replicator.node.state().heartbeat_round == round {
            replicator
                .node
                .heartbeat_due
                .wait(replicator.node.tuning.heartbeat_interval)
                .await;
        }
    }
}

/// Sends a heartbeat whose response acknowledges `round`; false if the replica does not follow.
async fn send_heartbeat(replicator: &Replicator, heartbeat: &HeartbeatRequest, round: u64) -> bool {
    let sent_at = clock::now();
    let call = replicator.peer.call::<_, HeartbeatResponse>(
        messages::HEARTBEAT,
        heartbeat,
        HEARTBEAT_TIMEOUT,
    );
    let Ok(response) = call.await else {
        return false;
    };
    if response.term > replicator.term {
        replicator.node.observe_term(response.term);
    }
    if response.follows {
        replicator.update(|p| {
            p.last_contact = p.last_contact.max(sent_at);
            p.acked_round = p.acked_round.max(round);
        });
        replicator.node.advance_commit();
    }
    response.follows
}

/// The next heartbeat; `None` once the term or the replica's membership has ended.
fn next_heartbeat(replicator: &Replicator) -> Option<HeartbeatRequest> {
    let header = replicator
        .node
        .header_to(replicator.id(), replicator.term)?;
    let state = replicator.node.state();
    if !state.is_leader(replicator.term) {
        return None;
    }
    let progress = state.progress.get(replicator.id())?;
    Some(HeartbeatRequest {
        header,
        commit_index: state.commit_index.min(progress.match_index),
    })
}
