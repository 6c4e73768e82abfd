//! The replicated log: one order of commands for all control VMs, kept on disk.
//!
//! A leader, elected by a majority, appends commands; a command is committed
//! once a majority has synced it, and every member applies the committed
//! commands in order to its state machine. Members are disks, not VMs: a VM
//! whose data folder was lost comes back as a new disk that has never voted,
//! and takes the old one's place by changes of the members.
//!
//! [`open`] reads the data folder and starts the tasks of this member on the
//! current runtime; [`Handle`] is what other slices use.

pub mod error;
pub mod handle;
pub mod messages;
pub mod model;

mod codec;
mod disk;
mod election;
mod entries;
mod folder;
mod follow;
mod members;
mod node;
mod replicate;
mod sealed;
mod seats;
mod segment;
mod slot;
mod snapshots;
mod state;
#[cfg(test)]
mod tests;

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

/// Applied entries after which a snapshot is taken.
pub const SNAPSHOT_ENTRIES: u64 = 4096;

/// Entries that stay in memory behind a snapshot.
pub const TRAILING_ENTRIES: u64 = 1024;

/// One configured control VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub vm: ids::VmName,
    /// Address of its control daemon.
    pub address: SocketAddr,
}

/// Settings of this member.
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM.
    pub vm: ids::VmName,
    /// The data folder.
    pub data_dir: PathBuf,
    /// All configured members, this one included; in an open cluster the VMs asked first.
    pub members: Vec<Member>,
    /// How VMs that are not listed may take part; `None` if they may not.
    pub discovery: Option<Discovery>,
}

/// How VMs join that no settings list; every VM is named by its address then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Discovery {
    /// Address of this VM's control daemon.
    pub address: SocketAddr,
    /// Whether this VM knows that no cluster was ever formed.
    pub may_bootstrap: bool,
    /// Members that vote; others only learn, and replace one that is lost.
    pub voter_count: usize,
}

/// Figures that tests set lower.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Entries that stay in memory behind a snapshot, for members slightly behind.
    pub trailing_entries: u64,
    /// Time between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader before an election.
    pub election_timeout: Duration,
    /// The same right after a start: a leader that is up is heard within a few heartbeats.
    pub startup_timeout: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            snapshot_entries: SNAPSHOT_ENTRIES,
            trailing_entries: TRAILING_ENTRIES,
            heartbeat_interval: replicate::HEARTBEAT,
            election_timeout: state::ELECTION_TIMEOUT,
            startup_timeout: state::ELECTION_TIMEOUT,
        }
    }
}

/// Applies a command and gives its output.
pub type Apply = Box<dyn FnMut(ids::LogIndex, &[u8]) -> Vec<u8>>;

/// Writes out a state that was taken hold of; runs in a thread of its own.
///
/// An error leaves the snapshot before in place.
pub type EncodeSnapshot = Box<dyn FnOnce() -> Result<Vec<u8>, Arc<str>> + Send>;

/// Replaces the whole state, or says why it can't.
pub type Restore = Box<dyn FnMut(ids::LogIndex, &[u8]) -> Result<(), Arc<str>>>;

/// The state machine that committed commands are applied to.
pub struct StateMachine {
    /// Applies a command and gives its output.
    pub apply: Apply,
    /// Takes hold of the whole state as it is now.
    pub snapshot: Box<dyn Fn() -> EncodeSnapshot>,
    /// Replaces the whole state by one written out before.
    pub restore: Restore,
}

impl fmt::Debug for StateMachine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StateMachine").finish_non_exhaustive()
    }
}

/// Reads the data folder and starts this member on the current runtime.
///
/// # Errors
///
/// [`OpenError`] names the file that could not be used, and why.
pub fn open(config: Config, machine: StateMachine, journal: Journal) -> Result<Handle, OpenError> {
    open_tuned(config, Tuning::default(), machine, journal)
}

/// [`open`] with other figures.
///
/// # Errors
///
/// As for [`open`].
pub fn open_tuned(
    config: Config,
    tuning: Tuning,
    mut machine: StateMachine,
    journal: Journal,
) -> Result<Handle, OpenError> {
    if config.discovery.is_none() && !config.members.iter().any(|m| m.vm == config.vm) {
        return Err(OpenError::NotAMember(config.vm));
    }
    let contents = folder::open(&config.data_dir)?;
    if let Some(cut) = &contents.cut {
        let detail = format!(
            "{} at byte {}: {}",
            cut.file.display(),
            cut.offset,
            cut.found
        );
        journal.record(Event::new("log.tail_cut").detail(&detail));
    }
    if let Some(snapshot) = &contents.snapshot {
        (machine.restore)(snapshot.index, &snapshot.data).map_err(OpenError::Restore)?;
    }
    let disk = disk::Disk::start(
        &config.data_dir,
        contents.segments,
        contents.next,
        contents.lock,
    )
    .map_err(|e| OpenError::io(&config.data_dir, &e))?;
    let log = entries::Entries::recovered(contents.snapshot, contents.entries);
    let state = state::State::new(contents.disk, contents.vote, log, &tuning);
    let node = node::Node::new(config, tuning, machine, journal, state, disk);
    start(&node);
    Ok(Handle { node })
}

fn start(node: &Rc<node::Node>) {
    monoio::spawn(Rc::clone(node).flush());
    monoio::spawn(election::watch(Rc::clone(node)));
    monoio::spawn(members::settle(Rc::clone(node)));
    monoio::spawn(snapshots::compact(Rc::clone(node)));
    if let Some(discovery) = node.config.discovery {
        monoio::spawn(seats::tend(Rc::clone(node), discovery));
    }
}
