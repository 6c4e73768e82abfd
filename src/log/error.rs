//! What can go wrong with the log.

use std::fmt;
use std::io;
use std::path::Path;
use std::sync::Arc;

use crate::ids;

/// Why a data folder could not be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// The operating system refused a file.
    Io {
        /// The file.
        file: Arc<str>,
        /// Its reason.
        reason: Arc<str>,
    },
    /// A file does not hold what was once synced to it.
    Corrupt {
        /// The file.
        file: Arc<str>,
        /// Byte at which the damage begins.
        offset: u64,
        /// What was found there.
        found: Arc<str>,
    },
    /// Another process has the folder open.
    Locked {
        /// The lock file.
        file: Arc<str>,
    },
    /// The state machine refused the snapshot.
    Restore(Arc<str>),
    /// The own VM is not among the configured members.
    NotAMember(ids::VmName),
}

impl OpenError {
    pub(super) fn io(file: &Path, error: &io::Error) -> Self {
        Self::Io {
            file: name(file),
            reason: error.to_string().into(),
        }
    }

    pub(super) fn corrupt(file: &Path, offset: u64, found: &str) -> Self {
        Self::Corrupt {
            file: name(file),
            offset,
            found: found.into(),
        }
    }

    pub(super) fn locked(file: &Path) -> Self {
        Self::Locked { file: name(file) }
    }
}

fn name(file: &Path) -> Arc<str> {
    file.display().to_string().into()
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { file, reason } => write!(f, "{file}: {reason}"),
            Self::Corrupt {
                file,
                offset,
                found,
            } => write!(f, "{file} is damaged at byte {offset}: {found}"),
            Self::Locked { file } => write!(f, "{file} is locked by another process"),
            Self::Restore(reason) => write!(f, "the snapshot was refused: {reason}"),
            Self::NotAMember(vm) => write!(f, "{vm} is not among the members"),
        }
    }
}

impl std::error::Error for OpenError {}

/// Why a proposal or a read has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// Another VM leads, or none; certainly nothing was appended.
    NotLeader {
        /// Who leads, if known.
        leader: Option<ids::VmName>,
    },
    /// It was appended and may yet commit.
    OutcomeUnknown,
    /// The log has stopped on this VM.
    Stopped,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader { leader: Some(vm) } => write!(f, "{vm} leads"),
            Self::NotLeader { leader: None } => f.write_str("no leader is known"),
            Self::OutcomeUnknown => f.write_str("it may yet commit"),
            Self::Stopped => f.write_str("the log has stopped"),
        }
    }
}

impl std::error::Error for ProposeError {}
