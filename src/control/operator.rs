//! Answers to operators, see [`super::api`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};

use super::about::{self, About};
use super::api;
use super::command::{Applied, Command};
use super::daemon::Control;
use super::propose;
use super::status;
use crate::clock;
use crate::delegate;
use crate::document::{check, diff, store};
use crate::ids;
use crate::log::ProposeError;
use crate::timeline::Event;
use crate::web::json;

/// Longest wait for another VM while an operator waits.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest id or name that an operator may give, in bytes.
const NAME_LIMIT_BYTES: usize = 128;

type Reply = Response<Bytes>;

/// Answers one request.
pub async fn answer(control: Rc<Control>, request: Request<Bytes>) -> Reply {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
    match (request.method(), &*parts) {
        (&Method::GET, ["healthz"]) => healthy(&control),
        (&Method::GET, ["readyz"]) => ready(&control),
        (&Method::GET, ["metrics"]) => status::metrics(&control),
        (&Method::GET, ["v1", "timeline"]) => timeline(&control, &query),
        (&Method::GET, ["v1", "vms"]) => vms(&control).await,
        (&Method::GET, ["v1", "status"]) => match lead(&control).await {
            Ok(()) => json::response(StatusCode::OK, &status::status(&control).await),
            Err(reply) => reply,
        },
        (&Method::GET, ["v1", "documents"]) => match lead(&control).await {
            Ok(()) => documents(&control),
            Err(reply) => reply,
        },
        (&Method::GET, ["v1", "documents", service]) => match lead(&control).await {
            Ok(()) => document(&control, service, &query),
            Err(reply) => reply,
        },
        (&Method::GET, ["v1", "documents", service, "history"]) => match lead(&control).await {
            Ok(()) => history(&control, service),
            Err(reply) => reply,
        },
        (&Method::POST, ["v1", "documents", service]) => {
            apply(&control, service, request.body()).await
        }
        (&Method::POST, ["v1", "servers", service, server, "drain"]) => {
            drain(&control, service, server, &query).await
        }
        _ => failure(StatusCode::NOT_FOUND, "no such page", false),
    }
}

/// Confirms that this VM leads and is up to date; else says who does.
async fn lead(control: &Control) -> Result<(), Reply> {
    match control.log.read_barrier().await {
        Ok(_) => Ok(()),
        Err(error) => Err(refusal(control, &error).await),
    }
}

/// The answer where the log took no command.
async fn refusal(control: &Control, error: &ProposeError) -> Reply {
    match error {
        ProposeError::NotLeader { leader } => {
            let leader = match leader {
                Some(vm) => operator_of(control, vm).await,
                None => None,
            };
            json::response(StatusCode::SERVICE_UNAVAILABLE, &api::NotLeader { leader })
        }
        ProposeError::Stopped => failure(
            StatusCode::SERVICE_UNAVAILABLE,
            "the log of this VM has stopped",
            false,
        ),
        ProposeError::OutcomeUnknown => failure(
            StatusCode::GATEWAY_TIMEOUT,
            "leadership was lost meanwhile; the change may be accepted yet, send it again with the same id",
            true,
        ),
    }
}

async fn operator_of(control: &Control, vm: &str) -> Option<SocketAddr> {
    let member = control.settings.members.iter().find(|m| &*m.vm == vm)?;
    ask(control, member.peer).await.map(|about| about.operator)
}

/// Asks another control VM about itself.
pub async fn ask(control: &Control, peer: SocketAddr) -> Option<About> {
    let peer = control.peer(peer);
    peer.call(about::METHOD, &(), ASK_TIMEOUT).await.ok()
}

fn healthy(control: &Control) -> Reply {
    if control.log.status().stopped {
        return failure(
            StatusCode::SERVICE_UNAVAILABLE,
            "the log has stopped",
            false,
        );
    }
    json::response(StatusCode::OK, &"ok")
}

fn ready(control: &Control) -> Reply {
    match control.log.status().leader {
        Some(_) => json::response(StatusCode::OK, &"ok"),
        None => failure(StatusCode::SERVICE_UNAVAILABLE, "no leader is known", false),
    }
}

