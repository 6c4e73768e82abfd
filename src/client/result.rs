//! Results of subcommands, for people and for scripts.

use std::path::Path;
use std::sync::Arc;

use serde::Serialize;
use serde_json::{Value, json};

use crate::control::api;
use crate::document::check::Finding;

/// Exit code: success.
pub const EXIT_DONE: i32 = 0;

/// Exit code: refused or failed; nothing was changed.
pub const EXIT_FAILED: i32 = 1;

/// Exit code: invalid arguments or an invalid file.
pub const EXIT_USAGE: i32 = 2;

/// Exit code: conflict with another change.
pub const EXIT_CONFLICT: i32 = 3;

/// Exit code: the outcome is not known.
pub const EXIT_UNKNOWN: i32 = 4;

/// Output of a subcommand.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutput {
    /// Exit code.
    pub exit_code: i32,
    /// Text for people; printed to stdout on success, else to stderr.
    pub text: String,
    /// Further text for people, always printed to stderr.
    pub note: String,
    /// JSON for scripts.
    pub json: Value,
}

/// Why a subcommand failed.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandError {
    /// Invalid arguments.
    Usage(Arc<str>),
    /// Invalid file.
    InvalidFile {
        /// Path of the file.
        path: Arc<str>,
        /// All errors in the file.
        findings: Vec<Finding>,
    },
    /// Refused or failed; nothing was changed.
    Failed(Arc<str>),
    /// Another change came first.
    Conflict {
        /// Details from the control VM.
        conflict: Box<api::Conflict>,
        /// Advice on what to do next.
        hint: Arc<str>,
    },
    /// The request may have been carried out.
    OutcomeUnknown {
        /// Why the outcome is not known.
        cause: Arc<str>,
        /// Advice on what to do next.
        hint: Arc<str>,
    },
}

impl CommandOutput {
    /// Creates the output of a subcommand that succeeded.
    pub fn done<T>(text: String, json: &T) -> Self
    where
        T: Serialize,
    {
        Self {
            exit_code: EXIT_DONE,
            text,
            note: String::new(),
            json: serde_json::to_value(json).unwrap_or_default(),
        }
    }

    /// Adds a note for people.
    #[must_use]
    pub fn with_note(mut self, note: String) -> Self {
        self.note = note;
        self
    }

    fn failed(exit_code: i32, text: String, json: Value) -> Self {
        Self {
            exit_code,
            text,
            note: String::new(),
            json,
        }
    }
}

impl CommandError {
    /// Creates the error for a file that can't be read.
    pub fn unreadable(path: &Path, error: &std::io::Error) -> Self {
        Self::Usage(format!("{}: can't be read: {error}", path.display()).into())
    }

    /// Creates the error for an invalid file.
    pub fn invalid_file(path: &Path, findings: Vec<Finding>) -> Self {
        Self::InvalidFile {
            path: path.display().to_string().into(),
            findings,
        }
    }
}

impl From<CommandError> for CommandOutput {
    fn from(error: CommandError) -> Self {
        match error {
            CommandError::Usage(message) => {
                let json = json!({ "error": message });
                Self::failed(EXIT_USAGE, message.to_string(), json)
            }
            CommandError::InvalidFile { path, findings } => {
                let lines: Vec<String> = findings.iter().map(|f| format!("{path}: {f}")).collect();
                let json = json!({ "error": "wrong file", "file": path, "findings": findings });
                Self::failed(EXIT_USAGE, lines.join("\n"), json)
            }
            CommandError::Failed(message) => {
                let json = json!({ "error": message });
                Self::failed(EXIT_FAILED, message.to_string(), json)
            }
            CommandError::Conflict { conflict, hint } => {
                let text = format!("{}\n{hint}", super::apply::describe_conflict(&conflict));
                let json = json!({ "error": "conflict", "conflict": conflict, "hint": hint });
                Self::failed(EXIT_CONFLICT, text, json)
            }
            CommandError::OutcomeUnknown { cause, hint } => {
                let text = format!("unknown whether it was done: {cause}\n{hint}");
                let json = json!({ "error": "unknown", "cause": cause, "hint": hint });
                Self::failed(EXIT_UNKNOWN, text.trim_end().to_owned(), json)
            }
        }
    }
}
