//! Owners that refuse requests, close connections, do not respond or lose the key.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use monoio::time;

use super::fixture::{Behavior, FakeOwner, Harness};
use crate::runtime;

/// Calls `work` once a request has run at `owner`.
fn after_first_request<F>(owner: &FakeOwner, work: F)
where
    F: FnOnce() + 'static,
{
    let owner = owner.clone();
    monoio::spawn(async move {
        owner.wait_for_request().await;
        work();
    });
}

fn after_delay<F>(work: F)
where
    F: FnOnce() + 'static,
{
    monoio::spawn(async move {
        time::sleep(Duration::from_millis(30)).await;
        work();
    });
}

#[test]
fn refused_request_is_retried_at_the_next_owner() {
    for (status, reason) in [
        (StatusCode::CONFLICT, "fence"),
        (StatusCode::CONFLICT, "lease"),
        (StatusCode::SERVICE_UNAVAILABLE, "drain"),
    ] {
        for path in ["/once/k", "/claim/k"] {
            runtime::run(async {
                let harness = Rc::new(Harness::start());
                let (old, new) = (FakeOwner::start("old"), FakeOwner::start("new"));
                old.behavior.set(Behavior::Refuse(status, reason));
                harness.assign(Some(&old));
                let (assigning, next) = (Rc::clone(&harness), new.clone());
                after_delay(move || {
                    assigning.assign(Some(&next));
                });
                let response = harness.post(path).await;
                assert!(response.is(200, "done"), "{response:?}");
                assert_eq!((old.run_count(), new.run_count()), (0, 1));
            });
        }
    }
}

#[test]
fn responses_with_the_status_of_a_refusal_pass() {
    runtime::run(async {
        let harness = Harness::start();
        let owner = FakeOwner::start("a");
        harness.assign(Some(&owner));
        for (status, reason) in [
            (StatusCode::CONFLICT, "shed"),
            (StatusCode::SERVICE_UNAVAILABLE, "fence"),
            (StatusCode::BAD_GATEWAY, "shed"),
        ] {
            owner.behavior.set(Behavior::Refuse(status, reason));
            let response = harness.post("/once/k").await;
            assert!(response.is(status.as_u16(), "done"), "{response:?}");
        }
    });
}

#[test]
fn request_to_an_unreachable_owner_is_retried_at_the_next_owner() {
    runtime::run(async {
        let harness = Rc::new(Harness::start());
        let new = FakeOwner::start("new");
        let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut gone = new.clone();
        gone.name = "gone";
        gone.address = closed.local_addr().unwrap();
        drop(closed);
        harness.assign(Some(&gone));
        assert!(harness.post("/hasty/k").await.is(504, "not-run"));
        let (assigning, next) = (Rc::clone(&harness), new.clone());
        after_delay(move || {
            assigning.assign(Some(&next));
        });
        assert!(harness.post("/claim/k").await.is(200, "done"));
        assert_eq!(new.run_count(), 1);
    });
}

#[test]
fn queued_request_follows_its_key_to_the_next_owner() {
    runtime::run(async {
        let harness = Rc::new(Harness::start());
        let (old, new) = (FakeOwner::start("old"), FakeOwner::start("new"));
        old.behavior.set(Behavior::Slow(80));
        harness.assign_with_slots(Some(&old), 1);
        let first = Rc::clone(&harness);
        let first = monoio::spawn(async move { first.post("/once/first").await });
        old.wait_for_request().await;
        let (assigning, next) = (Rc::clone(&harness), new.clone());
        after_delay(move || {
            assigning.assign(Some(&next));
        });
        let response = harness.post("/once/second").await;
        assert_eq!(response.body, "new /once/second");
        assert!(first.await.is(200, "done"));
        assert_eq!((old.run_count(), new.run_count()), (1, 1));
    });
}

#[test]
fn lost_connection_is_retried_only_if_idempotent() {
    for (method, path, status) in [
        ("POST", "/once/k", 502),
        ("POST", "/claim/k", 502),
        ("GET", "/look/k", 200),
    ] {
        runtime::run(async {
            let harness = Harness::start();
            let owner = FakeOwner::start_disconnecting("a", 1);
            harness.assign(Some(&owner));
            let response = harness.send(method, path, &[]).await;
            let (verdict, run_count) = match status {
                200 => ("done", 2),
                _ => ("may-have-run", 1),
            };
            assert!(response.is(status, verdict), "{response:?}");
            assert_eq!(owner.run_count(), run_count);
        });
    }
}