fn timeline(control: &Control, query: &str) -> Reply {
    let after = parameter(query, "after").and_then(|text| text.parse().ok());
    let events = control.journal.since(after.unwrap_or(0));
    json::response(StatusCode::OK, &api::Timeline { events })
}

async fn vms(control: &Control) -> Reply {
    let mut vms = Vec::new();
    for member in &control.settings.members {
        let about = ask(control, member.peer).await;
        vms.push(api::VmInfo {
            vm: Arc::clone(&member.vm),
            zone: about
                .as_ref()
                .map_or_else(|| "?".into(), |a| Arc::clone(&a.zone)),
            role: api::Role::Control,
            operator: about.map(|a| a.operator),
        });
    }
    let store = control.state.delegations.borrow();
    vms.extend(store.entries().map(api::VmInfo::from));
    json::response(StatusCode::OK, &api::Vms { vms })
}

fn documents(control: &Control) -> Reply {
    let store = control.state.documents.borrow();
    let documents = store.all().map(api::VersionInfo::from).collect();
    json::response(StatusCode::OK, &api::Documents { documents })
}

fn document(control: &Control, service: &str, query: &str) -> Reply {
    let store = control.state.documents.borrow();
    let Some(current) = store.current(service) else {
        return unknown(service);
    };
    let wanted = match parameter(query, "version").map(str::parse) {
        None => Some(current),
        Some(Ok(version)) => store.version(service, version),
        Some(Err(_)) => return failure(StatusCode::BAD_REQUEST, "version is no number", false),
    };
    match wanted {
        Some(entry) => {
            let answer = api::DocumentResponse {
                requested: entry.clone(),
                current: current.version,
            };
            json::response(StatusCode::OK, &answer)
        }
        None => failure(StatusCode::NOT_FOUND, "this version is not kept", false),
    }
}

fn history(control: &Control, service: &str) -> Reply {
    let store = control.state.documents.borrow();
    if store.current(service).is_none() {
        return unknown(service);
    }
    let versions = store.history(service).rev().map(api::VersionInfo::from);
    let versions = versions.collect();
    json::response(StatusCode::OK, &api::History { versions })
}

async fn apply(control: &Control, service: &str, body: &Bytes) -> Reply {
    let request: api::ApplyRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return failure(StatusCode::BAD_REQUEST, &error.to_string(), false),
    };
    if let Some(reason) = unfit(&request) {
        return failure(StatusCode::BAD_REQUEST, reason, false);
    }
    let document = match check::check(&request.document.to_string()) {
        Ok(document) => document,
        Err(findings) => {
            return json::response(StatusCode::BAD_REQUEST, &api::InvalidDocument { findings });
        }
    };
    if *document.service != *service {
        let reason = format!(
            "the document is of service {}, not {service}",
            document.service
        );
        return failure(StatusCode::BAD_REQUEST, &reason, false);
    }
    let change = store::Change {
        service: service.into(),
        base: request.base,
        change: request.change,
        author: request.author,
        document,
        at_ms: clock::wall_ms(),
    };
    if request.dry_run {
        preview(control, &change).await
    } else {
        put(control, change).await
    }
}

fn unfit(request: &api::ApplyRequest) -> Option<&'static str> {
    let fits = |text: &str| (1..=NAME_LIMIT_BYTES).contains(&text.len());
    match () {
        () if !fits(&request.change) => Some("change must be an id of 1 to 128 bytes"),
        () if !fits(&request.author) => Some("author must be a name of 1 to 128 bytes"),
        () => None,
    }
}

/// What would become of a change now.
async fn preview(control: &Control, change: &store::Change) -> Reply {
    if let Err(reply) = lead(control).await {
        return reply;
    }
    let applied = control.state.documents.borrow().preview(change);
    tell(control, change, applied, true)
}

async fn put(control: &Control, change: store::Change) -> Reply {
    let command = Command::Document(change.clone());
    let applied = match propose::propose(&control.log, &command).await {
        Ok(Applied::Document(applied)) => applied,
        Ok(_) => {
            let reason = "the command could not be read";
            return failure(StatusCode::INTERNAL_SERVER_ERROR, reason, false);
        }
        Err(error) => return refusal(control, &error).await,
    };
    control.journal.record(event(&change, &applied));
    tell(control, &change, applied, false)
}

