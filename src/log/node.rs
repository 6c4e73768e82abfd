//! State shared by the tasks of one replica.

use std::cell::{Ref, RefCell, RefMut};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::error::ProposeError;
use super::messages::MessageHeader;
use super::model::{Body, Entry, Replica, ReplicaId, Snapshot};
use super::state::{Leader, State};
use super::writer::{DiskWriter, Job};
use super::{Config, EncodeSnapshot, Member, StateMachine, Tuning};
use crate::clock;
use crate::ids;
use crate::notify::Notify;
use crate::rpc;
use crate::timeline::{Event, Journal};

/// Largest command; base64 of it fits into a frame between replicas.
pub(super) const MAX_COMMAND_BYTES: usize = 32 << 20;

/// Factor of the size at which a snapshot is due, above which a leader accepts no proposals: the
/// snapshot is not finished in time or can't be written.
const BACKLOG_FACTOR: usize = 4;

/// Longest time that a task waits to be woken.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(50);

/// This VM's replica of the log.
pub(super) struct Node {
    pub(super) config: Config,
    /// VMs to contact while this replica is not part of a cluster.
    pub(super) seeds: RefCell<Vec<Member>>,
    pub(super) tuning: Tuning,
    pub(super) journal: Journal,
    state: RefCell<State>,
    state_machine: RefCell<StateMachine>,
    writer: RefCell<DiskWriter>,
    peers: RefCell<HashMap<ids::VmName, rpc::Peer>>,
    /// Woken when entries wait to be synced.
    pub(super) unsynced: Notify,
    /// Woken when entries were synced or the term changed.
    pub(super) synced: Notify,
    /// Woken when entries wait to be sent to followers.
    pub(super) unsent: Notify,
    /// Woken when a heartbeat is to be sent without waiting for the interval.
    pub(super) heartbeat_due: Notify,
}

impl Node {
    pub(super) fn new(
        config: Config,
        tuning: Tuning,
        state_machine: StateMachine,
        journal: Journal,
        state: State,
        writer: DiskWriter,
    ) -> Rc<Self> {
        Rc::new(Self {
            seeds: RefCell::new(config.members.clone()),
            config,
            tuning,
            journal,
            state: RefCell::new(state),
            state_machine: RefCell::new(state_machine),
            writer: RefCell::new(writer),
            peers: RefCell::default(),
            unsynced: Notify::default(),
            synced: Notify::default(),
            unsent: Notify::default(),
            heartbeat_due: Notify::default(),
        })
    }

