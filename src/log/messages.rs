//! RPC messages between replicas.
//!
//! Each message of a leader or a candidate carries the cluster's id and the
//! receiver's replica id, so that a replica with a recreated data directory
//! doesn't answer messages for the replica that was lost.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::codec::base64_text;
use super::model::{Membership, ReplicaId};
use crate::ids;

/// Method of [`VoteRequest`].
pub const VOTE: &str = "log.vote";
/// Method of [`HeartbeatRequest`].
pub const HEARTBEAT: &str = "log.beat";
/// Method of [`AppendRequest`].
pub const APPEND: &str = "log.append";
/// Method of [`SnapshotChunk`].
pub const SNAPSHOT: &str = "log.snapshot";
/// Method of [`ProbeRequest`].
pub const PROBE: &str = "log.blank";
/// Method of [`JoinRequest`].
pub const JOIN: &str = "log.join";
/// Method of [`TimeoutNowRequest`].
pub const TIMEOUT_NOW: &str = "log.succeed";

/// Sender and receiver of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Route")]
pub struct MessageHeader {
    /// Cluster of the sender.
    #[serde(rename = "cluster")]
    pub cluster_id: ReplicaId,
    /// Term of the sender.
    pub term: ids::LogTerm,
    /// VM of the sender.
    pub vm: ids::VmName,
    /// Replica that sends.
    pub from: ReplicaId,
    /// Replica that the message is addressed to.
    pub to: ReplicaId,
}

/// Request for a vote or a pre-vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Ballot")]
pub struct VoteRequest {
    /// Candidate and voter; the term of a pre-vote is the one that the candidate would start.
    #[serde(rename = "route")]
    pub header: MessageHeader,
    /// Last entry of the candidate's log.
    #[serde(rename = "last")]
    pub last_index: ids::LogIndex,
    /// Term of the entry at `last_index`.
    pub last_term: ids::LogTerm,
    /// Whether this only asks if the vote would be granted.
    #[serde(rename = "pre")]
    pub pre_vote: bool,
    /// Whether the leader transfers its leadership to the candidate.
    #[serde(rename = "asked")]
    pub transfer: bool,
}

/// Response to a [`VoteRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteResponse {
    /// Term of the voter.
    pub term: ids::LogTerm,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Heartbeat of a leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Beat")]
pub struct HeartbeatRequest {
    /// Sender and receiver.
    #[serde(rename = "route")]
    pub header: MessageHeader,
    /// Last committed entry that the follower is known to have.
    #[serde(rename = "commit")]
    pub commit_index: ids::LogIndex,
}

/// Response to a [`HeartbeatRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Term of the follower.
    pub term: ids::LogTerm,
    /// Whether the receiver follows the sender in its term.
    pub follows: bool,
}

/// Log entries for a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Append")]
pub struct AppendRequest {
    /// Sender and receiver.
    #[serde(rename = "route")]
    pub header: MessageHeader,
    /// Index of the entry before the first one sent.
    #[serde(rename = "prior")]
    pub prev_index: ids::LogIndex,
    /// Term of the entry at `prev_index`.
    #[serde(rename = "prior_term")]
    pub prev_term: ids::LogTerm,
    /// Encoded entries.
    #[serde(with = "base64_text")]
    pub entries: Vec<u8>,
    /// Last committed entry.
    #[serde(rename = "commit")]
    pub commit_index: ids::LogIndex,
}

/// Response to an [`AppendRequest`] or a [`SnapshotChunk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Term of the follower.
    pub term: ids::LogTerm,
    /// Result for the sent entries or chunk.
    pub outcome: AppendOutcome,
}

/// Result of an [`AppendRequest`] or a [`SnapshotChunk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AppendOutcome {
    /// The log matches the leader's up to this index and is synced.
    Synced(ids::LogIndex),
    /// The entry before the first one differs; the leader should retry from this index.
    #[serde(rename = "differs")]
    Mismatch(ids::LogIndex),
    /// The chunk was accepted; the next one is expected.
    #[serde(rename = "more")]
    NextChunk,
    /// Nothing was stored; the leader should retry later.
    #[serde(rename = "later")]
    Retry,
}

/// Chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Chunk")]
pub struct SnapshotChunk {
    /// Sender and receiver.
    #[serde(rename = "route")]
    pub header: MessageHeader,
    /// Last entry that the snapshot covers.
    #[serde(rename = "index")]
    pub last_index: ids::LogIndex,
    /// Term of the entry at `last_index`.
    #[serde(rename = "index_term")]
    pub last_term: ids::LogTerm,
    /// Membership as of the entry at `last_index`.
    #[serde(rename = "members")]
    pub membership: Membership,
    /// Position of the chunk in the snapshot data, in bytes.
    pub offset: u64,
    /// Size of the whole snapshot data.
    #[serde(rename = "size")]
    pub total_bytes: u64,
    /// CRC-32 of the whole snapshot data.
    pub crc: u32,
    /// Bytes of the chunk.
    #[serde(with = "base64_text")]
    pub data: Vec<u8>,
}

/// Asks whether a VM's replica is uninitialized.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Blank")]
pub struct ProbeRequest {
    /// Cluster that the sender is about to bootstrap; an uninitialized receiver agrees to be part
    /// of it.
    #[serde(rename = "founder")]
    pub cluster_id: Option<ReplicaId>,
}

/// Response to a [`ProbeRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeResponse {
    /// VM that responds.
    pub vm: ids::VmName,
    /// Replica of the VM.
    #[serde(rename = "disk")]
    pub replica: ReplicaId,
    /// Whether the replica belongs to a cluster.
    #[serde(rename = "formed")]
    pub bootstrapped: bool,
    /// Whether the VM knows that no cluster was ever bootstrapped.
    #[serde(default, rename = "founding")]
    pub may_bootstrap: bool,
    /// Availability zone of the VM, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ids::ZoneName>,
}

/// Asks the leader to add a replica to the membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Join")]
pub struct JoinRequest {
    /// VM that wants to join.
    pub vm: ids::VmName,
    /// Replica of the VM.
    #[serde(rename = "disk")]
    pub replica: ReplicaId,
    /// Address of the VM's control daemon, in a cluster with discovery.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Availability zone of the VM, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ids::ZoneName>,
}

/// Response to a [`JoinRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinResponse {
    /// Whether the leader is adding the replica or has added it.
    #[serde(rename = "begun")]
    pub accepted: bool,
    /// Reason for a refusal.
    pub reason: Option<Arc<str>>,
    /// Address of the leader, if another VM leads.
    #[serde(default)]
    pub leader: Option<SocketAddr>,
}

/// Asks a follower to start an election at once, without waiting for its election timeout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Succeed")]
pub struct TimeoutNowRequest {
    /// Sender and receiver.
    #[serde(rename = "route")]
    pub header: MessageHeader,
}
