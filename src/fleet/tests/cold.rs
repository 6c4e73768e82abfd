use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{announce, incarnation, server};
use crate::fleet::cold::{self, ColdServers};
use crate::fleet::plan::{self, Candidate};
use crate::fleet::{Change, Incarnation, Server, ServerState, Store, updates};
use crate::table;

const SECOND: Duration = Duration::from_secs(1);

fn cold_server(name: &str, warmup: Duration) -> Server {
    Server {
        warmup,
        ..server(name, 1, u16::from(name.as_bytes()[0]))
    }
}

fn announced(warmup: Duration) -> Store {
    let mut store = Store::default();
    store.apply(1, announce(cold_server("a", warmup)));
    store
}

fn warmup(store: &Store) -> Duration {
    store.server("a").unwrap().warmup
}

/// Guards against a log entry for each heartbeat of a cold server, and against a server that turns
/// cold again unnoticed.
#[test]
fn only_a_later_end_of_the_coldness_is_news() {
    let (store, start) = (announced(3 * SECOND), Instant::now());
    let mut cold = ColdServers::default();
    let mut news =
        |remaining, after| cold.news(&store, &cold_server("a", remaining), start + after);
    assert_eq!(news(3 * SECOND, Duration::ZERO), None);
    assert_eq!(news(2 * SECOND, SECOND), None);
    assert_eq!(news(SECOND, SECOND * 21 / 10), None, "a delayed heartbeat");
    assert_eq!(news(2 * SECOND, 2 * SECOND), Some(2 * SECOND));
    assert_eq!(news(SECOND, 5 * SECOND), Some(SECOND));
    assert_eq!(news(Duration::MAX, 5 * SECOND), Some(60 * SECOND));
    let other = Server {
        incarnation: incarnation("a", 2),
        ..cold_server("a", 3 * SECOND)
    };
    assert_eq!(cold.news(&store, &other, start), None, "not registered");
}

/// Guards against coldness that ends in the log before a later report does.
#[test]
fn a_server_is_warm_in_the_log_once_its_last_report_has_passed() {
    let (mut store, start) = (announced(3 * SECOND), Instant::now());
    let mut cold = ColdServers::default();
    let take = |cold: &mut ColdServers, store: &Store, after| {
        cold.take_warm(store, |s| s == "s", start + after)
    };
    assert!(take(&mut cold, &store, Duration::ZERO).is_empty());
    assert!(take(&mut cold, &store, 2 * SECOND).is_empty());
    let remaining = 3 * SECOND;
    let again = incarnation("a", 1);
    store.apply(
        2,
        Change::Warmup {
            incarnation: again.clone(),
            remaining,
        },
    );
    assert!(take(&mut cold, &store, 2 * SECOND).is_empty());
    assert!(take(&mut cold, &store, 4 * SECOND).is_empty());
    let warm = take(&mut cold, &store, 5 * SECOND);
    assert_eq!(warm, [again]);
    let change = |base| Change::Warm {
        incarnations: warm.clone(),
        base,
    };
    store.apply(3, change(1));
    assert_eq!(warmup(&store), remaining, "it changed since");
    store.apply(4, change(3));
    assert_eq!(warmup(&store), Duration::ZERO);
    assert!(take(&mut cold, &store, 9 * SECOND).is_empty());
    let unlimited = cold.take_warm(&announced(SECOND), |_| false, start + 9 * SECOND);
    assert!(unlimited.is_empty());
}

/// Guards against entry VMs that start when no server is cold and take all of them for cold, and
/// against messages about the end of coldness to those that know it.
#[test]
fn the_end_of_coldness_is_in_full_updates_only() {
    let mut store = announced(3 * SECOND);
    let table = table::Store::default();
    let warm = Change::Warm {
        incarnations: vec![incarnation("a", 1)],
        base: 1,
    };
    store.apply(2, warm);
    assert!(updates::since(1, 2, &table, &store).is_empty());
    let full = updates::since(0, 2, &table, &store);
    assert_eq!(full.servers[0].warmup, Duration::ZERO);
    let again = Change::Warmup {
        incarnation: incarnation("a", 1),
        remaining: SECOND,
    };
    store.apply(3, again);
    let sent = updates::since(2, 3, &table, &store).servers;
    assert_eq!(sent.iter().map(|s| s.warmup).collect::<Vec<_>>(), [SECOND]);
}

/// Guards against reports that change an incarnation that has ended.
#[test]
fn reports_about_ended_incarnations_change_nothing() {
    let mut store = announced(Duration::ZERO);
    let remaining = SECOND;
    for incarnation in [incarnation("a", 2), incarnation("b", 1)] {
        store.apply(
            2,
            Change::Warmup {
                incarnation,
                remaining,
            },
        );
    }
    assert_eq!(warmup(&store), Duration::ZERO);
    let incarnation = incarnation("a", 1);
    let state = ServerState::Gone;
    store.apply(3, Change::SetState { incarnation, state });
    let mut cold = ColdServers::default();
    let news = cold.news(&store, &cold_server("a", SECOND), Instant::now());
    assert_eq!(news, None);
}

/// Guards against a follower that drops reports of coldness as unchanged heartbeats, and one that
/// forwards more heartbeats than it did before where coldness doesn't matter.
#[test]
fn only_reports_of_coldness_that_matter_are_forwarded() {
    let service = |warmup| table::Service {
        name: "s".into(),
        max_connections: 1,
        sharded: false,
        delivery: table::Delivery::Heartbeat,
        warmup,
        source: serde_json::Value::Null,
    };
    let limited = service(Some(table::Warmup {
        duration: 3 * SECOND,
        requests_per_sec: 4.2,
    }));
    assert!(cold::reports_cold(&limited, &cold_server("a", SECOND)));
    assert!(!cold::reports_cold(&limited, &server("a", 1, 1)));
    assert!(!cold::reports_cold(
        &service(None),
        &cold_server("a", SECOND)
    ));
}

/// Guards against keys at cold servers while warm ones can take them, and against keys without an
/// owner, or with a few overloaded ones, after most servers started.
#[test]
fn cold_servers_get_keys_only_if_warm_ones_lack_capacity() {
    let candidates = |count: usize| -> Vec<_> {
        let candidate = |i: usize| Candidate {
            incarnation: incarnation(&format!("s{i}"), 1),
            weight: 6.0,
            accepts_keys: true,
        };
        (0..count).map(candidate).collect()
    };
    let spared = |cold: usize| {
        let mut candidates = candidates(12);
        let names: Vec<Arc<str>> = (0..cold).map(|i| format!("s{i}").into()).collect();
        plan::spare_cold(&mut candidates, |i: &Incarnation| names.contains(&i.server));
        candidates.iter().filter(|c| !c.accepts_keys).count()
    };
    assert_eq!(spared(0), 0);
    assert_eq!(spared(4), 4);
    assert_eq!(spared(6), 6);
    assert_eq!(spared(11), 0);
    assert_eq!(spared(12), 0);
    let mut candidates = candidates(3);
    plan::spare_cold(&mut candidates, |i| &*i.server == "s1");
    let none = crate::fleet::ranges::RangeMap::default();
    let shares = crate::fleet::load::LoadCounts::default().shares("s");
    let moves = plan::plan(&none, &candidates, &shares, true);
    assert!(!moves.is_empty());
    let is_spared = |m: &crate::fleet::ranges::Move| &*m.next.server != "s1";
    assert!(moves.iter().all(is_spared));
    let keys: u32 = moves.iter().map(|m| u32::from(m.to - m.from) + 1).sum();
    assert_eq!(keys, 65536, "every key has an owner");
}
