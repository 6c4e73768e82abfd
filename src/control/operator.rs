//! HTTP handler for operators, see [`super::api`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};

use super::api;
use super::command::{Applied, Command};
use super::daemon::ControlContext;
use super::info::{self, ControlInfo};
use super::propose;
use super::status;
use crate::clock;
use crate::delegate;
use crate::document::{check, diff, store};
use crate::ids;
use crate::log::ProposeError;
use crate::timeline::Event;
use crate::web::json;

/// Longest wait for another VM during a request.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest id or name in a request, in bytes.
const MAX_NAME_BYTES: usize = 128;

type HttpResponse = Response<Bytes>;

/// Handles one request.
pub async fn handle(control: Rc<ControlContext>, request: Request<Bytes>) -> HttpResponse {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
    match (request.method(), &*parts) {
        (&Method::GET, ["healthz"]) => healthz(&control),
        (&Method::GET, ["readyz"]) => readyz(&control),
        (&Method::GET, ["metrics"]) => status::metrics(&control),
        (&Method::GET, ["v1", "timeline"]) => timeline(&control, &query),
        (&Method::GET, ["v1", "vms"]) => vms(&control).await,
        (&Method::GET, ["v1", "status"]) => match require_leader(&control).await {
            Ok(()) => json::response(StatusCode::OK, &status::status(&control).await),
            Err(response) => response,
        },
        (&Method::GET, ["v1", "documents"]) => match require_leader(&control).await {
            Ok(()) => documents(&control),
            Err(response) => response,
        },
        (&Method::GET, ["v1", "documents", service]) => match require_leader(&control).await {
            Ok(()) => document(&control, service, &query),
            Err(response) => response,
        },
        (&Method::GET, ["v1", "documents", service, "history"]) => {
            match require_leader(&control).await {
                Ok(()) => history(&control, service),
                Err(response) => response,
            }
        }
        (&Method::POST, ["v1", "documents", service]) => {
            apply(&control, service, request.body()).await
        }
        (&Method::POST, ["v1", "servers", service, server, "drain"]) => {
            drain(&control, service, server, &query).await
        }
        _ => error_response(StatusCode::NOT_FOUND, "no such page", false),
    }
}

/// Confirms that this VM leads and has applied all committed entries.
///
/// # Errors
///
/// The response to send instead, with the leader's address if it is known.
async fn require_leader(control: &ControlContext) -> Result<(), HttpResponse> {
    match control.log.read_barrier().await {
        Ok(_) => Ok(()),
        Err(error) => Err(proposal_error(control, &error).await),
    }
}

/// The response for a failed proposal.
async fn proposal_error(control: &ControlContext, error: &ProposeError) -> HttpResponse {
    match error {
        ProposeError::NotLeader { leader } => {
            let leader = match leader {
                Some(vm) => operator_address(control, vm).await,
                None => None,
            };
            json::response(StatusCode::SERVICE_UNAVAILABLE, &api::NotLeader { leader })
        }
        ProposeError::Stopped => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the log of this VM has stopped",
            false,
        ),
        ProposeError::TooLarge => error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the change is too large",
            false,
        ),
        ProposeError::Backlog => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string(), false)
        }
        ProposeError::OutcomeUnknown => error_response(
            StatusCode::GATEWAY_TIMEOUT,
            "leadership was lost meanwhile; the change may still be accepted, send it again with the same id",
            true,
        ),
    }
}

async fn operator_address(control: &ControlContext, vm: &str) -> Option<SocketAddr> {
    let member = control.settings.members.iter().find(|m| &*m.vm == vm)?;
    query_info(control, member.peer)
        .await
        .map(|info| info.operator)
}

/// Queries the state of another control VM; `None` if it does not answer.
pub async fn query_info(control: &ControlContext, peer: SocketAddr) -> Option<ControlInfo> {
    let peer = control.peer(peer);
    peer.call(info::METHOD, &(), CALL_TIMEOUT).await.ok()
}

fn healthz(control: &ControlContext) -> HttpResponse {
    if control.log.status().stopped {
        return error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the log has stopped",
            false,
        );
    }
    json::response(StatusCode::OK, &"ok")
}

fn readyz(control: &ControlContext) -> HttpResponse {
    match control.log.status().leader {
        Some(_) => json::response(StatusCode::OK, &"ok"),
        None => error_response(StatusCode::SERVICE_UNAVAILABLE, "no leader is known", false),
    }
}

fn timeline(control: &ControlContext, query: &str) -> HttpResponse {
    let after = query_parameter(query, "after").and_then(|text| text.parse().ok());
    let events = control.journal.events_after(after.unwrap_or(0));
    json::response(StatusCode::OK, &api::Timeline { events })
}

async fn vms(control: &ControlContext) -> HttpResponse {
    let mut vms = Vec::new();
    for member in &control.settings.members {
        let info = query_info(control, member.peer).await;
        vms.push(api::VmInfo {
            vm: Arc::clone(&member.vm),
            zone: info
                .as_ref()
                .map_or_else(|| "?".into(), |i| Arc::clone(&i.zone)),
            role: api::Role::Control,
            operator: info.map(|i| i.operator),
        });
    }
    let store = control.state.delegations.borrow();
    vms.extend(store.entry_vms().map(api::VmInfo::from));
    json::response(StatusCode::OK, &api::Vms { vms })
}

fn documents(control: &ControlContext) -> HttpResponse {
    let store = control.state.documents.borrow();
    let documents = store.all().map(api::VersionInfo::from).collect();
    json::response(StatusCode::OK, &api::Documents { documents })
}

