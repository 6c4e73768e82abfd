//! What a carrier remembers of one entry VM that uses its map.

use std::collections::VecDeque;
use std::time::Instant;

use crate::ids;
use crate::timing;

/// Answers to one subscriber whose times are remembered.
const MAX_RESPONSES: usize = 8;

/// An entry VM that uses the map.
#[derive(Clone, Debug)]
pub(super) struct Subscriber {
    /// Highest map version that it said it holds.
    pub(super) confirmed_version: ids::MapVersion,
    /// When the last map that it was given has surely run out.
    pub(super) map_expiry: Instant,
    responses: VecDeque<(u64, Instant)>,
}

impl Subscriber {
    /// A subscriber that was given no map yet.
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            confirmed_version: 0,
            map_expiry: now,
            responses: VecDeque::new(),
        }
    }

    /// Remembers an answer; with a map it prolongs the subscriber's use of it.
    pub(super) fn record_response(&mut self, number: u64, now: Instant, mapped: bool) {
        if self.responses.len() == MAX_RESPONSES {
            self.responses.pop_front();
        }
        self.responses.push_back((number, now));
        if mapped {
            self.map_expiry = now + timing::ROUTE_LEASE + timing::CLOCK_ALLOWANCE;
        }
    }

    /// When the answer with that number was sent.
    pub(super) fn sent_at(&self, number: u64) -> Option<Instant> {
        let answer = self.responses.iter().find(|(n, _)| *n == number);
        answer.map(|(_, at)| *at)
    }

    /// Whether it can no longer use a map older than `version`.
    pub(super) fn is_past(&self, version: ids::MapVersion, now: Instant) -> bool {
        self.confirmed_version >= version || now >= self.map_expiry
    }
}
