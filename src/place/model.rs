//! What the placement policy sees and decides.

use crate::document;
use crate::keys;

/// Weight of a span that comes from its width alone, as a share of the whole.
const WIDTH_SHARE: f64 = 0.1;

/// Tolerance when all three weights are equal.
const TOLERANCE: f64 = 0.10;

/// Least tolerance.
const TOLERANCE_LEAST: f64 = 0.05;

/// Greatest tolerance.
const TOLERANCE_MOST: f64 = 0.45;

/// Requests a second over all spans below which only the width counts.
const QUIET_RATE: f64 = 1.0;

/// A span.
#[derive(Clone, Debug, PartialEq)]
pub struct Shard {
    /// Span.
    pub span: keys::Span,
    /// Index of the server that owns it or will.
    pub owner: Option<usize>,
    /// Index of the server that should have it when it is free.
    pub last_owner: Option<usize>,
    /// Whether it may be given to a server now.
    pub free: bool,
    /// Whether it may be taken from its owner to even out load.
    pub movable: bool,
    /// Requests a second, smoothed.
    pub request_rate: f64,
    /// Its hot hashes with their requests a second.
    pub hot_hashes: Vec<(keys::KeyHash, f64)>,
}

/// A backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    /// Load that it can carry, in slots that are warm and healthy.
    pub capacity: f64,
    /// Whether it takes new spans.
    pub assignable: bool,
}

/// A span for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Index of the span.
    pub shard: usize,
    /// Index of the server.
    pub server: usize,
}

/// Number of hashes in a span, near enough for shares.
#[expect(
    clippy::cast_precision_loss,
    reason = "widths are at most 2^48 and shares need not be exact"
)]
pub const fn width(span: keys::Span) -> f64 {
    span.width() as f64
}

/// A hash to be split out of a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// Index of the span.
    pub shard: usize,
    /// Hash.
    pub hash: keys::KeyHash,
}

/// What one look at the load leads to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Spans to move, in order.
    pub moves: Vec<Assignment>,
    /// Hashes to split out.
    pub splits: Vec<Split>,
}

/// The document's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weights {
    /// Weight of uneven load.
    pub imbalance: u32,
    /// Weight of keys that change owner.
    pub churn: u32,
    /// Weight of time in which keys are not served.
    pub unavailable: u32,
}

impl Weights {
    /// Load over the fair share that is put up with, as a share of it.
    pub fn tolerance(self) -> f64 {
        let cost = f64::from(self.churn.saturating_add(self.unavailable));
        let gain = f64::from(self.imbalance).max(0.1) * 2.0;
        (TOLERANCE * cost / gain).clamp(TOLERANCE_LEAST, TOLERANCE_MOST)
    }
}

impl From<&document::Placement> for Weights {
    fn from(placement: &document::Placement) -> Self {
        Self {
            imbalance: placement.imbalance,
            churn: placement.churn,
            unavailable: placement.unavailable,
        }
    }
}

/// Weight of each span; the sum is 1 unless there are no spans.
pub fn shard_weights(pieces: &[Shard]) -> Vec<f64> {
    let total: f64 = pieces.iter().map(|p| width(p.span)).sum();
    let rate: f64 = pieces.iter().map(|p| p.request_rate).sum();
    let share = if rate < QUIET_RATE { 1.0 } else { WIDTH_SHARE };
    let weight = |p: &Shard| {
        let by_width = width(p.span) / total;
        let by_rate = p.request_rate / rate.max(QUIET_RATE);
        share * by_width + (1.0 - share) * by_rate
    };
    pieces.iter().map(weight).collect()
}

/// Weight owned by each server.
pub fn server_loads(pieces: &[Shard], weights: &[f64], servers: usize) -> Vec<f64> {
    let mut loads = vec![0.0; servers];
    for (piece, weight) in pieces.iter().zip(weights) {
        if let Some(load) = piece.owner.and_then(|o| loads.get_mut(o)) {
            *load += weight;
        }
    }
    loads
}