fn document(control: &ControlContext, service: &str, query: &str) -> HttpResponse {
    let store = control.state.documents.borrow();
    let Some(current) = store.current(service) else {
        return unknown_service(service);
    };
    let requested = match query_parameter(query, "version").map(str::parse) {
        None => Some(current),
        Some(Ok(version)) => store.version(service, version),
        Some(Err(_)) => {
            return error_response(StatusCode::BAD_REQUEST, "version is not a number", false);
        }
    };
    match requested {
        Some(entry) => {
            let response = api::DocumentResponse {
                requested: entry.clone(),
                current: current.version,
            };
            json::response(StatusCode::OK, &response)
        }
        None => error_response(StatusCode::NOT_FOUND, "this version is not kept", false),
    }
}

fn history(control: &ControlContext, service: &str) -> HttpResponse {
    let store = control.state.documents.borrow();
    if store.current(service).is_none() {
        return unknown_service(service);
    }
    let versions = store.history(service).rev().map(api::VersionInfo::from);
    let versions = versions.collect();
    json::response(StatusCode::OK, &api::History { versions })
}

async fn apply(control: &ControlContext, service: &str, body: &Bytes) -> HttpResponse {
    let request: api::ApplyRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string(), false),
    };
    if let Some(reason) = invalid_request(&request) {
        return error_response(StatusCode::BAD_REQUEST, reason, false);
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
        return error_response(StatusCode::BAD_REQUEST, &reason, false);
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
        submit(control, change).await
    }
}

fn invalid_request(request: &api::ApplyRequest) -> Option<&'static str> {
    let is_valid = |text: &str| (1..=MAX_NAME_BYTES).contains(&text.len());
    match () {
        () if !is_valid(&request.change) => Some("change must be an id of 1 to 128 bytes"),
        () if !is_valid(&request.author) => Some("author must be a name of 1 to 128 bytes"),
        () => None,
    }
}

/// Responds with what a change would lead to now.
async fn preview(control: &ControlContext, change: &store::Change) -> HttpResponse {
    if let Err(response) = require_leader(control).await {
        return response;
    }
    let applied = control.state.documents.borrow().preview(change);
    apply_response(control, change, applied, true)
}

async fn submit(control: &ControlContext, change: store::Change) -> HttpResponse {
    let command = Command::Document(change.clone());
    let applied = match propose::propose(&control.log, &command).await {
        Ok(Applied::Document(applied)) => applied,
        Ok(_) => {
            let reason = "the command could not be read";
            return error_response(StatusCode::INTERNAL_SERVER_ERROR, reason, false);
        }
        Err(error) => return proposal_error(control, &error).await,
    };
    control.journal.record(change_event(&change, &applied));
    apply_response(control, &change, applied, false)
}

fn change_event(change: &store::Change, applied: &store::Applied) -> Event {
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

/// The response to a change or to a dry run of it.
fn apply_response(
    control: &ControlContext,
    change: &store::Change,
    applied: store::Applied,
    dry_run: bool,
) -> HttpResponse {
    let (version, index, duplicate) = match applied {
        store::Applied::Accepted { version, index } => (version, index, false),
        store::Applied::Duplicate { version, index } => (version, index, true),
        store::Applied::Reused => {
            let change = Arc::clone(&change.change);
            return json::response(StatusCode::CONFLICT, &api::ChangeIdReused { change });
        }
        conflict @ store::Applied::Conflict { .. } => {
            return conflict_response(control, change.base, conflict, &change.service);
        }
    };
    let accepted = api::ApplyResponse {
        version,
        index,
        duplicate,
        dry_run,
    };
    json::response(StatusCode::OK, &accepted)
}

fn conflict_response(
    control: &ControlContext,
    base: ids::Version,
    applied: store::Applied,
    service: &str,
) -> HttpResponse {
    let store::Applied::Conflict {
        version,
        change,
        author,
        current,
    } = applied
    else {
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, "no conflict", false);
    };
    let documents = control.state.documents.borrow();
    let base_version = documents.version(service, base);
    let since = match (base_version, &current) {
        (Some(base_version), Some(current)) => Some(diff::diff(&base_version.document, current)),
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

async fn drain(control: &ControlContext, service: &str, server: &str, query: &str) -> HttpResponse {
    if control.state.documents.borrow().current(service).is_none() {
        return unknown_service(service);
    }
    let on = query_parameter(query, "off").is_none();
    let spans = status::span_count(control, service, server).await;
    if on && spans.is_none() {
        let reason = format!("no primary knows a backend server {server} of {service}");
        return error_response(StatusCode::NOT_FOUND, &reason, false);
    }
    let drain = delegate::messages::Drain {
        service: service.into(),
        server: server.into(),
        draining: on,
    };
    let command = Command::Delegate(delegate::store::Change::SetDrain(drain));
    match propose::propose(&control.log, &command).await {
        Ok(Applied::Delegate(_)) => {}
        Ok(other) => return unexpected_result(&other),
        Err(error) => return proposal_error(control, &error).await,
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

/// The response when the log has a change whose result can't be decoded.
fn unexpected_result(applied: &Applied) -> HttpResponse {
    log::error!("event=control.unexpected applied={applied:?}");
    let reason = "the result of the change could not be read";
    error_response(StatusCode::INTERNAL_SERVER_ERROR, reason, true)
}

fn unknown_service(service: &str) -> HttpResponse {
    let reason = format!("there is no service {service}");
    error_response(StatusCode::NOT_FOUND, &reason, false)
}

fn error_response(status: StatusCode, error: &str, may_have_run: bool) -> HttpResponse {
    let response = api::ErrorResponse {
        error: error.into(),
        may_have_run,
    };
    json::response(status, &response)
}

/// The value of a query parameter, not unescaped; empty for a parameter without `=`.
fn query_parameter<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let pairs = query.split('&').filter(|pair| !pair.is_empty());
    let mut pairs = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
