//! Clocks; all code reads the time through this module.
//!
//! A lease compares only instants of the same process. Instants include the time
//! for which the machine was suspended, as processes on other machines kept
//! running meanwhile. A test moves the clock of its own thread with [`advance`], so that a
//! lease can expire without waiting.

use std::cell::Cell;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

thread_local! {
    static THREAD_OFFSET: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

#[cfg(test)]
thread_local! {
    static FROZEN_AT: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Reference moment of [`now`], as an instant and as the time since boot.
static START: OnceLock<(Instant, Duration)> = OnceLock::new();

/// Monotonic time, suspended time included, plus the offset of this thread.
pub fn now() -> Instant {
    #[cfg(test)]
    if let Some(at) = FROZEN_AT.get() {
        return at + THREAD_OFFSET.get();
    }
    let (start, start_uptime) = *START.get_or_init(|| (Instant::now(), uptime()));
    start + uptime().saturating_sub(start_uptime) + THREAD_OFFSET.get()
}

/// Time since boot, suspended time included.
fn uptime() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer is to a writable timespec.
    unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Wall clock in milliseconds since the Unix epoch, plus the offset of this thread.
pub fn wall_ms() -> u64 {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    as_ms(wall + THREAD_OFFSET.get())
}

/// Moves the clocks of this thread forward.
pub fn advance(by: Duration) {
    THREAD_OFFSET.set(THREAD_OFFSET.get() + by);
}

/// Stops [`now`] in this thread, so that only [`advance`] moves it and a replay is repeatable.
#[cfg(test)]
pub(crate) fn freeze() {
    FROZEN_AT.set(Some(now()));
}

/// Whole milliseconds of a duration, capped at `u64::MAX`.
pub fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Serializes a [`Duration`] as whole milliseconds, for `#[serde(with = "clock::millis")]`.
pub mod millis {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    /// Serializes as an integer.
    pub fn serialize<S>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_u64(super::as_ms(*duration))
    }

    /// Deserializes an integer.
    pub fn deserialize<'de, D>(deserializer: D) -> Result<Duration, D::Error>
    where
        D: Deserializer<'de>,
    {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}

/// Serializes a [`Duration`] as text with a unit, for `#[serde(with = "clock::text")]`.
///
/// Accepts `1500ms` and `2.5s`; writes whole milliseconds.
pub mod text {
    use serde::{Deserialize, Deserializer, Serializer, de};
    use std::borrow::Cow;
    use std::time::Duration;

    /// Longest duration that is accepted, one year.
    const MAX_SECONDS: f64 = 31_536_000.0;

    /// Parses a number with the unit `s` or `ms`; `None` for anything else or more than a year.
    pub fn parse(text: &str) -> Option<Duration> {
        let (number, scale) = match text.strip_suffix("ms") {
            Some(number) => (number, 0.001),
            None => (text.strip_suffix('s')?, 1.0),
        };
        let is_plain_decimal = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let seconds = number.parse::<f64>().ok().filter(|_| is_plain_decimal)? * scale;
        (seconds <= MAX_SECONDS).then(|| Duration::from_secs_f64(seconds))
    }

    /// Formats as whole milliseconds, such as `1500ms`.
    pub fn format(duration: Duration) -> String {
        format!("{}ms", super::as_ms(duration))
    }

    /// Serializes as text in whole milliseconds.
    pub fn serialize<S>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&format(*duration))
    }

    /// Deserializes a number with its unit.
    pub fn deserialize<'de, D>(deserializer: D) -> Result<Duration, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = Cow::<'de, str>::deserialize(deserializer)?;
        parse(&text).ok_or_else(|| de::Error::custom(format!("{text:?} is no time")))
    }
}

/// Serializes an optional [`Duration`] as [`text`] or null, for
/// `#[serde(with = "clock::optional_text")]`.
pub mod optional_text {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    #[derive(Deserialize)]
    struct Text(#[serde(with = "super::text")] Duration);

    /// Serializes as text in whole milliseconds, or as null.
    pub fn serialize<S>(duration: &Option<Duration>, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match duration {
            Some(duration) => super::text::serialize(duration, serializer),
            None => serializer.serialize_none(),
        }
    }

    /// Deserializes a number with its unit, or null.
    pub fn deserialize<'de, D>(deserializer: D) -> Result<Option<Duration>, D::Error>
    where
        D: Deserializer<'de>,
    {
        Ok(Option::<Text>::deserialize(deserializer)?.map(|t| t.0))
    }
}
