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
    /// call the server back instead
    #[argh(switch)]
    off: bool,
}

/// Runs the subcommand.
pub async fn run(arguments: &Arguments, control: &Control) -> Result<Answer, Failure> {
    let service = control::segment(&arguments.service);
    let server = control::segment(&arguments.server);
    let query = if arguments.off { "?off=1" } else { "" };
    let path = format!("/v1/servers/{service}/{server}/drain{query}");
    let reply = control.post(&path, &()).await?;
    if reply.status != control::STATUS_OK {
        return Err(control::refusal(&reply));
    }
    let draining: api::DrainResponse =
        control::parse(&reply).map_err(|_| control::unknown(&reply))?;
    let verb = if arguments.off {
        "is called back"
    } else {
        "is draining"
    };
    let text = format!(
        "{} of {} {verb} and holds {} spans",
        draining.server, draining.service, draining.spans
    );
    Ok(Answer::done(text, &draining))
}
