//! Lease rules of the example backend server.

#[path = "../examples/backend/lease.rs"]
mod lease;
#[path = "../examples/backend/refusal.rs"]
#[allow(
    dead_code,
    reason = "responses to refused requests are not tested here"
)]
mod refusal;

use std::time::{Duration, Instant};

use agateyoke::grant::Grant;
use agateyoke::keys::Span;

use crate::lease::Lease;
use crate::refusal::RefusalReason;

const LEASE_LENGTH: Duration = Duration::from_millis(500);

fn grant(fence: u64) -> Grant {
    let span = Span {
        start: 0,
        end: 1000,
    };
    Grant { span, fence }
}

fn lease_with(grants: &[Grant], sent: Instant) -> Lease {
    let mut lease = Lease::default();
    assert!(lease.renew(sent, sent, LEASE_LENGTH, grants));
    lease
}

#[test]
fn lease_starts_when_its_request_is_sent() {
    let sent = Instant::now();
    let mut lease = lease_with(&[grant(1)], sent);
    let late = sent + Duration::from_millis(400);
    lease.renew(sent, late, LEASE_LENGTH, &[grant(1)]);
    assert_eq!(lease.check(5, 1, late), Ok(()));
    assert_eq!(
        lease.check(5, 1, sent + LEASE_LENGTH),
        Err(RefusalReason::Lease)
    );
    assert_eq!(lease.held(sent + LEASE_LENGTH), []);
}

#[test]
fn response_after_the_lease_length_renews_nothing() {
    let sent = Instant::now();
    let mut lease = Lease::default();
    assert!(!lease.renew(sent, sent + LEASE_LENGTH, LEASE_LENGTH, &[grant(1)]));
    assert_eq!(
        lease.check(5, 1, sent + LEASE_LENGTH),
        Err(RefusalReason::Lease)
    );
}

#[test]
fn expired_grant_returns_only_with_a_higher_fence() {
    let sent = Instant::now();
    let mut lease = lease_with(&[grant(7)], sent);
    let after = sent + LEASE_LENGTH;
    for fence in [6, 7] {
        lease.renew(after, after, LEASE_LENGTH, &[grant(fence)]);
        assert_eq!(lease.check(5, fence, after), Err(RefusalReason::Fence));
    }
    lease.renew(after, after, LEASE_LENGTH, &[grant(8)]);
    assert_eq!(lease.check(5, 8, after), Ok(()));
    assert_eq!(lease.check(5, 7, after), Err(RefusalReason::Fence));
    assert_eq!(lease.check(1001, 8, after), Err(RefusalReason::Fence));
}

#[test]
fn removed_grant_is_finishing_while_requests_are_in_flight() {
    let sent = Instant::now();
    let mut lease = lease_with(&[grant(1)], sent);
    lease.start(1);
    lease.renew(sent, sent, LEASE_LENGTH, &[]);
    assert_eq!(lease.check(5, 1, sent), Err(RefusalReason::Fence));
    assert_eq!(
        (lease.held(sent), lease.finishing(sent)),
        (vec![], vec![grant(1)])
    );
    lease.end(1);
    assert_eq!(lease.finishing(sent), vec![]);
}
