//! Keys by a Zipf distribution.

use std::sync::Arc;

/// Most keys that are drawn from.
const KEYS_LIMIT: usize = 10_000_000;

/// Draws keys; the first is the most frequent.
#[derive(Debug)]
pub(crate) struct Keys {
    /// Sum of the weights of all keys up to each one.
    sums: Vec<f64>,
}

impl Keys {
    /// Draws from `count` keys, the n-th with weight `1 / n^exponent`.
    pub(crate) fn new(count: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let mut number = 0.0;
        let sums = (0..count.clamp(1, KEYS_LIMIT)).map(|_| {
            number += 1.0;
            sum += f64::powf(number, -exponent);
            sum
        });
        Self {
            sums: sums.collect(),
        }
    }

    /// The key at a place in the turn.
    pub(crate) fn turn(&self, place: u64) -> Arc<str> {
        let count = self.sums.len().max(1) as u64;
        format!("key-{}", place % count).into()
    }

    /// The next key at random.
    pub(crate) fn draw(&self, random: &mut fastrand::Rng) -> Arc<str> {
        let whole = self.sums.last().copied().unwrap_or_default();
        let at = random.f64() * whole;
        let index = self.sums.partition_point(|sum| *sum <= at);
        format!("key-{index}").into()
    }
}
