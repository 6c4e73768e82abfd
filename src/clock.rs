//! The one place where time is read.
//!
//! Leases compare monotonic instants of one process only. A test moves the
//! clock of its own thread with [`advance`], so that a lease can run out
//! without waiting.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

thread_local! {
    static OFFSET: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Monotonic time, with the offset of this thread.
pub fn now() -> Instant {
    Instant::now() + OFFSET.get()
}

/// Wall time in milliseconds since the Unix epoch, with the offset of this thread.
pub fn wall_ms() -> u64 {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    as_ms(wall + OFFSET.get())
}

/// Moves the clock of this thread forward.
pub fn advance(by: Duration) {
    OFFSET.set(OFFSET.get() + by);
}

/// Whole milliseconds of a duration, capped at `u64::MAX`.
pub fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Serializes a [`Duration`] as whole milliseconds, for `#[serde(with = "clock::millis")]`.
pub mod millis {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    /// Writes whole milliseconds.
    pub fn serialize<S>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_u64(super::as_ms(*duration))
    }

    /// Reads whole milliseconds.
    pub fn deserialize<'de, D>(deserializer: D) -> Result<Duration, D::Error>
    where
        D: Deserializer<'de>,
    {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}
