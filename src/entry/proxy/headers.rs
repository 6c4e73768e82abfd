//! Header names, and which headers pass through.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Service that a request is for.
pub const SERVICE: HeaderName = HeaderName::from_static("agateyoke-service");

/// Id of a claim.
pub const CLAIM: HeaderName = HeaderName::from_static("agateyoke-claim");

/// Another name for the id of a claim.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Fence of the grant under which a request goes to its owner.
pub const FENCE: HeaderName = HeaderName::from_static("agateyoke-fence");

/// Hash of the key.
pub const HASH: HeaderName = HeaderName::from_static("agateyoke-hash");

/// Time left until the deadline, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("agateyoke-deadline-ms");

/// Id of a request.
pub const REQUEST: HeaderName = HeaderName::from_static("agateyoke-request");

/// Whether a request may have run.
pub const VERDICT: HeaderName = HeaderName::from_static("agateyoke-verdict");

/// Backend server that answered.
pub const SERVER: HeaderName = HeaderName::from_static("agateyoke-server");

/// Availability zone of the owner.
pub const ZONE: HeaderName = HeaderName::from_static("agateyoke-zone");

/// Whether the recorded outcome of an earlier attempt is given.
pub const REPLAY: HeaderName = HeaderName::from_static("agateyoke-replay");

/// Reason of an owner's refusal before work.
pub const REFUSED: HeaderName = HeaderName::from_static("agateyoke-refused");

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Headers that only an entry VM sets towards backend servers.
const OWN_TO_SERVERS: [HeaderName; 5] = [FENCE, HASH, DEADLINE, REQUEST, CLAIM];

/// Headers that only an entry VM sets towards callers.
const OWN_TO_CALLERS: [HeaderName; 8] = [
    VERDICT, SERVER, FENCE, ZONE, REQUEST, CLAIM, REPLAY, REFUSED,
];

/// The header in which a caller names its claim.
pub fn claim_header(headers: &HeaderMap) -> Option<HeaderName> {
    let names = [CLAIM, IDEMPOTENCY_KEY];
    names.into_iter().find(|name| headers.contains_key(name))
}

/// Takes out of a caller's request what must not reach a backend server.
pub fn clean_request(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    headers.remove(header::EXPECT);
    for name in &OWN_TO_SERVERS {
        headers.remove(name);
    }
}

/// Takes out of a backend server's answer what must not reach a caller.
pub fn clean_response(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    for name in &OWN_TO_CALLERS {
        headers.remove(name);
    }
}

/// The value of a header that stands once and is readable.
pub fn single<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    match values.next() {
        None => value.to_str().ok(),
        Some(_) => None,
    }
}

/// Sets a header, unless the value cannot stand in one.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        for name in named_by_connection(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .flat_map(|value| value.as_bytes().split(|b| *b == b','))
        .filter_map(|word| HeaderName::from_bytes(word.trim_ascii()).ok())
        .collect()
}
