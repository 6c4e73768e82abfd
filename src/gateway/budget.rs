//! What may be sent again, for each service.
//!
//! All entry VMs together may send a part of the requests of a window again,
//! and a fixed number on top. Each spends its own part without asking: the
//! part of its own requests, and its share of the fixed number.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids;
use crate::settings::fleet::Retries;

/// Parts that a window is counted in.
const PARTS: u32 = 20;

/// Part of the budget that is spent; the rest is for windows that cut across two of ours.
const SPENT: f64 = 0.9;

/// Part of the budget that requests of lower ranks may spend; the rest waits for the first.
const SPENT_BEHIND: f64 = 0.6;

/// Who wants to send again.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Whether its rank is the first of its service.
    pub first: bool,
    /// VMs that share the budget.
    pub entries: u32,
}

/// Counts of one part of a window.
#[derive(Clone, Copy, Debug)]
struct Count {
    /// Number of the part since the start.
    part: u64,
    requests: f64,
    repeats: f64,
}

/// Budget of one entry VM.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    extra: f64,
    part: Duration,
    start: Option<Instant>,
    services: HashMap<ids::ServiceName, VecDeque<Count>>,
}

impl Budget {
    /// A budget of which nothing is spent.
    pub fn new(retries: &Retries) -> Self {
        Self {
            ratio: retries.ratio,
            extra: retries.extra,
            part: retries.window / PARTS,
            start: None,
            services: HashMap::new(),
        }
    }

    /// Takes in other settings; what was counted stays.
    pub fn set(&mut self, retries: &Retries) {
        self.ratio = retries.ratio;
        self.extra = retries.extra;
    }

    /// Counts a request for a service.
    pub fn request(&mut self, service: &ids::ServiceName, now: Instant) {
        self.current(service, now).requests += 1.0;
    }

    /// Spends one repeat if the budget allows it.
    pub fn spend(&mut self, service: &ids::ServiceName, claim: Claim, now: Instant) -> bool {
        self.current(service, now);
        let counts = self.services.get(service);
        let sum = |f: fn(&Count) -> f64| counts.into_iter().flatten().map(f).sum::<f64>();
        let share = self.extra / f64::from(claim.entries.max(1));
        let part = if claim.first { SPENT } else { SPENT_BEHIND };
        let allowed = part * (self.ratio * sum(|c| c.requests) + share);
        if sum(|c| c.repeats) + 1.0 > allowed {
            return false;
        }
        self.current(service, now).repeats += 1.0;
        true
    }

    fn current(&mut self, service: &ids::ServiceName, now: Instant) -> &mut Count {
        let start = *self.start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        let part = u64::try_from(elapsed.as_nanos() / self.part.as_nanos().max(1)).unwrap_or(0);
        let counts = self.services.entry(Arc::clone(service)).or_default();
        while counts
            .front()
            .is_some_and(|c| c.part + u64::from(PARTS) <= part)
        {
            counts.pop_front();
        }
        if counts.back().is_none_or(|c| c.part != part) {
            counts.push_back(Count {
                part,
                requests: 0.0,
                repeats: 0.0,
            });
        }
        let last = counts.len() - 1;
        &mut counts[last]
    }
}
