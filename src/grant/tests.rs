//! Tests of granters, alone and in a simulated zone with faults.

mod fixture;
mod model;
mod simulation;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use super::messages::{Grant, LeaseRequest};
use super::overview::UnroutedReason;
use super::shard::MoveCause;
use super::{InheritedState, LeaseHooks, PullError};
use crate::clock;
use crate::delegate::messages;
use crate::keys::Span;
use crate::route::PullRequest;
use crate::runtime;
use arbtest::arbitrary::{Result, Unstructured};
use fixture::{
    delegation, granter, granter_with, heartbeat, predecessor, pull_request, run_heartbeats,
    successor_granter,
};
use simulation::{Action, Simulation};

/// Number of random scenarios.
const SCENARIOS: u64 = 100;

/// Multiplier that spreads the seeds over all bits.
const SEED_MULTIPLIER: u64 = 0x9E37_79B9;

/// Size of a scenario's random input, in bytes.
const INPUT_BYTES: u64 = 2048;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn first_assignment_is_balanced_and_published_once_confirmed() {
    let (granter, mut now) = (granter(), clock::now());
    let mut servers: Vec<LeaseRequest> = ["a", "b", "c", "d"].map(|s| heartbeat(s, true)).into();
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    assert!(servers.iter().all(|s| s.held_grants.len() == 4));
    let response = granter
        .pull_response(now, &pull_request("vm", None))
        .unwrap();
    assert!(response.is_full && response.routes.iter().all(|r| r.server.is_some()));
    assert_eq!((response.routes.len(), response.servers.len()), (16, 4));
}

#[test]
fn lost_server_changes_only_its_own_routes() {
    let (granter, mut now) = (granter(), clock::now());
    let mut servers: Vec<LeaseRequest> = ["a", "b", "c", "d"].map(|s| heartbeat(s, true)).into();
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    let before = granter
        .pull_response(now, &pull_request("vm", None))
        .unwrap();
    let lost = servers.remove(0);
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    let after = granter
        .pull_response(now, &pull_request("vm", Some(&before)))
        .unwrap();
    let spans: Vec<Span> = after.routes.iter().map(|r| r.span).collect();
    let owned: Vec<Span> = lost.held_grants.iter().map(|g| g.span).collect();
    assert_eq!((after.is_full, spans), (false, owned));
    let fence = lost.held_grants.iter().map(|g| g.fence).max().unwrap();
    assert!(
        after
            .routes
            .iter()
            .all(|r| r.fence > fence && r.server.is_some())
    );
}

#[test]
fn lost_spans_are_routed_again_within_a_second() {
    for delay_ms in 0..100 {
        let (granter, mut now) = (granter(), clock::now());
        let mut servers: Vec<LeaseRequest> = ["a", "b", "c"].map(|s| heartbeat(s, true)).into();
        run_heartbeats(&granter, &mut now, &mut servers, SECOND);
        servers[0].sequence += 1;
        granter.renew_lease(now, &servers.remove(0)).unwrap();
        let last_heartbeat = now;
        now += Duration::from_millis(delay_ms);
        while !granter.overview().unrouted.is_empty() || now < last_heartbeat + SECOND / 2 {
            run_heartbeats(&granter, &mut now, &mut servers, Duration::from_millis(20));
        }
        assert!(now < last_heartbeat + SECOND);
    }
}

#[test]
fn restarted_server_gets_no_grants_until_the_old_lease_ends() {
    let (granter, mut now) = (granter(), clock::now());
    let mut servers = vec![heartbeat("a", true)];
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    assert_eq!(servers[0].held_grants.len(), 16);
    servers[0] = heartbeat("a", true);
    servers[0].incarnation = "second".into();
    run_heartbeats(&granter, &mut now, &mut servers, Duration::from_millis(400));
    assert!(servers[0].held_grants.is_empty());
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    assert_eq!(servers[0].held_grants.len(), 16);
}

#[test]
fn replaced_incarnation_is_answered_only_after_the_new_one_is_lost() {
    let (granter, mut now) = (granter(), clock::now());
    let mut servers = vec![heartbeat("a", true)];
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    let mut old = servers[0].clone();
    servers[0] = heartbeat("a", true);
    servers[0].incarnation = "second".into();
    run_heartbeats(&granter, &mut now, &mut servers, SECOND / 5);
    old.sequence += 1;
    assert!(granter.renew_lease(now, &old).is_none());
    now += SECOND;
    granter.run_pass(now);
    assert!(granter.renew_lease(now, &old).is_some());
}

