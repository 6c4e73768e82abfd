//! Limiters, limits and budgets.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::limit::AdaptiveLimit;
use super::limiter::{Limiter, RequestOutcome};
use super::{Permit, RetryBudget, Shed};
use crate::clock;
use crate::runtime;

const LONG: Duration = Duration::from_secs(5);

async fn settle() {
    monoio::time::sleep(Duration::from_millis(1)).await;
}

fn later() -> Instant {
    clock::now() + LONG
}

async fn fill(limiter: &Limiter, count: usize) -> Vec<Permit> {
    let mut permits = Vec::new();
    for _ in 0..count {
        permits.push(limiter.acquire(0, 0, later()).await.unwrap());
    }
    permits
}

fn wait_at(limiter: &Limiter, rank: usize, queue: usize, log: &Rc<RefCell<Vec<(usize, bool)>>>) {
    let limiter = limiter.clone();
    let log = Rc::clone(log);
    monoio::spawn(async move {
        let admitted = limiter.acquire(rank, queue, later()).await;
        log.borrow_mut().push((rank, admitted.is_ok()));
    });
}

#[test]
fn the_highest_rank_waits_least() {
    runtime::run(async {
        let limiter = Limiter::new(1);
        let permits = fill(&limiter, 1).await;
        let log = Rc::default();
        for rank in [2, 1, 0] {
            wait_at(&limiter, rank, 8, &log);
            settle().await;
        }
        drop(permits);
        settle().await;
        assert_eq!(*log.borrow(), [(0, true), (1, true), (2, true)]);
    });
}

#[test]
fn a_full_queue_sheds_the_lowest_rank() {
    runtime::run(async {
        let limiter = Limiter::new(1);
        let permits = fill(&limiter, 1).await;
        let log = Rc::default();
        wait_at(&limiter, 2, 1, &log);
        settle().await;
        wait_at(&limiter, 0, 1, &log);
        settle().await;
        assert_eq!(*log.borrow(), [(2, false)]);
        wait_at(&limiter, 1, 1, &log);
        settle().await;
        assert_eq!(*log.borrow(), [(2, false), (1, false)]);
        drop(permits);
        settle().await;
        assert_eq!(log.borrow().last(), Some(&(0, true)));
    });
}

#[test]
fn a_wait_that_ends_gives_its_place_back() {
    runtime::run(async {
        let limiter = Limiter::new(1);
        let permits = fill(&limiter, 1).await;
        let soon = clock::now() + Duration::from_millis(5);
        let answer = limiter.acquire(0, 8, soon).await;
        assert!(matches!(answer, Err(Shed { .. })));
        assert_eq!(limiter.occupancy(), (1, 0));
        drop(permits);
        assert_eq!(limiter.occupancy(), (0, 0));
    });
}

#[test]
fn a_waiter_that_is_dropped_after_admission_leaks_nothing() {
    runtime::run(async {
        let limiter = Limiter::new(1);
        let permits = fill(&limiter, 1).await;
        {
            let waiting = limiter.acquire(0, 8, later());
            let mut waiting = std::pin::pin!(waiting);
            let first = monoio::time::timeout(Duration::from_millis(2), waiting.as_mut()).await;
            assert!(first.is_err());
            drop(permits);
            assert_eq!(limiter.occupancy(), (1, 0));
        }
        assert_eq!(limiter.occupancy(), (0, 0));
    });
}

#[test]
fn a_server_that_sheds_gets_less_and_then_more() {
    let mut limit = AdaptiveLimit::new(6);
    (0..20).for_each(|_| limit.record_shed());
    assert_eq!(limit.allowed(), 1);
    (0..500).for_each(|_| limit.record_served());
    assert_eq!(limit.allowed(), 6);
    limit.resize(3);
    assert_eq!(limit.allowed(), 3);
}

#[test]
fn permits_never_exceed_the_limit_at_any_order() {
    for seed in 0..40u64 {
        arbtest::arbtest(|u| {
            let slots = u.int_in_range(1..=4u32)?;
            let steps = u.int_in_range(1..=60usize)?;
            let choices = (0..steps)
                .map(|_| u.int_in_range(0..=3u8))
                .collect::<Result<Vec<_>, _>>()?;
            runtime::run(drive(slots, choices));
            Ok(())
        })
        .seed(seed << 32 | 0x400);
    }
}

async fn drive(slots: u32, choices: Vec<u8>) {
    let limiter = Limiter::new(slots);
    let held: Rc<RefCell<Vec<Permit>>> = Rc::default();
    for choice in choices {
        match choice {
            0 | 1 => {
                let (limiter, held) = (limiter.clone(), Rc::clone(&held));
                monoio::spawn(async move {
                    let give_up = clock::now() + Duration::from_millis(3);
                    if let Ok(permit) = limiter.acquire(usize::from(choice), 3, give_up).await {
                        held.borrow_mut().push(permit);
                    }
                });
            }
            _ => {
                let permit = held.borrow_mut().pop();
                if let Some(mut permit) = permit {
                    permit.set_outcome(if choice == 2 {
                        RequestOutcome::Served
                    } else {
                        RequestOutcome::Shed
                    });
                }
            }
        }
        settle().await;
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
fn retries_stay_within_their_share() {
    let budget = RetryBudget::new(10);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_request();
        retries += u32::from(budget.try_spend(0));
    }
    assert!((1_000..=1_010).contains(&retries), "{retries}");
}

#[test]
fn lower_ranks_leave_half_of_the_saved_retries_to_the_first() {
    let budget = RetryBudget::new(10);
    let lower = (0..100).filter(|_| budget.try_spend(1)).count();
    let first = (0..100).filter(|_| budget.try_spend(0)).count();
    assert_eq!((lower, first), (5, 5));
}

#[test]
fn first_rank_gets_retries_while_lower_ranks_want_more_than_there_are() {
    let budget = RetryBudget::new(10);
    for _ in 0..1_000 {
        budget.record_request();
        while budget.try_spend(1) {}
    }
    assert!(budget.try_spend(0));
}
