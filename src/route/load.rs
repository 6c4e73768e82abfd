//! Request counts, by which the primary places spans.

use std::collections::HashMap;

use super::messages::SpanLoad;
use crate::keys;

/// Hashes of one span that are counted individually.
const MAX_COUNTED_HASHES: usize = 8;

/// Requests to one span since the last report.
#[derive(Debug, Default)]
struct SpanCount {
    requests: u64,
    hashes: Vec<(keys::KeyHash, u64)>,
}

/// Requests to each span since the last report.
#[derive(Debug, Default)]
pub struct LoadCounter {
    spans: HashMap<keys::Span, SpanCount>,
}

impl LoadCounter {
    /// Counts one request for `hash` in `span`.
    pub fn count_request(&mut self, span: keys::Span, hash: keys::KeyHash) {
        let count = self.spans.entry(span).or_default();
        count.requests += 1;
        count.count_hash(hash);
    }

    /// Returns the counts and resets them.
    pub fn take(&mut self) -> Vec<SpanLoad> {
        let spans = std::mem::take(&mut self.spans);
        spans
            .into_iter()
            .map(|(span, count)| SpanLoad {
                span,
                requests: count.requests,
                hot_hashes: count.hashes,
            })
            .collect()
    }
}

impl SpanCount {
    /// Counts a hash by the space-saving algorithm: a new hash replaces the rarest one and inherits
    /// the count.
    fn count_hash(&mut self, hash: keys::KeyHash) {
        if let Some(known) = self.hashes.iter_mut().find(|(h, _)| *h == hash) {
            known.1 += 1;
        } else if self.hashes.len() < MAX_COUNTED_HASHES {
            self.hashes.push((hash, 1));
        } else if let Some(rarest) = self.hashes.iter_mut().min_by_key(|(_, n)| *n) {
            *rarest = (hash, rarest.1 + 1);
        }
    }
}
