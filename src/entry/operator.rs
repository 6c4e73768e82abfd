//! HTTP interface for operators and the platform's load balancer.

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};

use super::daemon::EntryContext;
use crate::control::api;
use crate::web::json;

/// Handles one request.
#[expect(
    clippy::unused_async,
    reason = "the server takes asynchronous handlers"
)]
pub async fn handle(entry: Rc<EntryContext>, request: Request<Bytes>) -> Response<Bytes> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => json::response(StatusCode::OK, &"ok"),
        (&Method::GET, "/readyz") => ready(&entry),
        (&Method::GET, "/metrics") => metrics(&entry),
        (&Method::GET, "/v1/timeline") => timeline(&entry, request.uri().query()),
        (&Method::GET, "/v1/duties") => {
            let granters = entry.granters.list();
            let overviews: Vec<_> = granters.iter().map(|granter| granter.overview()).collect();
            json::response(StatusCode::OK, &overviews)
        }
        _ => error_response(StatusCode::NOT_FOUND, "no such page"),
    }
}

/// Ready from the first response of the control VMs until the daemon stops.
fn ready(entry: &EntryContext) -> Response<Bytes> {
    match () {
        () if entry.stopping.get() => error_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        () if entry.view.index() == 0 => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the control VMs have not been heard yet",
        ),
        () => json::response(StatusCode::OK, &"ok"),
    }
}

fn metrics(entry: &EntryContext) -> Response<Bytes> {
    let granters = entry.granters.list();
    let overviews: Vec<_> = granters.iter().map(|granter| granter.overview()).collect();
    entry.metrics.record_grants(&overviews);
    Response::new(Bytes::from(entry.metrics.encode()))
}

fn timeline(entry: &EntryContext, query: Option<&str>) -> Response<Bytes> {
    let after = query.and_then(|q| q.strip_prefix("after="));
    let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
    let events = entry.journal.events_after(after);
    json::response(StatusCode::OK, &api::Timeline { events })
}

fn error_response(status: StatusCode, error: &str) -> Response<Bytes> {
    let response = api::ErrorResponse {
        error: error.into(),
        may_have_run: false,
    };
    json::response(status, &response)
}
