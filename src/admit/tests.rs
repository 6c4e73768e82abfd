use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::limit::AdaptiveLimit;
use super::limiter::{Limiter, RequestOutcome};
use super::{Permit, RetryBudget, Shed};
use crate::clock;
use crate::runtime;

const LONG_WAIT: Duration = Duration::from_secs(5);

async fn yield_briefly() {
    monoio::time::sleep(Duration::from_millis(1)).await;
}

fn far_deadline() -> Instant {
    clock::now() + LONG_WAIT
}

async fn acquire_permits(limiter: &Limiter, count: usize) -> Vec<Permit> {
    let mut permits = Vec::new();
    for _ in 0..count {
        permits.push(limiter.acquire(0, 0, far_deadline()).await.unwrap());
    }
    permits
}

fn spawn_acquire(
    limiter: &Limiter,
    rank: usize,
    max_queued: usize,
    results: &Rc<RefCell<Vec<(usize, bool)>>>,
) {
    let limiter = limiter.clone();
    let results = Rc::clone(results);
    monoio::spawn(async move {
        let result = limiter.acquire(rank, max_queued, far_deadline()).await;
        results.borrow_mut().push((rank, result.is_ok()));
    });
}

#[test]
fn higher_ranks_are_admitted_first() {
    runtime::run(async {
        let limiter = Limiter::new(1);
        let permits = acquire_permits(&limiter, 1).await;
        let results = Rc::default();
        for rank in [2, 1, 0] {
            spawn_acquire(&limiter, rank, 8, &results);
            yield_briefly().await;
        }
        drop(permits);
        yield_briefly().await;
        assert_eq!(*results.borrow(), [(0, true), (1, true), (2, true)]);
    });
}

#[test]
fn full_queue_sheds_the_lowest_rank() {
    runtime::run(async {
        let limiter = Limiter::new(1);
        let permits = acquire_permits(&limiter, 1).await;
        let results = Rc::default();
        spawn_acquire(&limiter, 2, 1, &results);
        yield_briefly().await;
        spawn_acquire(&limiter, 0, 1, &results);
        yield_briefly().await;
        assert_eq!(*results.borrow(), [(2, false)]);
        spawn_acquire(&limiter, 1, 1, &results);
        yield_briefly().await;
        assert_eq!(*results.borrow(), [(2, false), (1, false)]);
        drop(permits);
        yield_briefly().await;
        assert_eq!(results.borrow().last(), Some(&(0, true)));
    });
}

#[test]
fn acquire_timeout_frees_the_queue_entry() {
    runtime::run(async {
        let limiter = Limiter::new(1);
        let permits = acquire_permits(&limiter, 1).await;
        let deadline = clock::now() + Duration::from_millis(5);
        let result = limiter.acquire(0, 8, deadline).await;
        assert!(matches!(result, Err(Shed { .. })));
        assert_eq!(limiter.occupancy(), (1, 0));
        drop(permits);
        assert_eq!(limiter.occupancy(), (0, 0));
    });
}

#[test]
fn dropping_an_admitted_future_releases_the_permit() {
    runtime::run(async {
        let limiter = Limiter::new(1);
        let permits = acquire_permits(&limiter, 1).await;
        {
            let acquiring = limiter.acquire(0, 8, far_deadline());
            let mut acquiring = std::pin::pin!(acquiring);
            let polled = monoio::time::timeout(Duration::from_millis(2), acquiring.as_mut()).await;
            assert!(polled.is_err());
            drop(permits);
            assert_eq!(limiter.occupancy(), (1, 0));
        }
        assert_eq!(limiter.occupancy(), (0, 0));
    });
}

#[test]
fn limit_shrinks_on_sheds_and_recovers_when_served() {
    let mut limit = AdaptiveLimit::new(6);
    (0..20).for_each(|_| limit.record_shed());
    assert_eq!(limit.allowed(), 1);
    (0..500).for_each(|_| limit.record_served());
    assert_eq!(limit.allowed(), 6);
    limit.resize(3);
    assert_eq!(limit.allowed(), 3);
}

#[test]
fn permits_never_exceed_the_slots() {
    for seed in 0..40u64 {
        arbtest::arbtest(|u| {
            let slots = u.int_in_range(1..=4u32)?;
            let steps = u.int_in_range(1..=60usize)?;
            let actions = (0..steps)
                .map(|_| u.int_in_range(0..=3u8))
                .collect::<Result<Vec<_>, _>>()?;
            runtime::run(run_actions(slots, actions));
            Ok(())
        })
        .seed(seed << 32 | 0x400);
    }
}

async fn run_actions(slots: u32, actions: Vec<u8>) {
    let limiter = Limiter::new(slots);
    let held: Rc<RefCell<Vec<Permit>>> = Rc::default();
    for action in actions {
        match action {
            0 | 1 => {
                let (limiter, held) = (limiter.clone(), Rc::clone(&held));
                monoio::spawn(async move {
                    let deadline = clock::now() + Duration::from_millis(3);
                    if let Ok(permit) = limiter.acquire(usize::from(action), 3, deadline).await {
                        held.borrow_mut().push(permit);
                    }
                });
            }
            _ => {
                let permit = held.borrow_mut().pop();
                if let Some(mut permit) = permit {
                    permit.set_outcome(if action == 2 {
                        RequestOutcome::Served
                    } else {
                        RequestOutcome::Shed
                    });
                }
            }
        }
        yield_briefly().await;
        let count = u32::try_from(held.borrow().len()).unwrap();
        assert!(count <= slots);
        assert_eq!(limiter.occupancy().0, count);
    }
    monoio::time::sleep(Duration::from_millis(5)).await;
    held.borrow_mut().clear();
    monoio::time::sleep(Duration::from_millis(5)).await;
    held.borrow_mut().clear();
    assert_eq!(limiter.occupancy(), (0, 0));
}

#[test]
fn retries_stay_within_the_budget() {
    let budget = RetryBudget::new(10);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_request();
        retries += u32::from(budget.try_spend(0));
    }
    assert!((1_000..=1_010).contains(&retries), "{retries}");
}

#[test]
fn half_of_the_balance_is_reserved_for_the_first_rank() {
    let budget = RetryBudget::new(10);
    let lower = (0..100).filter(|_| budget.try_spend(1)).count();
    let first = (0..100).filter(|_| budget.try_spend(0)).count();
    assert_eq!((lower, first), (5, 5));
}

#[test]
fn lower_ranks_cannot_exhaust_the_budget_of_the_first() {
    let budget = RetryBudget::new(10);
    for _ in 0..1_000 {
        budget.record_request();
        while budget.try_spend(1) {}
    }
    assert!(budget.try_spend(0));
}
