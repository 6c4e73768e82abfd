//! `agateyoke drain`: takes a backend server out of service.

use argh::FromArgs;

use super::control_client::{self, ControlClient};
use super::result::{CommandError, CommandOutput};
use crate::control::api;

/// Take a backend server out of service: no new work, its keys move to others.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Arguments {
    /// name of the backend server
    #[argh(positional)]
    server: String,
    /// name of its service
    #[argh(option)]
    service: String,
    /// put the server back into service instead
    #[argh(switch)]
    off: bool,
}

/// Runs the subcommand.
pub async fn run(
    arguments: &Arguments,
    control: &ControlClient,
) -> Result<CommandOutput, CommandError> {
    let service = control_client::encode_path_segment(&arguments.service);
    let server = control_client::encode_path_segment(&arguments.server);
    let query = if arguments.off { "?off=1" } else { "" };
    let path = format!("/v1/servers/{service}/{server}/drain{query}");
    let response = control.post(&path, &()).await?;
    if response.status != control_client::STATUS_OK {
        return Err(control_client::error_from_response(&response));
    }
    let draining: api::DrainResponse =
        control_client::parse(&response).map_err(|_| control_client::outcome_unknown(&response))?;
    let verb = if arguments.off {
        "is called back"
    } else {
        "is draining"
    };
    let text = format!(
        "{} of {} {verb} and holds {} spans",
        draining.server, draining.service, draining.spans
    );
    Ok(CommandOutput::done(text, &draining))
}
