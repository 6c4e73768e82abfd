//! Owners that refuse, break, fall silent or lose the key.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use monoio::time;

use super::fixture::{Mode, Owner, World};
use crate::runtime;

/// Does something once a request has run at `owner`.
fn once_reached<F>(owner: &Owner, work: F)
where
    F: FnOnce() + 'static,
{
    let owner = owner.clone();
    monoio::spawn(async move {
        owner.reached().await;
        work();
    });
}

fn soon<F>(work: F)
where
    F: FnOnce() + 'static,
{
    monoio::spawn(async move {
        time::sleep(Duration::from_millis(30)).await;
        work();
    });
}

#[test]
fn request_refused_before_work_goes_to_the_next_owner() {
    for (status, reason) in [
        (StatusCode::CONFLICT, "fence"),
        (StatusCode::CONFLICT, "lease"),
        (StatusCode::SERVICE_UNAVAILABLE, "drain"),
    ] {
        for path in ["/once/k", "/claim/k"] {
            runtime::run(async {
                let world = Rc::new(World::start());
                let (old, new) = (Owner::start("old"), Owner::start("new"));
                old.mode.set(Mode::Refuse(status, reason));
                world.give(Some(&old));
                let (giving, next) = (Rc::clone(&world), new.clone());
                soon(move || {
                    giving.give(Some(&next));
                });
                let reply = world.post(path).await;
                assert!(reply.is(200, "done"), "{reply:?}");
                assert_eq!((old.runs(), new.runs()), (0, 1));
            });
        }
    }
}

#[test]
fn answers_of_the_same_status_that_are_no_refusal_pass() {
    runtime::run(async {
        let world = World::start();
        let owner = Owner::start("a");
        world.give(Some(&owner));
        for (status, reason) in [
            (StatusCode::CONFLICT, "shed"),
            (StatusCode::SERVICE_UNAVAILABLE, "fence"),
            (StatusCode::BAD_GATEWAY, "shed"),
        ] {
            owner.mode.set(Mode::Refuse(status, reason));
            let reply = world.post("/once/k").await;
            assert!(reply.is(status.as_u16(), "done"), "{reply:?}");
        }
    });
}

#[test]
fn owner_without_a_listener_is_left_for_the_next() {
    runtime::run(async {
        let world = Rc::new(World::start());
        let new = Owner::start("new");
        let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut gone = new.clone();
        gone.name = "gone";
        gone.address = closed.local_addr().unwrap();
        drop(closed);
        world.give(Some(&gone));
        assert!(world.post("/hasty/k").await.is(504, "not-run"));
        let (giving, next) = (Rc::clone(&world), new.clone());
        soon(move || {
            giving.give(Some(&next));
        });
        assert!(world.post("/claim/k").await.is(200, "done"));
        assert_eq!(new.runs(), 1);
    });
}

#[test]
fn key_that_moves_while_a_request_queues_takes_the_request_along() {
    runtime::run(async {
        let world = Rc::new(World::start());
        let (old, new) = (Owner::start("old"), Owner::start("new"));
        old.mode.set(Mode::Slow(80));
        world.give_slots(Some(&old), 1);
        let first = Rc::clone(&world);
        let first = monoio::spawn(async move { first.post("/once/first").await });
        old.reached().await;
        let (giving, next) = (Rc::clone(&world), new.clone());
        soon(move || {
            giving.give(Some(&next));
        });
        let reply = world.post("/once/second").await;
        assert_eq!(reply.body, "new /once/second");
        assert!(first.await.is(200, "done"));
        assert_eq!((old.runs(), new.runs()), (1, 1));
    });
}

#[test]
fn broken_connection_is_tried_again_only_if_idempotent() {
    for (method, path, status) in [
        ("POST", "/once/k", 502),
        ("POST", "/claim/k", 502),
        ("GET", "/look/k", 200),
    ] {
        runtime::run(async {
            let world = World::start();
            let owner = Owner::start_breaking("a", 1);
            world.give(Some(&owner));
            let reply = world.send(method, path, &[]).await;
            let (verdict, runs) = match status {
                200 => ("done", 2),
                _ => ("may-have-run", 1),
            };
            assert!(reply.is(status, verdict), "{reply:?}");
            assert_eq!(owner.runs(), runs);
        });
    }
}

#[test]
fn silent_owner_leaves_the_verdict_of_what_is_not_idempotent_open() {
    runtime::run(async {
        let world = World::start();
        let owner = Owner::start("a");
        world.give(Some(&owner));
        owner.mode.set(Mode::Silent);
        let reply = world.post("/hasty/k").await;
        assert!(reply.is(504, "may-have-run"), "{reply:?}");
        assert_eq!(owner.runs(), 1);
    });
}

#[test]
fn idempotent_request_leaves_a_silent_connection() {
    runtime::run(async {
        let world = World::start();
        let owner = Owner::start("a");
        world.give(Some(&owner));
        owner.mode.set(Mode::Silent);
        let mode = Rc::clone(&owner.mode);
        once_reached(&owner, move || mode.set(Mode::Answer));
        let reply = world.get("/look/k").await;
        assert!(reply.is(200, "done"), "{reply:?}");
        assert_eq!(owner.runs(), 2);
    });
}

#[test]
fn idempotent_request_follows_its_key_to_the_next_owner() {
    runtime::run(async {
        let world = Rc::new(World::start());
        let (old, new) = (Owner::start("old"), Owner::start("new"));
        old.mode.set(Mode::Silent);
        world.give(Some(&old));
        let (giving, next) = (Rc::clone(&world), new.clone());
        once_reached(&old, move || {
            giving.give(Some(&next));
        });
        let reply = world.get("/look/k").await;
        assert_eq!(reply.body, "new /look/k");
        assert_eq!(new.runs(), 1);
    });
}

#[test]
fn not_run_at_last_does_not_hide_that_it_may_have_run_before() {
    runtime::run(async {
        let world = Rc::new(World::start());
        let (old, new) = (Owner::start("old"), Owner::start("new"));
        old.mode.set(Mode::Silent);
        new.mode.set(Mode::Refuse(StatusCode::CONFLICT, "fence"));
        world.give(Some(&old));
        let (giving, next) = (Rc::clone(&world), new.clone());
        once_reached(&old, move || {
            giving.give(Some(&next));
        });
        let reply = world.get("/brief/k").await;
        assert!(reply.is(504, "may-have-run"), "{reply:?}");
    });
}

#[test]
fn retries_after_sheds_stay_within_the_budget() {
    runtime::run(async {
        let world = World::start();
        let owner = Owner::start("a");
        world.give(Some(&owner));
        owner
            .mode
            .set(Mode::Refuse(StatusCode::SERVICE_UNAVAILABLE, "shed"));
        for _ in 0..60 {
            let reply = world.post("/once/k").await;
            assert!(reply.is(503, "not-run"), "{reply:?}");
            assert!(reply.header("retry-after").is_some());
        }
        let refused = owner.refused.get();
        assert!((61..=76).contains(&refused), "{refused}");
        owner.mode.set(Mode::Answer);
        assert!(world.post("/once/k").await.is(200, "done"));
        assert_eq!(owner.runs(), 1);
    });
}
