//! Log entries, snapshots, votes, and the membership of the cluster.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids;

/// Random id of a replica, stored in its data directory; a recreated directory gets a new id.
pub type ReplicaId = Arc<str>;

/// A copy of the log on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Seat")]
pub struct Replica {
    /// VM that runs the replica.
    pub vm: ids::VmName,
    /// Id stored in the data directory.
    #[serde(rename = "disk")]
    pub id: ReplicaId,
    /// Address of the VM's control daemon.
    pub address: SocketAddr,
    /// Whether the replica counts for elections and commits.
    pub voter: bool,
    /// Availability zone of the VM, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ids::ZoneName>,
}

/// All replicas of a cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Id of the replica that bootstrapped the cluster; it identifies the cluster for good.
    #[serde(rename = "founder")]
    pub cluster_id: ReplicaId,
    /// Voters and learners.
    #[serde(rename = "seats")]
    pub replicas: Vec<Replica>,
}

impl Membership {
    /// The replica with an id.
    pub fn replica(&self, id: &str) -> Option<&Replica> {
        self.replicas.iter().find(|r| &*r.id == id)
    }

    /// Whether the replica with an id is a voter.
    pub fn is_voter(&self, id: &str) -> bool {
        self.replica(id).is_some_and(|r| r.voter)
    }

    /// Replicas that vote.
    pub fn voters(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.iter().filter(|r| r.voter)
    }

    /// Highest number that the values of a majority of the voters reach; 0 without voters.
    pub fn quorum_value<F>(&self, value: F) -> u64
    where
        F: Fn(&Replica) -> u64,
    {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied().unwrap_or(0)
    }

    /// Whether `test` holds for a majority of the voters.
    pub fn has_majority<F>(&self, test: F) -> bool
    where
        F: Fn(&Replica) -> bool,
    {
        self.quorum_value(|r| u64::from(test(r))) == 1
    }
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// No content; the first entry of a leader's term.
    Noop,
    /// A new membership, in force as soon as it is appended.
    Membership(Membership),
    /// A command for the state machine.
    Command(Arc<[u8]>),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log, from 1.
    pub index: ids::LogIndex,
    /// Term of the leader that appended the entry.
    pub term: ids::LogTerm,
    /// Content.
    pub body: Body,
}

/// State of the state machine after applying the entry at `index`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that the snapshot covers.
    pub index: ids::LogIndex,
    /// Term of the entry at `index`.
    pub term: ids::LogTerm,
    /// Membership as of the entry at `index`.
    pub membership: Membership,
    /// Encoded state of the state machine.
    pub data: Vec<u8>,
}

/// Term and vote that a replica keeps on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Current term.
    pub term: ids::LogTerm,
    /// Candidate that got the vote of this term.
    #[serde(rename = "choice")]
    pub voted_for: Option<ReplicaId>,
}
