//! How much is asked for which keys.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::messages::Load;
use super::model::Key;
use crate::ids;

/// Buckets that the keys of a service are counted in: a few busy keys, close to
/// one another, may be more than one backend server can do.
pub const BUCKETS: usize = 4096;

/// Keys of one bucket.
const BUCKET_KEYS: u16 = 16;

/// Part of a span's share that follows from its width alone, so that quiet keys count too.
const WIDTH_SHARE: f64 = 0.15;

/// Count below which a bucket is taken for quiet.
const FORGOTTEN: f64 = 0.05;

/// Bucket of a key.
pub const fn bucket(key: Key) -> u16 {
    key / BUCKET_KEYS
}

/// Requests by bucket, the recent ones counting more.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    services: BTreeMap<ids::ServiceName, BTreeMap<u16, f64>>,
}

impl Loads {
    /// Counts one request.
    pub fn one(&mut self, service: &ids::ServiceName, key: Key) {
        self.put(service, bucket(key), 1.0);
    }

    /// Counts requests.
    pub fn add(&mut self, load: &Load) {
        for &(bucket, count) in &load.counts {
            self.put(&load.service, bucket, f64::from(count));
        }
    }

    fn put(&mut self, service: &ids::ServiceName, bucket: u16, count: f64) {
        let buckets = self.services.entry(Arc::clone(service)).or_default();
        *buckets.entry(bucket).or_insert(0.0) += count;
    }

    /// Lets what was counted so far count less.
    pub fn fade(&mut self, factor: f64) {
        for buckets in self.services.values_mut() {
            buckets.retain(|_, count| {
                *count *= factor;
                *count > FORGOTTEN
            });
        }
    }

    /// Takes everything out, as counts to pass on.
    pub fn drain(&mut self) -> Vec<Load> {
        let services = std::mem::take(&mut self.services).into_iter();
        let load = |(service, buckets): (_, BTreeMap<u16, f64>)| Load {
            service,
            counts: buckets.into_iter().map(|(b, c)| (b, whole(c))).collect(),
        };
        services.map(load).collect()
    }

    /// Requests counted for a service, those of some time ago in part.
    pub fn total(&self, service: &str) -> f64 {
        let buckets = self.services.get(service);
        buckets.map_or(0.0, |b| b.values().sum())
    }

    /// Shares of the keys of one service.
    pub fn shares(&self, service: &str) -> Shares {
        let even = f64::from(BUCKET_KEYS) / (f64::from(Key::MAX) + 1.0);
        let total = self.total(service);
        if total <= 0.0 {
            return Shares(vec![even; BUCKETS]);
        }
        let mut shares = vec![WIDTH_SHARE * even; BUCKETS];
        for (bucket, count) in self.services.get(service).into_iter().flatten() {
            if let Some(share) = shares.get_mut(usize::from(*bucket)) {
                *share += (1.0 - WIDTH_SHARE) * count / total;
            }
        }
        Shares(shares)
    }
}

/// A count of requests between two passes, which is whole and small.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts are whole, positive and far below 2^32"
)]
const fn whole(count: f64) -> u32 {
    count as u32
}

/// Share of each bucket in all that a service is asked; they come to 1.
#[derive(Clone, Debug)]
pub struct Shares(Vec<f64>);

impl Shares {
    /// Share of a span of keys.
    pub fn of(&self, from: Key, to: Key) -> f64 {
        let (first, last) = (bucket(from), bucket(to));
        let part = |b: u16| {
            let low = (b * BUCKET_KEYS).max(from);
            let high = (b * BUCKET_KEYS + (BUCKET_KEYS - 1)).min(to);
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
