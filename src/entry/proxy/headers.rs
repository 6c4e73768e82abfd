//! Header names, and filters of the headers that are passed on.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Service that a request is for.
pub const SERVICE: HeaderName = HeaderName::from_static("agateyoke-service");

/// Id of a claim.
pub const CLAIM: HeaderName = HeaderName::from_static("agateyoke-claim");

/// Alternative header for the id of a claim.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Fence of the grant under which a request goes to its owner.
pub const FENCE: HeaderName = HeaderName::from_static("agateyoke-fence");

/// Hash of the key.
pub const HASH: HeaderName = HeaderName::from_static("agateyoke-hash");

/// Time left until the deadline, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("agateyoke-deadline-ms");

/// Id of a request.
pub const REQUEST: HeaderName = HeaderName::from_static("agateyoke-request");

/// Verdict: whether a request may have run.
pub const VERDICT: HeaderName = HeaderName::from_static("agateyoke-verdict");

/// Backend server that responded.
pub const SERVER: HeaderName = HeaderName::from_static("agateyoke-server");

/// Availability zone of the owner.
pub const ZONE: HeaderName = HeaderName::from_static("agateyoke-zone");

/// Marks a response that is the recorded outcome of an earlier attempt.
pub const REPLAY: HeaderName = HeaderName::from_static("agateyoke-replay");

/// Marks the responses of a backend server that leaves.
pub const LEAVING: HeaderName = HeaderName::from_static("agateyoke-leaving");

/// Reason why an owner refused a request before running it.
pub const REFUSED: HeaderName = HeaderName::from_static("agateyoke-refused");

/// Headers that apply to one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Headers of requests to backend servers that only the proxy may set.
const PROXY_REQUEST_HEADERS: [HeaderName; 5] = [FENCE, HASH, DEADLINE, REQUEST, CLAIM];

/// Headers of responses to callers that only the proxy may set.
const PROXY_RESPONSE_HEADERS: [HeaderName; 9] = [
    VERDICT, SERVER, FENCE, ZONE, REQUEST, CLAIM, REPLAY, LEAVING, REFUSED,
];

/// Name of the header in which a caller sent the id of its claim.
pub fn claim_header(headers: &HeaderMap) -> Option<HeaderName> {
    let names = [CLAIM, IDEMPOTENCY_KEY];
    names.into_iter().find(|name| headers.contains_key(name))
}

/// Removes the headers of a caller's request that must not reach a backend server.
pub fn strip_request_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    headers.remove(header::EXPECT);
    for name in &PROXY_REQUEST_HEADERS {
        headers.remove(name);
    }
}

/// Removes the headers of a backend server's response that must not reach a caller.
pub fn strip_response_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    for name in &PROXY_RESPONSE_HEADERS {
        headers.remove(name);
    }
}

/// Value of a header that occurs exactly once and consists of visible ASCII characters.
pub fn single_value<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    match values.next() {
        None => value.to_str().ok(),
        Some(_) => None,
    }
}

/// Sets a header, unless `value` is no valid header value.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        for name in connection_options(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .flat_map(|value| value.as_bytes().split(|b| *b == b','))
        .filter_map(|option| HeaderName::from_bytes(option.trim_ascii()).ok())
        .collect()
}
