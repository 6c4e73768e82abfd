use std::time::{Duration, Instant};

use super::{announce, heartbeat, incarnation, server};
use crate::fleet::messages::Leave;
use crate::fleet::registration::{self, Registration};
use crate::fleet::{Change, Effect, Ordered, Server, ServerState, Store};

/// A call of server `a` that names the start of its process, or none.
fn leave(start_ms: Option<u64>, sent_after: u64) -> Change {
    let server = "a".into();
    Change::Leave(Leave {
        server,
        start_ms,
        sent_after,
    })
}

fn announcement(server: Server, sent_after: u64) -> Change {
    Change::Announce(Ordered {
        value: server,
        sent_after,
    })
}

fn state(store: &Store) -> Option<ServerState> {
    store.server("a").map(|s| s.state)
}

/// Whether the first heartbeat of an incarnation of `a` leads to its registration.
fn is_admitted(store: &Store, start_ms: u64, sent_after: u64) -> bool {
    let now = Instant::now();
    let leases = super::new_leases(Duration::from_secs(4), now, 0);
    let mut heartbeat = heartbeat("a", 1, &[]);
    heartbeat.server = server("a", start_ms, 1);
    heartbeat.sent_after = sent_after;
    let decision = registration::decide(&heartbeat, true, store, &leases, now);
    let mut copy = store.clone();
    let applied = copy.apply(99, announcement(heartbeat.server, sent_after));
    let is_new = matches!(decision, Registration::New { .. });
    assert_eq!(is_new, applied == Effect::Applied, "{decision:?}");
    is_new
}

/// Guards against a server that is registered as ready after it said that it leaves, as its first heartbeat
/// arrives after that.
#[test]
fn a_server_that_left_before_its_first_heartbeat_is_not_registered() {
    for start_ms in [Some(5), None] {
        let mut store = Store::default();
        assert_eq!(store.apply(10, leave(start_ms, 9)), Effect::Applied);
        assert!(!is_admitted(&store, 5, 8), "sent before it left");
        assert!(!is_admitted(&store, 5, 9), "sent before it left");
        assert!(is_admitted(&store, 6, 10), "the next process of the name");
        store.apply(11, announcement(server("a", 6, 1), 10));
        assert!(store.departures.is_empty());
    }
    let mut store = Store::default();
    store.apply(10, leave(Some(5), 9));
    assert!(!is_admitted(&store, 5, 20), "it said which process leaves");
}

/// Guards against a later process whose departure is lost, as an earlier one is still registered.
#[test]
fn a_later_process_that_left_is_not_registered_in_place_of_an_earlier_one() {
    let mut store = Store::default();
    store.apply(1, announce(server("a", 5, 1)));
    assert_eq!(store.apply(10, leave(Some(6), 9)), Effect::Applied);
    assert_eq!(state(&store), Some(ServerState::Ready));
    assert!(!is_admitted(&store, 6, 20));
    assert!(is_admitted(&store, 7, 20));
}

/// Guards against a server that is ended by a delayed call of an earlier process under its name.
#[test]
fn a_delayed_leave_of_an_earlier_process_ends_no_later_one() {
    let mut store = Store::default();
    store.apply(1, announce(server("a", 5, 1)));
    store.apply(10, announce(server("a", 6, 1)));
    assert_eq!(store.apply(11, leave(Some(5), 9)), Effect::Applied);
    assert_eq!(store.apply(12, leave(None, 9)), Effect::Outdated);
    assert_eq!(state(&store), Some(ServerState::Ready));
    assert_eq!(store.apply(13, leave(None, 10)), Effect::Applied);
    assert_eq!(state(&store), Some(ServerState::Left));
    assert_eq!(
        store.apply(14, leave(None, 10)),
        Effect::Applied,
        "sent again"
    );
}

/// Guards against departures that fill the log's state.
#[test]
fn departures_of_unknown_servers_are_bounded() {
    let mut store = Store::default();
    for index in 0..1000 {
        let server = format!("a-{index}").into();
        store.apply(
            index,
            Change::Leave(Leave {
                server,
                start_ms: Some(1),
                sent_after: 0,
            }),
        );
    }
    assert_eq!(store.departures.len(), 256);
    assert!(store.departures.contains_key("a-999"));
}

/// Guards against a restart after which the log of an earlier version means something else.
#[test]
fn registrations_of_earlier_versions_take_effect() {
    let mut store = Store::default();
    store.apply(10, leave(None, 9));
    for (index, kind) in [(11, "announce"), (12, "readmit")] {
        let server = serde_json::to_string(&server("a", index, 1)).unwrap();
        let change = serde_json::from_str(&format!(r#"{{"{kind}":{server}}}"#)).unwrap();
        assert_eq!(store.apply(index, change), Effect::Applied);
        assert!(store.incarnation(&incarnation("a", index)).is_some());
    }
}
