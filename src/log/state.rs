//! What a member knows, and the steps that need no waiting.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use local_sync::oneshot;
use serde::{Deserialize, Serialize};

use super::Tuning;
use super::entries::Entries;
use super::error::ProposeError;
use super::messages::{Chunk, Route};
use super::model::{Body, DiskId, Entry, Membership, Vote};
use crate::clock;
use crate::ids;

/// Shortest time without a leader before an election, unless tuned.
pub(super) const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);

/// Part of a member in its term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Follows a leader, or waits for one.
    #[default]
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// Who leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Leader {
    pub(super) vm: ids::VmName,
    pub(super) disk: DiskId,
}

/// What a leader knows of another member.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Next entry to send.
    pub(super) next: ids::LogIndex,
    /// Last entry known to be synced there.
    pub(super) matched: ids::LogIndex,
    /// When the last answered message was sent.
    pub(super) heard: Instant,
    /// Newest round that it answered.
    pub(super) round: u64,
}

impl Progress {
    /// Whether it answered within `limit`.
    pub(super) fn is_fresh(&self, limit: Duration) -> bool {
        clock::now() < self.heard + limit
    }
}

/// A read that waits for a round and for its entry.
pub(super) struct Read {
    pub(super) round: u64,
    pub(super) index: ids::LogIndex,
    pub(super) sender: oneshot::Sender<Result<ids::LogIndex, ProposeError>>,
}

/// Result of a proposal, for who made it.
pub(super) type Waiter = oneshot::Sender<Result<Vec<u8>, ProposeError>>;

/// A snapshot that arrives in parts.
#[derive(Debug)]
pub(super) struct Incoming {
    pub(super) first: Chunk,
    pub(super) data: Vec<u8>,
}

/// State of a member.
pub(super) struct State {
    pub(super) disk: DiskId,
    pub(super) vote: Vote,
    /// Term of the last vote synced.
    pub(super) synced_term: ids::LogTerm,
    pub(super) role: Role,
    pub(super) leader: Option<Leader>,
    /// When a leader was heard, a vote was given, or an election ended.
    pub(super) heard: Instant,
    /// Time after that until the next election.
    pub(super) patience: Duration,
    /// Shortest time without a leader before an election.
    pub(super) election: Duration,
    pub(super) log: Entries,
    pub(super) commit: ids::LogIndex,
    pub(super) applied: ids::LogIndex,
    pub(super) progress: BTreeMap<DiskId, Progress>,
    /// When the first own entry was applied.
    pub(super) led: Option<Instant>,
    /// First entry of the own term as leader.
    pub(super) first: ids::LogIndex,
    pub(super) round: u64,
    pub(super) reads: VecDeque<Read>,
    pub(super) waiting: BTreeMap<ids::LogIndex, Waiter>,
    /// Whether the leader hands over and takes no proposals.
    pub(super) leaving: bool,
    pub(super) stopped: bool,
    /// Disk that a blank one has agreed to follow.
    pub(super) founder: Option<DiskId>,
    pub(super) incoming: Option<Incoming>,
    pub(super) installing: bool,
    /// VMs that may become members when they ask.
    pub(super) invited: Vec<super::Member>,
    /// Disks being admitted.
    pub(super) admitting: BTreeSet<DiskId>,
}

impl State {
    /// State right after a start.
    pub(super) fn new(disk: DiskId, vote: Vote, log: Entries, tuning: &Tuning) -> Self {
        Self {
            disk,
            synced_term: vote.term,
            vote,
            role: Role::Follower,
            leader: None,
            heard: clock::now(),
            patience: patience(tuning.startup_timeout),
            election: tuning.election_timeout,
            commit: log.covered(),
            applied: log.covered(),
            log,
            progress: BTreeMap::new(),
            led: None,
            first: 0,
            round: 0,
            reads: VecDeque::new(),
            waiting: BTreeMap::new(),
            leaving: false,
            stopped: false,
            founder: None,
            incoming: None,
            installing: false,
            invited: Vec::new(),
            admitting: BTreeSet::new(),
        }
    }

    /// Current term.
    pub(super) fn term(&self) -> ids::LogTerm {
        self.vote.term
    }

    /// Whether it leads in `term`.
    pub(super) fn leads(&self, term: ids::LogTerm) -> bool {
        self.role == Role::Leader && self.term() == term && !self.stopped
    }

    /// The error for a member that does not lead.
    pub(super) fn not_leader(&self) -> ProposeError {
        if self.stopped {
            return ProposeError::Stopped;
        }
        let leader = self.leader.as_ref().filter(|l| l.disk != self.disk);
        ProposeError::NotLeader {
            leader: leader.map(|l| Arc::clone(&l.vm)),
        }
    }

