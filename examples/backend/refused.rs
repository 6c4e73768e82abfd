//! Refusals before work: the request has not run.

use bytes::Bytes;
use http::{HeaderValue, StatusCode};

/// Header that names the reason.
const HEADER: &str = "agateyoke-refused";

/// Why a request was refused before work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    /// The grant is not held, or under another fence.
    Fence,
    /// The lease has run out.
    Lease,
    /// There is too much to do.
    Shed,
    /// The server is leaving.
    Drain,
    /// The deadline has passed, or the caller has gone.
    Deadline,
}

impl Refused {
    /// The reason in one word.
    pub(crate) const fn reason(self) -> &'static str {
        match self {
            Self::Fence => "fence",
            Self::Lease => "lease",
            Self::Shed => "shed",
            Self::Drain => "drain",
            Self::Deadline => "deadline",
        }
    }

    /// The answer that says so.
    pub(crate) fn response(self) -> http::Response<Bytes> {
        let reason = self.reason();
        let status = match self {
            Self::Fence | Self::Lease => StatusCode::CONFLICT,
            Self::Shed | Self::Drain | Self::Deadline => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = http::Response::new(Bytes::from_static(reason.as_bytes()));
        *response.status_mut() = status;
        let reason = HeaderValue::from_static(reason);
        response.headers_mut().insert(HEADER, reason);
        response
    }
}
