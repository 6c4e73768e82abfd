//! What a carrier remembers of one entry VM that uses its map.

use std::collections::VecDeque;
use std::time::Instant;

use crate::ids;
use crate::timing;

/// Answers to one subscriber whose times are remembered.
const ANSWERS_KEPT: usize = 8;

/// An entry VM that uses the map.
#[derive(Clone, Debug)]
pub(super) struct Subscriber {
    /// Highest map version that it said it holds.
    pub(super) confirmed: ids::MapVersion,
    /// When the last map that it was given has surely run out.
    pub(super) expiry: Instant,
    answers: VecDeque<(u64, Instant)>,
}

impl Subscriber {
    /// A subscriber that was given no map yet.
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            confirmed: 0,
            expiry: now,
            answers: VecDeque::new(),
        }
    }

    /// Remembers an answer; with a map it prolongs the subscriber's use of it.
    pub(super) fn answer(&mut self, number: u64, now: Instant, mapped: bool) {
        if self.answers.len() == ANSWERS_KEPT {
            self.answers.pop_front();
        }
        self.answers.push_back((number, now));
        if mapped {
            self.expiry = now + timing::ROUTE_LEASE + timing::CLOCK_ALLOWANCE;
        }
    }

    /// When the answer with that number was sent.
    pub(super) fn sent(&self, number: u64) -> Option<Instant> {
        let answer = self.answers.iter().find(|(n, _)| *n == number);
        answer.map(|(_, at)| *at)
    }

    /// Whether it can no longer use a map older than `version`.
    pub(super) fn beyond(&self, version: ids::MapVersion, now: Instant) -> bool {
        self.confirmed >= version || now >= self.expiry
    }
}
