//! Leases on key ranges that were granted by calls, in the leader's memory only.
//!
//! The lease of a call starts when the call arrives at the backend server. The arrival of
//! an answered call is not later than its response. A call without a response may have
//! arrived at any time until its connection was reset, and it may be applied seconds
//! later, after newer calls. A response to a release therefore proves that keys are free
//! only once no earlier grant of them is unanswered.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::leases::CLOCK_DRIFT_FACTOR;
use super::model::{Incarnation, Key, KeyRange};
use crate::ids;

/// Longest time for which bytes that were sent before a reset can still be on their way.
const RESET_MARGIN: Duration = Duration::from_millis(200);

/// Longest time from the moment a leader lost its majority until the connection of its last call
/// was reset.
pub(super) const PREDECESSOR_MARGIN: Duration = Duration::from_millis(600);

/// Time without an answered call after which a backend server counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1200);

/// How long a backend server gets no more keys after a failed call.
const FAILURE_LIFETIME: Duration = Duration::from_secs(2);

/// How long an unreachable backend server gets no new keys after a failed call.
const UNREACHABLE_LIFETIME: Duration = Duration::from_secs(3);

/// Consecutive keys with one owner, one fence and one handover token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Run {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Fence of the grant.
    pub fence: ids::Fence,
}

impl Run {
    const fn overlaps(&self, from: Key, to: Key) -> bool {
        self.from <= to && from <= self.to
    }

    const fn contains(&self, other: &Self) -> bool {
        self.fence == other.fence && self.from <= other.from && other.to <= self.to
    }
}

/// What is known about the time at which a grant ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expiry {
    /// The call is under way.
    Unknown,
    /// The call was answered: it was applied, and it ends by this time.
    Answered(Instant),
    /// The call was not answered: it may still be applied, and it ends by this time.
    Unanswered(Instant),
}

impl Expiry {
    fn is_over(self, now: Instant) -> bool {
        match self {
            Self::Unknown => false,
            Self::Answered(at) | Self::Unanswered(at) => now > at,
        }
    }
}

#[derive(Clone, Debug)]
struct SentGrant {
    run: Run,
    duration: Duration,
    sent_at: Instant,
    expiry: Expiry,
}

/// Calls to one incarnation of a backend server.
#[derive(Clone, Debug, Default)]
struct ServerCalls {
    sent: Vec<SentGrant>,
    released: Vec<Run>,
    /// Since when no call was answered, if the last one failed.
    failing_since: Option<Instant>,
    failed_at: Option<Instant>,
}

/// Grants that were sent by calls, and what is known of their ends.
#[derive(Debug, Default)]
pub struct CallLeases {
    servers: HashMap<Incarnation, ServerCalls>,
}

impl CallLeases {
    /// Records that a grant for `duration` is about to be sent.
    pub fn record_sent(
        &mut self,
        incarnation: &Incarnation,
        run: Run,
        duration: Duration,
        now: Instant,
    ) {
        let server = self.servers.entry(incarnation.clone()).or_default();
        server.sent.retain(|s| !s.expiry.is_over(now));
        server.released.retain(|r| !r.overlaps(run.from, run.to));
        server.sent.push(SentGrant {
            run,
            duration,
            sent_at: now,
            expiry: Expiry::Unknown,
        });
    }

    /// Records that the grant that is under way was applied.
    pub fn record_answered(&mut self, incarnation: &Incarnation, run: Run, now: Instant) {
        let Some(server) = self.servers.get_mut(incarnation) else {
            return;
        };
        let is_older =
            |s: &SentGrant| matches!(s.expiry, Expiry::Answered(_)) && run.contains(&s.run);
        server.sent.retain(|s| !is_older(s));
        server.settle(run, |lease| Some(Expiry::Answered(now + lease)));
        server.failing_since = None;
        server.failed_at = None;
    }

    /// Records that the grant that is under way got no response and its connection was reset.
    pub fn record_unanswered(&mut self, incarnation: &Incarnation, run: Run, now: Instant) {
        if let Some(server) = self.servers.get_mut(incarnation) {
            let expiry = |lease| Some(Expiry::Unanswered(now + RESET_MARGIN + lease));
            server.settle(run, expiry);
        }
        self.record_failure(incarnation, now);
    }

    /// Records that the grant that is under way was refused or not sent.
    pub fn record_refused(&mut self, incarnation: &Incarnation, run: Run) {
        if let Some(server) = self.servers.get_mut(incarnation) {
            server.settle(run, |_| None);
        }
    }

    /// Records that a backend server could not be called.
    pub fn record_failure(&mut self, incarnation: &Incarnation, now: Instant) {
        let server = self.servers.entry(incarnation.clone()).or_default();
        server.failing_since.get_or_insert(now);
        server.failed_at = Some(now);
    }

