//! Notices that backend servers give in the headers of their responses.
//!
//! A server that leaves says so in all of its responses, whatever they answer: the notice is
//! about the process at the other end of the connection. One that turns a request away may ask
//! for no requests for a while; that counts only in the response to a request of this VM.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, header};

use super::backend::Backend;
use super::{Gateway, increment};

/// Longest time for which a server gets no requests, whatever it asks for.
pub const MAX_QUIET: Duration = Duration::from_mins(1);

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
    let Some(duration) = quiet_duration(headers) else {
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

/// The time in `Retry-After`: the longest of several values, at most [`MAX_QUIET`].
///
/// A value is a number of seconds, which may have a fraction. Zero, a negative number, a date and
/// anything else ask for nothing.
pub fn quiet_duration(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all(header::RETRY_AFTER).iter();
    values.filter_map(parse_seconds).max()
}

fn parse_seconds(value: &HeaderValue) -> Option<Duration> {
    let text = value.to_str().ok()?.trim();
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    let seconds = seconds.min(MAX_QUIET.as_secs_f64());
    Some(Duration::from_secs_f64(seconds)).filter(|d| !d.is_zero())
}
