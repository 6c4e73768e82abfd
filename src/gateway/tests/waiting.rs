//! Order of requests that wait for capacity.

use std::time::{Duration, Instant};

use crate::gateway::waiting::WaitingRequests;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a place that goes to whichever request happens to wake up.
#[test]
fn urgent_requests_go_first_and_then_the_oldest() {
    let waiting = WaitingRequests::default();
    let service = "s".into();
    let now = Instant::now();
    let low = waiting.join(&service, 2, now);
    let high = waiting.join(&service, 0, now + ms(50));
    let high_later = waiting.join(&service, 0, now + ms(60));
    let other = waiting.join(&"t".into(), 2, now);
    assert!(high.is_first() && other.is_first());
    assert!(!low.is_first() && !high_later.is_first());
    drop(high);
    assert!(high_later.is_first() && !low.is_first());
    drop(high_later);
    assert!(low.is_first());
    assert_eq!((waiting.count("s"), waiting.count("t")), (1, 1));
    drop((low, other));
    assert!(!waiting.any("s") && !waiting.any("t"));
}

/// A place becomes free every 50 ms and an urgent request arrives as often, so that without an age
/// limit the less urgent ones would never get any.
#[test]
fn a_lower_rank_is_served_under_a_steady_load_of_a_higher_one() {
    let waiting = WaitingRequests::default();
    let service = "s".into();
    let start = Instant::now();
    let mut waiters = Vec::new();
    let mut served = [0_u32; 2];
    for step in 0..200 {
        let now = start + ms(step * 50);
        waiters.push((0_u32, waiting.join(&service, 0, now)));
        waiters.push((1_u32, waiting.join(&service, 1, now)));
        let first = waiters.iter().position(|(_, w)| w.is_first()).unwrap();
        let (rank, _) = waiters.swap_remove(first);
        served[usize::try_from(rank).unwrap()] += 1;
    }
    assert!(served[0] > served[1], "{served:?}");
    assert!(served[1] * 4 > served[0], "{served:?}");
}
