use std::time::{Duration, Instant};

use super::retries;
use crate::gateway::budget::{RetryBudget, RetryRequest};

fn retry(is_top_rank: bool) -> RetryRequest {
    RetryRequest {
        is_top_rank,
        entry_vms: 5,
        is_hedge: false,
    }
}

#[test]
fn retries_stay_within_the_budget_in_every_window() {
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut budget = RetryBudget::new(&retries());
        let start = Instant::now();
        let (mut requests, mut retried) = (Vec::new(), Vec::new());
        for step in 0..4000_u64 {
            let now = start + Duration::from_millis(step * 10);
            if random.f64() < 0.3 {
                budget.record_request(&"s".into(), now);
                requests.push(now);
            }
            while random.f64() < 0.7 && budget.try_spend(&"s".into(), retry(true), now) {
                retried.push(now);
            }
        }
        let within = |times: &[Instant], end: Instant| {
            let begin = end.checked_sub(Duration::from_secs(10));
            let inside = |t: &&Instant| begin.is_none_or(|b| **t > b) && **t <= end;
            f64::from(u32::try_from(times.iter().filter(inside).count()).unwrap())
        };
        for &end in &retried {
            // By the target's way of counting, a window may also contain requests of the one before it.
            let allowed = 0.2 * within(&requests, end).max(1.0) + 10.0;
            assert!(within(&retried, end) <= allowed + 1.0, "seed {seed}");
        }
        assert!(
            retried.len() > 50,
            "seed {seed}: the budget allows too few retries"
        );
    }
}

#[test]
fn lower_ranks_leave_a_reserve_to_the_top_rank() {
    let mut budget = RetryBudget::new(&retries());
    let now = Instant::now();
    let spend = |budget: &mut RetryBudget, is_top_rank| {
        (0..100)
            .filter(|_| budget.try_spend(&"s".into(), retry(is_top_rank), now))
            .count()
    };
    let lower = spend(&mut budget, false);
    let top = spend(&mut budget, true);
    assert_eq!((lower, top), (6, 3));
}

#[test]
fn each_service_has_its_own_budget() {
    let mut budget = RetryBudget::new(&retries());
    let now = Instant::now();
    while budget.try_spend(&"a".into(), retry(true), now) {}
    assert!(budget.try_spend(&"b".into(), retry(true), now));
}
