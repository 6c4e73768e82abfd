//! Requests without failures, and requests that are refused.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use monoio::time;

use super::fixture::{Behavior, FakeOwner, Harness};
use crate::runtime;

#[test]
fn owner_response_passes_with_the_headers_of_the_proxy() {
    runtime::run(async {
        let harness = Harness::start();
        let owner = FakeOwner::start("a");
        let fence = harness.assign(Some(&owner));
        let spoofed = [
            ("agateyoke-fence", "999"),
            ("agateyoke-hash", "1"),
            ("agateyoke-deadline-ms", "1"),
            ("agateyoke-request", "mine"),
            ("agateyoke-claim", "mine"),
            ("connection", "x-secret"),
            ("x-secret", "of one hop"),
            ("x-passes", "yes"),
        ];
        let response = harness.send("GET", "/look/k%31?q=1", &spoofed).await;
        assert!(response.is(200, "done"), "{response:?}");
        assert_eq!(response.body, "a /look/k%31?q=1");
        assert_eq!(response.header("agateyoke-server"), Some("a"));
        assert_eq!(response.header("agateyoke-zone"), Some("z"));
        assert_eq!(
            response.header("agateyoke-fence"),
            Some(&*fence.to_string())
        );
        assert_eq!(response.header("x-own"), Some("kept"));
        assert_eq!(response.header("keep-alive"), None);
        let requests = owner.requests.borrow();
        let headers = &requests[0].1;
        let hash = crate::keys::hash("k1").to_string();
        assert_eq!(headers["agateyoke-fence"], fence.to_string());
        assert_eq!(headers["agateyoke-hash"], hash);
        assert_eq!(
            headers["agateyoke-request"],
            response.header("agateyoke-request").unwrap()
        );
        assert_eq!(headers["x-passes"], "yes");
        assert!(!headers.contains_key("agateyoke-claim") && !headers.contains_key("x-secret"));
        let left: u64 = headers["agateyoke-deadline-ms"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!(left > 1 && left <= 2000);
    });
}

#[test]
fn requests_that_match_no_document_are_refused() {
    runtime::run(async {
        let harness = Harness::start();
        let owner = FakeOwner::start("a");
        harness.assign(Some(&owner));
        let other = [("agateyoke-service", "nobody")];
        assert!(
            harness
                .send("GET", "/look/k", &other)
                .await
                .is(404, "not-run")
        );
        assert!(harness.get("/nowhere").await.is(404, "not-run"));
        assert!(harness.get("/tag").await.is(400, "not-run"));
        let response = harness.post("/look/k").await;
        assert!(response.is(405, "not-run"));
        assert_eq!(response.header("allow"), Some("GET"));
        let two = [("x-tag", "a"), ("x-tag", "b")];
        assert!(harness.send("GET", "/tag", &two).await.is(400, "not-run"));
        let long = "c".repeat(129);
        for id in ["", "a b", &*long] {
            let response = harness
                .send("POST", "/claim/k", &[("agateyoke-claim", id)])
                .await;
            assert!(response.is(400, "not-run"), "{id}");
        }
        assert_eq!(owner.run_count(), 0);
        assert!(
            harness
                .send("GET", "/tag", &[("x-tag", "a")])
                .await
                .is(200, "done")
        );
    });
}

#[test]
fn body_over_the_limit_of_the_document_is_refused() {
    runtime::run(async {
        let harness = Harness::start();
        let owner = FakeOwner::start("a");
        harness.assign(Some(&owner));
        for (bytes, status) in [
            (1000, StatusCode::OK),
            (1001, StatusCode::PAYLOAD_TOO_LARGE),
        ] {
            let request = Request::post("http://rota/once/k");
            let request = request.body(Bytes::from(vec![b'x'; bytes])).unwrap();
            assert_eq!(harness.proxy.handle(request).await.status(), status);
        }
        assert_eq!(owner.run_count(), 1);
    });
}

#[test]
fn concurrent_callers_get_their_own_responses() {
    runtime::run(async {
        let harness = Rc::new(Harness::start());
        let owner = FakeOwner::start("a");
        harness.assign_with_slots(Some(&owner), 40);
        let callers: Vec<_> = (0..40u64)
            .map(|i| {
                let (harness, owner) = (Rc::clone(&harness), owner.clone());
                monoio::spawn(async move {
                    owner.behavior.set(Behavior::Slow(40 - i));
                    let response = harness.get(&format!("/look/{i}")).await;
                    assert_eq!(response.body, format!("a /look/{i}"));
                })
            })
            .collect();
        for caller in callers {
            caller.await;
        }
        assert_eq!(owner.run_count(), 40);
    });
}

#[test]
fn request_waits_for_an_owner() {
    runtime::run(async {
        let harness = Rc::new(Harness::start());
        let owner = FakeOwner::start("a");
        harness.assign(None);
        let response = harness.get("/brief/k").await;
        assert!(response.is(503, "not-run"), "{response:?}");
        assert!(response.header("retry-after").is_some());
        let waiting = Rc::clone(&harness);
        let caller = monoio::spawn(async move { waiting.post("/once/k").await });
        time::sleep(Duration::from_millis(20)).await;
        harness.assign(Some(&owner));
        assert!(caller.await.is(200, "done"));
        assert_eq!(owner.run_count(), 1);
    });
}
