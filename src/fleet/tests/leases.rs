use std::time::{Duration, Instant};

use super::{heartbeat, incarnation, server};
use crate::fleet::leases::Leases;
use crate::fleet::messages::ReleasedRange;
use crate::fleet::{Change, KeyRange, ServerState, Store};

const LENGTH: Duration = Duration::from_secs(4);

/// Longer than any lease that a leader has granted or may have inherited.
const OVER: Duration = Duration::from_millis(4200);

/// Servers `a` and `b`; `a` holds the first ten keys, which are to go to `b` since index 5.
fn world() -> (Store, KeyRange) {
    let mut store = Store::default();
    store.apply(1, Change::Announce(server("a", 1, 1)));
    store.apply(2, Change::Announce(server("b", 1, 2)));
    let service = "s".into();
    let ranges = vec![(incarnation("a", 1), vec![(0, 9)])];
    store.apply(3, Change::Reassign { service, ranges });
    let assigned = crate::fleet::ranges::AssignedRange {
        from: 0,
        to: 9,
        token: None,
    };
    store.apply(
        4,
        Change::Assign {
            service: "s".into(),
            incarnation: incarnation("a", 1),
            ranges: vec![assigned],
        },
    );
    let ranges = vec![(incarnation("b", 1), vec![(0, 9)])];
    let service = "s".into();
    store.apply(5, Change::Reassign { service, ranges });
    let range = store.ranges("s").unwrap().iter().next().unwrap().clone();
    (store, range)
}

#[test]
fn only_a_report_after_the_next_holder_was_named_proves_that_keys_are_free() {
    let (store, range) = world();
    let now = Instant::now();
    let mut leases = Leases::new(LENGTH, now);
    assert!(leases.record_heartbeat(&heartbeat("a", 1, &[]), 4, now));
    leases.record_grant(&incarnation("a", 1), now);
    assert!(
        !leases.is_free(&range, &store, now),
        "its answer may be under way"
    );
    assert!(leases.record_heartbeat(&heartbeat("a", 2, &[(5, 20)]), 5, now));
    assert!(
        !leases.is_free(&range, &store, now),
        "it is still at work on some"
    );
    assert!(leases.record_heartbeat(&heartbeat("a", 3, &[(10, 20)]), 5, now));
    assert!(leases.is_free(&range, &store, now));
}

#[test]
fn a_report_that_came_late_proves_nothing() {
    let (store, range) = world();
    let now = Instant::now();
    let mut leases = Leases::new(LENGTH, now);
    assert!(leases.record_heartbeat(&heartbeat("a", 7, &[(0, 9)]), 5, now));
    assert!(!leases.record_heartbeat(&heartbeat("a", 6, &[]), 6, now));
    assert!(!leases.record_heartbeat(&heartbeat("a", 7, &[]), 6, now));
    assert!(!leases.is_free(&range, &store, now));
}

#[test]
fn a_silent_holder_keeps_its_keys_until_its_lease_has_run_out() {
    let (store, range) = world();
    let now = Instant::now();
    let mut leases = Leases::new(LENGTH, now);
    leases.record_heartbeat(&heartbeat("a", 1, &[(0, 9)]), 5, now);
    leases.record_grant(&incarnation("a", 1), now + Duration::from_secs(1));
    assert!(!leases.is_free(&range, &store, now + OVER));
    assert!(leases.is_free(&range, &store, now + Duration::from_secs(1) + OVER));
}

#[test]
fn a_new_leader_waits_for_what_the_one_before_may_have_granted() {
    let (store, range) = world();
    let now = Instant::now();
    let mut leases = Leases::new(LENGTH, now);
    assert!(!leases.is_free(&range, &store, now + LENGTH));
    assert!(leases.is_free(&range, &store, now + OVER));
    leases.record_heartbeat(&heartbeat("a", 1, &[(0, 9)]), 5, now);
    assert!(
        !leases.is_free(&range, &store, now + LENGTH),
        "heard, but not granted by this one"
    );
}

#[test]
fn a_holder_that_left_may_still_run_and_one_that_is_gone_does_not() {
    let (mut store, range) = world();
    let now = Instant::now();
    let leases = Leases::new(LENGTH, now);
    let stand = |state| Change::SetState {
        incarnation: incarnation("a", 1),
        state,
    };
    store.apply(6, stand(ServerState::Left));
    assert!(!leases.is_free(&range, &store, now));
    store.apply(7, stand(ServerState::Gone));
    assert!(leases.is_free(&range, &store, now));
}

#[test]
fn what_was_handed_over_goes_with_the_keys_that_it_is_for() {
    let (_, range) = world();
    let now = Instant::now();
    let mut leases = Leases::new(LENGTH, now);
    let mut heartbeat = heartbeat("a", 1, &[]);
    let released = |from, to, token: &str| ReleasedRange {
        from,
        to,
        token: token.into(),
    };
    heartbeat.released = vec![released(0, 3, "old"), released(2, 5, "new")];
    leases.record_heartbeat(&heartbeat, 5, now);
    let handed = |leases: &Leases| -> Vec<_> {
        let ranges = leases.split_by_token("s", &range).into_iter();
        ranges
            .map(|s| (s.from, s.to, s.token.map(|t| t.to_string())))
            .collect()
    };
    let text = |t: &str| Some(t.to_owned());
    let ranges = vec![(0, 1, text("old")), (2, 5, text("new")), (6, 9, None)];
    assert_eq!(handed(&leases), ranges);
    leases.drop_tokens("s", 0, 9);
    assert_eq!(handed(&leases), [(0, 9, None)]);
}

#[test]
fn an_earlier_report_that_is_answered_last_shortens_no_lease() {
    let (store, range) = world();
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut leases = Leases::new(LENGTH, now);
    leases.record_heartbeat(&heartbeat("a", 1, &[(0, 9)]), 5, now);
    leases.record_heartbeat(&heartbeat("a", 2, &[(0, 9)]), 5, later);
    leases.record_grant(&incarnation("a", 1), later);
    leases.record_grant(&incarnation("a", 1), now);
    assert!(!leases.is_free(&range, &store, now + OVER));
    assert!(leases.is_free(&range, &store, later + OVER));
}
