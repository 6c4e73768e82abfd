//! How much is asked for which keys.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::messages::ServiceLoad;
use super::model::Key;
use crate::ids;

/// Number of all keys.
const KEYS: f64 = 65536.0;

/// VmRole of a span's share that follows from its width alone, so that quiet keys count too.
const WIDTH_SHARE: f64 = 0.15;

/// Count below which a key is taken for quiet.
const FORGOTTEN: f64 = 0.05;

/// Requests by key, the recent ones counting more.
#[derive(Clone, Debug, Default)]
pub struct LoadCounts {
    services: BTreeMap<ids::ServiceName, BTreeMap<Key, f64>>,
}

impl LoadCounts {
    /// Counts one request.
    pub fn count(&mut self, service: &ids::ServiceName, key: Key) {
        self.put(service, key, 1.0);
    }

    /// Counts requests.
    pub fn add(&mut self, load: &ServiceLoad) {
        for &(key, count) in &load.counts {
            self.put(&load.service, key, f64::from(count));
        }
    }

    fn put(&mut self, service: &ids::ServiceName, key: Key, count: f64) {
        let keys = self.services.entry(Arc::clone(service)).or_default();
        *keys.entry(key).or_insert(0.0) += count;
    }

    /// Lets what was counted so far count less.
    pub fn decay(&mut self, factor: f64) {
        for keys in self.services.values_mut() {
            keys.retain(|_, count| {
                *count *= factor;
                *count > FORGOTTEN
            });
        }
    }

    /// Takes everything out, as counts to pass on.
    pub fn drain(&mut self) -> Vec<ServiceLoad> {
        let services = std::mem::take(&mut self.services).into_iter();
        let load = |(service, keys): (_, BTreeMap<Key, f64>)| ServiceLoad {
            service,
            counts: keys.into_iter().map(|(k, c)| (k, whole(c))).collect(),
        };
        services.map(load).collect()
    }

    /// Requests counted for a service, those of some time ago in part.
    pub fn total(&self, service: &str) -> f64 {
        let keys = self.services.get(service);
        keys.map_or(0.0, |k| k.values().sum())
    }

    /// LoadShares of the keys of one service.
    pub fn shares(&self, service: &str) -> LoadShares {
        let total = self.total(service);
        if total <= 0.0 {
            return LoadShares {
                each: 1.0 / KEYS,
                counted: Vec::new(),
            };
        }
        let mut sum = 0.0;
        let counts = self.services.get(service).into_iter().flatten();
        let counted = counts.map(|(key, count)| {
            sum += (1.0 - WIDTH_SHARE) * count / total;
            (*key, sum)
        });
        LoadShares {
            each: WIDTH_SHARE / KEYS,
            counted: counted.collect(),
        }
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

/// Share of each key in all that a service is asked; they come to 1.
#[derive(Clone, Debug)]
pub struct LoadShares {
    /// Share that every key has, asked for or not.
    each: f64,
    /// Keys that are asked for, in order, and the sum of the further shares up to each.
    counted: Vec<(Key, f64)>,
}

impl LoadShares {
    /// Share of a span of keys.
    pub fn of(&self, from: Key, to: Key) -> f64 {
        let width = f64::from(to.saturating_sub(from)) + 1.0;
        let before = from
            .checked_sub(1)
            .map_or(0.0, |last| self.counted_to(last));
        width * self.each + self.counted_to(to) - before
    }

    fn counted_to(&self, last: Key) -> f64 {
        let next = self.counted.partition_point(|c| c.0 <= last);
        let newest = next.checked_sub(1).and_then(|i| self.counted.get(i));
        newest.map_or(0.0, |c| c.1)
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
