//! Second attempts beside an unanswered one.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::mock::{Action, Fixture, MockBackend, status_code, wait_until};
use crate::gateway::hedge::{self, HedgeTimes};
use crate::runtime;

const OK: Action =
    Action::Send("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nok");

const FULL: Action =
    Action::Send("HTTP/1.1 503 No\nx-request: ID\nx-refused: 1\ncontent-length: 0\n\n");

const SAFE: &str = "GET /safe/1 HTTP/1.1\nhost: h\nx-request: 7\nx-deadline: 3000\n\n";

const ONCE: &str =
    "POST /once/1 HTTP/1.1\nhost: h\nx-request: 7\nx-deadline: 900\ncontent-length: 3\n\nabc";

const KEYED: &str = "GET /keyed/1 HTTP/1.1\nhost: h\nx-request: 7\nx-deadline: 900\nx-key: 5\n\n";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn delay(first: u64, second: u64, to_target: u64) -> Option<Duration> {
    hedge::delay(HedgeTimes {
        first: ms(first),
        second: ms(second),
        to_target: ms(to_target),
    })
}

/// Guards against second attempts that come too late to help, or before the first is overdue.
#[test]
fn a_second_attempt_is_sent_when_it_can_just_meet_the_target() {
    assert_eq!(delay(300, 300, 800), Some(ms(410)));
    assert_eq!(delay(300, 300, 749), None);
    assert_eq!(delay(300, 300, 400), None);
    assert_eq!(delay(900, 300, 800), None);
}

/// Guards against second attempts that queue before first ones.
#[test]
fn a_second_attempt_needs_a_free_slot() {
    assert!(hedge::has_free_slot(0.0, 1.0));
    assert!(!hedge::has_free_slot(1.0, 2.0));
    assert!(hedge::has_free_slot(3.0, 6.0));
    assert!(!hedge::has_free_slot(4.0, 6.0));
}

/// Servers that are slow for moments: a fifth of the requests take three times as long. Second
/// attempts within half of a budget of 0.2 must bring most of these inside the target.
#[test]
fn moments_of_slowness_make_fewer_requests_late() {
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut time = || {
            let spread = 0.6 + 0.8 * random.f64();
            let slow = if random.f64() < 0.2 { 3.0 } else { 1.0 };
            ms(300).mul_f64(spread * slow)
        };
        let (mut late, mut late_hedged, mut hedges) = (0_u32, 0_u32, 0_u32);
        for _ in 0..2000 {
            let (first, second) = (time(), time());
            late += u32::from(first > ms(800));
            let at = delay(300, 300, 800).unwrap();
            let allowed = first > at && hedges < 2000 / 10;
            hedges += u32::from(allowed);
            let end = if allowed {
                first.min(at + second)
            } else {
                first
            };
            late_hedged += u32::from(end > ms(800));
        }
        assert!(
            late_hedged * 10 < late * 8,
            "seed {seed}: {late} late without, {late_hedged} with"
        );
    }
}

/// Sets the average time of a route, which the delay of second attempts is computed from.
fn set_average(fixture: &Fixture, route: &str, secs: f64) {
    let mut routing = fixture.gateway.routing.borrow_mut();
    routing.route_secs.insert(route.into(), secs);
}

/// Guards against a request that waits for a silent server until its deadline although another
/// server is idle, and against a cancelled attempt that goes on at its server.
#[test]
fn an_overdue_request_is_answered_by_another_server_and_cancelled_at_the_first() {
    runtime::run(async {
        let silent = MockBackend::start(vec![vec![Action::Wait]]);
        let other = MockBackend::start(vec![vec![OK]]);
        let fixture = Fixture::new(&[&silent, &other]);
        set_average(&fixture, "/safe/", 0.01);
        {
            // The first attempt goes to the preferred one of two idle servers.
            let routing = fixture.gateway.routing.borrow();
            let other_backend = routing.backends("plain").iter();
            let mut other_backend = other_backend.filter(|b| b.server().address == other.address);
            other_backend.next().unwrap().set_preferred(false);
        }
        let begun = Instant::now();
        let response = fixture.request(SAFE).await;
        assert_eq!(status_code(&response), 200, "{response}");
        assert!(begun.elapsed() < ms(2500));
        assert_eq!(silent.requests.borrow().len(), 1);
        let disconnects = Rc::clone(&silent.disconnects);
        wait_until(|| *disconnects.borrow() == 1).await;
        assert_eq!(fixture.gateway.counters.hedged.get(), 1);
        assert_eq!(fixture.gateway.counters.hedge_won.get(), 1);
    });
}

/// Guards against second attempts of requests that must run at most once, or that only the owner
/// of their key may run.
#[test]
fn requests_at_most_once_and_with_a_key_are_sent_once() {
    for request in [ONCE, KEYED] {
        runtime::run(async move {
            let silent = MockBackend::start(vec![vec![Action::Wait], vec![Action::Wait]]);
            let other = MockBackend::start(vec![vec![Action::Wait], vec![Action::Wait]]);
            let fixture = Fixture::new(&[&silent, &other]);
            set_average(&fixture, "/once/", 0.01);
            set_average(&fixture, "/keyed/", 0.01);
            let response = fixture.request(request).await;
            assert_eq!(status_code(&response), 504, "{response}");
            let sent = silent.requests.borrow().len() + other.requests.borrow().len();
            assert_eq!(sent, 1, "{request}");
            assert_eq!(fixture.gateway.counters.hedged.get(), 0);
        });
    }
}

/// Guards against a rejection of the second attempt that ends the request while the first one is
/// still running.
#[test]
fn a_rejected_second_attempt_leaves_the_first_one_running() {
    runtime::run(async {
        let slow = vec![Action::Pause(ms(700)), OK];
        let slow = MockBackend::start(vec![slow; 4]);
        let rejecting = MockBackend::start(vec![vec![FULL]; 8]);
        let fixture = Fixture::new(&[&slow, &rejecting]);
        set_average(&fixture, "/safe/", 0.01);
        for _ in 0..3 {
            let response = fixture.request(SAFE).await;
            assert_eq!(status_code(&response), 200, "{response}");
        }
    });
}
