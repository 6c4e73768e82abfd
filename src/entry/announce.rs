//! Answers to backend servers, `POST /v1/lease`.

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};

use super::daemon::Entry;
use crate::clock;
use crate::control::api;
use crate::heartbeat::HeartbeatResponse;
use crate::web::json;

/// Answers one request.
#[expect(
    clippy::unused_async,
    reason = "the server takes asynchronous handlers"
)]
pub async fn answer(entry: Rc<Entry>, request: Request<Bytes>) -> Response<Bytes> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/v1/lease") => lease(&entry, request.body()),
        _ => failure(StatusCode::NOT_FOUND, "POST /v1/lease is all there is here"),
    }
}

fn lease(entry: &Entry, body: &Bytes) -> Response<Bytes> {
    let request = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return failure(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    match entry.heartbeats.lease(clock::now(), &request) {
        HeartbeatResponse::Lease(answer) => json::response(StatusCode::OK, &answer),
        HeartbeatResponse::NotPrimary(elsewhere) => {
            json::response(StatusCode::MISDIRECTED_REQUEST, &elsewhere)
        }
        HeartbeatResponse::Unavailable => failure(
            StatusCode::SERVICE_UNAVAILABLE,
            "the carrier may not act now; ask again soon",
        ),
        HeartbeatResponse::Invalid(error) => failure(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn failure(status: StatusCode, error: &str) -> Response<Bytes> {
    let failure = api::ErrorResponse {
        error: error.into(),
        may_have_run: false,
    };
    json::response(status, &failure)
}
