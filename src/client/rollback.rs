//! `agateyoke rollback`: puts the content of an earlier version into force as a new version.

use argh::FromArgs;

use super::apply::{self, ChangeRequest};
use super::control_client::ControlClient;
use super::result::{CommandError, CommandOutput};
use super::show;
use crate::ids;

/// Make a new version with the content of an earlier one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
pub struct Arguments {
    /// name of the service
    #[argh(positional)]
    service: String,
    /// version whose content is wanted
    #[argh(option)]
    to: ids::Version,
    /// version that the rollback is made from; else the current one
    #[argh(option)]
    base: Option<ids::Version>,
    /// id of the change, to send it again; else a random one
    #[argh(option)]
    change: Option<String>,
    /// who makes the change; else taken from USER
    #[argh(option)]
    author: Option<String>,
}

/// Runs the subcommand.
pub async fn run(
    arguments: &Arguments,
    control: &ControlClient,
) -> Result<CommandOutput, CommandError> {
    let (service, to) = (&arguments.service, arguments.to);
    let target = show::fetch(control, service, Some(to)).await?;
    let base = arguments.base.unwrap_or(target.current);
    let change = apply::change_id(arguments.change.as_deref());
    let author = apply::author(arguments.author.as_deref());
    let retry_command = format!(
        "agateyoke rollback {service} --to {to} --base {base} --change {change} --author {author:?}"
    );
    let change_request = ChangeRequest {
        document: target.requested.document,
        base,
        change,
        author,
        dry_run: false,
        retry_command,
        conflict_hint: |change_request, version| {
            let service = &change_request.document.service;
            format!("see agateyoke history {service}; then roll back with --base {version}")
        },
    };
    apply::send(&change_request, control).await
}
