//! `agateyoke diff`: compares two documents.

use std::path::Path;

use argh::FromArgs;
use serde_json::json;

use super::check;
use super::control_client::ControlClient;
use super::output;
use super::result::{CommandError, CommandOutput};
use super::show;
use crate::document::Document;
use crate::document::diff::{self, Difference};
use crate::ids;

/// Compare two documents: `diff SERVICE FILE` the current version with a file,
/// `diff SERVICE 3` version 3 with the current one, `diff SERVICE 3 5` two versions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Arguments {
    /// name of the service
    #[argh(positional)]
    service: String,
    /// a file or a version
    #[argh(positional)]
    old: String,
    /// another file or version
    #[argh(positional)]
    new: Option<String>,
}

/// Runs the subcommand.
pub async fn run(
    arguments: &Arguments,
    control: &ControlClient,
) -> Result<CommandOutput, CommandError> {
    let service = arguments.service.as_str();
    let (old, new) = match (&arguments.old, &arguments.new) {
        (old, Some(new)) => (Some(old.as_str()), Some(new.as_str())),
        (old, None) if is_version(old) => (Some(old.as_str()), None),
        (file, None) => (None, Some(file.as_str())),
    };
    let old = read_document(control, service, old).await?;
    let new = read_document(control, service, new).await?;
    let differences = diff::diff(&old, &new);
    let text = if differences.is_empty() {
        "no difference".to_owned()
    } else {
        differences_table(&differences)
    };
    Ok(CommandOutput::done(
        text,
        &json!({ "differences": differences }),
    ))
}

/// Formats differences as a table.
pub(super) fn differences_table(differences: &[Difference]) -> String {
    let row = |d: &Difference| {
        let (old, new) = (d.old.as_ref(), d.new.as_ref());
        [
            d.path.to_string(),
            output::compact_json(old),
            output::compact_json(new),
        ]
    };
    let rows: Vec<[String; 3]> = differences.iter().map(row).collect();
    output::table(["where", "old", "new"], &rows)
}

/// Reads a version, a file or, by default, the current version.
async fn read_document(
    control: &ControlClient,
    service: &str,
    source: Option<&str>,
) -> Result<Document, CommandError> {
    match source {
        None => show::fetch_document(control, service, None).await,
        Some(text) => match text.parse::<ids::Version>() {
            Ok(version) => show::fetch_document(control, service, Some(version)).await,
            Err(_) => check::load(Path::new(text)),
        },
    }
}

fn is_version(text: &str) -> bool {
    text.parse::<ids::Version>().is_ok()
}
