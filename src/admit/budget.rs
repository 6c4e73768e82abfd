//! Retry budget that bounds retries under overload.

use std::cell::Cell;

use super::limiter::RankIndex;

/// Largest balance, in hundredths of a retry.
const MAX_BALANCE_HUNDREDTHS: u64 = 1_000;

/// Part of the balance that only the first rank may use.
const FIRST_RANK_RESERVE_HUNDREDTHS: u64 = 500;

const RETRY_COST_HUNDREDTHS: u64 = 100;

/// Token bucket of retries, filled in proportion to requests.
#[derive(Debug)]
pub struct RetryBudget {
    percent: Cell<u64>,
    balance: Cell<u64>,
}

impl RetryBudget {
    /// Creates a full budget that earns `percent` retries per hundred requests.
    pub fn new(percent: u32) -> Self {
        Self {
            percent: Cell::new(u64::from(percent)),
            balance: Cell::new(MAX_BALANCE_HUNDREDTHS),
        }
    }

    /// Changes the retries earned per hundred requests.
    pub fn set_percent(&self, percent: u32) {
        self.percent.set(u64::from(percent));
    }

    /// Adds the share of one new request to the balance.
    pub fn record_request(&self) {
        let balance = self.balance.get() + self.percent.get();
        self.balance.set(balance.min(MAX_BALANCE_HUNDREDTHS));
    }

    /// Takes one retry for a request of `rank`; false if the budget of that rank is used up.
    pub fn try_spend(&self, rank: RankIndex) -> bool {
        let reserve = if rank == 0 {
            0
        } else {
            FIRST_RANK_RESERVE_HUNDREDTHS
        };
        match self.balance.get() {
            balance if balance >= reserve + RETRY_COST_HUNDREDTHS => {
                self.balance.set(balance - RETRY_COST_HUNDREDTHS);
                true
            }
            _ => false,
        }
    }
}
