//! Answers to operators and to the platform's balancer.

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};

use super::daemon::Entry;
use crate::control::api;
use crate::web::json;

/// Answers one request.
#[expect(
    clippy::unused_async,
    reason = "the server takes asynchronous handlers"
)]
pub async fn answer(entry: Rc<Entry>, request: Request<Bytes>) -> Response<Bytes> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => json::response(StatusCode::OK, &"ok"),
        (&Method::GET, "/readyz") => ready(&entry),
        (&Method::GET, "/metrics") => metrics(&entry),
        (&Method::GET, "/v1/timeline") => timeline(&entry, request.uri().query()),
        (&Method::GET, "/v1/duties") => {
            let duties = entry.duties.list();
            let overviews: Vec<_> = duties.iter().map(|duty| duty.overview()).collect();
            json::response(StatusCode::OK, &overviews)
        }
        _ => failure(StatusCode::NOT_FOUND, "no such page"),
    }
}

/// Ready once the control VMs were heard, until the VM stops.
fn ready(entry: &Entry) -> Response<Bytes> {
    match () {
        () if entry.stopping.get() => failure(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        () if entry.view.index() == 0 => failure(
            StatusCode::SERVICE_UNAVAILABLE,
            "the control VMs have not been heard yet",
        ),
        () => json::response(StatusCode::OK, &"ok"),
    }
}

fn metrics(entry: &Entry) -> Response<Bytes> {
    let duties = entry.duties.list();
    let overviews: Vec<_> = duties.iter().map(|duty| duty.overview()).collect();
    entry.metrics.duties(&overviews);
    Response::new(Bytes::from(entry.metrics.text()))
}

fn timeline(entry: &Entry, query: Option<&str>) -> Response<Bytes> {
    let after = query.and_then(|q| q.strip_prefix("after="));
    let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
    let events = entry.journal.since(after);
    json::response(StatusCode::OK, &api::Timeline { events })
}

fn failure(status: StatusCode, error: &str) -> Response<Bytes> {
    let failure = api::ErrorResponse {
        error: error.into(),
        may_have_run: false,
    };
    json::response(status, &failure)
}
