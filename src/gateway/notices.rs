//! Notices that backend servers give in the headers of their responses.
//!
//! A server that leaves says so in all of its responses, whatever they answer: the notice is
//! about the process at the other end of the connection. One that turns a request away may ask
//! for no requests for a while; that counts only in the response to a request of this VM.

use http::HeaderMap;

use super::backend::Backend;
use super::{Gateway, increment};
use crate::web::retry_after;

/// Value of the header that marks the responses of a server that leaves.
const LEAVING: &[u8] = b"1";

/// Records whether a response says that its server leaves.
pub(super) fn record_leaving(gateway: &Gateway, backend: &Backend, headers: &HeaderMap) {
    let value = headers.get(&gateway.header_names.server_leaving);
    if value.is_some_and(|v| v.as_bytes() == LEAVING) && backend.record_leaving() {
        increment(&gateway.counters.leaving);
        gateway.noticed.wake();
        log::info!(
            "event=gateway.server_leaving server={:?}",
            backend.server().incarnation.server
        );
    }
}

/// Records for how long a response asks that its server gets no requests.
pub(super) fn record_quiet(gateway: &Gateway, backend: &Backend, headers: &HeaderMap) {
    let Some(duration) = retry_after::parse(headers) else {
        return;
    };
    if backend.record_quiet(duration) {
        increment(&gateway.counters.quiet);
        log::info!(
            "event=gateway.server_quiet server={:?} for_ms={}",
            backend.server().incarnation.server,
            duration.as_millis()
        );
    }
}
