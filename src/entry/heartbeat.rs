//! HTTP interface for the heartbeats of backend servers, `POST /v1/lease`.

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};

use super::daemon::EntryContext;
use crate::clock;
use crate::control::api;
use crate::heartbeat::HeartbeatResponse;
use crate::web::json;

/// Handles one request.
#[expect(
    clippy::unused_async,
    reason = "the server takes asynchronous handlers"
)]
pub async fn handle(entry: Rc<EntryContext>, request: Request<Bytes>) -> Response<Bytes> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/v1/lease") => lease(&entry, request.body()),
        _ => error_response(StatusCode::NOT_FOUND, "POST /v1/lease is all there is here"),
    }
}

fn lease(entry: &EntryContext, body: &Bytes) -> Response<Bytes> {
    let request = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    match entry.heartbeats.lease(clock::now(), &request) {
        HeartbeatResponse::Lease(response) => json::response(StatusCode::OK, &response),
        HeartbeatResponse::NotPrimary(not_primary) => {
            json::response(StatusCode::MISDIRECTED_REQUEST, &not_primary)
        }
        HeartbeatResponse::Unavailable => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the carrier may not act now; ask again soon",
        ),
        HeartbeatResponse::Invalid(error) => {
            error_response(StatusCode::BAD_REQUEST, &error.to_string())
        }
    }
}

fn error_response(status: StatusCode, error: &str) -> Response<Bytes> {
    let response = api::ErrorResponse {
        error: error.into(),
        may_have_run: false,
    };
    json::response(status, &response)
}
