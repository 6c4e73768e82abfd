//! State of one replica and the transitions that need no I/O.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use local_sync::oneshot;
use serde::{Deserialize, Serialize};

use super::Tuning;
use super::error::ProposeError;
use super::memory_log::MemoryLog;
use super::messages::{MessageHeader, SnapshotChunk};
use super::model::{Body, Entry, Membership, ReplicaId, Vote};
use crate::clock;
use crate::ids;

/// Default for [`Tuning::election_timeout`](super::Tuning::election_timeout).
pub(super) const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);

/// Role of a replica in its current term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Follows a leader, or waits for one.
    #[default]
    Follower,
    /// Requests votes.
    Candidate,
    /// Leads.
    Leader,
}

/// The current leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Leader {
    pub(super) vm: ids::VmName,
    pub(super) id: ReplicaId,
}

/// Replication state that a leader keeps for another replica.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Next entry to send.
    pub(super) next_index: ids::LogIndex,
    /// Last entry known to be synced by the replica.
    pub(super) match_index: ids::LogIndex,
    /// When the last answered message was sent.
    pub(super) last_contact: Instant,
    /// Newest heartbeat round that the replica acknowledged.
    pub(super) acked_round: u64,
}

impl Progress {
    /// Whether the replica answered a message sent within the last `limit`.
    pub(super) fn is_responsive(&self, limit: Duration) -> bool {
        clock::now() < self.last_contact + limit
    }
}

/// A linearizable read that waits for a heartbeat round and for an entry to be applied.
pub(super) struct PendingRead {
    pub(super) heartbeat_round: u64,
    pub(super) index: ids::LogIndex,
    pub(super) sender: oneshot::Sender<Result<ids::LogIndex, ProposeError>>,
}

/// Delivers the result of a proposal to its proposer.
pub(super) type ProposalSender = oneshot::Sender<Result<Vec<u8>, ProposeError>>;

/// A snapshot of which some chunks have been received.
#[derive(Debug)]
pub(super) struct PartialSnapshot {
    pub(super) first_chunk: SnapshotChunk,
    pub(super) data: Vec<u8>,
}

/// State of a replica.
pub(super) struct State {
    pub(super) id: ReplicaId,
    pub(super) vote: Vote,
    /// Term of the last synced vote.
    pub(super) synced_term: ids::LogTerm,
    pub(super) role: Role,
    pub(super) leader: Option<Leader>,
    /// When the election timer was reset: by a leader's message, a vote, or the end of an election.
    pub(super) timer_start: Instant,
    /// Randomized time from `timer_start` to the next election.
    pub(super) election_timeout: Duration,
    /// Lower bound of `election_timeout`.
    pub(super) base_timeout: Duration,
    pub(super) log: MemoryLog,
    pub(super) commit_index: ids::LogIndex,
    pub(super) applied_index: ids::LogIndex,
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// When this leader applied the first entry of its term.
    pub(super) leading_since: Option<Instant>,
    /// First entry that this leader appended in its term.
    pub(super) term_start: ids::LogIndex,
    /// Newest heartbeat round; reads wait for a majority to acknowledge theirs.
    pub(super) heartbeat_round: u64,
    pub(super) pending_reads: VecDeque<PendingRead>,
    /// Proposals by the index of their entry.
    pub(super) proposals: BTreeMap<ids::LogIndex, ProposalSender>,
    /// Whether this leader transfers its leadership and accepts no proposals.
    pub(super) transferring: bool,
    pub(super) stopped: bool,
    /// Cluster that this uninitialized replica has agreed to be part of.
    pub(super) pending_cluster: Option<ReplicaId>,
    pub(super) partial_snapshot: Option<PartialSnapshot>,
    /// Whether a leader's snapshot is being installed.
    pub(super) installing: bool,
    /// VMs that are no members yet but may join.
    pub(super) allowed_joins: Vec<super::Member>,
    /// Replicas that are being added to the membership.
    pub(super) joining: BTreeSet<ReplicaId>,
}

impl State {
    /// State after a start.
    pub(super) fn new(id: ReplicaId, vote: Vote, log: MemoryLog, tuning: &Tuning) -> Self {
        Self {
            id,
            synced_term: vote.term,
            vote,
            role: Role::Follower,
            leader: None,
            timer_start: clock::now(),
            election_timeout: randomized_timeout(tuning.startup_timeout),
            base_timeout: tuning.election_timeout,
            commit_index: log.snapshot_index(),
            applied_index: log.snapshot_index(),
            log,
            progress: BTreeMap::new(),
            leading_since: None,
            term_start: 0,
            heartbeat_round: 0,
            pending_reads: VecDeque::new(),
            proposals: BTreeMap::new(),
            transferring: false,
            stopped: false,
            pending_cluster: None,
            partial_snapshot: None,
            installing: false,
            allowed_joins: Vec::new(),
            joining: BTreeSet::new(),
        }
    }

    pub(super) fn term(&self) -> ids::LogTerm {
        self.vote.term
    }

    /// Whether this replica leads in `term`.
    pub(super) fn is_leader(&self, term: ids::LogTerm) -> bool {
        self.role == Role::Leader && self.term() == term && !self.stopped
    }

