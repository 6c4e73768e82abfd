//! The leader's side: one task for entries and one for heartbeats to each
//! other member, so that a slow disk there holds up no heartbeat.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::codec;
use super::messages::{self, Append, Appended, Beat, Beaten, Chunk, Outcome};
use super::model::{DiskId, Seat, Snapshot};
use super::node::{IDLE, Node};
use super::state::{Progress, State};
use crate::clock;
use crate::ids;
use crate::rpc::Peer;

/// Time between heartbeats of a leader, unless tuned.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(50);

/// Longest wait for the answer to a heartbeat.
const BEAT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest wait until entries or a part of a snapshot are synced elsewhere.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Size at which a message takes no more entries, in bytes.
const APPEND_BYTES: usize = 256 << 10;

/// Bytes of a snapshot in one message.
const CHUNK_BYTES: usize = 256 << 10;

/// One other member, as its leader's tasks see it.
struct Link {
    node: Rc<Node>,
    seat: Seat,
    peer: Peer,
    term: ids::LogTerm,
}

/// What to send next.
enum Next {
    Nothing,
    Entries(Append),
    Snapshot(Arc<Snapshot>),
}

/// Starts the tasks for members that have none, and lets go of those that are gone.
pub(super) fn start_links(node: &Rc<Node>) {
    let seats = new_seats(&mut node.state_mut());
    for seat in seats {
        let peer = node.peer(&seat);
        let link = Rc::new(Link {
            node: Rc::clone(node),
            peer,
            seat,
            term: node.state().term(),
        });
        monoio::spawn(replicate(Rc::clone(&link)));
        monoio::spawn(beat(link));
    }
}

fn new_seats(state: &mut State) -> Vec<Seat> {
    let Some(members) = state.log.members().cloned() else {
        return Vec::new();
    };
    state
        .progress
        .retain(|disk, _| members.seat(disk).is_some());
    let own = Arc::clone(&state.disk);
    let mut seats = members.seats;
    seats.retain(|s| s.disk != own && !state.progress.contains_key(&s.disk));
    for seat in &seats {
        let progress = Progress {
            next: state.log.last().max(1),
            matched: 0,
            heard: clock::now(),
            round: 0,
        };
        state.progress.insert(Arc::clone(&seat.disk), progress);
    }
    seats
}

impl Link {
    fn disk(&self) -> &DiskId {
        &self.seat.disk
    }

    /// Whether the tasks of this link still have work.
    fn is_live(&self) -> bool {
        let state = self.node.state();
        state.leads(self.term) && state.progress.contains_key(self.disk())
    }

    fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut Progress),
    {
        let mut state = self.node.state_mut();
        if state.leads(self.term)
            && let Some(progress) = state.progress.get_mut(self.disk())
        {
            change(progress);
        }
    }

    fn next(&self) -> Option<Next> {
        let route = self.node.route(self.disk(), self.term)?;
        let state = self.node.state();
        let progress = state.progress.get(self.disk())?;
        if progress.next > state.log.last() {
            return Some(Next::Nothing);
        }
        let prior = progress.next.saturating_sub(1);
        let Some(prior_term) = state.log.term_at(prior) else {
            return state.log.snapshot().cloned().map(Next::Snapshot);
        };
        let mut entries = Vec::new();
        let mut index = progress.next;
        while let Some(entry) = state
            .log
            .get(index)
            .filter(|_| entries.len() < APPEND_BYTES)
        {
            codec::write(&mut entries, entry);
            index += 1;
        }
        Some(Next::Entries(Append {
            route,
            prior,
            prior_term,
            entries,
            commit: state.commit,
        }))
    }

    fn take_outcome(&self, sent: Instant, answer: &Appended) {
        if answer.term > self.term {
            self.node.yield_to(answer.term);
            return;
        }
        if answer.outcome == Outcome::Later {
            return;
        }
        self.update(|p| {
            p.heard = p.heard.max(sent);
            match answer.outcome {
                Outcome::Synced(index) => {
                    p.matched = p.matched.max(index);
                    p.next = p.next.max(index.saturating_add(1));
                }
                Outcome::Differs(index) => p.next = index.clamp(1, p.next),
                Outcome::More | Outcome::Later => {}
            }
        });
        self.node.advance();
    }
}

async fn replicate(link: Rc<Link>) {
    while link.is_live() {
        let Some(next) = link.next() else { return };
        let settled = match next {
            Next::Nothing => {
                link.node.grown.wait(IDLE).await;
                true
            }
            Next::Entries(append) => send_entries(&link, &append).await,
            Next::Snapshot(snapshot) => send_snapshot(&link, &snapshot).await,
        };
        if !settled {
            monoio::time::sleep(IDLE).await;
        }
    }
}

/// Sends entries; false if it should be tried later.
async fn send_entries(link: &Link, append: &Append) -> bool {
    let sent = clock::now();
    let call = link
        .peer
        .call::<_, Appended>(messages::APPEND, append, APPEND_TIMEOUT);
    let Ok(answer) = call.await else { return false };
    link.take_outcome(sent, &answer);
    answer.outcome != Outcome::Later
}

/// Sends a whole snapshot; false if it should be tried later.
async fn send_snapshot(link: &Link, snapshot: &Snapshot) -> bool {
    let crc = crc32fast::hash(&snapshot.data);
    let mut offset = 0;
    while link.is_live() {
        let Some(route) = link.node.route(link.disk(), link.term) else {
            return false;
        };
        let rest = snapshot.data.get(offset..).unwrap_or_default();
        let data = rest.get(..CHUNK_BYTES).unwrap_or(rest).to_vec();
        offset += data.len();
        let chunk = Chunk {
            route,
            index: snapshot.index,
            index_term: snapshot.term,
            members: snapshot.members.clone(),
            offset: (offset - data.len()) as u64,
            size: snapshot.data.len() as u64,
            crc,
            data,
        };
        let sent = clock::now();
        let call = link
            .peer
            .call::<_, Appended>(messages::SNAPSHOT, &chunk, APPEND_TIMEOUT);
        let Ok(answer) = call.await else { return false };
        link.take_outcome(sent, &answer);
        if answer.outcome != Outcome::More {
            return matches!(answer.outcome, Outcome::Synced(_));
        }
    }
    false
}

async fn beat(link: Rc<Link>) {
    while let Some(beat) = next_beat(&link) {
        let round = link.node.state().round;
        if !send_beat(&link, &beat, round).await {
            monoio::time::sleep(link.node.tuning.heartbeat_interval).await;
        } else if link.node.state().round == round {
            link.node
                .asked
                .wait(link.node.tuning.heartbeat_interval)
                .await;
        }
    }
}

/// Sends a heartbeat that answers for `round`; false if it was not followed.
async fn send_beat(link: &Link, beat: &Beat, round: u64) -> bool {
    let sent = clock::now();
    let call = link
        .peer
        .call::<_, Beaten>(messages::BEAT, beat, BEAT_TIMEOUT);
    let Ok(answer) = call.await else { return false };
    if answer.term > link.term {
        link.node.yield_to(answer.term);
    }
    if answer.follows {
        link.update(|p| {
            p.heard = p.heard.max(sent);
            p.round = p.round.max(round);
        });
        link.node.advance();
    }
    answer.follows
}

/// The next heartbeat; `None` once this link has no more work.
fn next_beat(link: &Link) -> Option<Beat> {
    let route = link.node.route(link.disk(), link.term)?;
    let state = link.node.state();
    if !state.leads(link.term) {
        return None;
    }
    let progress = state.progress.get(link.disk())?;
    Some(Beat {
        route,
        commit: state.commit.min(progress.matched),
    })
}
