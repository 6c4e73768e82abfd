use std::time::{Duration, Instant};

use serde_json::Value;

use super::{announce, heartbeat, incarnation, server};
use crate::fleet::leases::{InheritedLeases, LONGEST_LEASE, Leases};
use crate::fleet::messages::ReleasedRange;
use crate::fleet::{Change, KeyRange, ServerState, Store};
use crate::table::{self, Delivery};

const MAX_LEASE: Duration = Duration::from_secs(4);

/// Longer than any lease that this leader or its predecessor granted.
const ALL_EXPIRED: Duration = Duration::from_millis(4200);

/// Servers `a` and `b`; `a` owns the first ten keys, and `b` is their next owner since index 5.
fn fixture() -> (Store, KeyRange) {
    let mut store = Store::default();
    store.apply(1, announce(server("a", 1, 1)));
    store.apply(2, announce(server("b", 1, 2)));
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
            join: false,
        },
    );
    let ranges = vec![(incarnation("b", 1), vec![(0, 9)])];
    let service = "s".into();
    store.apply(5, Change::Reassign { service, ranges });
    let range = store.ranges("s").unwrap().iter().next().unwrap().clone();
    (store, range)
}

#[test]
fn only_a_heartbeat_after_the_next_owner_was_named_proves_that_keys_are_free() {
    let (store, range) = fixture();
    let now = Instant::now();
    let mut leases = super::new_leases(MAX_LEASE, now, 0);
    assert!(leases.record_heartbeat(&heartbeat("a", 1, &[]), 4, now));
    leases.record_grant(&incarnation("a", 1), MAX_LEASE, now);
    assert!(
        !leases.is_free(&range, &store, Delivery::Heartbeat, now),
        "a response that grants them may be in flight"
    );
    assert!(leases.record_heartbeat(&heartbeat("a", 2, &[(5, 20)]), 5, now));
    assert!(
        !leases.is_free(&range, &store, Delivery::Heartbeat, now),
        "it still processes requests for some"
    );
    assert!(leases.record_heartbeat(&heartbeat("a", 3, &[(10, 20)]), 5, now));
    assert!(leases.is_free(&range, &store, Delivery::Heartbeat, now));
}

#[test]
fn a_delayed_heartbeat_proves_nothing() {
    let (store, range) = fixture();
    let now = Instant::now();
    let mut leases = super::new_leases(MAX_LEASE, now, 0);
    assert!(leases.record_heartbeat(&heartbeat("a", 7, &[(0, 9)]), 5, now));
    assert!(!leases.record_heartbeat(&heartbeat("a", 6, &[]), 6, now));
    assert!(!leases.record_heartbeat(&heartbeat("a", 7, &[]), 6, now));
    assert!(!leases.is_free(&range, &store, Delivery::Heartbeat, now));
}

/// Guards against keys of two owners: a new leader has no sequence number to compare a delayed heartbeat
/// with, and the keys may have been granted after it was sent.
#[test]
fn a_heartbeat_from_before_the_leadership_proves_no_release() {
    let (store, range) = fixture();
    let now = Instant::now();
    let mut leases = super::new_leases(MAX_LEASE, now, 7);
    let mut delayed = heartbeat("a", 1, &[]);
    delayed.sent_after = 6;
    let is_free = |leases: &Leases, at| leases.is_free(&range, &store, Delivery::Heartbeat, at);
    assert!(leases.record_heartbeat(&delayed, 8, now));
    assert!(!is_free(&leases, now));
    assert!(is_free(&leases, now + ALL_EXPIRED));
    let mut present = heartbeat("a", 2, &[(0, 9)]);
    present.sent_after = 7;
    assert!(leases.record_heartbeat(&present, 8, now));
    assert!(!is_free(&leases, now), "it holds the keys");
    let mut released = heartbeat("a", 3, &[]);
    released.sent_after = 7;
    assert!(leases.record_heartbeat(&released, 8, now));
    assert!(is_free(&leases, now));
}

#[test]
fn a_silent_owner_keeps_its_keys_until_its_lease_has_expired() {
    let (store, range) = fixture();
    let now = Instant::now();
    let mut leases = super::new_leases(MAX_LEASE, now, 0);
    leases.record_heartbeat(&heartbeat("a", 1, &[(0, 9)]), 5, now);
    leases.record_grant(
        &incarnation("a", 1),
        MAX_LEASE,
        now + Duration::from_secs(1),
    );
    assert!(!leases.is_free(&range, &store, Delivery::Heartbeat, now + ALL_EXPIRED));
    assert!(leases.is_free(
        &range,
        &store,
        Delivery::Heartbeat,
        now + Duration::from_secs(1) + ALL_EXPIRED
    ));
}

