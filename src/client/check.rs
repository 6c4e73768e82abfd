//! `agateyoke check`: checks a document without a control VM.

use std::fs;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use serde_json::json;

use super::result::{CommandError, CommandOutput};
use crate::document::{self, Document};

/// Check a document and report all errors. Needs no control VM.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Arguments {
    /// the document
    #[argh(positional)]
    file: PathBuf,
}

/// Runs the subcommand.
pub fn run(arguments: &Arguments) -> Result<CommandOutput, CommandError> {
    let document = load(&arguments.file)?;
    let text = format!(
        "{}: right, service {}",
        arguments.file.display(),
        document.service
    );
    let json = json!({ "file": arguments.file, "service": document.service, "findings": [] });
    Ok(CommandOutput::done(text, &json))
}

/// Reads a document from a file.
pub(super) fn load(path: &Path) -> Result<Document, CommandError> {
    let text = fs::read_to_string(path).map_err(|e| CommandError::unreadable(path, &e))?;
    document::check(&text).map_err(|findings| CommandError::invalid_file(path, findings))
}
