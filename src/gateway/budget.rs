//! Retry budget of each service.
//!
//! All entry VMs together may retry a share of a window's requests, plus a fixed
//! number. Each entry VM spends its part without coordination: the share of its own
//! requests, and an equal part of the fixed number.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids;
use crate::settings::fleet::Retries;

const BUCKETS_PER_WINDOW: u32 = 20;

/// Part of the budget that is spent; the rest is a margin for windows that begin within a bucket.
const SPENDABLE_RATIO: f64 = 0.9;

/// Part of the budget that requests of lower ranks may spend; the rest is reserved for the top
/// rank.
const LOWER_RANK_RATIO: f64 = 0.6;

/// Part of that which second attempts beside an unanswered one may spend: a request that failed
/// needs its retry more than one that may only be late.
const HEDGE_RATIO: f64 = 0.6;

/// Parameters of a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryRequest {
    /// Whether the request has the top rank of its service.
    pub is_top_rank: bool,
    /// Number of entry VMs that share the budget.
    pub entry_vms: u32,
    /// Whether the attempt before is still unanswered.
    pub is_hedge: bool,
}

/// Counts of one bucket of a window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Number of the bucket since the start.
    index: u64,
    requests: f64,
    retries: f64,
}

/// Retry budgets of one entry VM.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    bucket_duration: Duration,
    start: Option<Instant>,
    services: HashMap<ids::ServiceName, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// Creates a budget with nothing spent.
    pub fn new(retries: &Retries) -> Self {
        Self {
            ratio: retries.ratio,
            extra: retries.extra,
            bucket_duration: retries.window / BUCKETS_PER_WINDOW,
            start: None,
            services: HashMap::new(),
        }
    }

    /// Applies changed settings; counts are kept.
    pub fn update(&mut self, retries: &Retries) {
        self.ratio = retries.ratio;
        self.extra = retries.extra;
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, service: &ids::ServiceName, now: Instant) {
        self.current_bucket(service, now).requests += 1.0;
    }

    /// Spends one retry if the budget allows it.
    pub fn try_spend(
        &mut self,
        service: &ids::ServiceName,
        retry: RetryRequest,
        now: Instant,
    ) -> bool {
        self.current_bucket(service, now);
        let buckets = self.services.get(service);
        let sum = |f: fn(&Bucket) -> f64| buckets.into_iter().flatten().map(f).sum::<f64>();
        let share = self.extra / f64::from(retry.entry_vms.max(1));
        let ratio = if retry.is_top_rank {
            SPENDABLE_RATIO
        } else {
            LOWER_RANK_RATIO
        };
        let ratio = if retry.is_hedge {
            ratio * HEDGE_RATIO
        } else {
            ratio
        };
        let allowed = ratio * (self.ratio * sum(|b| b.requests) + share);
        if sum(|b| b.retries) + 1.0 > allowed {
            return false;
        }
        self.current_bucket(service, now).retries += 1.0;
        true
    }

    fn current_bucket(&mut self, service: &ids::ServiceName, now: Instant) -> &mut Bucket {
        let start = *self.start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        let index =
            u64::try_from(elapsed.as_nanos() / self.bucket_duration.as_nanos().max(1)).unwrap_or(0);
        let buckets = self.services.entry(Arc::clone(service)).or_default();
        while buckets
            .front()
            .is_some_and(|b| b.index + u64::from(BUCKETS_PER_WINDOW) <= index)
        {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|b| b.index != index) {
            buckets.push_back(Bucket {
                index,
                requests: 0.0,
                retries: 0.0,
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
