use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::clock;
use crate::fleet::{Incarnation, Server, ServerState};
use crate::gateway::backend::Backend;
use crate::gateway::head::ReportedLoad;
use crate::gateway::selection::{self, SelectionContext};

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

fn context() -> SelectionContext<'static> {
    SelectionContext {
        zone: "near",
        max_connections: 100,
        drain: Duration::from_secs(2),
        now: clock::now(),
    }
}

fn selected(backends: &[Rc<Backend>]) -> Option<String> {
    let selected = selection::select_backend(backends, &[], &context());
    selected.map(|b| b.server().incarnation.server.to_string())
}

#[test]
fn the_local_zone_is_preferred_until_it_is_crowded() {
    let backends = [backend("near", "near"), backend("far", "far")];
    assert_eq!(selected(&backends).as_deref(), Some("near"));
    let _busy: Vec<_> = (0..4).map(|_| backends[0].start_request()).collect();
    assert_eq!(selected(&backends).as_deref(), Some("far"));
}

#[test]
fn load_reported_in_a_response_counts() {
    let backends = [backend("a", "near"), backend("b", "near")];
    let load = ReportedLoad {
        running: 2,
        waiting: 2,
        percent: None,
    };
    backends[0].record_response(None, Some(load), false);
    assert_eq!(selected(&backends).as_deref(), Some("b"));
}

#[test]
fn a_slow_server_gets_fewer_requests() {
    let backends = [backend("slow", "near"), backend("fast", "near")];
    for _ in 0..30 {
        backends[0].record_response(Some(3.0), None, false);
        backends[1].record_response(Some(0.5), None, false);
    }
    let _busy = backends[1].start_request();
    assert_eq!(selected(&backends).as_deref(), Some("fast"));
}

#[test]
fn an_unreachable_server_is_avoided_unless_all_are_unreachable() {
    let backends = [backend("lost", "near"), backend("far", "far")];
    backends[0].record_unreachable();
    assert_eq!(selected(&backends).as_deref(), Some("far"));
    backends[1].record_unreachable();
    assert!(selected(&backends).is_some(), "a server must be selected");
}

#[test]
fn a_draining_or_full_server_is_not_selected() {
    let backends = [backend("a", "near")];
    let _busy: Vec<_> = (0..5).map(|_| backends[0].start_request()).collect();
    assert_eq!(selected(&backends), None);
    let leaving = [backend("b", "near")];
    let mut server = Server::clone(&leaving[0].server());
    server.state = ServerState::Draining;
    leaving[0].update(Arc::new(server));
    assert_eq!(selected(&leaving), None);
}

#[test]
fn a_tried_server_is_not_selected_again() {
    let backends = [backend("a", "near"), backend("b", "near")];
    let tried = [Rc::clone(&backends[0])];
    let selected = selection::select_backend(&backends, &tried, &context()).unwrap();
    assert_eq!(&*selected.server().incarnation.server, "b");
}

#[test]
fn preferred_servers_are_spread_evenly_over_entry_vms() {
    for (servers, entry_vms) in [(57, 23), (57, 91), (24, 5), (13, 2), (5, 9), (0, 3)] {
        let backends: Vec<_> = (0..servers)
            .map(|i| backend(&format!("s{i:03}"), "near"))
            .collect();
        let mut counts = vec![0_usize; servers];
        for entry in 0..entry_vms {
            selection::assign_preferred(&backends, "near", (entry, entry_vms));
            let preferred: Vec<_> = backends.iter().map(|b| b.is_preferred()).collect();
            let preferred_count = preferred.iter().filter(|p| **p).count();
            assert_eq!(
                preferred_count,
                servers.min(12),
                "{servers} servers, {entry_vms} entry VMs"
            );
            for (count, preferred) in counts.iter_mut().zip(preferred) {
                *count += usize::from(preferred);
            }
        }
        let expected = entry_vms * servers.min(12) / servers.max(1);
        let is_even = |c: &usize| c.abs_diff(expected) <= 1;
        assert!(
            counts.iter().all(is_even),
            "{servers} {entry_vms} {counts:?}"
        );
    }
}

#[test]
fn crowded_preferred_servers_overflow_to_others_of_the_zone() {
    let backends = [
        backend("mine", "near"),
        backend("theirs", "near"),
        backend("far", "far"),
    ];
    backends[1].set_preferred(false);
    assert_eq!(selected(&backends).as_deref(), Some("mine"));
    let _busy: Vec<_> = (0..3).map(|_| backends[0].start_request()).collect();
    assert_eq!(selected(&backends).as_deref(), Some("theirs"));
}

#[test]
fn a_ready_server_with_capacity_is_always_found() {
    for seed in 0..300 {
        arbtest::arbtest(|u| {
            let count = u.int_in_range(0..=6)?;
            let backends: Vec<_> = (0..count)
                .map(|i| backend(&format!("s{i}"), if i % 2 == 0 { "near" } else { "far" }))
                .collect();
            let mut busy = Vec::new();
            for server in &backends {
                busy.extend((0..u.int_in_range(0..=6)?).map(|_| server.start_request()));
                server.set_preferred(u.arbitrary()?);
                for _ in 0..u.int_in_range(0..=3)? {
                    server.record_failure(u.arbitrary()?);
                }
            }
            let tried: Vec<_> = backends
                .iter()
                .filter(|_| u.arbitrary().unwrap_or(false))
                .cloned()
                .collect();
            let context = context();
            let selected = selection::select_backend(&backends, &tried, &context);
            let was_tried = |b: &Rc<Backend>| tried.iter().any(|t| Rc::ptr_eq(t, b));
            let available =
                |b: &&Rc<Backend>| !was_tried(b) && selection::has_capacity(b, &context);
            let responsive = |b: &&Rc<Backend>| !b.is_backing_off(context.now);
            match selected {
                Some(selected) => assert!(available(&&selected)),
                None => assert_eq!(
                    backends.iter().filter(available).filter(responsive).count(),
                    0
                ),
            }
            Ok(())
        })
        .seed(seed << 32 | 256)
        .run();
    }
}
