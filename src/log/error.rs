//! Errors of the log.

use std::fmt;
use std::io;
use std::path::Path;
use std::sync::Arc;

use crate::ids;

/// Why the log could not be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// An I/O error.
    Io {
        /// Path of the file or directory.
        file: Arc<str>,
        /// Message of the operating system.
        reason: Arc<str>,
    },
    /// A file is missing or does not hold what was synced to it.
    Corrupt {
        /// Path of the file.
        file: Arc<str>,
        /// Offset of the corruption in bytes.
        offset: u64,
        /// What is wrong at the offset.
        problem: Arc<str>,
    },
    /// Another process has locked the data directory.
    Locked {
        /// Path of the lock file.
        file: Arc<str>,
    },
    /// The state machine could not restore the snapshot; holds the reason.
    Restore(Arc<str>),
    /// This VM, whose name it holds, is not among the configured members.
    NotAMember(ids::VmName),
}

impl OpenError {
    pub(super) fn io(file: &Path, error: &io::Error) -> Self {
        Self::Io {
            file: display(file),
            reason: error.to_string().into(),
        }
    }

    pub(super) fn corrupt(file: &Path, offset: u64, problem: &str) -> Self {
        Self::Corrupt {
            file: display(file),
            offset,
            problem: problem.into(),
        }
    }

    pub(super) fn locked(file: &Path) -> Self {
        Self::Locked {
            file: display(file),
        }
    }
}

fn display(file: &Path) -> Arc<str> {
    file.display().to_string().into()
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { file, reason } => write!(f, "{file}: {reason}"),
            Self::Corrupt {
                file,
                offset,
                problem,
            } => write!(f, "{file} is corrupt at byte {offset}: {problem}"),
            Self::Locked { file } => write!(f, "{file} is locked by another process"),
            Self::Restore(reason) => write!(f, "the snapshot could not be restored: {reason}"),
            Self::NotAMember(vm) => write!(f, "{vm} is not among the members"),
        }
    }
}

impl std::error::Error for OpenError {}

/// Why a proposal or a read failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This VM does not lead; nothing was appended.
    NotLeader {
        /// VM that leads, if known.
        leader: Option<ids::VmName>,
    },
    /// The command is too large for the log; nothing was appended.
    TooLarge,
    /// Too many bytes of the log are not covered by a snapshot; nothing was appended.
    Backlog,
    /// The command was appended and may still commit.
    OutcomeUnknown,
    /// The log has stopped on this VM.
    Stopped,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader { leader: Some(vm) } => write!(f, "{vm} leads"),
            Self::NotLeader { leader: None } => f.write_str("no leader is known"),
            Self::TooLarge => f.write_str("the command is too large"),
            Self::Backlog => f.write_str("the log is full until its next snapshot is stored"),
            Self::OutcomeUnknown => f.write_str("it may yet commit"),
            Self::Stopped => f.write_str("the log has stopped"),
        }
    }
}

impl std::error::Error for ProposeError {}
