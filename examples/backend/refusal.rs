//! Refusals of requests before they run.

use bytes::Bytes;
use http::{HeaderValue, StatusCode};

/// Header with the reason.
const REASON_HEADER: &str = "agateyoke-refused";

/// Reason for the refusal of a request that has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    /// The grant isn't held, or only under another fence.
    Fence,
    /// The lease has expired.
    Lease,
    /// The server is overloaded.
    Shed,
    /// The server is drained.
    Drain,
    /// The deadline has passed, or the caller has disconnected.
    Deadline,
}

impl RefusalReason {
    /// Value of the header.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Fence => "fence",
            Self::Lease => "lease",
            Self::Shed => "shed",
            Self::Drain => "drain",
            Self::Deadline => "deadline",
        }
    }

    /// Response for this refusal.
    pub(crate) fn response(self) -> http::Response<Bytes> {
        let reason = self.as_str();
        let status = match self {
            Self::Fence | Self::Lease => StatusCode::CONFLICT,
            Self::Shed | Self::Drain | Self::Deadline => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = http::Response::new(Bytes::from_static(reason.as_bytes()));
        *response.status_mut() = status;
        let reason = HeaderValue::from_static(reason);
        response.headers_mut().insert(REASON_HEADER, reason);
        response
    }
}
