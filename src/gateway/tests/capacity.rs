use std::time::{Duration, Instant};

use crate::clock;
use crate::gateway::capacity::{Capacity, Smoothed};

/// Records `count` responses, `interval` apart, whose time varies by up to an eighth.
fn record<F>(smoothed: &mut Smoothed, now: &mut Instant, count: u32, interval: Duration, time: F)
where
    F: Fn(u32) -> f64,
{
    for i in 0..count {
        *now += interval;
        let noise = 0.875 + 0.25 * fastrand::f64();
        smoothed.record(time(i) * noise, *now);
    }
}

/// Guards against a slow server that is taken for fast, and the other way round, for longer than 3 s.
#[test]
fn a_step_and_the_return_are_followed_within_three_responses_a_second_apart() {
    for seed in 0..200 {
        fastrand::seed(seed);
        let (mut smoothed, mut now) = (Smoothed::default(), clock::now());
        let second = Duration::from_secs(1);
        record(&mut smoothed, &mut now, 30, second, |_| 1.0);
        record(&mut smoothed, &mut now, 3, second, |_| 3.0);
        assert!(smoothed.value() > 2.6, "{seed}: {}", smoothed.value());
        record(&mut smoothed, &mut now, 10, second, |_| 3.0);
        record(&mut smoothed, &mut now, 3, second, |_| 1.0);
        assert!(smoothed.value() < 1.2, "{seed}: {}", smoothed.value());
    }
}

/// Guards against a ramp that moves the average along without ever making a step.
#[test]
fn a_ramp_is_followed_within_three_seconds_of_its_end() {
    for seed in 0..200 {
        fastrand::seed(seed);
        let (mut smoothed, mut now) = (Smoothed::default(), clock::now());
        let second = Duration::from_secs(1);
        record(&mut smoothed, &mut now, 30, second, |_| 1.0);
        record(&mut smoothed, &mut now, 6, second, |i| {
            1.0 + f64::from(i) / 3.0
        });
        record(&mut smoothed, &mut now, 3, second, |_| 3.0);
        assert!(smoothed.value() > 2.3, "{seed}: {}", smoothed.value());
    }
}

/// Guards against a weight that follows each slow period of 400 ms, at many responses a second.
#[test]
fn slow_periods_change_little() {
    for seed in 0..50 {
        fastrand::seed(seed);
        let (mut smoothed, mut now) = (Smoothed::default(), clock::now());
        let interval = Duration::from_millis(33);
        for _ in 0..20 {
            record(&mut smoothed, &mut now, 48, interval, |_| 1.0);
            record(&mut smoothed, &mut now, 12, interval, |_| 3.0);
            assert!(smoothed.value() < 1.6, "{seed}: {}", smoothed.value());
        }
    }
}

/// Guards against a fresh report that is ignored, and an old one that goes on counting.
#[test]
fn a_fresh_report_counts_for_the_current_selection_only() {
    let mut now = clock::now();
    let mut capacity = Capacity::new(6);
    for _ in 0..10 {
        now += Duration::from_millis(500);
        capacity.record_percent(100, now);
    }
    capacity.record_percent(300, now + Duration::from_millis(1));
    now += Duration::from_millis(200);
    assert!((capacity.relative_time(now) - 3.0).abs() < 0.1);
    now += Duration::from_millis(200);
    assert!(capacity.relative_time(now) < 1.2);
}

/// Runs a server whose time per request triples beyond `knee` requests in flight, at loads up to
/// the limit, and returns the limit.
fn limit_with_knee(capacity: &mut Capacity, now: &mut Instant, knee: f64, responses: u32) -> f64 {
    for _ in 0..responses {
        *now += Duration::from_millis(100);
        let in_flight = 1.0 + (capacity.limit(*now) - 1.0) * fastrand::f64();
        let noise = 0.75 + 0.5 * fastrand::f64();
        let time = if in_flight > knee { 3.0 } else { 1.0 };
        capacity.record_response(time * noise, in_flight - 1.0, *now);
    }
    capacity.limit(*now)
}

/// Guards against a limit above what the server takes well, and one that stays low afterwards.
#[test]
fn the_limit_settles_at_the_knee_and_returns_to_the_slots() {
    for seed in 0..100 {
        fastrand::seed(seed);
        let (mut capacity, mut now) = (Capacity::new(8), clock::now());
        let limit = limit_with_knee(&mut capacity, &mut now, f64::INFINITY, 300);
        assert!(limit > 7.5, "{seed}: {limit}");
        let limit = limit_with_knee(&mut capacity, &mut now, 4.0, 300);
        assert!((3.0..6.0).contains(&limit), "{seed}: {limit}");
        let limit = limit_with_knee(&mut capacity, &mut now, f64::INFINITY, 300);
        assert!(limit > 7.5, "{seed}: {limit}");
    }
}

/// Guards against a limit that falls to 1 when requests that were sent together fail together.
#[test]
fn overload_reduces_the_limit_once_in_a_while() {
    let (mut capacity, now) = (Capacity::new(8), clock::now());
    for i in 0..50 {
        capacity.record_overload(now + Duration::from_millis(i));
    }
    assert!((capacity.limit(now) - 6.0).abs() < 1e-9);
    let later = now + Duration::from_secs(1);
    capacity.record_overload(later);
    assert!(capacity.limit(later) < 6.0);
    assert!(capacity.limit(later + Duration::from_secs(30)) > 7.5);
}

#[test]
fn any_responses_leave_the_limit_and_the_time_in_range() {
    for seed in 0..300_u64 {
        arbtest::arbtest(|u| {
            let slots = u.int_in_range(0..=40)?;
            let (mut capacity, mut now) = (Capacity::new(slots), clock::now());
            for _ in 0..u.int_in_range(0..=60)? {
                now += Duration::from_millis(u.int_in_range(0..=2000)?);
                match u.int_in_range(0..=2)? {
                    0 => capacity.record_response(u.arbitrary()?, u.arbitrary()?, now),
                    1 => capacity.record_percent(u.arbitrary()?, now),
                    _ => capacity.record_overload(now),
                }
                let limit = capacity.limit(now);
                assert!((1.0..=f64::from(slots.max(1))).contains(&limit), "{limit}");
                let time = capacity.relative_time(now);
                assert!((0.001..=400.0).contains(&time), "{time}");
            }
            Ok(())
        })
        .seed(seed << 32 | 1024)
        .run();
    }
}
