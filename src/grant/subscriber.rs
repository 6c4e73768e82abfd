//! A granter's state for one entry VM that uses its route map.

use std::collections::VecDeque;
use std::time::Instant;

use crate::ids;
use crate::timing;

/// Responses to one subscriber whose send times are kept.
const MAX_RESPONSES: usize = 8;

/// An entry VM that uses the route map.
#[derive(Clone, Debug)]
pub(super) struct Subscriber {
    /// Highest map version that the subscriber reported to hold.
    pub(super) confirmed_version: ids::MapVersion,
    /// When the last map sent has certainly expired.
    pub(super) map_expiry: Instant,
    responses: VecDeque<(u64, Instant)>,
}

impl Subscriber {
    /// A subscriber that was sent no map yet.
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            confirmed_version: 0,
            map_expiry: now,
            responses: VecDeque::new(),
        }
    }

    /// Records a response; one with a map extends the map's expiry.
    pub(super) fn record_response(&mut self, number: u64, now: Instant, has_map: bool) {
        if self.responses.len() == MAX_RESPONSES {
            self.responses.pop_front();
        }
        self.responses.push_back((number, now));
        if has_map {
            self.map_expiry = now + timing::ROUTE_LEASE + timing::CLOCK_ALLOWANCE;
        }
    }

    /// When the response with that number was sent; `None` if that is no longer known.
    pub(super) fn sent_at(&self, number: u64) -> Option<Instant> {
        let response = self.responses.iter().find(|(n, _)| *n == number);
        response.map(|(_, at)| *at)
    }

    /// Whether the subscriber can no longer use a map older than `version`.
    pub(super) fn is_past(&self, version: ids::MapVersion, now: Instant) -> bool {
        self.confirmed_version >= version || now >= self.map_expiry
    }
}
