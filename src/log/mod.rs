//! The replicated log of the control VMs: Raft with pre-votes, learners,
//! leadership transfer and membership changes of one replica at a time.
//!
//! The elected leader appends commands. A command is committed once a majority
//! of the voters has synced it; each replica applies the committed commands in
//! order to its state machine. A replica is identified by a random id in its
//! data directory, not by its VM: a VM that lost its data directory comes back
//! as a new replica that has never voted, and membership changes replace the
//! old replica by the new one.
//!
//! [`open`] reads the data directory and starts the replica's tasks on the
//! current runtime; the rest of the process uses the [`Handle`].

pub mod error;
pub mod handle;
pub mod messages;
pub mod model;

mod atomic_file;
mod codec;
mod data_dir;
mod election;
mod follower;
mod membership;
mod memory_log;
mod node;
mod oneshot;
mod placement;
mod replication;
mod segment;
mod snapshots;
mod state;
#[cfg(test)]
mod tests;
mod voters;
mod writer;

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

pub use error::{OpenError, ProposeError};
pub use handle::{Handle, ReplicaStatus, Status};
pub use state::Role;

use crate::ids;
use crate::timeline::{Event, Journal};

/// Default for [`Tuning::snapshot_entries`].
pub const SNAPSHOT_ENTRIES: u64 = 4096;

/// Default for [`Tuning::trailing_entries`].
pub const TRAILING_ENTRIES: u64 = 1024;

/// Default for [`Tuning::snapshot_bytes`].
pub const SNAPSHOT_BYTES: usize = 8 << 20;

/// Default for [`Tuning::trailing_bytes`].
pub const TRAILING_BYTES: usize = 4 << 20;

/// A control VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the VM.
    pub vm: ids::VmName,
    /// Address of the VM's control daemon.
    pub address: SocketAddr,
}

/// Settings of this VM's replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this VM.
    pub vm: ids::VmName,
    /// Data directory; created if it does not exist.
    pub data_dir: PathBuf,
    /// All control VMs, this one included; with discovery, the seeds to contact first.
    pub members: Vec<Member>,
    /// Settings for VMs that find the cluster through seeds; `None` if `members` lists all VMs.
    pub discovery: Option<Discovery>,
}

/// Settings of a cluster whose VMs find each other through seeds; the address of a VM is its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Discovery {
    /// Address of the control daemon on this VM.
    pub address: SocketAddr,
    /// Whether this VM knows that no cluster was ever bootstrapped.
    pub may_bootstrap: bool,
    /// Wanted number of voters; the other replicas are learners, one of which replaces a lost voter.
    pub voter_count: usize,
    /// Availability zone of this VM; voters are placed in different zones.
    pub zone: Option<ids::ZoneName>,
}

/// Limits and timeouts.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Entries applied since the last snapshot after which the next one is taken.
    pub snapshot_entries: u64,
    /// Entries covered by the snapshot that stay in memory, for followers slightly behind.
    pub trailing_entries: u64,
    /// Bytes of entries applied since the last snapshot after which the next one is taken, unless
    /// that snapshot is larger: then its size counts.
    pub snapshot_bytes: usize,
    /// Bytes of the entries that stay in memory at most, with `trailing_entries`.
    pub trailing_bytes: usize,
    /// Time between heartbeats of a leader to a replica.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader before an election; the actual time is random, up to twice
    /// as long.
    pub election_timeout: Duration,
    /// Shortest time from a start to an election; a running leader sends a heartbeat well before.
    pub startup_timeout: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            snapshot_entries: SNAPSHOT_ENTRIES,
            trailing_entries: TRAILING_ENTRIES,
            snapshot_bytes: SNAPSHOT_BYTES,
            trailing_bytes: TRAILING_BYTES,
            heartbeat_interval: replication::HEARTBEAT_INTERVAL,
            election_timeout: state::ELECTION_TIMEOUT,
            startup_timeout: state::ELECTION_TIMEOUT,
        }
    }
}

/// Applies the command at an index and returns its output.
pub type Apply = Box<dyn FnMut(ids::LogIndex, &[u8]) -> Vec<u8>>;

/// Encodes a captured state; runs in a thread of its own.
///
/// After an error the previous snapshot stays in place.
pub type EncodeSnapshot = Box<dyn FnOnce() -> Result<Vec<u8>, Arc<str>> + Send>;

/// Replaces the whole state by an encoded one, or returns why that fails.
pub type Restore = Box<dyn FnMut(ids::LogIndex, &[u8]) -> Result<(), Arc<str>>>;

/// State machine that committed commands are applied to.
pub struct StateMachine {
    /// Applies a command.
    pub apply: Apply,
    /// Captures the whole current state, to be encoded later.
    pub snapshot: Box<dyn Fn() -> EncodeSnapshot>,
    /// Replaces the whole state by one that was encoded before.
    pub restore: Restore,
}

impl fmt::Debug for StateMachine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StateMachine").finish_non_exhaustive()
    }
}

/// Opens the data directory and starts the replica on the current runtime.
///
/// # Errors
///
/// [`OpenError`] says which file or setting can't be used, and why.
pub fn open(
    config: Config,
    state_machine: StateMachine,
    journal: Journal,
) -> Result<Handle, OpenError> {
    open_tuned(config, Tuning::default(), state_machine, journal)
}

/// As [`open`], with other limits and timeouts.
///
/// # Errors
///
/// As for [`open`].
pub fn open_tuned(
    config: Config,
    tuning: Tuning,
    mut state_machine: StateMachine,
    journal: Journal,
) -> Result<Handle, OpenError> {
    if config.discovery.is_none() && !config.members.iter().any(|m| m.vm == config.vm) {
        return Err(OpenError::NotAMember(config.vm));
    }
    let contents = data_dir::open(&config.data_dir)?;
    if let Some(tail) = &contents.torn_tail {
        let detail = format!(
            "{} at byte {}: {}",
            tail.file.display(),
            tail.offset,
            tail.problem
        );
        journal.record(Event::new("log.tail_cut").detail(&detail));
    }
    if let Some(snapshot) = &contents.snapshot {
        (state_machine.restore)(snapshot.index, &snapshot.data).map_err(OpenError::Restore)?;
    }
    let writer = writer::DiskWriter::start(
        &config.data_dir,
        contents.segments,
        contents.next_segment,
        contents.lock,
    )
    .map_err(|e| OpenError::io(&config.data_dir, &e))?;
    let log = memory_log::MemoryLog::from_disk(contents.snapshot, contents.entries);
    let state = state::State::new(contents.replica, contents.vote, log, &tuning);
    let node = node::Node::new(config, tuning, state_machine, journal, state, writer);
    start(&node);
    Ok(Handle { node })
}

fn start(node: &Rc<node::Node>) {
    monoio::spawn(Rc::clone(node).sync_entries());
    monoio::spawn(election::run_elections(Rc::clone(node)));
    monoio::spawn(membership::maintain_membership(Rc::clone(node)));
    monoio::spawn(snapshots::take_snapshots(Rc::clone(node)));
    if let Some(discovery) = node.config.discovery.clone() {
        monoio::spawn(voters::maintain_voters(Rc::clone(node), discovery));
    }
}
