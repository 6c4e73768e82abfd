//! Request load per key.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::messages::ServiceLoad;
use super::model::Key;
use super::plan;
use crate::ids;

const KEY_COUNT: f64 = 65536.0;

/// Part of the total load that is spread evenly over all keys, so that idle keys count too.
const BASE_SHARE: f64 = 0.15;

/// Decayed count below which a key is dropped.
const MIN_COUNT: f64 = 0.05;

/// Requests per service and key; older requests count less.
#[derive(Clone, Debug, Default)]
pub struct LoadCounts {
    services: BTreeMap<ids::ServiceName, BTreeMap<Key, f64>>,
}

impl LoadCounts {
    /// Counts one request.
    pub fn count(&mut self, service: &ids::ServiceName, key: Key) {
        self.increase(service, key, 1.0);
    }

    /// Adds the counts of an entry VM.
    pub fn add(&mut self, load: &ServiceLoad) {
        for &(key, count) in &load.counts {
            self.increase(&load.service, key, f64::from(count));
        }
    }

    fn increase(&mut self, service: &ids::ServiceName, key: Key, count: f64) {
        let keys = self.services.entry(Arc::clone(service)).or_default();
        *keys.entry(key).or_insert(0.0) += count;
    }

    /// Multiplies the counts of a service by `factor`.
    pub fn decay(&mut self, service: &str, factor: f64) {
        if let Some(keys) = self.services.get_mut(service) {
            keys.retain(|_, count| {
                *count *= factor;
                *count > MIN_COUNT
            });
        }
    }

    /// Removes and returns all counts.
    pub fn drain(&mut self) -> Vec<ServiceLoad> {
        let services = std::mem::take(&mut self.services).into_iter();
        let load = |(service, keys): (_, BTreeMap<Key, f64>)| ServiceLoad {
            service,
            counts: keys.into_iter().map(|(k, c)| (k, to_u32(c))).collect(),
        };
        services.map(load).collect()
    }

    /// Sum of the decayed counts of a service.
    pub fn total(&self, service: &str) -> f64 {
        let keys = self.services.get(service);
        keys.map_or(0.0, |k| k.values().sum())
    }

    /// Share of each key in the load of a service.
    pub fn shares(&self, service: &str) -> LoadShares {
        let total = self.total(service);
        if total <= 0.0 {
            return LoadShares {
                total,
                base: 1.0 / KEY_COUNT,
                cumulative: Vec::new(),
            };
        }
        let mut sum = 0.0;
        let counts = self.services.get(service).into_iter().flatten();
        let cumulative = counts.map(|(key, count)| {
            sum += (1.0 - BASE_SHARE) * count / total;
            (*key, sum)
        });
        LoadShares {
            total,
            base: BASE_SHARE / KEY_COUNT,
            cumulative: cumulative.collect(),
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts are whole, positive and far below 2^32"
)]
const fn to_u32(count: f64) -> u32 {
    count as u32
}

/// Share of each key in the load of a service; all shares sum to 1.
#[derive(Clone, Debug)]
pub struct LoadShares {
    /// Number of requests that the shares were computed from.
    total: f64,
    /// Share that every key has, with or without requests.
    base: f64,
    /// Requested keys in order, each with the sum of the shares above the base up to it.
    cumulative: Vec<(Key, f64)>,
}

impl LoadShares {
    /// Standard deviation of the count of one of `servers` equally loaded ones, relative to the
    /// mean; 0 without requests.
    pub fn noise(&self, servers: usize) -> f64 {
        match self.total {
            total if total > 0.0 => (plan::to_f64(servers) / total).sqrt(),
            _ => 0.0,
        }
    }

    /// Share of the keys `from..=to`.
    pub fn range_share(&self, from: Key, to: Key) -> f64 {
        let key_count = f64::from(to.saturating_sub(from)) + 1.0;
        let before = from
            .checked_sub(1)
            .map_or(0.0, |last| self.cumulative_to(last));
        key_count * self.base + self.cumulative_to(to) - before
    }

    fn cumulative_to(&self, last: Key) -> f64 {
        let next = self.cumulative.partition_point(|c| c.0 <= last);
        let newest = next.checked_sub(1).and_then(|i| self.cumulative.get(i));
        newest.map_or(0.0, |c| c.1)
    }

    /// Last key of the longest prefix of `from..=to` whose share is at most `limit`, if any.
    pub fn prefix_end(&self, from: Key, to: Key, limit: f64) -> Option<Key> {
        let (mut low, mut high) = (u32::from(from), u32::from(to) + 1);
        while low < high {
            let middle = low.midpoint(high);
            let last = Key::try_from(middle).unwrap_or(Key::MAX);
            if self.range_share(from, last) <= limit {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        let last = low.checked_sub(1)?;
        Key::try_from(last).ok().filter(|l| *l >= from)
    }
}
