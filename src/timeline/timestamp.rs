//! Timestamps of the hybrid logical clock.

use serde::{Deserialize, Serialize};

/// Hybrid logical time, ordered by wall time and then by counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(expecting = "struct Stamp")]
pub struct Timestamp {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Orders timestamps of the same millisecond.
    pub counter: u32,
}

impl Timestamp {
    /// Next timestamp of a process whose wall clock reads `wall_ms`.
    #[must_use]
    pub fn next(self, wall_ms: u64) -> Self {
        if wall_ms > self.wall_ms {
            Self {
                wall_ms,
                counter: 0,
            }
        } else {
            Self {
                wall_ms: self.wall_ms,
                counter: self.counter.saturating_add(1),
            }
        }
    }
}
