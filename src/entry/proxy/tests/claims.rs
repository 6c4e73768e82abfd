//! Claims: run at most once, and done only once that is recorded.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use monoio::time;

use super::fixture::{Mode, Owner, Reply, World};
use crate::runtime;

async fn claim(world: &World, id: &str) -> Reply {
    world
        .send("POST", "/claim/k", &[("agateyoke-claim", id)])
        .await
}

#[test]
fn claim_sent_again_gets_its_outcome_and_runs_once() {
    runtime::run(async {
        let world = World::start();
        let owner = Owner::start("a");
        world.give(Some(&owner));
        let first = claim(&world, "c1").await;
        assert!(first.is(200, "done"));
        assert_eq!(first.header("agateyoke-claim"), Some("c1"));
        assert_eq!(first.header("agateyoke-replay"), None);
        let again = world
            .send("POST", "/claim/k", &[("idempotency-key", "c1")])
            .await;
        assert!(again.is(200, "done"));
        assert_eq!(
            (&again.body, again.header("agateyoke-replay")),
            (&first.body, Some("true"))
        );
        assert_eq!(again.header("agateyoke-server"), Some("a"));
        let reused = world
            .send("POST", "/claim/other", &[("agateyoke-claim", "c1")])
            .await;
        assert!(reused.is(409, "not-run"));
        assert_eq!(owner.runs(), 1);
    });
}

#[test]
fn claim_without_an_id_gets_one() {
    runtime::run(async {
        let world = World::start();
        let owner = Owner::start("a");
        world.give(Some(&owner));
        let made = world.post("/claim/k").await;
        let id = made.header("agateyoke-claim").unwrap();
        assert_eq!(owner.ran.borrow()[0].1["agateyoke-claim"], id);
        assert_eq!(
            claim(&world, id).await.header("agateyoke-replay"),
            Some("true")
        );
        assert_eq!(owner.runs(), 1);
    });
}

#[test]
fn two_at_once_run_once() {
    runtime::run(async {
        let world = Rc::new(World::start());
        let owner = Owner::start("a");
        owner.mode.set(Mode::Slow(120));
        world.give_slots(Some(&owner), 2);
        let callers: Vec<_> = (0..4)
            .map(|_| {
                let world = Rc::clone(&world);
                monoio::spawn(async move { claim(&world, "c1").await })
            })
            .collect();
        for caller in callers {
            let reply = caller.await;
            assert!(reply.is(200, "done"), "{reply:?}");
        }
        assert_eq!(owner.runs(), 1);
    });
}

#[test]
fn claim_that_waits_for_another_s_outcome_holds_up_nobody() {
    runtime::run(async {
        let world = Rc::new(World::start());
        let owner = Owner::start("a");
        owner.mode.set(Mode::Silent);
        world.give_slots(Some(&owner), 2);
        let sending = Rc::clone(&world);
        let silent = monoio::spawn(async move { claim(&sending, "c1").await });
        owner.reached().await;
        owner.mode.set(Mode::Answer);
        let resending = Rc::clone(&world);
        let again = monoio::spawn(async move { claim(&resending, "c1").await });
        time::sleep(Duration::from_millis(20)).await;
        assert!(world.post("/once/other").await.is(200, "done"));
        let again = again.await;
        assert!(again.is(504, "may-have-run"), "{again:?}");
        assert!(silent.await.is(504, "may-have-run"));
        assert_eq!(owner.runs(), 2);
    });
}

#[test]
fn claim_that_cannot_be_recorded_is_not_sent() {
    runtime::run(async {
        let world = World::start();
        let owner = Owner::start("a");
        world.give(Some(&owner));
        world.recording.set(false);
        let first = world.post("/claim/k").await;
        assert!(first.is(503, "not-run"), "{first:?}");
        let resend = claim(&world, "c1").await;
        assert!(resend.is(503, "may-have-run"), "{resend:?}");
        for reply in [first, resend] {
            assert!(reply.header("retry-after").is_some());
        }
        assert_eq!(owner.runs(), 0);
    });
}

#[test]
fn resend_without_an_owner_gets_the_outcome() {
    runtime::run(async {
        let world = World::start();
        let owner = Owner::start("a");
        world.give(Some(&owner));
        assert!(claim(&world, "c1").await.is(200, "done"));
        world.give(None);
        let again = claim(&world, "c1").await;
        assert!(again.is(200, "done"), "{again:?}");
        assert_eq!(again.header("agateyoke-replay"), Some("true"));
        let new = claim(&world, "c2").await;
        assert!(new.is(503, "not-run"), "{new:?}");
        world.recording.set(false);
        let blind = claim(&world, "c1").await;
        assert!(blind.is(503, "may-have-run"), "{blind:?}");
        assert_eq!(owner.runs(), 1);
    });
}

#[test]
fn claim_whose_outcome_cannot_be_recorded_is_not_called_done() {
    runtime::run(async {
        let world = Rc::new(World::start());
        let owner = Owner::start("a");
        owner.mode.set(Mode::Slow(100));
        world.give(Some(&owner));
        let sending = Rc::clone(&world);
        let caller = monoio::spawn(async move { claim(&sending, "c1").await });
        owner.reached().await;
        world.recording.set(false);
        let reply = caller.await;
        assert!(reply.is(504, "may-have-run"), "{reply:?}");
        world.recording.set(true);
        let again = claim(&world, "c1").await;
        assert!(again.is(200, "done"), "{again:?}");
        assert_eq!(again.header("agateyoke-replay"), Some("true"));
        assert_eq!(owner.runs(), 1);
    });
}

#[test]
fn claim_that_was_not_run_may_be_sent_again() {
    runtime::run(async {
        let world = World::start();
        let owner = Owner::start("a");
        owner.mode.set(Mode::Refuse(StatusCode::CONFLICT, "fence"));
        world.give(Some(&owner));
        let refused = claim(&world, "c1").await;
        assert!(refused.is(504, "not-run"), "{refused:?}");
        owner.mode.set(Mode::Answer);
        let mut reply = claim(&world, "c1").await;
        for _ in 0..20 {
            if !reply.is(504, "may-have-run") {
                break;
            }
            reply = claim(&world, "c1").await;
        }
        assert!(reply.is(200, "done"), "{reply:?}");
        assert_eq!(owner.runs(), 1);
    });
}

#[test]
fn resend_that_saw_an_earlier_attempt_is_never_told_not_run() {
    runtime::run(async {
        let world = Rc::new(World::start());
        let owner = Owner::start("a");
        owner.mode.set(Mode::Silent);
        world.give(Some(&owner));
        let sending = Rc::clone(&world);
        let silent = monoio::spawn(async move { claim(&sending, "c1").await });
        owner.reached().await;
        let resending = Rc::clone(&world);
        let again = monoio::spawn(async move { claim(&resending, "c1").await });
        time::sleep(Duration::from_millis(100)).await;
        world.recording.set(false);
        let again = again.await;
        assert!(again.is(504, "may-have-run"), "{again:?}");
        assert!(silent.await.is(504, "may-have-run"));
        assert_eq!(owner.runs(), 1);
    });
}
