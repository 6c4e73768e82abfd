use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{announce, incarnation, server};
use crate::fleet::evacuation::{Progress, ZoneEvacuation};
use crate::fleet::load::LoadCounts;
use crate::fleet::plan;
use crate::fleet::ranges::RangeMap;
use crate::fleet::reassign;
use crate::fleet::{Change, Effect, Store, updates};
use crate::table;

/// Half of the usual time that an evacuation may take, less two heartbeats of a move.
const LAST_GROUP: Duration = Duration::from_millis(700);

/// Six servers with the same number of keys: `a1` to `a3` in zone `a`, the others in zone `b`.
fn store() -> Store {
    let mut store = Store::default();
    for (i, name) in ["a1", "a2", "a3", "b1", "b2", "b3"].into_iter().enumerate() {
        let port = u16::try_from(i).unwrap() + 1;
        let mut server = server(name, 1, port);
        server.zone = name[..1].into();
        store.apply(1, announce(server));
    }
    let shares = LoadCounts::default().shares("s");
    let candidates = candidates(&store, &Progress::default(), 0, Instant::now());
    let moves = plan::plan(&RangeMap::default(), &candidates, &shares, false);
    for moved in moves {
        name_next(&mut store, 2, &moved.next.server, (moved.from, moved.to));
        assign(&mut store, 3, &moved.next.server, (moved.from, moved.to));
    }
    store
}

fn name_next(store: &mut Store, index: u64, name: &str, range: (u16, u16)) {
    let service = "s".into();
    let ranges = vec![(incarnation(name, 1), vec![range])];
    store.apply(index, Change::Reassign { service, ranges });
}

fn assign(store: &mut Store, index: u64, name: &str, (from, to): (u16, u16)) {
    let assigned = crate::fleet::ranges::AssignedRange {
        from,
        to,
        token: None,
    };
    store.apply(
        index,
        Change::Assign {
            service: "s".into(),
            incarnation: incarnation(name, 1),
            ranges: vec![assigned],
            join: false,
        },
    );
}

fn evacuate(store: &mut Store, index: u64, active: bool) {
    assert_eq!(order(store, index, active, index - 1), Effect::Applied);
}

/// Applies an order for zone `a` that was sent after a log index.
fn order(store: &mut Store, index: u64, active: bool, sent_after: u64) -> Effect {
    let zone = "a".into();
    store.apply(
        index,
        if active {
            Change::Evacuate { zone, sent_after }
        } else {
            Change::EndEvacuation { zone, sent_after }
        },
    )
}

fn candidates(
    store: &Store,
    progress: &Progress,
    first_index: u64,
    now: Instant,
) -> Vec<plan::Candidate> {
    let leases = super::new_leases(Duration::from_secs(4), now, first_index);
    reassign::candidates(store, &leases, &HashMap::new(), progress, "s", now)
}

/// Servers that keep their keys, and the next owners of those that move, after one plan.
fn planned(store: &Store, progress: &Progress, first_index: u64, now: Instant) -> Vec<String> {
    let shares = LoadCounts::default().shares("s");
    let candidates = candidates(store, progress, first_index, now);
    let moves = plan::plan(store.ranges("s").unwrap(), &candidates, &shares, true);
    let is_moved = |from| moves.iter().any(|m| m.from <= from && from <= m.to);
    let ranges = store.ranges("s").unwrap().iter();
    let owner = |r: &crate::fleet::KeyRange| {
        let next = r.next.as_ref().map(|n| n.incarnation.server.to_string());
        next.or(r.owner.as_ref().map(|o| o.server.to_string()))
    };
    let kept = ranges.filter(|r| !is_moved(r.from)).filter_map(owner);
    let targets = moves.iter().map(|m| m.next.server.to_string());
    let mut names: Vec<_> = kept.chain(targets).collect();
    names.sort();
    names.dedup();
    names
}