    /// The error for proposals and reads while this replica does not lead.
    pub(super) fn not_leader_error(&self) -> ProposeError {
        if self.stopped {
            return ProposeError::Stopped;
        }
        let leader = self.leader.as_ref().filter(|l| l.id != self.id);
        ProposeError::NotLeader {
            leader: leader.map(|l| Arc::clone(&l.vm)),
        }
    }

    /// Whether a message is addressed to this replica and its cluster.
    pub(super) fn accepts(&self, header: &MessageHeader) -> bool {
        let cluster = match (self.log.membership(), &self.pending_cluster) {
            (Some(membership), _) => membership.cluster_id == header.cluster_id,
            (None, Some(pending)) => *pending == header.cluster_id,
            (None, None) => true,
        };
        cluster && header.to == self.id && !self.stopped
    }

    /// Whether a leader sent a message within the election timeout, or this replica leads with a
    /// majority.
    pub(super) fn has_live_leader(&self) -> bool {
        match self.role {
            Role::Leader => self.has_quorum(),
            _ if self.leader.is_none() => false,
            _ => clock::now() < self.timer_start + self.base_timeout,
        }
    }

    /// Whether a majority answered this leader within the election timeout.
    pub(super) fn has_quorum(&self) -> bool {
        self.log
            .membership()
            .is_some_and(|m| m.has_majority(|r| r.id == self.id || self.is_responsive(&r.id)))
    }

    /// Whether a replica answered this leader within the election timeout.
    pub(super) fn is_responsive(&self, replica: &str) -> bool {
        let progress = self.progress.get(replica);
        progress.is_some_and(|p| p.is_responsive(self.base_timeout))
    }

    /// Becomes a follower if `term` is higher; the vote must be synced before an answer is sent.
    pub(super) fn advance_term(&mut self, term: ids::LogTerm) {
        if term > self.vote.term {
            self.vote = Vote {
                term,
                voted_for: None,
            };
            self.become_follower(None);
        }
    }

    /// Becomes a follower of `leader`; pending reads and proposals fail.
    pub(super) fn become_follower(&mut self, leader: Option<Leader>) {
        if self.role == Role::Leader {
            self.timer_start = clock::now();
        }
        if leader.is_some() {
            self.election_timeout = randomized_timeout(self.base_timeout);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.leading_since = None;
        self.transferring = false;
        self.progress.clear();
        self.joining.clear();
        let error = self.not_leader_error();
        for read in std::mem::take(&mut self.pending_reads) {
            let _ = read.sender.send(Err(error.clone()));
        }
        for (_, proposal) in std::mem::take(&mut self.proposals) {
            let _ = proposal.send(Err(ProposeError::OutcomeUnknown));
        }
    }

    /// Becomes the leader of the current term and appends its first entry.
    pub(super) fn become_leader(&mut self, vm: &ids::VmName) {
        self.role = Role::Leader;
        self.leader = Some(Leader {
            vm: Arc::clone(vm),
            id: Arc::clone(&self.id),
        });
        self.progress.clear();
        self.term_start = self.append(Body::Noop);
    }

    /// Appends an entry as leader; returns its index.
    pub(super) fn append(&mut self, body: Body) -> ids::LogIndex {
        let index = self.log.last_index().saturating_add(1);
        let term = self.term();
        self.log.push(Entry { index, term, body });
        index
    }

    /// Advances the commit index of a leader to the last entry that a majority has synced.
    ///
    /// Entries of earlier terms commit only together with one of the current term.
    pub(super) fn advance_commit(&mut self) {
        let match_index = |replica: &ReplicaId| {
            if *replica == self.id {
                self.log.synced_index()
            } else {
                self.progress.get(replica).map_or(0, |p| p.match_index)
            }
        };
        let synced = self
            .log
            .membership()
            .map(|m| m.quorum_value(|r| match_index(&r.id)));
        let synced = synced.unwrap_or(0);
        if synced > self.commit_index && self.log.term_at(synced) == Some(self.term()) {
            self.commit_index = synced;
        }
    }

    /// Newest heartbeat round that a majority has acknowledged.
    pub(super) fn acked_round(&self) -> u64 {
        let round = |replica: &ReplicaId| {
            if *replica == self.id {
                self.heartbeat_round
            } else {
                self.progress.get(replica).map_or(0, |p| p.acked_round)
            }
        };
        let acked = self
            .log
            .membership()
            .map(|m| m.quorum_value(|r| round(&r.id)));
        acked.unwrap_or(0)
    }

    /// Completes reads whose round is acknowledged and whose entry is applied.
    pub(super) fn complete_reads(&mut self) {
        if self.applied_index < self.term_start {
            return;
        }
        let acked = self.acked_round();
        let ready = |r: &PendingRead| r.heartbeat_round <= acked && r.index <= self.applied_index;
        let count = self.pending_reads.iter().take_while(|r| ready(r)).count();
        for read in self.pending_reads.drain(..count) {
            let _ = read.sender.send(Ok(self.applied_index));
        }
    }

    /// The membership if it may be changed now: the last change and an entry of the own term are
    /// committed.
    pub(super) fn changeable_membership(&self) -> Option<&Membership> {
        let committed = self.log.membership_index() <= self.commit_index
            && self.commit_index >= self.term_start;
        self.log
            .membership()
            .filter(|_| committed && !self.transferring)
    }
}

/// A random election timeout between `base` and twice `base`.
pub(super) fn randomized_timeout(base: Duration) -> Duration {
    base + base.mul_f64(fastrand::f64())
}
