use std::time::{Duration, Instant};

use super::retries;
use crate::gateway::budget::{Budget, Claim};

fn claim(first: bool) -> Claim {
    Claim { first, entries: 5 }
}

#[test]
fn repeats_stay_below_their_part_in_every_window() {
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut budget = Budget::new(&retries());
        let start = Instant::now();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for step in 0..4000_u64 {
            let now = start + Duration::from_millis(step * 10);
            if random.f64() < 0.3 {
                budget.request(&"s".into(), now);
                requests.push(now);
            }
            while random.f64() < 0.7 && budget.spend(&"s".into(), claim(true), now) {
                repeats.push(now);
            }
        }
        let within = |times: &[Instant], end: Instant| {
            let begin = end.checked_sub(Duration::from_secs(10));
            let inside = |t: &&Instant| begin.is_none_or(|b| **t > b) && **t <= end;
            f64::from(u32::try_from(times.iter().filter(inside).count()).unwrap())
        };
        for &end in &repeats {
            // A window may hold the requests of the one before it, as the users count.
            let allowed = 0.2 * within(&requests, end).max(1.0) + 10.0;
            assert!(within(&repeats, end) <= allowed + 1.0, "seed {seed}");
        }
        assert!(repeats.len() > 50, "seed {seed}: the budget is of use");
    }
}

#[test]
fn ranks_behind_the_first_leave_some_to_it() {
    let mut budget = Budget::new(&retries());
    let now = Instant::now();
    let spend = |budget: &mut Budget, first| {
        (0..100)
            .filter(|_| budget.spend(&"s".into(), claim(first), now))
            .count()
    };
    let behind = spend(&mut budget, false);
    let first = spend(&mut budget, true);
    assert_eq!((behind, first), (6, 3));
}

#[test]
fn a_budget_is_for_one_service() {
    let mut budget = Budget::new(&retries());
    let now = Instant::now();
    while budget.spend(&"a".into(), claim(true), now) {}
    assert!(budget.spend(&"b".into(), claim(true), now));
}