    /// Records that a backend server has released keys.
    pub fn record_released(&mut self, incarnation: &Incarnation, run: Run) {
        let server = self.servers.entry(incarnation.clone()).or_default();
        server.released.push(run);
    }

    /// Whether a release of all keys of `run` was answered.
    pub fn is_released(&self, incarnation: &Incarnation, run: &Run) -> bool {
        let released = self.servers.get(incarnation).map(|s| &s.released);
        let mut pieces: Vec<_> = released
            .into_iter()
            .flatten()
            .filter(|r| r.fence == run.fence && r.overlaps(run.from, run.to))
            .collect();
        pieces.sort_by_key(|r| r.from);
        let mut next = u32::from(run.from);
        for piece in pieces {
            if u32::from(piece.from) > next {
                return false;
            }
            next = next.max(u32::from(piece.to) + 1);
        }
        next > u32::from(run.to)
    }

    /// Whether a grant of some keys is under way; it may arrive after a release that is sent now.
    pub fn is_granting(&self, incarnation: &Incarnation, run: &Run) -> bool {
        let sent = self.servers.get(incarnation).map(|s| &s.sent);
        sent.into_iter()
            .flatten()
            .any(|s| s.expiry == Expiry::Unknown && s.run.overlaps(run.from, run.to))
    }

    /// Whether an incarnation may still hold keys of a range that it owns in the log.
    pub fn may_hold(&self, incarnation: &Incarnation, range: &KeyRange, now: Instant) -> bool {
        let run = Run {
            from: range.from,
            to: range.to,
            fence: range.fence,
        };
        let released = self.is_released(incarnation, &run);
        let sent = self.servers.get(incarnation).map(|s| &s.sent);
        let relevant = sent
            .into_iter()
            .flatten()
            .filter(|s| s.run.overlaps(range.from, range.to) && !s.expiry.is_over(now));
        relevant
            .filter(|s| !released || !matches!(s.expiry, Expiry::Answered(_)))
            .count()
            > 0
    }

    /// Whether an incarnation was called.
    pub fn is_known(&self, incarnation: &Incarnation) -> bool {
        self.servers.contains_key(incarnation)
    }

    /// Whether all grants to an incarnation have ended.
    pub fn have_ended(&self, incarnation: &Incarnation, now: Instant) -> bool {
        let server = self.servers.get(incarnation);
        server.is_none_or(|s| s.sent.iter().all(|s| s.expiry.is_over(now)))
    }

    /// Whether a grant of `run` is due: none was answered since `interval`, and none is under way.
    pub fn is_due(
        &self,
        incarnation: &Incarnation,
        run: &Run,
        interval: Duration,
        now: Instant,
    ) -> bool {
        let sent = self.servers.get(incarnation).map(|s| &s.sent);
        let is_current = |s: &SentGrant| {
            s.run.contains(run)
                && match s.expiry {
                    Expiry::Unknown => true,
                    Expiry::Answered(_) => now < s.sent_at + interval,
                    Expiry::Unanswered(_) => false,
                }
        };
        !sent.into_iter().flatten().any(is_current)
    }

    /// Whether the last call to a backend server failed, a short time ago.
    pub fn is_failing(&self, incarnation: &Incarnation, now: Instant) -> bool {
        let failed_at = self.servers.get(incarnation).and_then(|s| s.failed_at);
        failed_at.is_some_and(|at| now < at + FAILURE_LIFETIME)
    }

    /// Whether a backend server doesn't answer calls.
    pub fn is_unreachable(&self, incarnation: &Incarnation, now: Instant) -> bool {
        let Some(server) = self.servers.get(incarnation) else {
            return false;
        };
        let failing = server
            .failing_since
            .is_some_and(|since| now > since + UNREACHABLE_AFTER);
        failing
            && server
                .failed_at
                .is_some_and(|at| now < at + UNREACHABLE_LIFETIME)
    }

    /// Drops what is known of incarnations that `is_known` rejects.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&Incarnation) -> bool,
    {
        self.servers.retain(|incarnation, _| is_known(incarnation));
    }
}

impl ServerCalls {
    /// Sets the expiry of the grant that is under way, or removes the grant; `expiry` gets the longest
    /// time from its arrival to its end.
    fn settle<F>(&mut self, run: Run, expiry: F)
    where
        F: Fn(Duration) -> Option<Expiry>,
    {
        let under_way = |s: &SentGrant| s.run == run && s.expiry == Expiry::Unknown;
        let Some(index) = self.sent.iter().position(under_way) else {
            return;
        };
        let sent = self.sent.get_mut(index);
        match sent.and_then(|s| Some((expiry(s.duration.mul_f64(CLOCK_DRIFT_FACTOR))?, s))) {
            Some((expiry, sent)) => sent.expiry = expiry,
            None => drop(self.sent.remove(index)),
        }
    }
}
