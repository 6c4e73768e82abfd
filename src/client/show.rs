//! `agateyoke show`: the document in force.

use argh::FromArgs;

use super::answer::{Answer, Failure};
use super::control::{self, Control};
use super::output;
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
pub async fn run(arguments: &Arguments, control: &Control) -> Result<Answer, Failure> {
    let answer = fetch(control, &arguments.service, arguments.version).await?;
    let entry = &answer.requested;
    let text = serde_json::to_string_pretty(&entry.document).unwrap_or_default();
    let note = format!(
        "version {} of {}, current {}, by {}, change {}, {}",
        entry.version,
        entry.document.service,
        answer.current,
        entry.author,
        entry.change,
        output::utc(entry.at_ms)
    );
    Ok(Answer::done(text, &answer).noting(note))
}

/// Gets a version of a document, the current one if none is given.
pub(super) async fn fetch(
    control: &Control,
    service: &str,
    version: Option<ids::Version>,
) -> Result<api::DocumentResponse, Failure> {
    let service = control::segment(service);
    let path = match version {
        Some(version) => format!("/v1/documents/{service}?version={version}"),
        None => format!("/v1/documents/{service}"),
    };
    control.get(&path).await
}

/// Gets only the content.
pub(super) async fn document(
    control: &Control,
    service: &str,
    version: Option<ids::Version>,
) -> Result<Document, Failure> {
    let answer = fetch(control, service, version).await?;
    Ok(answer.requested.document)
}
