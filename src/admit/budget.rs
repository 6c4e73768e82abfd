//! A budget for retries, so that they cannot multiply under overload.

use std::cell::Cell;

use super::limiter::RankIndex;

/// Hundredths of a retry that may be saved up.
const SAVED_LIMIT: u64 = 1_000;

/// Saved hundredths that only the first rank may use.
const FIRST_RANK_RESERVE: u64 = 500;

/// Hundredths that one retry costs.
const RETRY_COST: u64 = 100;

/// Retries allowed, as a share of the requests.
#[derive(Debug)]
pub struct RetryBudget {
    percent: Cell<u64>,
    saved: Cell<u64>,
}

impl RetryBudget {
    /// A budget of `percent` retries for each hundred requests, a few saved up.
    pub fn new(percent: u32) -> Self {
        Self {
            percent: Cell::new(u64::from(percent)),
            saved: Cell::new(SAVED_LIMIT),
        }
    }

    /// Changes the share.
    pub fn set_percent(&self, percent: u32) {
        self.percent.set(u64::from(percent));
    }

    /// Counts a new request.
    pub fn record_request(&self) {
        let saved = self.saved.get() + self.percent.get();
        self.saved.set(saved.min(SAVED_LIMIT));
    }

    /// Takes one retry for a request of a rank; false if its budget is used up.
    pub fn try_spend(&self, rank: RankIndex) -> bool {
        let reserve = if rank == 0 { 0 } else { FIRST_RANK_RESERVE };
        match self.saved.get() {
            saved if saved >= reserve + RETRY_COST => {
                self.saved.set(saved - RETRY_COST);
                true
            }
            _ => false,
        }
    }
}
