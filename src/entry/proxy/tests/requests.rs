//! What a caller gets, with nothing failing.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use monoio::time;

use super::fixture::{Mode, Owner, World};
use crate::runtime;

#[test]
fn owner_s_answer_passes_with_the_proxy_s_own_headers() {
    runtime::run(async {
        let world = World::start();
        let owner = Owner::start("a");
        let fence = world.give(Some(&owner));
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
        let reply = world.send("GET", "/look/k%31?q=1", &spoofed).await;
        assert!(reply.is(200, "done"), "{reply:?}");
        assert_eq!(reply.body, "a /look/k%31?q=1");
        assert_eq!(reply.header("agateyoke-server"), Some("a"));
        assert_eq!(reply.header("agateyoke-zone"), Some("z"));
        assert_eq!(reply.header("agateyoke-fence"), Some(&*fence.to_string()));
        assert_eq!(reply.header("x-own"), Some("kept"));
        assert_eq!(reply.header("keep-alive"), None);
        let ran = owner.ran.borrow();
        let headers = &ran[0].1;
        let hash = crate::keys::hash("k1").to_string();
        assert_eq!(headers["agateyoke-fence"], fence.to_string());
        assert_eq!(headers["agateyoke-hash"], hash);
        assert_eq!(
            headers["agateyoke-request"],
            reply.header("agateyoke-request").unwrap()
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
fn requests_that_no_document_has_are_refused() {
    runtime::run(async {
        let world = World::start();
        let owner = Owner::start("a");
        world.give(Some(&owner));
        let other = [("agateyoke-service", "nobody")];
        assert!(
            world
                .send("GET", "/look/k", &other)
                .await
                .is(404, "not-run")
        );
        assert!(world.get("/nowhere").await.is(404, "not-run"));
        assert!(world.get("/tag").await.is(400, "not-run"));
        let reply = world.post("/look/k").await;
        assert!(reply.is(405, "not-run"));
        assert_eq!(reply.header("allow"), Some("GET"));
        let two = [("x-tag", "a"), ("x-tag", "b")];
        assert!(world.send("GET", "/tag", &two).await.is(400, "not-run"));
        let long = "c".repeat(129);
        for id in ["", "a b", &*long] {
            let reply = world
                .send("POST", "/claim/k", &[("agateyoke-claim", id)])
                .await;
            assert!(reply.is(400, "not-run"), "{id}");
        }
        assert_eq!(owner.runs(), 0);
        assert!(
            world
                .send("GET", "/tag", &[("x-tag", "a")])
                .await
                .is(200, "done")
        );
    });
}

#[test]
fn body_over_the_document_s_limit_is_refused() {
    runtime::run(async {
        let world = World::start();
        let owner = Owner::start("a");
        world.give(Some(&owner));
        for (bytes, status) in [
            (1000, StatusCode::OK),
            (1001, StatusCode::PAYLOAD_TOO_LARGE),
        ] {
            let request = Request::post("http://rota/once/k");
            let request = request.body(Bytes::from(vec![b'x'; bytes])).unwrap();
            assert_eq!(world.proxy.handle(request).await.status(), status);
        }
        assert_eq!(owner.runs(), 1);
    });
}

#[test]
fn each_caller_gets_its_own_answer() {
    runtime::run(async {
        let world = Rc::new(World::start());
        let owner = Owner::start("a");
        world.give_slots(Some(&owner), 40);
        let callers: Vec<_> = (0..40u64)
            .map(|i| {
                let (world, owner) = (Rc::clone(&world), owner.clone());
                monoio::spawn(async move {
                    owner.mode.set(Mode::Slow(40 - i));
                    let reply = world.get(&format!("/look/{i}")).await;
                    assert_eq!(reply.body, format!("a /look/{i}"));
                })
            })
            .collect();
        for caller in callers {
            caller.await;
        }
        assert_eq!(owner.runs(), 40);
    });
}

#[test]
fn request_waits_for_an_owner() {
    runtime::run(async {
        let world = Rc::new(World::start());
        let owner = Owner::start("a");
        world.give(None);
        let reply = world.get("/brief/k").await;
        assert!(reply.is(503, "not-run"), "{reply:?}");
        assert!(reply.header("retry-after").is_some());
        let waiting = Rc::clone(&world);
        let caller = monoio::spawn(async move { waiting.post("/once/k").await });
        time::sleep(Duration::from_millis(20)).await;
        world.give(Some(&owner));
        assert!(caller.await.is(200, "done"));
        assert_eq!(owner.runs(), 1);
    });
}
