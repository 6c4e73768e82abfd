//! Keys by a Zipf distribution.

use std::sync::Arc;

/// Limit of the number of keys.
const MAX_KEYS: usize = 10_000_000;

/// Keys to sample; the first is the most frequent.
#[derive(Debug)]
pub(crate) struct Keys {
    /// Cumulative weights: the sum of the weights up to and including each key.
    cumulative_weights: Vec<f64>,
}

impl Keys {
    /// A set of `count` keys, the n-th with weight `1 / n^exponent`.
    pub(crate) fn new(count: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let mut number = 0.0;
        let cumulative_weights = (0..count.clamp(1, MAX_KEYS)).map(|_| {
            number += 1.0;
            sum += f64::powf(number, -exponent);
            sum
        });
        Self {
            cumulative_weights: cumulative_weights.collect(),
        }
    }

    /// The key at an index, modulo the number of keys.
    pub(crate) fn sequential(&self, index: u64) -> Arc<str> {
        let count = self.cumulative_weights.len().max(1) as u64;
        format!("key-{}", index % count).into()
    }

    /// A random key by weight.
    pub(crate) fn sample(&self, random: &mut fastrand::Rng) -> Arc<str> {
        let total = self.cumulative_weights.last().copied().unwrap_or_default();
        let target = random.f64() * total;
        let index = self
            .cumulative_weights
            .partition_point(|sum| *sum <= target);
        format!("key-{index}").into()
    }
}