#[test]
fn draining_server_loses_all_spans_and_learns_that_it_is_drained() {
    let (granter, mut now) = (granter(), clock::now());
    let mut servers: Vec<LeaseRequest> = ["a", "b", "c", "d"].map(|s| heartbeat(s, true)).into();
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    servers[0].draining = true;
    run_heartbeats(&granter, &mut now, &mut servers, SECOND * 4);
    assert!(servers[0].held_grants.is_empty());
    servers[0].sequence += 1;
    assert!(granter.renew_lease(now, &servers[0]).unwrap().drained);
    let held: usize = servers.iter().map(|s| s.held_grants.len()).sum();
    assert_eq!((held, granter.overview().unrouted.len()), (16, 0));
}

/// Guards against spans that stay with a server which says only in its responses that it leaves.
#[test]
fn server_seen_leaving_by_an_entry_vm_loses_all_spans() {
    let (granter, mut now) = (granter(), clock::now());
    let mut servers: Vec<LeaseRequest> = ["a", "b", "c"].map(|s| heartbeat(s, true)).into();
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    let report = |incarnation: &str| PullRequest {
        leaving: vec![incarnation.into()],
        ..pull_request("vm", None)
    };
    servers[0].incarnation = "second".into();
    run_heartbeats(&granter, &mut now, &mut servers, SECOND * 20);
    granter
        .record_pull(now, &report("of another server"))
        .unwrap();
    run_heartbeats(&granter, &mut now, &mut servers, SECOND * 4);
    assert!(!servers[0].held_grants.is_empty());
    granter.record_pull(now, &report("second")).unwrap();
    run_heartbeats(&granter, &mut now, &mut servers, SECOND * 4);
    assert!(servers[0].held_grants.is_empty());
    assert!(!servers[1].held_grants.is_empty());
    servers[0].incarnation = "third".into();
    servers[0].sequence = 0;
    run_heartbeats(&granter, &mut now, &mut servers, SECOND * 30);
    assert!(!servers[0].held_grants.is_empty());
}

#[test]
fn server_gets_spans_again_after_an_operator_ends_the_drain() {
    let (granter, mut now) = (granter(), clock::now());
    let mut servers: Vec<LeaseRequest> = ["a", "b"].map(|s| heartbeat(s, false)).into();
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    granter.set_draining("a", true);
    run_heartbeats(&granter, &mut now, &mut servers, SECOND * 6);
    assert!(servers[0].held_grants.is_empty());
    granter.set_draining("a", false);
    run_heartbeats(&granter, &mut now, &mut servers, SECOND * 30);
    assert!(servers[0].held_grants.len() >= 4);
}

#[test]
fn without_a_primary_lease_only_votes_are_accepted() {
    let (until, votes) = (Rc::new(Cell::new(None)), Rc::new(RefCell::new(Vec::new())));
    let lease_hooks = LeaseHooks {
        valid_until: Box::new({
            let until = Rc::clone(&until);
            move |_| until.get()
        }),
        record_vote: Box::new({
            let votes = Rc::clone(&votes);
            move |vm, at| votes.borrow_mut().push((vm.to_string(), at))
        }),
    };
    let (granter, now) = (granter_with(lease_hooks), clock::now());
    assert!(granter.renew_lease(now, &heartbeat("a", false)).is_none());
    let first = granter
        .pull_response(now, &pull_request("vm", None))
        .unwrap();
    assert_eq!((first.epoch, first.routes.len()), (0, 0));
    let mut request = pull_request("vm", Some(&first));
    request.votes = true;
    granter.record_pull(now + SECOND, &request).unwrap();
    assert!(
        votes.borrow().is_empty(),
        "a vote for another epoch counted"
    );
    request.epoch = 3;
    granter.record_pull(now + SECOND, &request).unwrap();
    assert_eq!(*votes.borrow(), [("vm".to_owned(), now)]);
    until.set(Some(now + SECOND));
    assert!(granter.renew_lease(now, &heartbeat("a", false)).is_some());
    assert_eq!(granter.pull_response(now, &request).unwrap().epoch, 3);
    request.epoch = 4;
    assert_eq!(granter.record_pull(now, &request), Err(PullError::Outdated));
}

#[test]
fn resigned_primary_does_not_act_until_it_gets_a_new_delegation() {
    let (granter, mut now) = (granter(), clock::now());
    let mut servers = vec![heartbeat("a", true)];
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    granter.state.borrow_mut().granted_count = messages::FENCES_PER_EPOCH;
    assert!(granter.report(now).resigned);
    servers[0].sequence += 1;
    assert!(granter.renew_lease(now, &servers[0]).is_none());
    let recorded = granter.record_pull(now, &pull_request("vm", None));
    assert_eq!(recorded, Err(PullError::Resigned));
    let mut next = delegation(4);
    next.predecessors = vec![predecessor(3, "other")];
    assert!(!granter.apply_delegation(&next));
    next.predecessors = vec![predecessor(3, "vm")];
    assert!(granter.apply_delegation(&next));
    assert!(!granter.report(now).resigned);
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    assert_eq!(servers[0].held_grants.len(), 16);
}

