//! The one place where time is read.
//!
//! Leases compare instants of one process only. These count the time that the
//! machine was suspended, as other processes did not stand still meanwhile. A
//! test moves the clock of its own thread with [`advance`], so that a lease can
//! run out without waiting.

use std::cell::Cell;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

thread_local! {
    static OFFSET: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// One moment by both clocks.
static START: OnceLock<(Instant, Duration)> = OnceLock::new();

/// Monotonic time that goes on while the machine is suspended, with the offset of this thread.
pub fn now() -> Instant {
    let (start, booted) = *START.get_or_init(|| (Instant::now(), since_boot()));
    start + since_boot().saturating_sub(booted) + OFFSET.get()
}

/// Time since the machine started, suspended or not.
fn since_boot() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer is to a timespec that may be written.
    unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
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

/// Serializes a [`Duration`] as a number and its unit, for `#[serde(with = "clock::text")]`.
///
/// It reads `1500ms` and `2.5s`, and writes whole milliseconds.
pub mod text {
    use serde::{Deserialize, Deserializer, Serializer, de};
    use std::borrow::Cow;
    use std::time::Duration;

    /// Longest time that is taken, in seconds: a year.
    const LONGEST_S: f64 = 31_536_000.0;

    /// Reads a number and its unit; `None` for anything else.
    pub fn parse(text: &str) -> Option<Duration> {
        let (number, scale) = match text.strip_suffix("ms") {
            Some(number) => (number, 0.001),
            None => (text.strip_suffix('s')?, 1.0),
        };
        let plain = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let seconds = number.parse::<f64>().ok().filter(|_| plain)? * scale;
        (seconds <= LONGEST_S).then(|| Duration::from_secs_f64(seconds))
    }

    /// Writes whole milliseconds.
    pub fn format(duration: Duration) -> String {
        format!("{}ms", super::as_ms(duration))
    }

    /// Writes whole milliseconds.
    pub fn serialize<S>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&format(*duration))
    }

    /// Reads a number and its unit.
    pub fn deserialize<'de, D>(deserializer: D) -> Result<Duration, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = Cow::<'de, str>::deserialize(deserializer)?;
        parse(&text).ok_or_else(|| de::Error::custom(format!("{text:?} is no time")))
    }
}