#[test]
fn a_new_leader_waits_out_leases_of_its_predecessor() {
    let (store, range) = fixture();
    let now = Instant::now();
    let mut leases = super::new_leases(MAX_LEASE, now, 0);
    assert!(!leases.is_free(&range, &store, Delivery::Heartbeat, now + MAX_LEASE));
    assert!(leases.is_free(&range, &store, Delivery::Heartbeat, now + ALL_EXPIRED));
    leases.record_heartbeat(&heartbeat("a", 1, &[(0, 9)]), 5, now);
    assert!(
        !leases.is_free(&range, &store, Delivery::Heartbeat, now + MAX_LEASE),
        "a heartbeat without a grant of this leader doesn't shorten the wait"
    );
}

/// Guards against keys of two owners: the response with a shorter lease of a new leader may be lost, and
/// the owner then holds the keys under that of the earlier leader.
#[test]
fn a_shorter_lease_of_a_new_leader_ends_none_of_its_predecessor() {
    let (store, range) = fixture();
    let now = Instant::now();
    let mut leases = super::new_leases(MAX_LEASE, now, 9);
    let owner = incarnation("a", 1);
    leases.record_heartbeat(&heartbeat("a", 1, &[(0, 9)]), 9, now);
    leases.record_grant(&owner, Duration::from_secs(1), now);
    let is_free = |at| leases.is_free(&range, &store, Delivery::Heartbeat, at);
    assert!(!is_free(now + MAX_LEASE));
    assert!(!leases.has_expired(&owner, &store, now + MAX_LEASE));
    assert!(is_free(now + ALL_EXPIRED));
    assert!(leases.has_expired(&owner, &store, now + ALL_EXPIRED));
}

/// Guards against keys of two owners: an owner that says that it holds keys does, whoever granted them.
#[test]
fn keys_that_their_owner_reports_are_not_free_for_want_of_a_grant() {
    let (store, range) = fixture();
    let now = Instant::now();
    let mut leases = super::new_leases(MAX_LEASE, now, 0);
    let is_free = |leases: &Leases, at| leases.is_free(&range, &store, Delivery::Heartbeat, at);
    let reported = now + ALL_EXPIRED;
    assert!(is_free(&leases, reported));
    leases.record_heartbeat(&heartbeat("a", 1, &[(5, 20)]), 5, reported);
    assert!(!is_free(&leases, reported), "it holds some");
    assert!(!is_free(&leases, reported + LONGEST_LEASE));
    assert!(!leases.has_expired(&incarnation("a", 1), &store, reported + LONGEST_LEASE));
    assert!(is_free(&leases, reported + LONGEST_LEASE.mul_f64(1.05)));
    leases.record_heartbeat(&heartbeat("a", 2, &[(10, 20)]), 5, reported);
    assert!(is_free(&leases, reported), "it has released them");
}

#[test]
fn an_owner_that_left_may_still_run_and_one_that_is_gone_does_not() {
    let (mut store, range) = fixture();
    let now = Instant::now();
    let leases = super::new_leases(MAX_LEASE, now, 0);
    let set_state = |state| Change::SetState {
        incarnation: incarnation("a", 1),
        state,
    };
    store.apply(6, set_state(ServerState::Left));
    assert!(!leases.is_free(&range, &store, Delivery::Heartbeat, now));
    store.apply(7, set_state(ServerState::Gone));
    assert!(leases.is_free(&range, &store, Delivery::Heartbeat, now));
}

#[test]
fn handover_tokens_stay_with_their_keys() {
    let (_, range) = fixture();
    let now = Instant::now();
    let mut leases = super::new_leases(MAX_LEASE, now, 0);
    let mut heartbeat = heartbeat("a", 1, &[]);
    let released = |from, to, token: &str| ReleasedRange {
        from,
        to,
        token: token.into(),
    };
    heartbeat.released = vec![released(0, 3, "old"), released(2, 5, "new")];
    leases.record_heartbeat(&heartbeat, 5, now);
    let parts = |leases: &Leases| -> Vec<_> {
        let ranges = leases.split_by_token("s", &range).into_iter();
        ranges
            .map(|s| (s.from, s.to, s.token.map(|t| t.to_string())))
            .collect()
    };
    let text = |t: &str| Some(t.to_owned());
    let ranges = vec![(0, 1, text("old")), (2, 5, text("new")), (6, 9, None)];
    assert_eq!(parts(&leases), ranges);
    leases.drop_tokens("s", 0, 9);
    assert_eq!(parts(&leases), [(0, 9, None)]);
}

