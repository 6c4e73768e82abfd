//! When an idempotent request without a key is sent to a second backend server while the first
//! attempt is unanswered.
//!
//! Answers the load pattern of servers that are slow for moments: an attempt that is overdue when
//! a second one can still be answered within the latency target is likely to be late. The second
//! attempt is taken out of the retry budget, goes only where a slot is free by all that is known,
//! and is sent once. The first response that succeeds counts; the other attempt is cancelled.

use std::time::Duration;

/// Expected time of an attempt after which it is overdue, in units of that time.
const OVERDUE_RATIO: f64 = 1.2;

/// Time that the second attempt is given, in units of its expected time: individual requests
/// take longer than the average.
const SECOND_MARGIN: f64 = 1.3;

/// Share of the requests that a server takes well up to which it gets second attempts, so that they
/// never queue before first ones.
const FREE_SLOT_RATIO: f64 = 0.75;

/// Times that a second attempt depends on.
#[derive(Clone, Copy, Debug)]
pub struct HedgeTimes {
    /// Expected time of the first attempt at its server.
    pub first: Duration,
    /// Expected time of an attempt at an average server with a free slot.
    pub second: Duration,
    /// Time left until the latency target of the request.
    pub to_target: Duration,
}

/// Time after the start of the first attempt at which a second one is sent; `None` if the second
/// one would be too late or the first one not yet overdue.
pub fn delay(times: HedgeTimes) -> Option<Duration> {
    let latest = times
        .to_target
        .checked_sub(times.second.mul_f64(SECOND_MARGIN))?;
    (latest >= times.first.mul_f64(OVERDUE_RATIO)).then_some(latest)
}

/// Whether a server with `load` requests in flight, which takes `room` of them well, has a free slot
/// for a second attempt.
pub fn has_free_slot(load: f64, room: f64) -> bool {
    load + 1.0 <= (room * FREE_SLOT_RATIO).max(1.0)
}
