//! Messages between members.
//!
//! Each names the cluster by its founding disk and the disk it is meant for,
//! so that a folder which was lost and made anew answers for none but itself.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::codec::text;
use super::model::{DiskId, Membership};
use crate::ids;

/// Method of [`Ballot`].
pub const VOTE: &str = "log.vote";
/// Method of [`Beat`].
pub const BEAT: &str = "log.beat";
/// Method of [`Append`].
pub const APPEND: &str = "log.append";
/// Method of [`Chunk`].
pub const SNAPSHOT: &str = "log.snapshot";
/// Method of [`Blank`].
pub const BLANK: &str = "log.blank";
/// Method of [`Join`].
pub const JOIN: &str = "log.join";
/// Method of [`Succeed`].
pub const SUCCEED: &str = "log.succeed";

/// From whom a message comes and for whom it is meant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Disk that formed the cluster.
    pub cluster: DiskId,
    /// Term of the sender.
    pub term: ids::LogTerm,
    /// VM of the sender.
    pub vm: ids::VmName,
    /// Disk of the sender.
    pub from: DiskId,
    /// Disk of the receiver.
    pub to: DiskId,
}

/// Asks for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// Candidate and voter; a pre-vote gives the term that would follow.
    pub route: Route,
    /// Last entry of the candidate.
    pub last: ids::LogIndex,
    /// Term of that entry.
    pub last_term: ids::LogTerm,
    /// Whether it only asks if it would get the vote.
    pub pre: bool,
    /// Whether the leader asked the candidate to succeed it.
    pub asked: bool,
}

/// Answer to a [`Ballot`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voted {
    /// Term of the voter.
    pub term: ids::LogTerm,
    /// Whether it gives its vote.
    pub granted: bool,
}

/// Heartbeat of a leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Leader and follower.
    pub route: Route,
    /// Committed entries that the follower is known to hold.
    pub commit: ids::LogIndex,
}

/// Answer to a [`Beat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beaten {
    /// Term of the follower.
    pub term: ids::LogTerm,
    /// Whether it follows the sender.
    pub follows: bool,
}

/// Entries for a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Leader and follower.
    pub route: Route,
    /// Entry before the first.
    pub prior: ids::LogIndex,
    /// Term of that entry.
    pub prior_term: ids::LogTerm,
    /// The entries, encoded.
    #[serde(with = "text")]
    pub entries: Vec<u8>,
    /// Last entry that is committed.
    pub commit: ids::LogIndex,
}

/// Answer to an [`Append`] or the last [`Chunk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Term of the follower.
    pub term: ids::LogTerm,
    /// What became of the entries.
    pub outcome: Outcome,
}

/// What became of entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Everything up to this index agrees and is synced.
    Synced(ids::LogIndex),
    /// The entry before the first differs; try from this index.
    Differs(ids::LogIndex),
    /// The part was taken; the next one is awaited.
    More,
    /// Nothing was done; try later.
    Later,
}

/// Part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Leader and follower.
    pub route: Route,
    /// Last entry that the snapshot covers.
    pub index: ids::LogIndex,
    /// Term of that entry.
    pub index_term: ids::LogTerm,
    /// Members as of that entry.
    pub members: Membership,
    /// Position of the part.
    pub offset: u64,
    /// Bytes of the whole state.
    pub size: u64,
    /// Checksum of the whole state.
    pub crc: u32,
    /// The part.
    #[serde(with = "text")]
    pub data: Vec<u8>,
}

/// Asks whether a VM's disk is blank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blank {
    /// Disk that is about to form a cluster, and asks to be followed if so.
    pub founder: Option<DiskId>,
}

/// Answer to a [`Blank`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// VM that answers.
    pub vm: ids::VmName,
    /// Its disk.
    pub disk: DiskId,
    /// Whether the disk belongs to a cluster.
    pub formed: bool,
    /// Whether the VM knows that no cluster was ever formed.
    #[serde(default)]
    pub founding: bool,
}

/// Asks the leader to admit a disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// VM that asks.
    pub vm: ids::VmName,
    /// Its disk.
    pub disk: DiskId,
    /// Its address, if the cluster is open.
    #[serde(default)]
    pub address: Option<SocketAddr>,
}

/// Answer to a [`Join`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Joined {
    /// Whether the leader has begun, or finished, to admit the disk.
    pub begun: bool,
    /// Reason if not.
    pub reason: Option<Arc<str>>,
    /// Address of the leader, if that is another VM.
    #[serde(default)]
    pub leader: Option<SocketAddr>,
}

/// Asks a follower to become leader at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Succeed {
    /// Leader and follower.
    pub route: Route,
}