#[test]
fn an_earlier_heartbeat_that_is_answered_last_shortens_no_lease() {
    let (store, range) = fixture();
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut leases = super::new_leases(MAX_LEASE, now, 0);
    leases.record_heartbeat(&heartbeat("a", 1, &[(0, 9)]), 5, now);
    leases.record_heartbeat(&heartbeat("a", 2, &[(0, 9)]), 5, later);
    leases.record_grant(&incarnation("a", 1), MAX_LEASE, later);
    leases.record_grant(&incarnation("a", 1), MAX_LEASE, now);
    assert!(!leases.is_free(&range, &store, Delivery::Heartbeat, now + ALL_EXPIRED));
    assert!(leases.is_free(&range, &store, Delivery::Heartbeat, later + ALL_EXPIRED));
}

/// Stores tables, each with the service, the latency target and the delivery of its only route.
fn tables(versions: &[(&str, u64, &str)]) -> table::Store {
    let mut store = table::Store::default();
    for (version, &(service, target_ms, delivery)) in (1..).zip(versions) {
        let change = super::change_table(version, service, target_ms, delivery);
        assert_eq!(store.apply(version, change), table::Outcome::Accepted);
    }
    store
}

/// Whether a leader that begins under the newest of some tables takes the keys of `a` for free after
/// a time; `delivery` is that of the newest table.
fn is_free_after(tables: &table::Store, ms: u64, delivery: Delivery) -> bool {
    let (store, range) = fixture();
    let now = Instant::now();
    let inherited = InheritedLeases::from_tables(tables, MAX_LEASE);
    let leases = Leases::new(inherited, now, 9);
    leases.is_free(&range, &store, delivery, now + Duration::from_millis(ms))
}

/// Guards against keys of two owners: leases that were granted under an earlier table end later than
/// those that the present table allows.
#[test]
fn a_new_leader_waits_out_leases_of_earlier_tables() {
    let heartbeat = Delivery::Heartbeat;
    let left_out = tables(&[("s", 6000, "heartbeat"), ("other", 100, "heartbeat")]);
    assert!(!is_free_after(&left_out, 6200, heartbeat));
    assert!(is_free_after(&left_out, 6300, heartbeat));
    let lowered = tables(&[("s", 6000, "heartbeat"), ("s", 4000, "heartbeat")]);
    assert!(!is_free_after(&lowered, 6200, heartbeat));
    assert!(is_free_after(&lowered, 6300, heartbeat));
    let returned = tables(&[
        ("s", 6000, "call"),
        ("other", 100, "heartbeat"),
        ("s", 6000, "heartbeat"),
    ]);
    assert!(
        !is_free_after(&returned, 6800, heartbeat),
        "the last call of the predecessor may arrive late"
    );
    assert!(is_free_after(&returned, 6900, heartbeat));
    let called = tables(&[("s", 6000, "heartbeat"), ("s", 6000, "call")]);
    assert!(!is_free_after(&called, 6800, Delivery::Call));
    assert!(is_free_after(&called, 6900, Delivery::Call));
}

/// Guards against keys of two owners after a start from a snapshot, which may lack earlier tables.
#[test]
fn a_leader_that_starts_from_a_snapshot_waits_out_leases_of_earlier_tables() {
    let left_out = tables(&[("s", 6000, "call"), ("other", 100, "heartbeat")]);
    let mut snapshot = serde_json::to_value(&left_out).unwrap();
    let restore = |snapshot: &Value| serde_json::from_value(snapshot.clone()).unwrap();
    assert!(!is_free_after(
        &restore(&snapshot),
        6800,
        Delivery::Heartbeat
    ));
    assert!(is_free_after(
        &restore(&snapshot),
        6900,
        Delivery::Heartbeat
    ));
    let fields = snapshot.as_object_mut().unwrap();
    fields.remove("longest_targets");
    assert!(!is_free_after(
        &restore(&snapshot),
        10_900,
        Delivery::Heartbeat
    ));
    assert!(is_free_after(
        &restore(&snapshot),
        11_100,
        Delivery::Heartbeat
    ));
}
