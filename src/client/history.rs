//! `agateyoke history`: lists the versions of a document.

use argh::FromArgs;

use super::control_client::{self, ControlClient};
use super::output;
use super::result::{CommandError, CommandOutput};
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
pub async fn run(
    arguments: &Arguments,
    control: &ControlClient,
) -> Result<CommandOutput, CommandError> {
    let service = control_client::encode_path_segment(&arguments.service);
    let history: api::History = control
        .get(&format!("/v1/documents/{service}/history"))
        .await?;
    let rows: Vec<[String; 4]> = history.versions.iter().map(row).collect();
    let text = output::table(["version", "at", "author", "change"], &rows);
    Ok(CommandOutput::done(text, &history))
}

fn row(version: &api::VersionInfo) -> [String; 4] {
    [
        version.version.to_string(),
        output::format_utc(version.at_ms),
        version.author.to_string(),
        version.change.to_string(),
    ]
}
