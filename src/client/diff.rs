//! `agateyoke diff`: what differs between two documents.

use std::path::Path;

use argh::FromArgs;
use serde_json::json;

use super::answer::{Answer, Failure};
use super::check;
use super::control::Control;
use super::output;
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
pub async fn run(arguments: &Arguments, control: &Control) -> Result<Answer, Failure> {
    let service = arguments.service.as_str();
    let (old, new) = match (&arguments.old, &arguments.new) {
        (old, Some(new)) => (Some(old.as_str()), Some(new.as_str())),
        (old, None) if is_version(old) => (Some(old.as_str()), None),
        (file, None) => (None, Some(file.as_str())),
    };
    let old = read(control, service, old).await?;
    let new = read(control, service, new).await?;
    let differences = diff::diff(&old, &new);
    let text = if differences.is_empty() {
        "no difference".to_owned()
    } else {
        table(&differences)
    };
    Ok(Answer::done(text, &json!({ "differences": differences })))
}

/// Differences as a table.
pub(super) fn table(differences: &[Difference]) -> String {
    let row = |d: &Difference| {
        let (old, new) = (d.old.as_ref(), d.new.as_ref());
        [
            d.path.to_string(),
            output::compact(old),
            output::compact(new),
        ]
    };
    let rows: Vec<[String; 3]> = differences.iter().map(row).collect();
    output::table(["where", "old", "new"], &rows)
}

/// Reads a version, a file, or the current version.
async fn read(control: &Control, service: &str, from: Option<&str>) -> Result<Document, Failure> {
    match from {
        None => show::document(control, service, None).await,
        Some(text) => match text.parse::<ids::Version>() {
            Ok(version) => show::document(control, service, Some(version)).await,
            Err(_) => check::load(Path::new(text)),
        },
    }
}

fn is_version(text: &str) -> bool {
    text.parse::<ids::Version>().is_ok()
}
