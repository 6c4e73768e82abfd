//! Answers to callers, each with its verdict.

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

/// An answer to a caller.
#[derive(Debug)]
pub struct Answer {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Status, body and headers but for the own ones.
    pub response: http::Response<Bytes>,
    /// Who answered.
    pub owner: Option<Answered>,
    /// Id of the claim.
    pub claim: Option<ids::ClaimId>,
    /// Whether this is the recorded outcome of an earlier attempt.
    pub replay: bool,
    /// Whether the request was shed before it was sent.
    pub shed: bool,
}

/// The backend server that answered.
#[derive(Clone, Debug)]
pub struct Answered {
    /// Backend server.
    pub server: ids::ServerName,
    /// Fence of its grant.
    pub fence: ids::Fence,
    /// Availability zone, if it is known.
    pub zone: Option<ids::ZoneName>,
}

impl Answer {
    /// The owner's own answer.
    pub fn done(mut response: http::Response<Bytes>, owner: &Owner) -> Self {
        headers::clean_response(response.headers_mut());
        let answered = Answered {
            server: Arc::clone(&owner.server.server),
            fence: owner.fence,
            zone: Some(Arc::clone(&owner.zone)),
        };
        Self {
            owner: Some(answered),
            ..Self::new(Verdict::Done, response)
        }
    }

    /// The recorded outcome of an earlier attempt.
    pub fn replay(outcome: Outcome) -> Self {
        let mut response = http::Response::new(Bytes::copy_from_slice(outcome.body.as_bytes()));
        *response.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or_else(|error| {
            // No success may come of a record that says nothing of the kind.
            log::error!("event=claim.status error={:?}", error.to_string());
            StatusCode::INTERNAL_SERVER_ERROR
        });
        if let Some(kind) = &outcome.content_type {
            headers::set(response.headers_mut(), header::CONTENT_TYPE, kind);
        }
        let answered = Answered {
            server: outcome.server,
            fence: outcome.fence,
            zone: None,
        };
        Self {
            owner: Some(answered),
            replay: true,
            ..Self::new(Verdict::Done, response)
        }
    }

    /// An answer to a request that has not run.
    pub fn not_run(status: StatusCode, error: &str) -> Self {
        Self::failure(Verdict::NotRun, status, error)
    }

    /// An answer to a request that has not run and may come back later.
    pub fn come_back(after: Duration, error: &str) -> Self {
        let mut answer = Self::not_run(StatusCode::SERVICE_UNAVAILABLE, error);
        let whole = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        let seconds = HeaderValue::from(whole.max(1));
        let headers = answer.response.headers_mut();
        headers.insert(header::RETRY_AFTER, seconds);
        answer
    }

    /// An answer to a request that may have run.
    pub fn may_have_run(status: StatusCode, error: &str) -> Self {
        Self::failure(Verdict::MayHaveRun, status, error)
    }

    /// The same answer when an earlier sending may have run.
    #[must_use]
    pub fn unsure(self, error: &str) -> Self {
        let mut answer = Self::may_have_run(self.response.status(), error);
        if let Some(after) = self.response.headers().get(header::RETRY_AFTER) {
            let headers = answer.response.headers_mut();
            headers.insert(header::RETRY_AFTER, after.clone());
        }
        answer.shed = self.shed;
        answer
    }

    fn failure(verdict: Verdict, status: StatusCode, error: &str) -> Self {
        let failure = api::ErrorResponse {
            error: error.into(),
            may_have_run: verdict == Verdict::MayHaveRun,
        };
        Self::new(verdict, json::response(status, &failure))
    }

    fn new(verdict: Verdict, response: http::Response<Bytes>) -> Self {
        Self {
            verdict,
            response,
            owner: None,
            claim: None,
            replay: false,
            shed: false,
        }
    }

    /// The response as the caller gets it.
    pub fn into_response(self, id: &str) -> http::Response<Bytes> {
        let mut response = self.response;
        let out = response.headers_mut();
        let verdict = HeaderValue::from_static(self.verdict.as_str());
        out.insert(headers::VERDICT, verdict);
        headers::set(out, headers::REQUEST, id);
        if let Some(owner) = &self.owner {
            headers::set(out, headers::SERVER, &owner.server);
            out.insert(headers::FENCE, HeaderValue::from(owner.fence));
            if let Some(zone) = &owner.zone {
                headers::set(out, headers::ZONE, zone);
            }
        }
        if let Some(claim) = &self.claim {
            headers::set(out, headers::CLAIM, claim);
        }
        if self.replay {
            out.insert(headers::REPLAY, HeaderValue::from_static("true"));
        }
        response
    }
}