    pub(super) fn state(&self) -> Ref<'_, State> {
        self.state.borrow()
    }

    pub(super) fn state_mut(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    /// Size of the entries since the newest snapshot after which the next one is taken.
    ///
    /// A snapshot is written as a whole, so it is at most as large as the entries that it replaces.
    pub(super) fn snapshot_bytes(&self, state: &State) -> usize {
        let previous = state.log.snapshot().map_or(0, |s| s.data.len());
        self.tuning.snapshot_bytes.max(previous)
    }

    pub(super) fn stopped(&self) -> bool {
        self.state.borrow().stopped
    }

    pub(super) fn record(&self, kind: &str, detail: &str) {
        self.journal.record(Event::new(kind).detail(detail));
    }

    /// Connection to a replica's VM; the configured address takes precedence.
    pub(super) fn peer(&self, replica: &Replica) -> rpc::Peer {
        let seeds = self.seeds.borrow();
        let member = seeds.iter().find(|m| m.vm == replica.vm);
        let address = member.map_or(replica.address, |m| m.address);
        let mut peers = self.peers.borrow_mut();
        let known = peers.get(&replica.vm).filter(|p| p.address() == address);
        let peer = match known {
            Some(peer) => peer.clone(),
            None => rpc::Peer::new(address, self.journal.clone()),
        };
        peers.insert(Arc::clone(&replica.vm), peer.clone());
        peer
    }

    /// Header of a message to `replica`; `None` while this replica belongs to no cluster.
    pub(super) fn header_to(
        &self,
        replica: &ReplicaId,
        term: ids::LogTerm,
    ) -> Option<MessageHeader> {
        let state = self.state();
        Some(MessageHeader {
            cluster_id: Arc::clone(&state.log.membership()?.cluster_id),
            term,
            vm: Arc::clone(&self.config.vm),
            from: Arc::clone(&state.id),
            to: Arc::clone(replica),
        })
    }

    /// Stops all tasks at once; entries that are not yet synced are lost.
    pub(super) fn stop(&self, reason: &str) {
        if self.stopped() {
            return;
        }
        {
            let mut state = self.state_mut();
            state.stopped = true;
            state.become_follower(None);
        }
        self.record("log.stopped", reason);
        self.writer.borrow_mut().close();
        self.wake_all();
    }

    pub(super) fn wake_all(&self) {
        for notify in [
            &self.unsynced,
            &self.synced,
            &self.unsent,
            &self.heartbeat_due,
        ] {
            notify.wake();
        }
    }

    /// Runs a disk job; false if the log has stopped.
    pub(super) async fn write(&self, job: Job) -> bool {
        let done = self.writer.borrow().submit(job);
        match done.await {
            Ok(()) => !self.stopped(),
            Err(reason) => {
                self.stop(&reason);
                false
            }
        }
    }

    /// Writes and syncs the current vote; false if the log has stopped.
    pub(super) async fn save_vote(&self) -> bool {
        let vote = self.state().vote.clone();
        let term = vote.term;
        let written = self.write(Job::Vote(vote)).await;
        if written {
            let mut state = self.state_mut();
            state.synced_term = state.synced_term.max(term);
        }
        written
    }

    /// Syncs a vote just granted, or else the term.
    pub(super) async fn sync_vote(&self, granted: bool) -> bool {
        if granted {
            self.save_vote().await
        } else {
            self.sync_term().await
        }
    }

    /// Syncs the vote unless the current term is already on the disk.
    pub(super) async fn sync_term(&self) -> bool {
        let synced = {
            let state = self.state();
            state.synced_term == state.term()
        };
        synced || self.save_vote().await
    }

    /// Writes pending entries in batches, one sync for each batch, until the log stops.
    pub(super) async fn sync_entries(self: Rc<Self>) {
        while !self.stopped() {
            if !self.state().log.has_unsynced() {
                self.unsynced.wait(MAX_WAIT).await;
                continue;
            }
            let (entries, truncations) = self.state_mut().log.take_unsynced();
            let last = entries.last().map_or(0, |e| e.index);
            if !self.write(Job::Append(entries)).await {
                return;
            }
            self.state_mut().log.mark_synced(last, truncations);
            self.synced.wake();
            self.advance_commit();
        }
    }

    /// Waits until `index` is synced here; false if the term or the log ends before.
    pub(super) async fn wait_synced(&self, index: ids::LogIndex, term: ids::LogTerm) -> bool {
        loop {
            {
                let state = self.state();
                if state.stopped || state.term() != term {
                    return false;
                }
                if state.log.synced_index() >= index {
                    return true;
                }
            }
            self.unsynced.wake();
            self.synced.wait(MAX_WAIT).await;
        }
    }

    /// Advances the commit index of a leader, then applies committed entries.
    pub(super) fn advance_commit(&self) {
        let mut state = self.state_mut();
        let before = state.commit_index;
        if state.role == super::Role::Leader {
            state.advance_commit();
        }
        let advanced = state.commit_index > before;
        drop(state);
        self.apply_committed();
        if advanced {
            // Followers learn the commit index from the next heartbeat.
            self.heartbeat_due.wake();
        }
    }

    /// Applies all committed entries and completes their proposals and reads.
    pub(super) fn apply_committed(&self) {
        while let Some(entry) = self.next_committed() {
            let output = match &entry.body {
                Body::Command(payload) => {
                    (self.state_machine.borrow_mut().apply)(entry.index, payload)
                }
                Body::Noop | Body::Membership(_) => Vec::new(),
            };
            self.complete(&entry, output);
        }
        let mut state = self.state_mut();
        if state.role == super::Role::Leader {
            state.complete_reads();
        }
    }

    fn next_committed(&self) -> Option<Entry> {
        let state = self.state();
        if state.applied_index >= state.commit_index || state.installing || state.stopped {
            return None;
        }
        state
            .log
            .get(state.applied_index.saturating_add(1))
            .cloned()
    }

    fn complete(&self, entry: &Entry, output: Vec<u8>) {
        let mut state = self.state_mut();
        state.applied_index = entry.index;
        if let Some(proposal) = state.proposals.remove(&entry.index) {
            let _ = proposal.send(Ok(output));
        }
        let starts_term = state.role == super::Role::Leader && state.term_start == entry.index;
        if starts_term && state.leading_since.is_none() {
            state.leading_since = Some(clock::now());
        }
        // Only the newest membership decides: after a restart, older ones are applied again.
        let newest = entry.index == state.log.membership_index();
        let removed = match &entry.body {
            Body::Membership(members) => newest && !members.is_voter(&state.id),
            Body::Noop | Body::Command(_) => false,
        };
        if removed && state.role == super::Role::Leader {
            state.become_follower(None);
        }
    }

    /// Snapshot of the applied entries without its data, and the function that encodes the data.
    pub(super) fn begin_snapshot(&self) -> Option<(Snapshot, EncodeSnapshot)> {
        let snapshot = {
            let state = self.state();
            state.log.snapshot_at(state.applied_index)?
        };
        let encode = (self.state_machine.borrow().snapshot)();
        Some((snapshot, encode))
    }

    /// Replaces the state of the state machine.
    pub(super) fn restore(&self, snapshot: &Snapshot) -> Result<(), Arc<str>> {
        (self.state_machine.borrow_mut().restore)(snapshot.index, &snapshot.data)
    }

    /// Follows the sender as leader; `header.term` must not be below the own term.
    pub(super) fn follow_leader(&self, header: &MessageHeader) {
        let mut state = self.state_mut();
        let known = state.leader.as_ref().is_some_and(|l| l.id == header.from);
        let new_leader = header.term > state.term() || !known;
        state.advance_term(header.term);
        if new_leader {
            state.become_follower(Some(Leader {
                vm: Arc::clone(&header.vm),
                id: Arc::clone(&header.from),
            }));
        }
        state.timer_start = clock::now();
        drop(state);
        if new_leader {
            self.record(
                "log.follows",
                &format!("{} term {}", header.vm, header.term),
            );
            self.synced.wake();
        }
    }

    /// Becomes a follower if another replica reports a higher term.
    pub(super) fn observe_term(&self, term: ids::LogTerm) {
        let mut state = self.state_mut();
        if term > state.term() {
            let was_leader = state.role == super::Role::Leader;
            state.advance_term(term);
            drop(state);
            if was_leader {
                self.record("log.yielded", &format!("to term {term}"));
            }
            self.wake_all();
        }
    }

    /// Appends a command as leader; returns its output once it has been applied.
    pub(super) async fn propose(&self, payload: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        if payload.len() > MAX_COMMAND_BYTES {
            return Err(ProposeError::TooLarge);
        }
        let receiver = {
            let mut state = self.state_mut();
            let term = state.term();
            if !state.is_leader(term) || state.transferring {
                return Err(state.not_leader_error());
            }
            let most = self.snapshot_bytes(&state).saturating_mul(BACKLOG_FACTOR);
            if state.log.uncovered_bytes() > most {
                return Err(ProposeError::Backlog);
            }
            let index = state.append(Body::Command(payload.into()));
            let (sender, receiver) = local_sync::oneshot::channel();
            state.proposals.insert(index, sender);
            receiver
        };
        self.unsynced.wake();
        self.unsent.wake();
        receiver.await.unwrap_or(Err(ProposeError::OutcomeUnknown))
    }
}
