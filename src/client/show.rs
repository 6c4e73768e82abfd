//! `agateyoke show`: prints a document.

use argh::FromArgs;

use super::control_client::{self, ControlClient};
use super::output;
use super::result::{CommandError, CommandOutput};
use crate::control::api;
use crate::document::Document;
use crate::ids;

/// Print the document of a service, ready to be changed and applied.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Arguments {
    /// name of the service
    #[argh(positional)]
    service: String,
    /// version to show; else the current one
    #[argh(option)]
    version: Option<ids::Version>,
}

/// Runs the subcommand.
pub async fn run(
    arguments: &Arguments,
    control: &ControlClient,
) -> Result<CommandOutput, CommandError> {
    let response = fetch(control, &arguments.service, arguments.version).await?;
    let entry = &response.requested;
    let text = serde_json::to_string_pretty(&entry.document).unwrap_or_default();
    let note = format!(
        "version {} of {}, current {}, by {}, change {}, {}",
        entry.version,
        entry.document.service,
        response.current,
        entry.author,
        entry.change,
        output::format_utc(entry.at_ms)
    );
    Ok(CommandOutput::done(text, &response).with_note(note))
}

/// Gets a version of a document, by default the current one.
pub(super) async fn fetch(
    control: &ControlClient,
    service: &str,
    version: Option<ids::Version>,
) -> Result<api::DocumentResponse, CommandError> {
    let service = control_client::encode_path_segment(service);
    let path = match version {
        Some(version) => format!("/v1/documents/{service}?version={version}"),
        None => format!("/v1/documents/{service}"),
    };
    control.get(&path).await
}

/// Gets a version of a document without its metadata.
pub(super) async fn fetch_document(
    control: &ControlClient,
    service: &str,
    version: Option<ids::Version>,
) -> Result<Document, CommandError> {
    let response = fetch(control, service, version).await?;
    Ok(response.requested.document)
}
