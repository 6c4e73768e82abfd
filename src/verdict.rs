//! The verdict on a request: whether it may have run.

use std::fmt;

/// Whether a request may have run at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It ran, and the answer is the backend server's.
    Done,
    /// It is proved not to have run: no byte left, or the owner refused it before work.
    NotRun,
    /// It may have run or still run.
    MayHaveRun,
}

impl Verdict {
    /// Value of the `agateyoke-verdict` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