#[test]
fn released_span_is_reported_once_no_map_has_it_and_then_removed() {
    let (granter, mut now) = (granter(), clock::now());
    let mut servers = vec![heartbeat("a", true)];
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    let map = granter
        .pull_response(now, &pull_request("vm", None))
        .unwrap();
    let span = Span::split_evenly(16)[5];
    granter.request_release(&[span]);
    run_heartbeats(&granter, &mut now, &mut servers, SECOND / 5);
    assert!(!servers[0].held_grants.iter().any(|g| g.span == span));
    assert!(granter.report(now).released.is_empty());
    let map = granter
        .pull_response(now, &pull_request("vm", Some(&map)))
        .unwrap();
    granter
        .record_pull(now, &pull_request("vm", Some(&map)))
        .unwrap();
    assert_eq!(granter.report(now).released, [span]);
    let mut rest = delegation(4);
    rest.spans = Span::split_evenly(16);
    rest.spans.remove(5);
    assert!(granter.apply_delegation(&rest));
    let after = granter
        .pull_response(now, &pull_request("vm", Some(&map)))
        .unwrap();
    assert_eq!((after.is_full, after.removed), (false, vec![span]));
}

#[test]
fn routes_to_servers_that_do_not_check_fences_survive_a_takeover_with_a_valid_map() {
    let (old, mut now) = (granter(), clock::now());
    let mut servers: Vec<LeaseRequest> = ["a", "b"].map(|s| heartbeat(s, false)).into();
    run_heartbeats(&old, &mut now, &mut servers, SECOND);
    let map = old.pull_response(now, &pull_request("vm", None)).unwrap();
    let inherited = |map_valid| InheritedState {
        routes: map.routes.clone(),
        servers: map.servers.clone(),
        map_valid,
        predecessor_end: Some(now),
    };
    let routed = |map_valid| {
        let granter = successor_granter(inherited(map_valid));
        let response = granter
            .pull_response(now, &pull_request("vm", None))
            .unwrap();
        let owners = response.routes.iter().filter(|r| r.server.is_some());
        owners.count()
    };
    assert_eq!((routed(true), routed(false)), (16, 0));
}

#[test]
fn span_is_not_released_while_the_owner_finishes_requests() {
    let (granter, mut now) = (granter(), clock::now());
    let mut servers = vec![heartbeat("a", true)];
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    let active = servers[0].held_grants[5];
    servers[0].finishing_grants = vec![active];
    granter.request_release(&[active.span]);
    run_heartbeats(&granter, &mut now, &mut servers, SECOND * 2);
    assert!(granter.report(now).released.is_empty());
    servers[0].finishing_grants.clear();
    run_heartbeats(&granter, &mut now, &mut servers, SECOND / 5);
    assert_eq!(granter.report(now).released, [active.span]);
}

#[test]
fn spans_of_a_lost_server_that_does_not_check_fences_wait_for_maps_and_deadlines() {
    let (granter, mut now) = (granter(), clock::now());
    let mut servers = vec![heartbeat("a", false)];
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    let _ = granter
        .pull_response(now, &pull_request("vm", None))
        .unwrap();
    let reason = |ms| {
        granter.run_pass(now + Duration::from_millis(ms));
        let unrouted = granter.overview().unrouted;
        unrouted.first().map(|u| u.reason)
    };
    let (lease_ms, deadline_ms) = (500 + 20, 200 + 20);
    assert_eq!(reason(lease_ms - 1), Some(UnroutedReason::Leaving));
    assert_eq!(reason(lease_ms), Some(UnroutedReason::Leaving));
    assert_eq!(
        reason(lease_ms + deadline_ms - 1),
        Some(UnroutedReason::Leaving)
    );
    assert_eq!(
        reason(lease_ms + deadline_ms),
        Some(UnroutedReason::NoServer)
    );
}

#[test]
fn server_that_does_not_check_fences_gets_a_span_only_once_no_map_has_the_old_route() {
    let (granter, mut now) = (granter(), clock::now());
    let mut servers: Vec<LeaseRequest> = vec![heartbeat("a", true), heartbeat("b", false)];
    run_heartbeats(&granter, &mut now, &mut servers, SECOND);
    let map = granter
        .pull_response(now, &pull_request("vm", None))
        .unwrap();
    let moved = servers[0].held_grants[0].span;
    let revoke = |next_owner: &str| {
        let mut state = granter.state.borrow_mut();
        state.revoke(moved.start, MoveCause::Rebalance, Some(next_owner.into()));
    };
    revoke("b");
    run_heartbeats(&granter, &mut now, &mut servers, SECOND * 2 / 5);
    let holds_moved = |s: &LeaseRequest| s.held_grants.iter().any(|g| g.span == moved);
    assert!(!servers.iter().any(holds_moved));
    let map = granter
        .pull_response(now, &pull_request("vm", Some(&map)))
        .unwrap();
    granter
        .record_pull(now, &pull_request("vm", Some(&map)))
        .unwrap();
    run_heartbeats(&granter, &mut now, &mut servers, SECOND / 5);
    assert!(holds_moved(&servers[1]));
}

