use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::clock;
use crate::fleet::{Incarnation, Server, ServerState};
use crate::gateway::backend::Backend;
use crate::gateway::choose::{self, Terms};
use crate::gateway::head::LoadTold;

pub(super) fn backend(name: &str, zone: &str) -> Rc<Backend> {
    Backend::new(Arc::new(Server {
        incarnation: Incarnation {
            server: name.into(),
            start_ms: 1,
        },
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.into(),
        slots: 2,
        state: ServerState::Ready,
        warmup: Duration::ZERO,
    }))
}

fn terms() -> Terms<'static> {
    Terms {
        zone: "near",
        connections: 100,
        now: clock::now(),
    }
}

fn chosen(backends: &[Rc<Backend>]) -> Option<String> {
    let chosen = choose::choose(backends, &[], &terms());
    chosen.map(|b| b.server().incarnation.server.to_string())
}

#[test]
fn the_own_zone_comes_first_until_it_is_crowded() {
    let all = [backend("near", "near"), backend("far", "far")];
    assert_eq!(chosen(&all).as_deref(), Some("near"));
    let _busy: Vec<_> = (0..4).map(|_| all[0].begin()).collect();
    assert_eq!(chosen(&all).as_deref(), Some("far"));
}

#[test]
fn what_an_answer_tells_of_others_counts() {
    let all = [backend("a", "near"), backend("b", "near")];
    let told = LoadTold {
        running: 2,
        waiting: 2,
    };
    all[0].answered(None, Some(told), false);
    assert_eq!(chosen(&all).as_deref(), Some("b"));
}

#[test]
fn a_slow_server_gets_less() {
    let all = [backend("slow", "near"), backend("fast", "near")];
    for _ in 0..30 {
        all[0].answered(Some(3.0), None, false);
        all[1].answered(Some(0.5), None, false);
    }
    let _busy = all[1].begin();
    assert_eq!(chosen(&all).as_deref(), Some("fast"));
}

#[test]
fn a_server_that_cannot_be_reached_rests_unless_all_do() {
    let all = [backend("lost", "near"), backend("far", "far")];
    all[0].unreached();
    assert_eq!(chosen(&all).as_deref(), Some("far"));
    all[1].unreached();
    assert!(chosen(&all).is_some(), "somebody has to be asked");
}

#[test]
fn a_server_that_leaves_or_has_no_room_gets_nothing() {
    let all = [backend("a", "near")];
    let _busy: Vec<_> = (0..5).map(|_| all[0].begin()).collect();
    assert_eq!(chosen(&all), None);
    let leaving = [backend("b", "near")];
    let mut server = Server::clone(&leaving[0].server());
    server.state = ServerState::Draining;
    leaving[0].update(Arc::new(server));
    assert_eq!(chosen(&leaving), None);
}

#[test]
fn who_was_tried_is_not_tried_again() {
    let all = [backend("a", "near"), backend("b", "near")];
    let tried = [Rc::clone(&all[0])];
    let chosen = choose::choose(&all, &tried, &terms()).unwrap();
    assert_eq!(&*chosen.server().incarnation.server, "b");
}

#[test]
fn each_server_of_a_zone_is_preferred_by_about_as_many_entry_vms() {
    for (servers, entries) in [(57, 23), (57, 91), (24, 5), (13, 2), (5, 9), (0, 3)] {
        let all: Vec<_> = (0..servers)
            .map(|i| backend(&format!("s{i:03}"), "near"))
            .collect();
        let mut counts = vec![0_usize; servers];
        for entry in 0..entries {
            choose::prefer(&all, "near", (entry, entries));
            let preferred: Vec<_> = all.iter().map(|b| b.is_preferred()).collect();
            let mine = preferred.iter().filter(|p| **p).count();
            assert_eq!(
                mine,
                servers.min(12),
                "{servers} servers, {entries} entries"
            );
            for (count, preferred) in counts.iter_mut().zip(preferred) {
                *count += usize::from(preferred);
            }
        }
        let even = entries * servers.min(12) / servers.max(1);
        let near = |c: &usize| c.abs_diff(even) <= 1;
        assert!(counts.iter().all(near), "{servers} {entries} {counts:?}");
    }
}

#[test]
fn a_crowded_part_of_the_zone_spills_over_into_the_rest_of_it() {
    let all = [
        backend("mine", "near"),
        backend("theirs", "near"),
        backend("far", "far"),
    ];
    all[1].set_preferred(false);
    assert_eq!(chosen(&all).as_deref(), Some("mine"));
    let _busy: Vec<_> = (0..3).map(|_| all[0].begin()).collect();
    assert_eq!(chosen(&all).as_deref(), Some("theirs"));
}

#[test]
fn somebody_ready_with_room_is_chosen_whenever_there_is_one() {
    for seed in 0..300 {
        arbtest::arbtest(|u| {
            let count = u.int_in_range(0..=6)?;
            let all: Vec<_> = (0..count)
                .map(|i| backend(&format!("s{i}"), if i % 2 == 0 { "near" } else { "far" }))
                .collect();
            let mut busy = Vec::new();
            for server in &all {
                busy.extend((0..u.int_in_range(0..=6)?).map(|_| server.begin()));
                server.set_preferred(u.arbitrary()?);
                for _ in 0..u.int_in_range(0..=3)? {
                    server.failed(u.arbitrary()?);
                }
            }
            let tried: Vec<_> = all
                .iter()
                .filter(|_| u.arbitrary().unwrap_or(false))
                .cloned()
                .collect();
            let terms = terms();
            let chosen = choose::choose(&all, &tried, &terms);
            let is_tried = |b: &Rc<Backend>| tried.iter().any(|t| Rc::ptr_eq(t, b));
            let open = |b: &&Rc<Backend>| !is_tried(b) && choose::has_room(b, &terms);
            let fit = |b: &&Rc<Backend>| !b.is_resting(terms.now);
            match chosen {
                Some(chosen) => assert!(open(&&chosen)),
                None => assert_eq!(all.iter().filter(open).filter(fit).count(), 0),
            }
            Ok(())
        })
        .seed(seed << 32 | 256)
        .run();
    }
}
