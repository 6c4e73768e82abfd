//! What the log consists of: entries, and the members that hold them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids;

/// Random name of one data folder; a folder that was lost and made anew has another.
pub type DiskId = Arc<str>;

/// One disk that takes part in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// VM that holds the disk.
    pub vm: ids::VmName,
    /// The disk.
    pub disk: DiskId,
    /// Address of the VM's control daemon.
    pub address: SocketAddr,
    /// Whether it counts for elections and commits.
    pub voter: bool,
}

/// All disks that take part in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Disk that formed the cluster; names the cluster for ever.
    pub founder: DiskId,
    /// The disks.
    pub seats: Vec<Seat>,
}

impl Membership {
    /// The seat of a disk.
    pub fn seat(&self, disk: &str) -> Option<&Seat> {
        self.seats.iter().find(|s| &*s.disk == disk)
    }

    /// Whether a disk is a voter.
    pub fn is_voter(&self, disk: &str) -> bool {
        self.seat(disk).is_some_and(|s| s.voter)
    }

    /// The voters.
    pub fn voters(&self) -> impl Iterator<Item = &Seat> {
        self.seats.iter().filter(|s| s.voter)
    }

    /// Highest value that a majority of the voters has reached; 0 without voters.
    pub fn reached<F>(&self, value: F) -> u64
    where
        F: Fn(&Seat) -> u64,
    {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied().unwrap_or(0)
    }

    /// Whether `test` holds for a majority of the voters.
    pub fn majority<F>(&self, test: F) -> bool
    where
        F: Fn(&Seat) -> bool,
    {
        self.reached(|s| u64::from(test(s))) == 1
    }
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Nothing; the first entry of a leader.
    Noop,
    /// New members.
    Members(Membership),
    /// A command of the state machine.
    Command(Arc<[u8]>),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position.
    pub index: ids::LogIndex,
    /// Term of the leader that made it.
    pub term: ids::LogTerm,
    /// What it carries.
    pub body: Body,
}

/// State of the machine after the entry at `index`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that it covers.
    pub index: ids::LogIndex,
    /// Term of that entry.
    pub term: ids::LogTerm,
    /// Members as of that entry.
    pub members: Membership,
    /// The machine's state.
    pub data: Vec<u8>,
}

/// The vote that a disk must not forget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Current term.
    pub term: ids::LogTerm,
    /// Disk voted for in that term.
    pub choice: Option<DiskId>,
}
