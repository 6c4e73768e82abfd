//! `agateyoke drain`: let a backend server leave.

use argh::FromArgs;

use super::answer::{Answer, Failure};
use super::control::{self, Control};
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
}

/// Runs the subcommand.
pub async fn run(arguments: &Arguments, control: &Control) -> Result<Answer, Failure> {
    let service = control::segment(&arguments.service);
    let server = control::segment(&arguments.server);
    let path = format!("/v1/servers/{service}/{server}/drain");
    let reply = control.post(&path, &()).await?;
    if reply.status != control::STATUS_OK {
        return Err(control::refusal(&reply));
    }
    let draining: api::Draining = control::parse(&reply).map_err(|_| control::unknown(&reply))?;
    let text = format!(
        "{} of {} is draining and holds {} spans",
        draining.server, draining.service, draining.spans
    );
    Ok(Answer::done(text, &draining))
}
