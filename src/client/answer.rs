//! What a subcommand answers, for people and for scripts.

use std::path::Path;
use std::sync::Arc;

use serde::Serialize;
use serde_json::{Value, json};

use crate::control::api;
use crate::document::check::Finding;

/// Exit code: done.
pub const DONE: i32 = 0;

/// Exit code: refused or failed, and nothing was changed.
pub const FAILED: i32 = 1;

/// Exit code: wrong usage or a wrong file.
pub const USAGE: i32 = 2;

/// Exit code: conflict with another change.
pub const CONFLICT: i32 = 3;

/// Exit code: it is not known whether it was done.
pub const UNKNOWN: i32 = 4;

/// Answer of a subcommand.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Exit code.
    pub code: i32,
    /// For people; goes to the standard output if done, else to the standard error.
    pub text: String,
    /// For people as well, always to the standard error.
    pub note: String,
    /// For scripts.
    pub json: Value,
}

/// Why a subcommand failed.
#[derive(Clone, Debug, PartialEq)]
pub enum Failure {
    /// The arguments are wrong.
    Usage(Arc<str>),
    /// A file is wrong.
    File {
        /// Path.
        path: Arc<str>,
        /// Everything that is wrong with it.
        findings: Vec<Finding>,
    },
    /// Refused or failed; nothing was changed.
    Failed(Arc<str>),
    /// Another change came first.
    Conflict {
        /// As the control VM told it.
        conflict: Box<api::Conflict>,
        /// How to go on.
        hint: Arc<str>,
    },
    /// It is not known whether it was done.
    Unknown {
        /// What happened.
        cause: Arc<str>,
        /// How to go on.
        hint: Arc<str>,
    },
}

impl Answer {
    /// An answer of a subcommand that was carried out.
    pub fn done<T>(text: String, json: &T) -> Self
    where
        T: Serialize,
    {
        Self {
            code: DONE,
            text,
            note: String::new(),
            json: serde_json::to_value(json).unwrap_or_default(),
        }
    }

    /// Adds a note for people.
    #[must_use]
    pub fn noting(mut self, note: String) -> Self {
        self.note = note;
        self
    }

    fn failed(code: i32, text: String, json: Value) -> Self {
        Self {
            code,
            text,
            note: String::new(),
            json,
        }
    }
}

impl Failure {
    /// A file that can't be read.
    pub fn unreadable(path: &Path, error: &std::io::Error) -> Self {
        Self::Usage(format!("{}: can't be read: {error}", path.display()).into())
    }

    /// A file with faults.
    pub fn file(path: &Path, findings: Vec<Finding>) -> Self {
        Self::File {
            path: path.display().to_string().into(),
            findings,
        }
    }
}

impl From<Failure> for Answer {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Usage(line) => {
                let json = json!({ "error": line });
                Self::failed(USAGE, line.to_string(), json)
            }
            Failure::File { path, findings } => {
                let lines: Vec<String> = findings.iter().map(|f| format!("{path}: {f}")).collect();
                let json = json!({ "error": "wrong file", "file": path, "findings": findings });
                Self::failed(USAGE, lines.join("\n"), json)
            }
            Failure::Failed(line) => {
                let json = json!({ "error": line });
                Self::failed(FAILED, line.to_string(), json)
            }
            Failure::Conflict { conflict, hint } => {
                let text = format!("{}\n{hint}", super::apply::describe(&conflict));
                let json = json!({ "error": "conflict", "conflict": conflict, "hint": hint });
                Self::failed(CONFLICT, text, json)
            }
            Failure::Unknown { cause, hint } => {
                let text = format!("unknown whether it was done: {cause}\n{hint}");
                let json = json!({ "error": "unknown", "cause": cause, "hint": hint });
                Self::failed(UNKNOWN, text.trim_end().to_owned(), json)
            }
        }
    }
}
