//! How much is asked for which keys.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::messages::Load;
use super::model::Key;
use crate::ids;

/// Buckets that the keys of a service are counted in.
pub const BUCKETS: usize = 512;

/// Keys of one bucket.
const BUCKET_KEYS: u32 = (Key::MAX as u32 + 1) / 512;

/// Part of a span's share that follows from its width alone, so that quiet keys count too.
const WIDTH_SHARE: f64 = 0.3;

/// Bucket of a key.
pub const fn bucket(key: Key) -> u16 {
    (key as u32 / BUCKET_KEYS) as u16
}

/// Requests by bucket, the recent ones counting more.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    services: BTreeMap<ids::ServiceName, Vec<f64>>,
}

impl Loads {
    /// Counts requests.
    pub fn add(&mut self, load: &Load) {
        let buckets = self
            .services
            .entry(Arc::clone(&load.service))
            .or_insert_with(|| vec![0.0; BUCKETS]);
        if let Some(count) = buckets.get_mut(usize::from(load.bucket)) {
            *count += f64::from(load.count);
        }
    }

    /// Lets what was counted so far count less.
    pub fn fade(&mut self, factor: f64) {
        for count in self.services.values_mut().flatten() {
            *count *= factor;
        }
    }

    /// Takes everything out, as counts to pass on.
    pub fn drain(&mut self) -> Vec<Load> {
        let mut loads = Vec::new();
        for (service, buckets) in std::mem::take(&mut self.services) {
            for (bucket, count) in (0..).zip(buckets).filter(|(_, c)| *c > 0.0) {
                loads.push(Load {
                    service: Arc::clone(&service),
                    bucket,
                    count: count as u32,
                });
            }
        }
        loads
    }

    /// Shares of the keys of one service.
    pub fn shares(&self, service: &str) -> Shares {
        let counts = self.services.get(service).map_or(&[][..], |c| c);
        let total: f64 = counts.iter().sum();
        let even = 1.0 / BUCKETS as f64;
        let share = |i| match counts.get(i) {
            Some(count) if total > 0.0 => {
                WIDTH_SHARE * even + (1.0 - WIDTH_SHARE) * count / total
            }
            _ => even,
        };
        Shares((0..BUCKETS).map(share).collect())
    }
}

/// Share of each bucket in all that a service is asked; they come to 1.
#[derive(Clone, Debug)]
pub struct Shares(Vec<f64>);

impl Shares {
    /// Share of a span of keys.
    pub fn of(&self, from: Key, to: Key) -> f64 {
        let (first, last) = (bucket(from), bucket(to));
        let part = |b: u16| {
            let start = u32::from(b) * BUCKET_KEYS;
            let low = start.max(u32::from(from));
            let high = (start + BUCKET_KEYS - 1).min(u32::from(to));
            f64::from(high.saturating_sub(low) + 1) / f64::from(BUCKET_KEYS)
        };
        let share = |b: u16| self.0.get(usize::from(b)).copied().unwrap_or(0.0);
        (first..=last).map(|b| share(b) * part(b)).sum()
    }

    /// Longest start of a span whose share is at most `limit`; its last key.
    pub fn upto(&self, from: Key, to: Key, limit: f64) -> Option<Key> {
        let (mut low, mut high) = (u32::from(from), u32::from(to) + 1);
        while low < high {
            let middle = low.midpoint(high);
            let last = Key::try_from(middle).unwrap_or(Key::MAX);
            if self.of(from, last) <= limit {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        let last = low.checked_sub(1)?;
        Key::try_from(last).ok().filter(|l| *l >= from)
    }
}