#[test]
fn timeout_of_a_non_idempotent_request_gives_may_have_run() {
    runtime::run(async {
        let harness = Harness::start();
        let owner = FakeOwner::start("a");
        harness.assign(Some(&owner));
        owner.behavior.set(Behavior::Silent);
        let response = harness.post("/hasty/k").await;
        assert!(response.is(504, "may-have-run"), "{response:?}");
        assert_eq!(owner.run_count(), 1);
    });
}

#[test]
fn idempotent_request_is_hedged_when_its_connection_is_silent() {
    runtime::run(async {
        let harness = Harness::start();
        let owner = FakeOwner::start("a");
        harness.assign(Some(&owner));
        owner.behavior.set(Behavior::Silent);
        let behavior = Rc::clone(&owner.behavior);
        after_first_request(&owner, move || behavior.set(Behavior::Respond));
        let response = harness.get("/look/k").await;
        assert!(response.is(200, "done"), "{response:?}");
        assert_eq!(owner.run_count(), 2);
    });
}

#[test]
fn idempotent_request_follows_its_key_to_the_next_owner() {
    runtime::run(async {
        let harness = Rc::new(Harness::start());
        let (old, new) = (FakeOwner::start("old"), FakeOwner::start("new"));
        old.behavior.set(Behavior::Silent);
        harness.assign(Some(&old));
        let (assigning, next) = (Rc::clone(&harness), new.clone());
        after_first_request(&old, move || {
            assigning.assign(Some(&next));
        });
        let response = harness.get("/look/k").await;
        assert_eq!(response.body, "new /look/k");
        assert_eq!(new.run_count(), 1);
    });
}

#[test]
fn not_run_after_an_attempt_that_may_have_run_gives_may_have_run() {
    runtime::run(async {
        let harness = Rc::new(Harness::start());
        let (old, new) = (FakeOwner::start("old"), FakeOwner::start("new"));
        old.behavior.set(Behavior::Silent);
        new.behavior
            .set(Behavior::Refuse(StatusCode::CONFLICT, "fence"));
        harness.assign(Some(&old));
        let (assigning, next) = (Rc::clone(&harness), new.clone());
        after_first_request(&old, move || {
            assigning.assign(Some(&next));
        });
        let response = harness.get("/brief/k").await;
        assert!(response.is(504, "may-have-run"), "{response:?}");
    });
}

#[test]
fn retries_of_shed_requests_stay_within_the_budget() {
    runtime::run(async {
        let harness = Harness::start();
        let owner = FakeOwner::start("a");
        harness.assign(Some(&owner));
        owner
            .behavior
            .set(Behavior::Refuse(StatusCode::SERVICE_UNAVAILABLE, "shed"));
        for _ in 0..60 {
            let response = harness.post("/once/k").await;
            assert!(response.is(503, "not-run"), "{response:?}");
            assert!(response.header("retry-after").is_some());
        }
        let refused = owner.refused.get();
        assert!((61..=76).contains(&refused), "{refused}");
        owner.behavior.set(Behavior::Respond);
        assert!(harness.post("/once/k").await.is(200, "done"));
        assert_eq!(owner.run_count(), 1);
    });
}

/// Guards against the verdict "not run" for a request that ran: the late second copy of a refusal
/// was taken for the answer to the retry on the same connection.
#[test]
fn late_copy_of_a_refusal_is_not_the_answer_to_the_retry() {
    for reason in ["shed", "drain"] {
        runtime::run(async move {
            let harness = Harness::start();
            let owner = FakeOwner::start_copying("a", reason);
            harness.assign(Some(&owner));
            for path in ["/once/k", "/claim/k"] {
                let response = harness.post(path).await;
                assert!(response.is(200, "done"), "{reason} {path}: {response:?}");
            }
            assert_eq!(owner.run_count(), 2);
        });
    }
}
