//! The rules of the lease, as the backend server for trials keeps them.

#[path = "../examples/backend/lease.rs"]
mod lease;
#[path = "../examples/backend/refused.rs"]
#[allow(dead_code, reason = "answers to refused requests are not tested here")]
mod refused;

use std::time::{Duration, Instant};

use agateyoke::grant::Grant;
use agateyoke::keys::Span;

use crate::lease::Lease;
use crate::refused::Refused;

const LENGTH: Duration = Duration::from_millis(500);

fn grant(fence: u64) -> Grant {
    let span = Span {
        start: 0,
        end: 1000,
    };
    Grant { span, fence }
}

fn held(grants: &[Grant], sent: Instant) -> Lease {
    let mut lease = Lease::default();
    assert!(lease.renew(sent, sent, LENGTH, grants));
    lease
}

#[test]
fn lease_counts_from_the_question() {
    let sent = Instant::now();
    let mut lease = held(&[grant(1)], sent);
    let late = sent + Duration::from_millis(400);
    lease.renew(sent, late, LENGTH, &[grant(1)]);
    assert_eq!(lease.check(5, 1, late), Ok(()));
    assert_eq!(lease.check(5, 1, sent + LENGTH), Err(Refused::Lease));
    assert_eq!(lease.holds(sent + LENGTH), []);
}

#[test]
fn answer_that_comes_too_late_prolongs_nothing() {
    let sent = Instant::now();
    let mut lease = Lease::default();
    assert!(!lease.renew(sent, sent + LENGTH, LENGTH, &[grant(1)]));
    assert_eq!(lease.check(5, 1, sent + LENGTH), Err(Refused::Lease));
}

#[test]
fn dropped_grant_comes_back_only_with_a_higher_fence() {
    let sent = Instant::now();
    let mut lease = held(&[grant(7)], sent);
    let after = sent + LENGTH;
    for fence in [6, 7] {
        lease.renew(after, after, LENGTH, &[grant(fence)]);
        assert_eq!(lease.check(5, fence, after), Err(Refused::Fence));
    }
    lease.renew(after, after, LENGTH, &[grant(8)]);
    assert_eq!(lease.check(5, 8, after), Ok(()));
    assert_eq!(lease.check(5, 7, after), Err(Refused::Fence));
    assert_eq!(lease.check(1001, 8, after), Err(Refused::Fence));
}

#[test]
fn unlisted_grant_is_finishing_while_work_is_in_flight() {
    let sent = Instant::now();
    let mut lease = held(&[grant(1)], sent);
    lease.start(1);
    lease.renew(sent, sent, LENGTH, &[]);
    assert_eq!(lease.check(5, 1, sent), Err(Refused::Fence));
    assert_eq!(
        (lease.holds(sent), lease.finishing(sent)),
        (vec![], vec![grant(1)])
    );
    lease.end(1);
    assert_eq!(lease.finishing(sent), vec![]);
}