#[test]
fn higher_fence_wins_when_two_servers_report_a_span_at_a_takeover() {
    let mut now = clock::now();
    let granter = successor_granter(InheritedState {
        predecessor_end: Some(now),
        ..InheritedState::default()
    });
    let span = Span::split_evenly(16)[2];
    let grant = |fence| Grant { span, fence };
    let (mut a, mut b) = (heartbeat("a", true), heartbeat("b", true));
    (a.sequence, a.held_grants) = (1, vec![grant(7)]);
    (b.sequence, b.held_grants) = (1, vec![grant(8)]);
    assert_eq!(granter.renew_lease(now, &a).unwrap().grants, [grant(7)]);
    (a.sequence, a.held_grants) = (2, Vec::new());
    assert!(granter.renew_lease(now, &a).unwrap().grants.is_empty());
    now += Duration::from_millis(400);
    granter.run_pass(now);
    assert!(
        granter
            .overview()
            .unrouted
            .iter()
            .all(|u| u.reason == UnroutedReason::PriorGrants)
    );
    assert_eq!(granter.renew_lease(now, &b).unwrap().grants, [grant(8)]);
    a.sequence = 3;
    assert!(granter.renew_lease(now, &a).unwrap().grants.is_empty());
    let mut c = heartbeat("c", true);
    (c.sequence, c.held_grants) = (1, vec![grant(9)]);
    assert_eq!(granter.renew_lease(now, &c).unwrap().grants, [grant(9)]);
}

#[test]
fn span_with_unfinished_requests_at_a_takeover_waits_for_the_lease_to_end() {
    let now = clock::now();
    let granter = successor_granter(InheritedState {
        predecessor_end: Some(now),
        ..InheritedState::default()
    });
    let mut a = heartbeat("a", true);
    let span = Span::split_evenly(16)[2];
    (a.sequence, a.finishing_grants) = (1, vec![Grant { span, fence: 7 }]);
    let after = |ms| now + Duration::from_millis(ms);
    granter.renew_lease(after(700), &a).unwrap();
    let reason = |ms| {
        granter.run_pass(after(ms));
        let unrouted = granter.overview().unrouted.into_iter();
        unrouted.filter(|u| u.span == span).map(|u| u.reason).next()
    };
    assert_eq!(reason(700 + 519), Some(UnroutedReason::PriorGrants));
    assert_eq!(reason(700 + 520), Some(UnroutedReason::NoServer));
}

#[test]
fn pull_waits_until_the_map_changes() {
    runtime::run(async {
        let (granter, mut now) = (granter(), clock::now());
        let mut servers = vec![heartbeat("a", true)];
        run_heartbeats(&granter, &mut now, &mut servers, SECOND);
        let first = granter.handle_pull(pull_request("vm", None)).await.unwrap();
        let pending = monoio::spawn({
            let (granter, request) = (Rc::clone(&granter), pull_request("vm", Some(&first)));
            async move { granter.handle_pull(request).await }
        });
        monoio::time::sleep(Duration::from_millis(5)).await;
        granter.run_pass(now + SECOND);
        let response = pending.await.unwrap();
        assert!(!response.is_full && response.version > first.version);
        assert!(response.routes.iter().all(|r| r.server.is_none()));
    });
}

#[test]
fn no_hash_has_two_owners_and_all_are_routed_after_faults_end() {
    for seed in 1..=SCENARIOS {
        arbtest::arbtest(scenario)
            .seed(seed.wrapping_mul(SEED_MULTIPLIER) << 32 | INPUT_BYTES)
            .run();
    }
}

/// Runs random actions for a while, then ends all faults and waits for all routes.
fn scenario(u: &mut Unstructured<'_>) -> Result<()> {
    let mut simulation = Simulation::new(u.arbitrary()?, u.arbitrary()?);
    for _ in 0..160 {
        simulation.step();
    }
    for _ in 0..u.int_in_range(5..=40)? {
        simulation.apply(Action::arbitrary(u)?);
        for _ in 0..u.int_in_range(1..=60)? {
            simulation.step();
        }
    }
    simulation.end_faults();
    let faults_end = simulation.now;
    while !simulation.all_routed() {
        simulation.step();
        assert!(
            simulation.now < faults_end + SECOND * 10,
            "not all spans are routed again"
        );
    }
    Ok(())
}