fn event(change: &store::Change, applied: &store::Applied) -> Event {
    let (kind, detail) = match applied {
        store::Applied::Accepted { version, .. } => {
            ("document.accepted", format!("version {version}"))
        }
        store::Applied::Duplicate { version, .. } => {
            ("document.repeated", format!("version {version}"))
        }
        store::Applied::Reused => ("document.reused", "id of another change".into()),
        store::Applied::Conflict { version, .. } => {
            let detail = format!("made from {}, now {version}", change.base);
            ("document.conflict", detail)
        }
    };
    let event = Event::new(kind).service(&change.service);
    event.change(&change.change).detail(&detail)
}

/// The answer to a change, or to the question what would become of it.
fn tell(
    control: &Control,
    change: &store::Change,
    applied: store::Applied,
    dry_run: bool,
) -> Reply {
    let (version, index, repeated) = match applied {
        store::Applied::Accepted { version, index } => (version, index, false),
        store::Applied::Duplicate { version, index } => (version, index, true),
        store::Applied::Reused => {
            let reused = Arc::clone(&change.change);
            return json::response(
                StatusCode::CONFLICT,
                &api::ChangeIdReused { change: reused },
            );
        }
        conflicting @ store::Applied::Conflict { .. } => {
            return conflict(control, change.base, conflicting, &change.service);
        }
    };
    let accepted = api::ApplyResponse {
        version,
        index,
        duplicate: repeated,
        dry_run,
    };
    json::response(StatusCode::OK, &accepted)
}

fn conflict(
    control: &Control,
    base: ids::Version,
    applied: store::Applied,
    service: &str,
) -> Reply {
    let store::Applied::Conflict {
        version,
        change,
        author,
        current,
    } = applied
    else {
        return failure(StatusCode::INTERNAL_SERVER_ERROR, "no conflict", false);
    };
    let documents = control.state.documents.borrow();
    let before = documents.version(service, base);
    let since = match (before, &current) {
        (Some(before), Some(current)) => Some(diff::diff(&before.document, current)),
        _ => None,
    };
    let conflict = api::Conflict {
        base,
        version,
        change,
        author,
        current: current.map(|document| *document),
        since,
    };
    json::response(StatusCode::CONFLICT, &conflict)
}

async fn drain(control: &Control, service: &str, server: &str, query: &str) -> Reply {
    if control.state.documents.borrow().current(service).is_none() {
        return unknown(service);
    }
    let on = parameter(query, "off").is_none();
    let spans = status::spans_of(control, service, server).await;
    if on && spans.is_none() {
        let reason = format!("no carrier knows a backend server {server} of {service}");
        return failure(StatusCode::NOT_FOUND, &reason, false);
    }
    let drain = delegate::messages::Drain {
        service: service.into(),
        server: server.into(),
        on,
    };
    let command = Command::Delegate(delegate::store::Change::Drain(drain));
    if let Err(error) = propose::propose(&control.log, &command).await {
        return refusal(control, &error).await;
    }
    let event = Event::new("server.drain").service(&service.into());
    let event = event.server(&server.into());
    control
        .journal
        .record(event.detail(if on { "on" } else { "off" }));
    let draining = api::DrainResponse {
        service: service.into(),
        server: server.into(),
        spans: spans.unwrap_or(0),
    };
    json::response(StatusCode::OK, &draining)
}

fn unknown(service: &str) -> Reply {
    let reason = format!("there is no service {service}");
    failure(StatusCode::NOT_FOUND, &reason, false)
}

fn failure(status: StatusCode, error: &str, may_have_run: bool) -> Reply {
    let failure = api::ErrorResponse {
        error: error.into(),
        may_have_run,
    };
    json::response(status, &failure)
}

/// The value of a query parameter, as it stands; a parameter without `=` has an empty one.
fn parameter<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let pairs = query.split('&').filter(|pair| !pair.is_empty());
    let mut pairs = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
