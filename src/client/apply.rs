//! `agateyoke apply`: put a document into force.

use std::env;
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::Arc;

use argh::FromArgs;

use super::answer::{Answer, Failure};
use super::call::Reply;
use super::check;
use super::control::{self, Control};
use super::diff;
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

/// A change to be sent, and how its command line would look again.
pub(super) struct Order {
    pub(super) document: Document,
    pub(super) base: ids::Version,
    pub(super) change: ids::ChangeId,
    pub(super) author: Arc<str>,
    pub(super) dry_run: bool,
    /// Command that sends the same change again.
    pub(super) again: String,
    /// What to do after a conflict with the version given.
    pub(super) after_conflict: fn(&Order, ids::Version) -> String,
}

/// Runs the subcommand.
pub async fn run(arguments: &Arguments, control: &Control) -> Result<Answer, Failure> {
    let document = check::load(&arguments.file)?;
    let change = change_id(arguments.change.as_deref());
    let author = author(arguments.author.as_deref());
    let file = arguments.file.display();
    let base = arguments.base;
    let order = Order {
        again: format!(
            "agateyoke apply {file} --base {base} --change {change} --author {author:?}"
        ),
        document,
        base,
        change,
        author,
        dry_run: arguments.dry_run,
        after_conflict: |order, version| {
            let service = &order.document.service;
            format!(
                "take the current document (agateyoke show {service}), make your change in it, \
                 then: agateyoke apply FILE --base {version}"
            )
        },
    };
    send(&order, control).await
}

/// Sends a change until there is a definite answer.
pub(super) async fn send(order: &Order, control: &Control) -> Result<Answer, Failure> {
    let path = format!(
        "/v1/documents/{}",
        control::segment(&order.document.service)
    );
    let request = api::ApplyRequest {
        base: order.base,
        change: Arc::clone(&order.change),
        author: Arc::clone(&order.author),
        dry_run: order.dry_run,
        document: serde_json::to_value(&order.document).unwrap_or_default(),
    };
    let reply = control.post(&path, &request).await;
    let reply = reply.map_err(|failure| with_hint(failure, order))?;
    match reply.status {
        control::STATUS_OK => accepted(order, &reply),
        control::STATUS_WRONG => Err(refused(order, &reply)),
        control::STATUS_CONFLICT => Err(conflict(order, &reply)),
        _ => Err(with_hint(control::refusal(&reply), order)),
    }
}

/// The id given, else a random one.
pub(super) fn change_id(given: Option<&str>) -> ids::ChangeId {
    match given {
        Some(id) => id.into(),
        None => format!("change-{:012x}", fastrand::u64(..1 << 48)).into(),
    }
}

/// The author given, else the user of this process.
pub(super) fn author(given: Option<&str>) -> Arc<str> {
    match given {
        Some(author) => author.into(),
        None => env::var("USER")
            .unwrap_or_else(|_| "unknown".to_owned())
            .into(),
    }
}

/// Who came first, and what changed meanwhile.
pub(super) fn describe(conflict: &api::Conflict) -> String {
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
            text.push_str(&diff::table(differences));
        }
        None if base > 0 && base < version => {
            let _ = write!(text, "\nversion {base} is no longer kept to compare with");
        }
        _ => {}
    }
    text
}

fn accepted(order: &Order, reply: &Reply) -> Result<Answer, Failure> {
    let accepted: api::ApplyResponse =
        control::parse(reply).map_err(|_| with_hint(control::unknown(reply), order))?;
    let service = &order.document.service;
    let version = accepted.version;
    let text = match (accepted.dry_run, accepted.duplicate) {
        (true, _) => format!("dry run: {service} would get version {version}"),
        (false, true) => format!("{service} got version {version} by this change before"),
        (false, false) => format!("{service} has version {version}, change {}", order.change),
    };
    Ok(Answer::done(text, &accepted))
}

fn refused(order: &Order, reply: &Reply) -> Failure {
    match control::parse::<api::InvalidDocument>(reply) {
        Ok(refused) => Failure::File {
            path: Arc::clone(&order.document.service),
            findings: refused.findings,
        },
        Err(_) => control::refusal(reply),
    }
}

fn conflict(order: &Order, reply: &Reply) -> Failure {
    if let Ok(reused) = control::parse::<api::ChangeIdReused>(reply) {
        let line = format!(
            "change id {} was used for another change; take a new one",
            reused.change
        );
        return Failure::Failed(line.into());
    }
    match control::parse::<api::Conflict>(reply) {
        Ok(conflict) => Failure::Conflict {
            hint: (order.after_conflict)(order, conflict.version).into(),
            conflict: Box::new(conflict),
        },
        Err(failure) => failure,
    }
}

fn with_hint(failure: Failure, order: &Order) -> Failure {
    match failure {
        Failure::Unknown { cause, .. } if order.dry_run => Failure::Failed(cause),
        Failure::Unknown { cause, .. } => Failure::Unknown {
            cause,
            hint: format!("send it again, it is not done twice: {}", order.again).into(),
        },
        other => other,
    }
}
