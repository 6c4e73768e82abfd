//! What the tasks of one member share.

use std::cell::{Ref, RefCell, RefMut};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::disk::{Disk, Work};
use super::error::ProposeError;
use super::messages::Route;
use super::model::{Body, DiskId, Entry, Seat, Snapshot};
use super::state::{Leader, State};
use super::{Config, EncodeSnapshot, Member, StateMachine, Tuning};
use crate::clock;
use crate::ids;
use crate::notify::Notify;
use crate::rpc;
use crate::timeline::{Event, Journal};

/// Longest sleep of a task that waits for work.
pub(super) const IDLE: Duration = Duration::from_millis(50);

/// One member of the log.
pub(super) struct Node {
    pub(super) config: Config,
    /// Configured members, or the VMs that are asked first.
    pub(super) roster: RefCell<Vec<Member>>,
    pub(super) tuning: Tuning,
    pub(super) journal: Journal,
    state: RefCell<State>,
    machine: RefCell<StateMachine>,
    disk: RefCell<Disk>,
    peers: RefCell<HashMap<ids::VmName, rpc::Peer>>,
    /// Entries wait for the disk.
    pub(super) work: Notify,
    /// Entries were synced, or the term changed.
    pub(super) saved: Notify,
    /// Entries wait for followers.
    pub(super) grown: Notify,
    /// A read waits for a round.
    pub(super) asked: Notify,
}

impl Node {
    pub(super) fn new(
        config: Config,
        tuning: Tuning,
        machine: StateMachine,
        journal: Journal,
        state: State,
        disk: Disk,
    ) -> Rc<Self> {
        Rc::new(Self {
            roster: RefCell::new(config.members.clone()),
            config,
            tuning,
            journal,
            state: RefCell::new(state),
            machine: RefCell::new(machine),
            disk: RefCell::new(disk),
            peers: RefCell::default(),
            work: Notify::default(),
            saved: Notify::default(),
            grown: Notify::default(),
            asked: Notify::default(),
        })
    }