    /// Whether a message is meant for this disk in its cluster.
    pub(super) fn accepts(&self, route: &Route) -> bool {
        let cluster = match (self.log.members(), &self.founder) {
            (Some(members), _) => members.founder == route.cluster,
            (None, Some(founder)) => *founder == route.cluster,
            (None, None) => true,
        };
        cluster && route.to == self.disk && !self.stopped
    }

    /// Whether a leader was heard lately, or this one is it.
    pub(super) fn has_leader(&self) -> bool {
        match self.role {
            Role::Leader => self.hears_majority(),
            _ if self.leader.is_none() => false,
            _ => clock::now() < self.heard + self.election,
        }
    }

    /// Whether a majority answered this leader lately.
    pub(super) fn hears_majority(&self) -> bool {
        self.log
            .members()
            .is_some_and(|m| m.majority(|s| s.disk == self.disk || self.is_fresh(&s.disk)))
    }

    /// Whether a member answered this leader lately.
    pub(super) fn is_fresh(&self, disk: &str) -> bool {
        let progress = self.progress.get(disk);
        progress.is_some_and(|p| p.is_fresh(self.election))
    }

    /// Moves to a higher term as a follower; the vote must be synced before an answer.
    pub(super) fn adopt(&mut self, term: ids::LogTerm) {
        if term > self.vote.term {
            self.vote = Vote { term, choice: None };
            self.follow(None);
        }
    }

    /// Stops leading or asking for votes, and follows `leader`.
    pub(super) fn follow(&mut self, leader: Option<Leader>) {
        if self.role == Role::Leader {
            self.heard = clock::now();
        }
        if leader.is_some() {
            self.patience = patience(self.election);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.led = None;
        self.leaving = false;
        self.progress.clear();
        self.admitting.clear();
        let error = self.not_leader();
        for read in std::mem::take(&mut self.reads) {
            let _ = read.sender.send(Err(error.clone()));
        }
        for (_, waiter) in std::mem::take(&mut self.waiting) {
            let _ = waiter.send(Err(ProposeError::OutcomeUnknown));
        }
    }

    /// Begins to lead in the current term.
    pub(super) fn lead(&mut self, vm: &ids::VmName) {
        self.role = Role::Leader;
        self.leader = Some(Leader {
            vm: Arc::clone(vm),
            disk: Arc::clone(&self.disk),
        });
        self.progress.clear();
        self.first = self.add(Body::Noop);
    }

    /// Adds an entry as leader.
    pub(super) fn add(&mut self, body: Body) -> ids::LogIndex {
        let index = self.log.last().saturating_add(1);
        let term = self.term();
        self.log.push(Entry { index, term, body });
        index
    }

    /// Moves the commit index of a leader to what a majority has synced.
    pub(super) fn count_commit(&mut self) {
        let matched = |disk: &DiskId| {
            if *disk == self.disk {
                self.log.synced()
            } else {
                self.progress.get(disk).map_or(0, |p| p.matched)
            }
        };
        let reached = self.log.members().map(|m| m.reached(|s| matched(&s.disk)));
        let reached = reached.unwrap_or(0);
        if reached > self.commit && self.log.term_at(reached) == Some(self.term()) {
            self.commit = reached;
        }
    }

    /// Newest round that a majority has answered.
    pub(super) fn reached_round(&self) -> u64 {
        let round = |disk: &DiskId| {
            if *disk == self.disk {
                self.round
            } else {
                self.progress.get(disk).map_or(0, |p| p.round)
            }
        };
        let reached = self.log.members().map(|m| m.reached(|s| round(&s.disk)));
        reached.unwrap_or(0)
    }

    /// Answers reads whose round and entry have been reached.
    pub(super) fn release_reads(&mut self) {
        if self.applied < self.first {
            return;
        }
        let reached = self.reached_round();
        let ready = |r: &Read| r.round <= reached && r.index <= self.applied;
        let count = self.reads.iter().take_while(|r| ready(r)).count();
        for read in self.reads.drain(..count) {
            let _ = read.sender.send(Ok(self.applied));
        }
    }

    /// The newest members if a change of them may be made now.
    pub(super) fn changeable(&self) -> Option<&Membership> {
        let settled = self.log.members_index() <= self.commit && self.commit >= self.first;
        self.log.members().filter(|_| settled && !self.leaving)
    }
}

/// A random time until an election.
pub(super) fn patience(election: Duration) -> Duration {
    election + election.mul_f64(fastrand::f64())
}
