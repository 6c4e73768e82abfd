//! Verdict on a request: whether it may have run.

use std::fmt;

/// Whether a request may have run at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request ran, and the response is from the backend server.
    Done,
    /// The request certainly did not run: no byte was sent, or the owner rejected it
    /// before any work.
    NotRun,
    /// The request may have run, or may still be running.
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
