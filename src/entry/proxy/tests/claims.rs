//! Claims run at most once and are reported done only after that is recorded.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use monoio::time;

use super::fixture::{Behavior, FakeOwner, Harness, TestResponse};
use crate::runtime;

async fn claim(harness: &Harness, id: &str) -> TestResponse {
    harness
        .send("POST", "/claim/k", &[("agateyoke-claim", id)])
        .await
}

#[test]
fn retried_claim_gets_its_outcome_and_runs_once() {
    runtime::run(async {
        let harness = Harness::start();
        let owner = FakeOwner::start("a");
        harness.assign(Some(&owner));
        let first = claim(&harness, "c1").await;
        assert!(first.is(200, "done"));
        assert_eq!(first.header("agateyoke-claim"), Some("c1"));
        assert_eq!(first.header("agateyoke-replay"), None);
        let retried = harness
            .send("POST", "/claim/k", &[("idempotency-key", "c1")])
            .await;
        assert!(retried.is(200, "done"));
        assert_eq!(
            (&retried.body, retried.header("agateyoke-replay")),
            (&first.body, Some("true"))
        );
        assert_eq!(retried.header("agateyoke-server"), Some("a"));
        let reused = harness
            .send("POST", "/claim/other", &[("agateyoke-claim", "c1")])
            .await;
        assert!(reused.is(409, "not-run"));
        assert_eq!(owner.run_count(), 1);
    });
}

#[test]
fn claim_without_an_id_gets_a_generated_one() {
    runtime::run(async {
        let harness = Harness::start();
        let owner = FakeOwner::start("a");
        harness.assign(Some(&owner));
        let first = harness.post("/claim/k").await;
        let id = first.header("agateyoke-claim").unwrap();
        assert_eq!(owner.requests.borrow()[0].1["agateyoke-claim"], id);
        assert_eq!(
            claim(&harness, id).await.header("agateyoke-replay"),
            Some("true")
        );
        assert_eq!(owner.run_count(), 1);
    });
}

#[test]
fn concurrent_claims_with_one_id_run_once() {
    runtime::run(async {
        let harness = Rc::new(Harness::start());
        let owner = FakeOwner::start("a");
        owner.behavior.set(Behavior::Slow(120));
        harness.assign_with_slots(Some(&owner), 2);
        let callers: Vec<_> = (0..4)
            .map(|_| {
                let harness = Rc::clone(&harness);
                monoio::spawn(async move { claim(&harness, "c1").await })
            })
            .collect();
        for caller in callers {
            let response = caller.await;
            assert!(response.is(200, "done"), "{response:?}");
        }
        assert_eq!(owner.run_count(), 1);
    });
}

#[test]
fn claim_that_waits_for_an_outcome_blocks_no_other_request() {
    runtime::run(async {
        let harness = Rc::new(Harness::start());
        let owner = FakeOwner::start("a");
        owner.behavior.set(Behavior::Silent);
        harness.assign_with_slots(Some(&owner), 2);
        let sending = Rc::clone(&harness);
        let first = monoio::spawn(async move { claim(&sending, "c1").await });
        owner.wait_for_request().await;
        owner.behavior.set(Behavior::Respond);
        let retrying = Rc::clone(&harness);
        let retried = monoio::spawn(async move { claim(&retrying, "c1").await });
        time::sleep(Duration::from_millis(20)).await;
        assert!(harness.post("/once/other").await.is(200, "done"));
        let retried = retried.await;
        assert!(retried.is(504, "may-have-run"), "{retried:?}");
        assert!(first.await.is(504, "may-have-run"));
        assert_eq!(owner.run_count(), 2);
    });
}

#[test]
fn claim_that_cannot_be_recorded_is_not_sent() {
    runtime::run(async {
        let harness = Harness::start();
        let owner = FakeOwner::start("a");
        harness.assign(Some(&owner));
        harness.records_available.set(false);
        let first = harness.post("/claim/k").await;
        assert!(first.is(503, "not-run"), "{first:?}");
        let retry = claim(&harness, "c1").await;
        assert!(retry.is(503, "may-have-run"), "{retry:?}");
        for response in [first, retry] {
            assert!(response.header("retry-after").is_some());
        }
        assert_eq!(owner.run_count(), 0);
    });
}

#[test]
fn retried_claim_without_an_owner_gets_the_outcome() {
    runtime::run(async {
        let harness = Harness::start();
        let owner = FakeOwner::start("a");
        harness.assign(Some(&owner));
        assert!(claim(&harness, "c1").await.is(200, "done"));
        harness.assign(None);
        let retried = claim(&harness, "c1").await;
        assert!(retried.is(200, "done"), "{retried:?}");
        assert_eq!(retried.header("agateyoke-replay"), Some("true"));
        let new = claim(&harness, "c2").await;
        assert!(new.is(503, "not-run"), "{new:?}");
        harness.records_available.set(false);
        let without_records = claim(&harness, "c1").await;
        assert!(
            without_records.is(503, "may-have-run"),
            "{without_records:?}"
        );
        assert_eq!(owner.run_count(), 1);
    });
}

#[test]
fn claim_whose_outcome_cannot_be_recorded_is_not_reported_done() {
    runtime::run(async {
        let harness = Rc::new(Harness::start());
        let owner = FakeOwner::start("a");
        owner.behavior.set(Behavior::Slow(100));
        harness.assign(Some(&owner));
        let sending = Rc::clone(&harness);
        let caller = monoio::spawn(async move { claim(&sending, "c1").await });
        owner.wait_for_request().await;
        harness.records_available.set(false);
        let response = caller.await;
        assert!(response.is(504, "may-have-run"), "{response:?}");
        harness.records_available.set(true);
        let retried = claim(&harness, "c1").await;
        assert!(retried.is(200, "done"), "{retried:?}");
        assert_eq!(retried.header("agateyoke-replay"), Some("true"));
        assert_eq!(owner.run_count(), 1);
    });
}

#[test]
fn claim_that_was_not_run_can_be_retried() {
    runtime::run(async {
        let harness = Harness::start();
        let owner = FakeOwner::start("a");
        owner
            .behavior
            .set(Behavior::Refuse(StatusCode::CONFLICT, "fence"));
        harness.assign(Some(&owner));
        let refused = claim(&harness, "c1").await;
        assert!(refused.is(504, "not-run"), "{refused:?}");
        owner.behavior.set(Behavior::Respond);
        let mut response = claim(&harness, "c1").await;
        for _ in 0..20 {
            if !response.is(504, "may-have-run") {
                break;
            }
            response = claim(&harness, "c1").await;
        }
        assert!(response.is(200, "done"), "{response:?}");
        assert_eq!(owner.run_count(), 1);
    });
}

#[test]
fn retry_that_saw_an_earlier_attempt_never_gets_not_run() {
    runtime::run(async {
        let harness = Rc::new(Harness::start());
        let owner = FakeOwner::start("a");
        owner.behavior.set(Behavior::Silent);
        harness.assign(Some(&owner));
        let sending = Rc::clone(&harness);
        let first = monoio::spawn(async move { claim(&sending, "c1").await });
        owner.wait_for_request().await;
        let retrying = Rc::clone(&harness);
        let retried = monoio::spawn(async move { claim(&retrying, "c1").await });
        time::sleep(Duration::from_millis(100)).await;
        harness.records_available.set(false);
        let retried = retried.await;
        assert!(retried.is(504, "may-have-run"), "{retried:?}");
        assert!(first.await.is(504, "may-have-run"));
        assert_eq!(owner.run_count(), 1);
    });
}