    pub(super) fn state(&self) -> Ref<'_, State> {
        self.state.borrow()
    }

    pub(super) fn state_mut(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    pub(super) fn stopped(&self) -> bool {
        self.state.borrow().stopped
    }

    pub(super) fn record(&self, kind: &str, detail: &str) {
        self.journal.record(Event::new(kind).detail(detail));
    }

    /// The connection to a VM, at its configured address or else the one given.
    pub(super) fn peer(&self, seat: &Seat) -> rpc::Peer {
        let roster = self.roster.borrow();
        let member = roster.iter().find(|m| m.vm == seat.vm);
        let address = member.map_or(seat.address, |m| m.address);
        let mut peers = self.peers.borrow_mut();
        let known = peers.get(&seat.vm).filter(|p| p.address() == address);
        let peer = match known {
            Some(peer) => peer.clone(),
            None => rpc::Peer::new(address, self.journal.clone()),
        };
        peers.insert(Arc::clone(&seat.vm), peer.clone());
        peer
    }

    /// Names this member as sender to `disk`; `None` before it belongs to a cluster.
    pub(super) fn route(&self, disk: &DiskId, term: ids::LogTerm) -> Option<Route> {
        let state = self.state();
        Some(Route {
            cluster: Arc::clone(&state.log.members()?.founder),
            term,
            vm: Arc::clone(&self.config.vm),
            from: Arc::clone(&state.disk),
            to: Arc::clone(disk),
        })
    }

    /// Stops everything at once; what is not yet synced is lost.
    pub(super) fn stop(&self, reason: &str) {
        if self.stopped() {
            return;
        }
        {
            let mut state = self.state_mut();
            state.stopped = true;
            state.follow(None);
        }
        self.record("log.stopped", reason);
        self.disk.borrow_mut().close();
        self.wake_all();
    }

    pub(super) fn wake_all(&self) {
        for notify in [&self.work, &self.saved, &self.grown, &self.asked] {
            notify.wake();
        }
    }

    /// Does work on the disk; false if the log has stopped.
    pub(super) async fn write(&self, work: Work) -> bool {
        let done = self.disk.borrow().submit(work);
        match done.await {
            Ok(()) => !self.stopped(),
            Err(reason) => {
                self.stop(&reason);
                false
            }
        }
    }

    /// Syncs the current vote; false if the log has stopped.
    pub(super) async fn save_vote(&self) -> bool {
        let vote = self.state().vote.clone();
        let term = vote.term;
        let written = self.write(Work::Vote(vote)).await;
        if written {
            let mut state = self.state_mut();
            state.synced_term = state.synced_term.max(term);
        }
        written
    }

    /// Syncs a vote just given, or at least the term.
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

    /// Writes whatever waits for the disk, one sync for all of it, until the log stops.
    pub(super) async fn flush(self: Rc<Self>) {
        while !self.stopped() {
            if !self.state().log.has_unsaved() {
                self.work.wait(IDLE).await;
                continue;
            }
            let (entries, cuts) = self.state_mut().log.take_unsaved();
            let last = entries.last().map_or(0, |e| e.index);
            if !self.write(Work::Append(entries)).await {
                return;
            }
            self.state_mut().log.saved(last, cuts);
            self.saved.wake();
            self.advance();
        }
    }

    /// Waits until `index` is synced here; false if the term ends before.
    pub(super) async fn wait_synced(&self, index: ids::LogIndex, term: ids::LogTerm) -> bool {
        loop {
            {
                let state = self.state();
                if state.stopped || state.term() != term {
                    return false;
                }
                if state.log.synced() >= index {
                    return true;
                }
            }
            self.work.wake();
            self.saved.wait(IDLE).await;
        }
    }

    /// Moves on what a leader may commit, then applies.
    pub(super) fn advance(&self) {
        let mut state = self.state_mut();
        let before = state.commit;
        if state.role == super::Role::Leader {
            state.count_commit();
        }
        let grown = state.commit > before;
        drop(state);
        self.apply();
        if grown {
            // Followers hear of it with the next heartbeat.
            self.asked.wake();
        }
    }

    /// Applies every committed entry and answers those who wait for it.
    pub(super) fn apply(&self) {
        while let Some(entry) = self.next_committed() {
            let output = match &entry.body {
                Body::Command(payload) => (self.machine.borrow_mut().apply)(entry.index, payload),
                Body::Noop | Body::Members(_) => Vec::new(),
            };
            self.finish(&entry, output);
        }
        let mut state = self.state_mut();
        if state.role == super::Role::Leader {
            state.release_reads();
        }
    }

    fn next_committed(&self) -> Option<Entry> {
        let state = self.state();
        if state.applied >= state.commit || state.installing || state.stopped {
            return None;
        }
        state.log.get(state.applied.saturating_add(1)).cloned()
    }

    fn finish(&self, entry: &Entry, output: Vec<u8>) {
        let mut state = self.state_mut();
        state.applied = entry.index;
        if let Some(waiter) = state.waiting.remove(&entry.index) {
            let _ = waiter.send(Ok(output));
        }
        let leads = state.role == super::Role::Leader && state.first == entry.index;
        if leads && state.led.is_none() {
            state.led = Some(clock::now());
        }
        // Members that later entries have replaced, as after a restart, say nothing.
        let newest = entry.index == state.log.members_index();
        let removed = match &entry.body {
            Body::Members(members) => newest && !members.is_voter(&state.disk),
            Body::Noop | Body::Command(_) => false,
        };
        if removed && state.role == super::Role::Leader {
            state.follow(None);
        }
    }

    /// A snapshot of what has been applied, without its data, and what writes the data out.
    pub(super) fn snapshot(&self) -> Option<(Snapshot, EncodeSnapshot)> {
        let snapshot = {
            let state = self.state();
            state.log.snapshot_at(state.applied)?
        };
        let encode = (self.machine.borrow().snapshot)();
        Some((snapshot, encode))
    }

    /// Replaces the machine's state.
    pub(super) fn restore(&self, snapshot: &Snapshot) -> Result<(), Arc<str>> {
        (self.machine.borrow_mut().restore)(snapshot.index, &snapshot.data)
    }

    /// Follows a leader of `route.term`, which is not below the own term.
    pub(super) fn follow(&self, route: &Route) {
        let mut state = self.state_mut();
        let known = state.leader.as_ref().is_some_and(|l| l.disk == route.from);
        let fresh = route.term > state.term() || !known;
        state.adopt(route.term);
        if fresh {
            state.follow(Some(Leader {
                vm: Arc::clone(&route.vm),
                disk: Arc::clone(&route.from),
            }));
        }
        state.heard = clock::now();
        drop(state);
        if fresh {
            self.record("log.follows", &format!("{} term {}", route.vm, route.term));
            self.saved.wake();
        }
    }

    /// Steps back from a term that another member has passed.
    pub(super) fn yield_to(&self, term: ids::LogTerm) {
        let mut state = self.state_mut();
        if term > state.term() {
            let led = state.role == super::Role::Leader;
            state.adopt(term);
            drop(state);
            if led {
                self.record("log.yielded", &format!("to term {term}"));
            }
            self.wake_all();
        }
    }

    /// Adds a command as leader and answers once it has been applied.
    pub(super) async fn propose(&self, payload: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        let receiver = {
            let mut state = self.state_mut();
            let term = state.term();
            if !state.leads(term) || state.leaving {
                return Err(state.not_leader());
            }
            let index = state.add(Body::Command(payload.into()));
            let (sender, receiver) = local_sync::oneshot::channel();
            state.waiting.insert(index, sender);
            receiver
        };
        self.work.wake();
        self.grown.wake();
        receiver.await.unwrap_or(Err(ProposeError::OutcomeUnknown))
    }
}
