//! `agateyoke apply`: puts a document into force.

use std::env;
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;

use super::call::HttpResponse;
use super::check;
use super::control_client::{self, ControlClient};
use super::diff;
use super::result::{CommandError, CommandOutput};
use crate::control::api;
use crate::document::Document;
use crate::ids;

/// Put a document into force. Of two changes made from one version the first
/// wins; the other is told of the conflict. With the same --change it may be
/// sent again at any time and is not done twice.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Arguments {
    /// the document
    #[argh(positional)]
    file: PathBuf,
    /// version that the document was made from; 0 for a new service
    #[argh(option)]
    base: ids::Version,
    /// id of the change, to send it again; else a random one
    #[argh(option)]
    change: Option<String>,
    /// who makes the change; else taken from USER
    #[argh(option)]
    author: Option<String>,
    /// check against the current version and change nothing
    #[argh(switch)]
    dry_run: bool,
}

/// Change to send, with the texts that are printed if it fails.
pub(super) struct ChangeRequest {
    pub(super) document: Document,
    pub(super) base: ids::Version,
    pub(super) change: ids::ChangeId,
    pub(super) author: Arc<str>,
    pub(super) dry_run: bool,
    /// Command line that retries the same change.
    pub(super) retry_command: String,
    /// Builds the advice after a conflict with a version.
    pub(super) conflict_hint: fn(&ChangeRequest, ids::Version) -> String,
}

/// Runs the subcommand.
pub async fn run(
    arguments: &Arguments,
    control: &ControlClient,
) -> Result<CommandOutput, CommandError> {
    let document = check::load(&arguments.file)?;
    let change = change_id(arguments.change.as_deref());
    let author = author(arguments.author.as_deref());
    let file = arguments.file.display();
    let base = arguments.base;
    let change_request = ChangeRequest {
        retry_command: format!(
            "agateyoke apply {file} --base {base} --change {change} --author {author:?}"
        ),
        document,
        base,
        change,
        author,
        dry_run: arguments.dry_run,
        conflict_hint: |change_request, version| {
            let service = &change_request.document.service;
            format!(
                "take the current document (agateyoke show {service}), make your change in it, \
                 then: agateyoke apply FILE --base {version}"
            )
        },
    };
    send(&change_request, control).await
}

/// Sends a change until the outcome is known or all attempts have failed.
pub(super) async fn send(
    change_request: &ChangeRequest,
    control: &ControlClient,
) -> Result<CommandOutput, CommandError> {
    let path = format!(
        "/v1/documents/{}",
        control_client::encode_path_segment(&change_request.document.service)
    );
    let request = api::ApplyRequest {
        base: change_request.base,
        change: Arc::clone(&change_request.change),
        author: Arc::clone(&change_request.author),
        dry_run: change_request.dry_run,
        document: serde_json::to_value(&change_request.document).unwrap_or_default(),
    };
    let response = control.post(&path, &request).await;
    let response = response.map_err(|error| with_retry_hint(error, change_request))?;
    match response.status {
        control_client::STATUS_OK => success(change_request, &response),
        control_client::STATUS_INVALID_DOCUMENT => Err(invalid_document(change_request, &response)),
        control_client::STATUS_CONFLICT => Err(conflict_error(change_request, &response)),
        _ => Err(with_retry_hint(
            control_client::error_from_response(&response),
            change_request,
        )),
    }
}

/// Returns the given id, else a random one.
pub(super) fn change_id(given: Option<&str>) -> ids::ChangeId {
    match given {
        Some(id) => id.into(),
        None => format!("change-{:012x}", fastrand::u64(..1 << 48)).into(),
    }
}

/// Returns the given author, else the user from the environment.
pub(super) fn author(given: Option<&str>) -> Arc<str> {
    match given {
        Some(author) => author.into(),
        None => env::var("USER")
            .unwrap_or_else(|_| "unknown".to_owned())
            .into(),
    }
}

/// Describes a conflict: who made the current version and what changed.
pub(super) fn describe_conflict(conflict: &api::Conflict) -> String {
    let (base, version) = (conflict.base, conflict.version);
    if version == 0 {
        return format!("conflict: there is no document yet, so the base is 0, not {base}");
    }
    let mut text = format!(
        "conflict: yours was made from version {base}, but version {version} is current, made by \
         {} (change {})",
        conflict.author, conflict.change
    );
    match &conflict.since {
        Some(differences) if base < version => {
            let _ = write!(text, "\nchanged from version {base} to {version}:\n");
            text.push_str(&diff::differences_table(differences));
        }
        None if base > 0 && base < version => {
            let _ = write!(text, "\nversion {base} is no longer kept to compare with");
        }
        _ => {}
    }
    text
}

fn success(
    change_request: &ChangeRequest,
    response: &HttpResponse,
) -> Result<CommandOutput, CommandError> {
    let accepted: api::ApplyResponse = control_client::parse(response)
        .map_err(|_| with_retry_hint(control_client::outcome_unknown(response), change_request))?;
    let service = &change_request.document.service;
    let version = accepted.version;
    let text = match (accepted.dry_run, accepted.duplicate) {
        (true, _) => format!("dry run: {service} would get version {version}"),
        (false, true) => format!("{service} got version {version} by this change before"),
        (false, false) => format!(
            "{service} has version {version}, change {}",
            change_request.change
        ),
    };
    Ok(CommandOutput::done(text, &accepted))
}

fn invalid_document(change_request: &ChangeRequest, response: &HttpResponse) -> CommandError {
    match control_client::parse::<api::InvalidDocument>(response) {
        Ok(refused) => CommandError::InvalidFile {
            path: Arc::clone(&change_request.document.service),
            findings: refused.findings,
        },
        Err(_) => control_client::error_from_response(response),
    }
}

fn conflict_error(change_request: &ChangeRequest, response: &HttpResponse) -> CommandError {
    if let Ok(reused) = control_client::parse::<api::ChangeIdReused>(response) {
        let message = format!(
            "change id {} was used for another change; take a new one",
            reused.change
        );
        return CommandError::Failed(message.into());
    }
    match control_client::parse::<api::Conflict>(response) {
        Ok(conflict) => CommandError::Conflict {
            hint: (change_request.conflict_hint)(change_request, conflict.version).into(),
            conflict: Box::new(conflict),
        },
        Err(error) => error,
    }
}

fn with_retry_hint(error: CommandError, change_request: &ChangeRequest) -> CommandError {
    match error {
        CommandError::OutcomeUnknown { cause, .. } if change_request.dry_run => {
            CommandError::Failed(cause)
        }
        CommandError::OutcomeUnknown { cause, .. } => CommandError::OutcomeUnknown {
            cause,
            hint: format!(
                "send it again, it is not done twice: {}",
                change_request.retry_command
            )
            .into(),
        },
        other => other,
    }
}
