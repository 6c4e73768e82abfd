//! `agateyoke history`: who changed a document, and when.

use argh::FromArgs;

use super::answer::{Answer, Failure};
use super::control::{self, Control};
use super::output;
use crate::control::api;

/// List the versions of a document, the latest first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct Arguments {
    /// name of the service
    #[argh(positional)]
    service: String,
}

/// Runs the subcommand.
pub async fn run(arguments: &Arguments, control: &Control) -> Result<Answer, Failure> {
    let service = control::segment(&arguments.service);
    let history: api::History = control
        .get(&format!("/v1/documents/{service}/history"))
        .await?;
    let rows: Vec<[String; 4]> = history.versions.iter().map(row).collect();
    let text = output::table(["version", "at", "author", "change"], &rows);
    Ok(Answer::done(text, &history))
}

fn row(version: &api::VersionInfo) -> [String; 4] {
    [
        version.version.to_string(),
        output::utc(version.at_ms),
        version.author.to_string(),
        version.change.to_string(),
    ]
}
