//! A stamp of the hybrid logical clock.

use serde::{Deserialize, Serialize};

/// Hybrid logical time; ordered by wall time, then by counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Counter among stamps of one millisecond.
    pub counter: u32,
}

impl Stamp {
    /// The next stamp of a process at wall time `wall_ms`.
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