/// Guards against keys that stay in an evacuated zone, and against all keys of it moving at once.
#[test]
fn keys_leave_an_evacuated_zone_in_groups() {
    let mut store = store();
    let now = Instant::now();
    let mut progress = Progress::default();
    evacuate(&mut store, 10, true);
    let mut remaining = Vec::new();
    for elapsed in [0, 200, 400] {
        let now = now + Duration::from_millis(elapsed);
        progress.update(&store, now);
        let owners = planned(&store, &progress, 5, now);
        remaining.push(owners.iter().filter(|o| o.starts_with('a')).count());
    }
    assert_eq!(remaining, [2, 1, 0]);
    let last = now + LAST_GROUP;
    assert_eq!(planned(&store, &progress, 5, last), ["b1", "b2", "b3"]);
    evacuate(&mut store, 11, false);
    progress.update(&store, last);
    let owners = planned(&store, &progress, 5, last);
    assert_eq!(owners.len(), 6, "the zone may own keys again: {owners:?}");
}

/// Guards against an evacuation that takes its full time once more after a change of the leader.
#[test]
fn a_new_leader_lets_all_groups_leave_at_once() {
    let mut store = store();
    let now = Instant::now();
    let mut progress = Progress::default();
    evacuate(&mut store, 10, true);
    progress.update(&store, now);
    assert_eq!(planned(&store, &progress, 10, now), ["b1", "b2", "b3"]);
}

/// Guards against keys that move into a zone because their move began before its evacuation.
#[test]
fn a_pending_move_into_an_evacuated_zone_is_planned_anew() {
    let mut store = store();
    let now = Instant::now();
    let mut progress = Progress::default();
    let owned_by = |store: &Store, name: &str| {
        let ranges = store.ranges("s").unwrap().iter();
        let mut owned = ranges.filter(|r| r.owner.as_ref().is_some_and(|o| *o.server == *name));
        owned.next().map(|r| (r.from, r.to)).unwrap()
    };
    let range = owned_by(&store, "b1");
    name_next(&mut store, 9, "a3", range);
    evacuate(&mut store, 10, true);
    progress.update(&store, now);
    let owners = planned(&store, &progress, 5, now);
    assert!(!owners.contains(&"a3".to_owned()), "{owners:?}");
}

/// Guards against keys that are taken from their owners although no other server could get them.
#[test]
fn keys_stay_if_no_server_is_outside_the_evacuated_zones() {
    let mut store = store();
    let now = Instant::now();
    let mut progress = Progress::default();
    evacuate(&mut store, 10, true);
    store.apply(
        11,
        Change::Evacuate {
            zone: "b".into(),
            sent_after: 10,
        },
    );
    progress.update(&store, now);
    let later = now + LAST_GROUP;
    assert_eq!(planned(&store, &progress, 5, later).len(), 6);
}

/// Guards against a call that is sent again and looks like a new evacuation.
#[test]
fn a_change_to_the_present_state_has_no_effect() {
    let mut store = store();
    let table = table::Store::default();
    let sent = |store: &Store, base| updates::since(base, 20, &table, store).evacuations;
    let change = |active| {
        let zone = "a".into();
        vec![ZoneEvacuation { zone, active }]
    };
    evacuate(&mut store, 9, false);
    assert_eq!(sent(&store, 0), [], "it never began");
    evacuate(&mut store, 10, true);
    evacuate(&mut store, 12, true);
    assert_eq!(sent(&store, 11), []);
    assert_eq!(sent(&store, 9), change(true));
    evacuate(&mut store, 13, false);
    assert_eq!(
        sent(&store, 9),
        change(false),
        "also if the start was missed"
    );
    assert_eq!(sent(&store, 0), change(false));
    assert!(!store.is_evacuated("a"));
}

/// Guards against a zone that can't be returned to service once all of its servers are gone.
#[test]
fn zones_of_servers_and_of_earlier_evacuations_are_known() {
    let mut store = store();
    assert_eq!(store.zones(), ["a".into(), "b".into()]);
    store.apply(
        10,
        Change::Evacuate {
            zone: "c".into(),
            sent_after: 9,
        },
    );
    assert_eq!(store.zones(), ["a".into(), "b".into(), "c".into()]);
}

