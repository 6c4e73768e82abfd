//! Tests of a duty.

mod fixture;
mod model;
mod world;

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
use crate::runtime;
use arbtest::arbitrary::{Result, Unstructured};
use fixture::{beat, carrier, carrier_with, delegation, prior, pull, settle, successor};
use world::{Action, World};

/// Random scenarios of a run.
const SCENARIOS: u64 = 100;

/// Spreads the seeds over all bits.
const SPREAD: u64 = 0x9E37_79B9;

/// Random bytes of a scenario.
const SIZE: u64 = 2048;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_first_assignment_is_even_and_published_once_confirmed() {
    let (duty, mut now) = (carrier(), clock::now());
    let mut servers: Vec<LeaseRequest> = ["a", "b", "c", "d"].map(|s| beat(s, true)).into();
    settle(&duty, &mut now, &mut servers, SECOND);
    assert!(servers.iter().all(|s| s.held_grants.len() == 4));
    let answer = duty.pull_response(now, &pull("vm", None)).unwrap();
    assert!(answer.is_full && answer.routes.iter().all(|r| r.server.is_some()));
    assert_eq!((answer.routes.len(), answer.servers.len()), (16, 4));
}

#[test]
fn a_lost_server_loses_only_its_own_spans_and_the_map_changes_by_these() {
    let (duty, mut now) = (carrier(), clock::now());
    let mut servers: Vec<LeaseRequest> = ["a", "b", "c", "d"].map(|s| beat(s, true)).into();
    settle(&duty, &mut now, &mut servers, SECOND);
    let before = duty.pull_response(now, &pull("vm", None)).unwrap();
    let lost = servers.remove(0);
    settle(&duty, &mut now, &mut servers, SECOND);
    let after = duty.pull_response(now, &pull("vm", Some(&before))).unwrap();
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
fn lost_spans_are_served_again_within_a_second() {
    for kill in 0..100 {
        let (duty, mut now) = (carrier(), clock::now());
        let mut servers: Vec<LeaseRequest> = ["a", "b", "c"].map(|s| beat(s, true)).into();
        settle(&duty, &mut now, &mut servers, SECOND);
        servers[0].sequence += 1;
        duty.renew_lease(now, &servers.remove(0)).unwrap();
        let last = now;
        now += Duration::from_millis(kill);
        while !duty.overview().unrouted.is_empty() || now < last + SECOND / 2 {
            settle(&duty, &mut now, &mut servers, Duration::from_millis(20));
        }
        assert!(now < last + SECOND);
    }
}

#[test]
fn a_restarted_server_holds_nothing_until_the_old_lease_is_over() {
    let (duty, mut now) = (carrier(), clock::now());
    let mut servers = vec![beat("a", true)];
    settle(&duty, &mut now, &mut servers, SECOND);
    assert_eq!(servers[0].held_grants.len(), 16);
    servers[0] = beat("a", true);
    servers[0].incarnation = "second".into();
    settle(&duty, &mut now, &mut servers, Duration::from_millis(400));
    assert!(servers[0].held_grants.is_empty());
    settle(&duty, &mut now, &mut servers, SECOND);
    assert_eq!(servers[0].held_grants.len(), 16);
}

#[test]
fn a_replaced_start_is_answered_only_once_the_new_one_is_lost() {
    let (duty, mut now) = (carrier(), clock::now());
    let mut servers = vec![beat("a", true)];
    settle(&duty, &mut now, &mut servers, SECOND);
    let mut old = servers[0].clone();
    servers[0] = beat("a", true);
    servers[0].incarnation = "second".into();
    settle(&duty, &mut now, &mut servers, SECOND / 5);
    old.sequence += 1;
    assert!(duty.renew_lease(now, &old).is_none());
    now += SECOND;
    duty.tick(now);
    assert!(duty.renew_lease(now, &old).is_some());
}

#[test]
fn a_draining_server_gives_all_its_spans_away_and_is_told_so() {
    let (duty, mut now) = (carrier(), clock::now());
    let mut servers: Vec<LeaseRequest> = ["a", "b", "c", "d"].map(|s| beat(s, true)).into();
    settle(&duty, &mut now, &mut servers, SECOND);
    servers[0].draining = true;
    settle(&duty, &mut now, &mut servers, SECOND * 4);
    assert!(servers[0].held_grants.is_empty());
    servers[0].sequence += 1;
    assert!(duty.renew_lease(now, &servers[0]).unwrap().drained);
    let held: usize = servers.iter().map(|s| s.held_grants.len()).sum();
    assert_eq!((held, duty.overview().unrouted.len()), (16, 0));
}

#[test]
fn a_drain_by_an_operator_ends_when_it_is_lifted() {
    let (duty, mut now) = (carrier(), clock::now());
    let mut servers: Vec<LeaseRequest> = ["a", "b"].map(|s| beat(s, false)).into();
    settle(&duty, &mut now, &mut servers, SECOND);
    duty.set_draining("a", true);
    settle(&duty, &mut now, &mut servers, SECOND * 6);
    assert!(servers[0].held_grants.is_empty());
    duty.set_draining("a", false);
    settle(&duty, &mut now, &mut servers, SECOND * 30);
    assert!(servers[0].held_grants.len() >= 4);
}

#[test]
fn without_a_right_no_server_and_no_map_is_served_but_votes_are_taken() {
    let (until, votes) = (Rc::new(Cell::new(None)), Rc::new(RefCell::new(Vec::new())));
    let rights = LeaseHooks {
        valid_until: Box::new({
            let until = Rc::clone(&until);
            move |_| until.get()
        }),
        record_vote: Box::new({
            let votes = Rc::clone(&votes);
            move |vm, at| votes.borrow_mut().push((vm.to_string(), at))
        }),
    };
    let (duty, now) = (carrier_with(rights), clock::now());
    assert!(duty.renew_lease(now, &beat("a", false)).is_none());
    let first = duty.pull_response(now, &pull("vm", None)).unwrap();
    assert_eq!((first.epoch, first.routes.len()), (0, 0));
    let mut question = pull("vm", Some(&first));
    question.votes = true;
    duty.record_pull(now + SECOND, &question).unwrap();
    assert!(
        votes.borrow().is_empty(),
        "a vote for another epoch counted"
    );
    question.epoch = 3;
    duty.record_pull(now + SECOND, &question).unwrap();
    assert_eq!(*votes.borrow(), [("vm".to_owned(), now)]);
    until.set(Some(now + SECOND));
    assert!(duty.renew_lease(now, &beat("a", false)).is_some());
    assert_eq!(duty.pull_response(now, &question).unwrap().epoch, 3);
    question.epoch = 4;
    assert_eq!(duty.record_pull(now, &question), Err(PullError::Outdated));
}

#[test]
fn a_carrier_that_resigned_acts_no_more_until_it_is_appointed_anew() {
    let (duty, mut now) = (carrier(), clock::now());
    let mut servers = vec![beat("a", true)];
    settle(&duty, &mut now, &mut servers, SECOND);
    duty.state.borrow_mut().granted_count = messages::FENCES_IN_EPOCH;
    assert!(duty.report(now).resigned);
    servers[0].sequence += 1;
    assert!(duty.renew_lease(now, &servers[0]).is_none());
    let asked = duty.record_pull(now, &pull("vm", None));
    assert_eq!(asked, Err(PullError::Resigned));
    let mut anew = delegation(4);
    anew.prior = vec![prior(3, "other")];
    assert!(!duty.apply_delegation(&anew));
    anew.prior = vec![prior(3, "vm")];
    assert!(duty.apply_delegation(&anew));
    assert!(!duty.report(now).resigned);
    settle(&duty, &mut now, &mut servers, SECOND);
    assert_eq!(servers[0].held_grants.len(), 16);
}

#[test]
fn a_released_span_is_reported_once_no_map_has_it_and_then_given_up() {
    let (duty, mut now) = (carrier(), clock::now());
    let mut servers = vec![beat("a", true)];
    settle(&duty, &mut now, &mut servers, SECOND);
    let map = duty.pull_response(now, &pull("vm", None)).unwrap();
    let span = Span::cut(16)[5];
    duty.request_release(&[span]);
    settle(&duty, &mut now, &mut servers, SECOND / 5);
    assert!(!servers[0].held_grants.iter().any(|g| g.span == span));
    assert!(duty.report(now).released.is_empty());
    let map = duty.pull_response(now, &pull("vm", Some(&map))).unwrap();
    duty.record_pull(now, &pull("vm", Some(&map))).unwrap();
    assert_eq!(duty.report(now).released, [span]);
    let mut rest = delegation(4);
    rest.spans = Span::cut(16);
    rest.spans.remove(5);
    assert!(duty.apply_delegation(&rest));
    let after = duty.pull_response(now, &pull("vm", Some(&map))).unwrap();
    assert_eq!((after.is_full, after.removed), (false, vec![span]));
}

#[test]
fn spans_of_a_server_that_does_not_check_survive_a_takeover_with_a_fresh_map() {
    let (old, mut now) = (carrier(), clock::now());
    let mut servers: Vec<LeaseRequest> = ["a", "b"].map(|s| beat(s, false)).into();
    settle(&old, &mut now, &mut servers, SECOND);
    let map = old.pull_response(now, &pull("vm", None)).unwrap();
    let inherited = |fresh| InheritedState {
        routes: map.routes.clone(),
        servers: map.servers.clone(),
        map_valid: fresh,
        predecessor_end: Some(now),
    };
    let served = |fresh| {
        let duty = successor(inherited(fresh));
        let answer = duty.pull_response(now, &pull("vm", None)).unwrap();
        let owners = answer.routes.iter().filter(|r| r.server.is_some());
        owners.count()
    };
    assert_eq!((served(true), served(false)), (16, 0));
}

#[test]
fn a_span_is_not_free_while_its_owner_works_on_it() {
    let (duty, mut now) = (carrier(), clock::now());
    let mut servers = vec![beat("a", true)];
    settle(&duty, &mut now, &mut servers, SECOND);
    let work = servers[0].held_grants[5];
    servers[0].finishing_grants = vec![work];
    duty.request_release(&[work.span]);
    settle(&duty, &mut now, &mut servers, SECOND * 2);
    assert!(duty.report(now).released.is_empty());
    servers[0].finishing_grants.clear();
    settle(&duty, &mut now, &mut servers, SECOND / 5);
    assert_eq!(duty.report(now).released, [work.span]);
}

#[test]
fn spans_of_a_lost_server_that_does_not_check_wait_for_maps_and_deadlines() {
    let (duty, mut now) = (carrier(), clock::now());
    let mut servers = vec![beat("a", false)];
    settle(&duty, &mut now, &mut servers, SECOND);
    let _ = duty.pull_response(now, &pull("vm", None)).unwrap();
    let why = |ms| {
        duty.tick(now + Duration::from_millis(ms));
        let dark = duty.overview().unrouted;
        dark.first().map(|d| d.reason)
    };
    let (gone, worked) = (500 + 20, 200 + 20);
    assert_eq!(why(gone - 1), Some(UnroutedReason::Leaving));
    assert_eq!(why(gone), Some(UnroutedReason::Leaving));
    assert_eq!(why(gone + worked - 1), Some(UnroutedReason::Leaving));
    assert_eq!(why(gone + worked), Some(UnroutedReason::NoServer));
}

#[test]
fn a_server_that_does_not_check_gets_a_span_only_once_no_map_has_the_old_route() {
    let (duty, mut now) = (carrier(), clock::now());
    let mut servers: Vec<LeaseRequest> = vec![beat("a", true), beat("b", false)];
    settle(&duty, &mut now, &mut servers, SECOND);
    let map = duty.pull_response(now, &pull("vm", None)).unwrap();
    let moved = servers[0].held_grants[0].span;
    let leave = |next: &str| {
        let mut state = duty.state.borrow_mut();
        state.revoke(moved.start, MoveCause::Rebalance, Some(next.into()));
    };
    leave("b");
    settle(&duty, &mut now, &mut servers, SECOND * 2 / 5);
    let has = |s: &LeaseRequest| s.held_grants.iter().any(|g| g.span == moved);
    assert!(!servers.iter().any(has));
    let map = duty.pull_response(now, &pull("vm", Some(&map))).unwrap();
    duty.record_pull(now, &pull("vm", Some(&map))).unwrap();
    settle(&duty, &mut now, &mut servers, SECOND / 5);
    assert!(has(&servers[1]));
}

#[test]
fn an_old_report_at_a_takeover_gives_way_to_a_higher_fence() {
    let mut now = clock::now();
    let duty = successor(InheritedState {
        predecessor_end: Some(now),
        ..InheritedState::default()
    });
    let span = Span::cut(16)[2];
    let grant = |fence| Grant { span, fence };
    let (mut a, mut b) = (beat("a", true), beat("b", true));
    (a.sequence, a.held_grants) = (1, vec![grant(7)]);
    (b.sequence, b.held_grants) = (1, vec![grant(8)]);
    assert_eq!(duty.renew_lease(now, &a).unwrap().grants, [grant(7)]);
    (a.sequence, a.held_grants) = (2, Vec::new());
    assert!(duty.renew_lease(now, &a).unwrap().grants.is_empty());
    now += Duration::from_millis(400);
    duty.tick(now);
    assert!(
        duty.overview()
            .unrouted
            .iter()
            .all(|d| d.reason == UnroutedReason::PriorGrants)
    );
    assert_eq!(duty.renew_lease(now, &b).unwrap().grants, [grant(8)]);
    a.sequence = 3;
    assert!(duty.renew_lease(now, &a).unwrap().grants.is_empty());
    let mut c = beat("c", true);
    (c.sequence, c.held_grants) = (1, vec![grant(9)]);
    assert_eq!(duty.renew_lease(now, &c).unwrap().grants, [grant(9)]);
}

#[test]
fn a_span_that_a_server_is_finishing_at_a_takeover_waits_for_its_lease() {
    let now = clock::now();
    let duty = successor(InheritedState {
        predecessor_end: Some(now),
        ..InheritedState::default()
    });
    let mut a = beat("a", true);
    let span = Span::cut(16)[2];
    (a.sequence, a.finishing_grants) = (1, vec![Grant { span, fence: 7 }]);
    let after = |ms| now + Duration::from_millis(ms);
    duty.renew_lease(after(700), &a).unwrap();
    let why = |ms| {
        duty.tick(after(ms));
        let dark = duty.overview().unrouted.into_iter();
        dark.filter(|d| d.span == span).map(|d| d.reason).next()
    };
    assert_eq!(why(700 + 519), Some(UnroutedReason::PriorGrants));
    assert_eq!(why(700 + 520), Some(UnroutedReason::NoServer));
}

#[test]
fn a_question_is_held_open_until_there_is_news() {
    runtime::run(async {
        let (duty, mut now) = (carrier(), clock::now());
        let mut servers = vec![beat("a", true)];
        settle(&duty, &mut now, &mut servers, SECOND);
        let first = duty.handle_pull(pull("vm", None)).await.unwrap();
        let held = monoio::spawn({
            let (duty, question) = (Rc::clone(&duty), pull("vm", Some(&first)));
            async move { duty.handle_pull(question).await }
        });
        monoio::time::sleep(Duration::from_millis(5)).await;
        duty.tick(now + SECOND);
        let answer = held.await.unwrap();
        assert!(!answer.is_full && answer.version > first.version);
        assert!(answer.routes.iter().all(|r| r.server.is_none()));
    });
}

#[test]
fn no_hash_has_two_owners_and_all_are_served_once_faults_end() {
    for seed in 1..=SCENARIOS {
        arbtest::arbtest(scenario)
            .seed(seed.wrapping_mul(SPREAD) << 32 | SIZE)
            .run();
    }
}

/// Random faults for a while, then none.
fn scenario(u: &mut Unstructured<'_>) -> Result<()> {
    let mut world = World::new(u.arbitrary()?, u.arbitrary()?);
    for _ in 0..160 {
        world.step();
    }
    for _ in 0..u.int_in_range(5..=40)? {
        world.act(Action::draw(u)?);
        for _ in 0..u.int_in_range(1..=60)? {
            world.step();
        }
    }
    world.heal();
    let healed = world.now;
    while !world.served() {
        world.step();
        assert!(world.now < healed + SECOND * 10, "not served again");
    }
    Ok(())
}
