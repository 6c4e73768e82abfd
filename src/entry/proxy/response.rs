//! Responses to callers, each with its verdict.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};

use super::headers;
use crate::claim::messages::Outcome;
use crate::control::api;
use crate::ids;
use crate::route::table::Owner;
use crate::verdict::Verdict;
use crate::web::json;

/// Response to a caller.
#[derive(Debug)]
pub struct ProxyResponse {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Status, body and headers without those that the proxy sets.
    pub http: http::Response<Bytes>,
    /// Backend server whose response or outcome this is.
    pub responder: Option<Responder>,
    /// Id of the claim.
    pub claim: Option<ids::ClaimId>,
    /// Whether this is the recorded outcome of an earlier attempt.
    pub is_replay: bool,
    /// Whether the request was shed before it was sent.
    pub shed: bool,
}

/// Backend server that responded.
#[derive(Clone, Debug)]
pub struct Responder {
    /// Backend server.
    pub server: ids::ServerName,
    /// Fence of the grant under which the server ran the request.
    pub fence: ids::Fence,
    /// Availability zone, `None` for a recorded outcome.
    pub zone: Option<ids::ZoneName>,
}

impl ProxyResponse {
    /// Response of the owner.
    pub fn done(mut response: http::Response<Bytes>, owner: &Owner) -> Self {
        headers::strip_response_headers(response.headers_mut());
        let responder = Responder {
            server: Arc::clone(&owner.server.server),
            fence: owner.fence,
            zone: Some(Arc::clone(&owner.zone)),
        };
        Self {
            responder: Some(responder),
            ..Self::new(Verdict::Done, response)
        }
    }

    /// The recorded outcome of an earlier attempt.
    pub fn replay(outcome: Outcome) -> Self {
        let mut response = http::Response::new(Bytes::copy_from_slice(outcome.body.as_bytes()));
        *response.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or_else(|error| {
            // A record without a valid status must not be reported as a success.
            log::error!("event=claim.status error={:?}", error.to_string());
            StatusCode::INTERNAL_SERVER_ERROR
        });
        if let Some(content_type) = &outcome.content_type {
            headers::set(response.headers_mut(), header::CONTENT_TYPE, content_type);
        }
        let responder = Responder {
            server: outcome.server,
            fence: outcome.fence,
            zone: None,
        };
        Self {
            responder: Some(responder),
            is_replay: true,
            ..Self::new(Verdict::Done, response)
        }
    }

    /// Response to a request that has not run.
    pub fn not_run(status: StatusCode, error: &str) -> Self {
        Self::with_error(Verdict::NotRun, status, error)
    }

    /// Response to a request that has not run and may be sent again after `delay`.
    pub fn retry_later(delay: Duration, error: &str) -> Self {
        let mut response = Self::not_run(StatusCode::SERVICE_UNAVAILABLE, error);
        let rounded_up = delay.as_secs() + u64::from(delay.subsec_nanos() > 0);
        let seconds = HeaderValue::from(rounded_up.max(1));
        let headers = response.http.headers_mut();
        headers.insert(header::RETRY_AFTER, seconds);
        response
    }

    /// Response to a request that may have run.
    pub fn may_have_run(status: StatusCode, error: &str) -> Self {
        Self::with_error(Verdict::MayHaveRun, status, error)
    }

    /// Changes the verdict to "may have run", because an earlier attempt may have.
    #[must_use]
    pub fn into_may_have_run(self, error: &str) -> Self {
        let mut response = Self::may_have_run(self.http.status(), error);
        if let Some(retry_after) = self.http.headers().get(header::RETRY_AFTER) {
            let headers = response.http.headers_mut();
            headers.insert(header::RETRY_AFTER, retry_after.clone());
        }
        response.shed = self.shed;
        response
    }

    fn with_error(verdict: Verdict, status: StatusCode, error: &str) -> Self {
        let failure = api::ErrorResponse {
            error: error.into(),
            may_have_run: verdict == Verdict::MayHaveRun,
        };
        Self::new(verdict, json::response(status, &failure))
    }

    fn new(verdict: Verdict, http: http::Response<Bytes>) -> Self {
        Self {
            verdict,
            http,
            responder: None,
            claim: None,
            is_replay: false,
            shed: false,
        }
    }

    /// Response with all headers, as the caller gets it.
    pub fn into_http(self, request_id: &str) -> http::Response<Bytes> {
        let mut response = self.http;
        let fields = response.headers_mut();
        let verdict = HeaderValue::from_static(self.verdict.as_str());
        fields.insert(headers::VERDICT, verdict);
        headers::set(fields, headers::REQUEST, request_id);
        if let Some(responder) = &self.responder {
            headers::set(fields, headers::SERVER, &responder.server);
            fields.insert(headers::FENCE, HeaderValue::from(responder.fence));
            if let Some(zone) = &responder.zone {
                headers::set(fields, headers::ZONE, zone);
            }
        }
        if let Some(claim) = &self.claim {
            headers::set(fields, headers::CLAIM, claim);
        }
        if self.is_replay {
            fields.insert(headers::REPLAY, HeaderValue::from_static("true"));
        }
        response
    }
}
