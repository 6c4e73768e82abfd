//! Input and output of the placement policy.

use crate::document;
use crate::keys;

/// Share of a span's weight that comes from its width; the rest comes from its request rate.
const WIDTH_WEIGHT: f64 = 0.1;

/// Tolerance when all three weights are equal.
const BASE_TOLERANCE: f64 = 0.10;

/// Lowest tolerance, whatever the weights.
const MIN_TOLERANCE: f64 = 0.05;

/// Highest tolerance, whatever the weights.
const MAX_TOLERANCE: f64 = 0.45;

/// Requests per second over all spans below which only the width counts.
const MIN_TOTAL_RATE: f64 = 1.0;

/// A span with its owner and load.
#[derive(Clone, Debug, PartialEq)]
pub struct Shard {
    /// Span.
    pub span: keys::Span,
    /// Index of the current or next owner.
    pub owner: Option<usize>,
    /// Index of the server that is preferred for a free span.
    pub last_owner: Option<usize>,
    /// Whether the span may be assigned to a server now.
    pub free: bool,
    /// Whether the span may be moved to rebalance load.
    pub movable: bool,
    /// Requests per second, smoothed.
    pub request_rate: f64,
    /// Hot hashes in the span with their requests per second.
    pub hot_hashes: Vec<(keys::KeyHash, f64)>,
}

/// A backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    /// Capacity in slots, reduced by warm-up and health.
    pub capacity: f64,
    /// Whether the server may be assigned spans.
    pub assignable: bool,
}

/// Assignment of a span to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Index of the span.
    pub shard: usize,
    /// Index of the server.
    pub server: usize,
}

/// Number of hashes in a span, approximately.
#[expect(
    clippy::cast_precision_loss,
    reason = "widths are at most 2^48 and shares need not be exact"
)]
pub const fn width(span: keys::Span) -> f64 {
    span.width() as f64
}

/// A hash to split out of a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// Index of the span.
    pub shard: usize,
    /// Hash.
    pub hash: keys::KeyHash,
}

/// Outcome of one rebalancing pass.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Spans to move, in order.
    pub moves: Vec<Assignment>,
    /// Hashes to split out of their spans.
    pub splits: Vec<Split>,
}

/// Placement weights of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weights {
    /// Weight of imbalanced load.
    pub imbalance: u32,
    /// Weight of keys that change owner.
    pub churn: u32,
    /// Weight of time in which keys have no route.
    pub unavailable: u32,
}

impl Weights {
    /// Tolerated excess of a server's load over its fair share, as a fraction of that share.
    pub fn tolerance(self) -> f64 {
        let cost = f64::from(self.churn.saturating_add(self.unavailable));
        let gain = f64::from(self.imbalance).max(0.1) * 2.0;
        (BASE_TOLERANCE * cost / gain).clamp(MIN_TOLERANCE, MAX_TOLERANCE)
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

/// Load weight of each span; the sum is 1 unless there are no spans.
pub fn shard_weights(shards: &[Shard]) -> Vec<f64> {
    let total_width: f64 = shards.iter().map(|s| width(s.span)).sum();
    let total_rate: f64 = shards.iter().map(|s| s.request_rate).sum();
    let width_weight = if total_rate < MIN_TOTAL_RATE {
        1.0
    } else {
        WIDTH_WEIGHT
    };
    let weight = |s: &Shard| {
        let by_width = width(s.span) / total_width;
        let by_rate = s.request_rate / total_rate.max(MIN_TOTAL_RATE);
        width_weight * by_width + (1.0 - width_weight) * by_rate
    };
    shards.iter().map(weight).collect()
}

/// Total weight of the spans of each server.
pub fn server_loads(shards: &[Shard], weights: &[f64], servers: usize) -> Vec<f64> {
    let mut loads = vec![0.0; servers];
    for (shard, weight) in shards.iter().zip(weights) {
        if let Some(load) = shard.owner.and_then(|o| loads.get_mut(o)) {
            *load += weight;
        }
    }
    loads
}
