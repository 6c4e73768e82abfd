//! Counts of requests, for the carrier's placement.

use std::collections::HashMap;

use super::messages::SpanLoad;
use crate::keys;

/// Hashes that are counted singly in each span.
const COUNTED_HASHES: usize = 8;

/// Requests of one span since the last report.
#[derive(Debug, Default)]
struct Count {
    requests: u64,
    hashes: Vec<(keys::KeyHash, u64)>,
}

/// Requests for each span since the last report.
#[derive(Debug, Default)]
pub struct Loads {
    counts: HashMap<keys::Span, Count>,
}

impl Loads {
    /// Counts one request for `hash` in `span`.
    pub fn note(&mut self, span: keys::Span, hash: keys::KeyHash) {
        let count = self.counts.entry(span).or_default();
        count.requests += 1;
        count.note(hash);
    }

    /// Takes the counts out, leaving none.
    pub fn take(&mut self) -> Vec<SpanLoad> {
        let counts = std::mem::take(&mut self.counts);
        counts
            .into_iter()
            .map(|(span, count)| SpanLoad {
                span,
                requests: count.requests,
                hot_hashes: count.hashes,
            })
            .collect()
    }
}

impl Count {
    /// Space-saving: a hash that is not counted yet takes the place of the rarest.
    fn note(&mut self, hash: keys::KeyHash) {
        if let Some(known) = self.hashes.iter_mut().find(|(h, _)| *h == hash) {
            known.1 += 1;
        } else if self.hashes.len() < COUNTED_HASHES {
            self.hashes.push((hash, 1));
        } else if let Some(rarest) = self.hashes.iter_mut().min_by_key(|(_, n)| *n) {
            *rarest = (hash, rarest.1 + 1);
        }
    }
}
