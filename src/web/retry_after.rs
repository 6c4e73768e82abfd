//! The header `Retry-After` in responses of backend servers.
//!
//! A server asks with it for no requests for a while. No value may keep requests away
//! for good.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, header};

/// Longest time for which a server gets no requests, whatever it asks for.
pub const MAX_QUIET: Duration = Duration::from_mins(1);

/// The time in `Retry-After`: the longest of several values, at most [`MAX_QUIET`].
///
/// A value is a number of seconds, which may have a fraction. Zero, a negative number, a date and
/// anything else ask for nothing.
pub fn parse(headers: &HeaderMap) -> Option<Duration> {
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