/// Guards against logs and snapshots of earlier versions that can't be read any more.
#[test]
fn a_snapshot_without_evacuations_is_read() {
    let mut store = store();
    let text = serde_json::to_string(&store).unwrap();
    assert!(!text.contains("evacuations"));
    assert!(
        !serde_json::from_str::<Store>(&text)
            .unwrap()
            .is_evacuated("a")
    );
    evacuate(&mut store, 10, true);
    let text = serde_json::to_string(&store).unwrap();
    assert!(
        serde_json::from_str::<Store>(&text)
            .unwrap()
            .is_evacuated("a")
    );
}

/// Guards against keys for servers that turned cold during an evacuation and have not said so yet.
#[test]
fn servers_of_a_zone_count_as_cold_for_two_heartbeats_after_its_return() {
    let mut store = store();
    let now = Instant::now();
    let mut progress = Progress::default();
    evacuate(&mut store, 10, true);
    progress.update(&store, now);
    assert!(!progress.is_just_returned("a", now));
    evacuate(&mut store, 11, false);
    progress.update(&store, now);
    let later = now + Duration::from_millis(1900);
    progress.update(&store, later);
    assert!(progress.is_just_returned("a", later));
    assert!(!progress.is_just_returned("b", later));
    assert!(!progress.is_just_returned("a", now + Duration::from_secs(2)));
}

/// Guards against an order that a suspended VM forwards after newer ones, in either direction.
#[test]
fn an_order_that_was_sent_before_the_last_one_has_no_effect() {
    for active in [true, false] {
        let mut store = store();
        evacuate(&mut store, 10, !active);
        evacuate(&mut store, 12, active);
        evacuate(&mut store, 15, !active);
        for sent_after in [0, 9, 10, 11, 12, 14] {
            let late = order(&mut store, 20, active, sent_after);
            assert_eq!(late, Effect::Outdated, "sent after {sent_after}");
            assert_eq!(store.is_evacuated("a"), !active);
        }
        assert_eq!(order(&mut store, 21, active, 15), Effect::Applied);
        assert_eq!(store.is_evacuated("a"), active);
    }
}

/// Guards against an order that undoes a newer one which found the zone as it asked for, also if the
/// newer one came on a connection that had long been idle.
#[test]
fn an_order_that_changes_nothing_outdates_earlier_ones() {
    for (active, sent_after) in [(true, 19), (true, 0), (false, 19), (false, 0)] {
        let mut store = store();
        evacuate(&mut store, 10, active);
        assert_eq!(order(&mut store, 20, active, sent_after), Effect::Applied);
        let changed = store.evacuations.get("a").map(|e| e.changed);
        assert_eq!(changed, active.then_some(10), "entry VMs hear nothing new");
        assert_eq!(order(&mut store, 21, !active, 15), Effect::Outdated);
        assert_eq!(store.is_evacuated("a"), active);
        assert_eq!(order(&mut store, 22, !active, 20), Effect::Applied);
    }
}

/// Guards against an order that is sent again to several VMs and refused, although the first copy counts.
#[test]
fn a_copy_of_an_accepted_order_is_accepted() {
    let mut store = store();
    evacuate(&mut store, 10, true);
    assert_eq!(order(&mut store, 11, true, 5), Effect::Applied);
    assert!(store.is_evacuated("a"));
    assert_eq!(order(&mut store, 12, false, 11), Effect::Applied);
    assert_eq!(order(&mut store, 13, false, 5), Effect::Applied);
    assert!(!store.is_evacuated("a"));
}

/// Guards against a restart after which logs and snapshots of earlier versions mean something else.
#[test]
fn orders_of_earlier_versions_take_effect_in_the_order_of_the_log() {
    let mut store = store();
    for (index, kind) in [(10, "evacuate"), (11, "end_evacuation"), (12, "evacuate")] {
        let json = format!(r#"{{"{kind}":{{"zone":"a"}}}}"#);
        let change: Change = serde_json::from_str(&json).unwrap();
        assert_eq!(store.apply(index, change), Effect::Applied);
    }
    store.evacuation_orders.clear();
    let json = serde_json::to_string(&store).unwrap();
    assert!(!json.contains("evacuation_orders"), "{json}");
    let mut restored: Store = serde_json::from_str(&json).unwrap();
    assert_eq!(order(&mut restored, 13, false, 11), Effect::Outdated);
}
