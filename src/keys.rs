//! Key hashes and spans of them.
//!
//! Spans of hashes have owners, single keys do not. A hot key becomes a span of
//! one hash, split out of the span around it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Hash of a key, below [`HASH_SPACE`].
pub type KeyHash = u64;

/// Number of different hashes, 2^48.
pub const HASH_SPACE: u64 = 1 << 48;

/// Hash of a key: the low 48 bits of XXH3-64 over its UTF-8 bytes.
pub fn hash(key: &str) -> KeyHash {
    xxhash_rust::xxh3::xxh3_64(key.as_bytes()) & (HASH_SPACE - 1)
}

/// Interval of hashes, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// Smallest hash.
    pub start: KeyHash,
    /// Greatest hash, at least `start`.
    pub end: KeyHash,
}

impl Span {
    /// All hashes.
    pub const ALL: Self = Self {
        start: 0,
        end: HASH_SPACE - 1,
    };

    /// Span of one hash.
    pub const fn single(hash: KeyHash) -> Self {
        Self {
            start: hash,
            end: hash,
        }
    }

    /// Whether the hash lies in the span.
    pub const fn contains(&self, hash: KeyHash) -> bool {
        self.start <= hash && hash <= self.end
    }

    /// Whether the spans have a hash in common.
    pub const fn overlaps(&self, other: &Self) -> bool {
        self.start <= other.end && other.start <= self.end
    }

    /// Number of hashes in the span.
    pub const fn width(&self) -> u64 {
        self.end - self.start + 1
    }

    /// Splits all hashes into `count` spans of nearly equal width; empty for zero.
    pub fn split_evenly(count: u64) -> Vec<Self> {
        let bound = |i: u64| HASH_SPACE / count * i + (HASH_SPACE % count) * i / count;
        (0..count)
            .map(|i| Self {
                start: bound(i),
                end: bound(i + 1) - 1,
            })
            .collect()
    }

    /// What is left of the span without `hash`, in order: up to two spans.
    pub fn without(&self, hash: KeyHash) -> Vec<Self> {
        if !self.contains(hash) {
            return vec![*self];
        }
        let left = (self.start < hash).then(|| Self {
            start: self.start,
            end: hash - 1,
        });
        let right = (hash < self.end).then(|| Self {
            start: hash + 1,
            end: self.end,
        });
        left.into_iter().chain(right).collect()
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:012x}-{:012x}", self.start, self.end)
    }
}
