//! Owners that say in their responses that they leave, or that they want no requests.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use monoio::time;

use super::fixture::{Behavior, FakeOwner, Harness};
use crate::clock;
use crate::entry::proxy::notices::DRAIN;
use crate::runtime;

/// Guards against requests to an owner that said that it leaves, after its drain.
#[test]
fn owner_that_leaves_gets_requests_until_its_drain_ends() {
    runtime::run(async {
        let harness = Rc::new(Harness::start());
        let (old, new) = (FakeOwner::start("old"), FakeOwner::start("new"));
        harness.assign(Some(&old));
        assert!(harness.table.leaving("rota", "z").is_empty());
        old.leaving.set(true);
        assert!(harness.post("/once/k").await.is(200, "done"));
        let leaving = harness.table.leaving("rota", "z");
        assert_eq!(leaving, [crate::ids::Incarnation::from("old")]);
        assert!(harness.get("/look/k").await.is(200, "done"));
        clock::advance(DRAIN);
        harness.assign(Some(&old));
        let assigning = Rc::clone(&harness);
        let next = new.clone();
        monoio::spawn(async move {
            time::sleep(Duration::from_millis(30)).await;
            assigning.assign(Some(&next));
        });
        let response = harness.post("/claim/k").await;
        assert_eq!(response.body, "new /claim/k");
        assert_eq!((old.run_count(), new.run_count()), (2, 1));
        assert!(harness.table.leaving("rota", "z").is_empty());
    });
}

/// Guards against requests to an owner that has asked for none.
#[test]
fn requests_for_a_quiet_owner_are_refused_at_once() {
    runtime::run(async {
        let harness = Harness::start();
        let owner = FakeOwner::start("a");
        harness.assign(Some(&owner));
        let shed = Behavior::Refuse(StatusCode::SERVICE_UNAVAILABLE, "shed");
        owner.behavior.set(shed);
        owner.retry_after.set(Some(4));
        for path in ["/once/k", "/claim/k", "/once/l"] {
            let begun = std::time::Instant::now();
            let response = harness.post(path).await;
            assert!(response.is(503, "not-run"), "{path}: {response:?}");
            let after: u64 = response.header("retry-after").unwrap().parse().unwrap();
            assert!((4..=6).contains(&after), "{path}: {after}");
            assert!(begun.elapsed() < Duration::from_millis(500), "{path}");
        }
        assert_eq!(owner.refused.get(), 1);
        owner.behavior.set(Behavior::Respond);
        clock::advance(Duration::from_secs(4));
        harness.assign(Some(&owner));
        assert!(harness.post("/claim/k").await.is(200, "done"));
    });
}
