//! What becomes of one request when its backend server misbehaves.

use std::time::Duration;

use monoio::net::TcpListener;

use super::standin::{Backend, Does, World, header, holders, read, send, status, until};
use crate::fleet::updates::Updates;
use crate::runtime;

const OK: Does =
    Does::Sends("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nok");
const FULL: Does =
    Does::Sends("HTTP/1.1 503 No\nx-request: ID\nx-refused: 1\ncontent-length: 0\n\n");
const ELSEWHERE: Does =
    Does::Sends("HTTP/1.1 421 No\nx-request: ID\nx-refused: 1\ncontent-length: 0\n\n");
const FAILED: Does =
    Does::Sends("HTTP/1.1 500 No\nx-request: ID\nx-signature: s\ncontent-length: 3\n\nbad");
const BROKEN: Does =
    Does::Sends("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 9\n\nhalf");

const SAFE: &str = "GET /safe/1 HTTP/1.1\nhost: h\nx-request: 7\n\n";
const ONCE: &str = "POST /once/1 HTTP/1.1\nhost: h\nx-request: 7\ncontent-length: 3\n\nabc";
const KEYED: &str = "GET /keyed/1 HTTP/1.1\nhost: h\nx-request: 7\nx-key: 5\n\n";

/// Status of the answer if the only backend server does these things in turn, how often the
/// request was sent, and the answer.
fn outcome(request: &'static str, script: Vec<Vec<Does>>) -> (u16, usize, String) {
    runtime::run(async move {
        let backend = Backend::start(script);
        let world = World::new(&[&backend]);
        let answer = world.ask(request).await;
        let sent = backend.got.borrow().len();
        (status(&answer), sent, answer)
    })
}

#[test]
fn an_answer_passes_whole_and_unchanged() {
    let (status, sent, answer) = outcome(SAFE, vec![vec![OK]]);
    assert_eq!((status, sent), (200, 1));
    assert_eq!(header(&answer, "x-signature").as_deref(), Some("s"));
    assert!(answer.ends_with("\r\n\r\nok"));
}

#[test]
fn what_a_server_is_told_is_what_is_left() {
    runtime::run(async {
        let backend = Backend::start(vec![vec![OK]]);
        let world = World::new(&[&backend]);
        let request = "GET /safe/1?q=1 HTTP/1.1\nhost: h:80\nx-request: 7\nx-deadline: 900\n\n";
        world.ask(request).await;
        let got = backend.got.borrow()[0].clone();
        assert!(got.starts_with("GET /safe/1?q=1 HTTP/1.1\r\n"));
        assert_eq!(header(&got, "x-expected").as_deref(), Some("plain-0"));
        let left: u64 = header(&got, "x-deadline").unwrap().parse().unwrap();
        assert!(left <= 900);
    });
}

#[test]
fn a_request_that_must_run_once_is_never_sent_after_it_may_have_run() {
    for does in [Does::Closes, BROKEN, Does::Sends("what is this\n\n")] {
        let (status, sent, _) = outcome(ONCE, vec![vec![does.clone(), Does::Closes], vec![OK]]);
        assert_eq!((status, sent), (502, 1), "{does:?}");
    }
}

#[test]
fn a_failure_of_a_server_passes_unchanged_to_who_must_run_once() {
    let (status, sent, answer) = outcome(ONCE, vec![vec![FAILED], vec![OK]]);
    assert_eq!((status, sent), (500, 1));
    assert_eq!(header(&answer, "x-signature").as_deref(), Some("s"));
}

#[test]
fn a_refusal_that_proves_that_nothing_ran_is_told_as_one() {
    let (status, _, answer) = outcome(ONCE, vec![vec![FULL]]);
    assert_eq!(status, 503);
    assert!(header(&answer, "retry-after").is_some());
    assert_eq!(header(&answer, "x-signature"), None);
    assert_eq!(header(&answer, "x-request").as_deref(), Some("7"));
}

/// Two backend servers: the first request to either does `first`, later ones succeed.
async fn second_try(request: &str, first: Vec<Does>) -> (u16, usize) {
    let one = Backend::start(vec![first.clone(), vec![OK]]);
    let other = Backend::start(vec![vec![OK], vec![OK]]);
    let world = World::new(&[&one, &other]);
    // Busy for one request, the other server is second choice.
    let known = world.gate.known.borrow().backends("plain").to_vec();
    let busy: Vec<_> = known
        .iter()
        .filter(|b| b.server().address == other.address)
        .flat_map(|b| [b.begin(), b.begin(), b.begin(), b.begin()])
        .collect();
    let answer = world.ask(request).await;
    drop(busy);
    let sent = one.got.borrow().len() + other.got.borrow().len();
    (status(&answer), sent)
}

#[test]
fn an_idempotent_request_goes_to_another_server() {
    runtime::run(async {
        for does in [
            vec![Does::Closes],
            vec![BROKEN, Does::Closes],
            vec![FAILED],
            vec![FULL],
        ] {
            let outcome = second_try(SAFE, does.clone()).await;
            assert_eq!(outcome, (200, 2), "{does:?}");
        }
    });
}

#[test]
fn a_request_that_must_run_once_goes_on_after_proof_only() {
    runtime::run(async {
        assert_eq!(second_try(ONCE, vec![FULL]).await, (200, 2));
        assert_eq!(second_try(ONCE, vec![ELSEWHERE]).await, (200, 2));
        assert_eq!(second_try(ONCE, vec![Does::Closes]).await, (502, 1));
    });
}

#[test]
fn an_answer_to_another_request_is_passed_over() {
    let stray =
        Does::Sends("HTTP/1.1 200 OK\nx-request: 99\nx-signature: s\ncontent-length: 5\n\nstray");
    let (status, sent, answer) = outcome(SAFE, vec![vec![stray, OK]]);
    assert_eq!((status, sent), (200, 1));
    assert!(answer.ends_with("ok"));
}

#[test]
fn bytes_after_an_answer_belong_to_no_request() {
    runtime::run(async {
        let extra = Does::Sends(
            "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-length: 2\n\nokHTTP/1.1 200 OK\nx-signature: s\ncontent-length: 3\n\nbad",
        );
        let backend = Backend::start(vec![vec![extra], vec![OK]]);
        let world = World::new(&[&backend]);
        for _ in 0..2 {
            assert!(world.ask(SAFE).await.ends_with("\r\n\r\nok"));
        }
    });
}

#[test]
fn an_answer_that_ends_with_its_connection_is_whole_only_if_that_was_closed() {
    let unframed = Does::Sends("HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\n\nall of it");
    let (status, _, answer) = outcome(SAFE, vec![vec![unframed, Does::Closes]]);
    assert_eq!(status, 200);
    assert!(answer.ends_with("\r\n\r\nall of it"));
    assert_eq!(header(&answer, "content-length").as_deref(), Some("9"));
}

#[test]
fn a_success_without_a_mark_of_the_server_is_none() {
    let unsigned = Does::Sends("HTTP/1.1 200 OK\nx-request: ID\ncontent-length: 2\n\nno");
    let (status, _, _) = outcome(ONCE, vec![vec![unsigned]]);
    assert_eq!(status, 502);
    let coded = Does::Sends(
        "HTTP/1.1 200 OK\nx-request: ID\nx-signature: s\ncontent-encoding: gzip\ncontent-length: 2\n\nno",
    );
    let (status, _, _) = outcome(ONCE, vec![vec![coded]]);
    assert_eq!(status, 502);
}

#[test]
fn when_the_caller_leaves_its_work_ends() {
    runtime::run(async {
        let backend = Backend::start(vec![vec![Does::Waits]]);
        let world = World::new(&[&backend]);
        let mut caller = world.connect().await;
        send(&mut caller, SAFE).await;
        until(|| backend.got.borrow().len() == 1).await;
        drop(caller);
        until(|| *backend.left.borrow() == 1).await;
    });
}

#[test]
fn a_key_without_a_holder_waits_for_one() {
    runtime::run(async {
        let backend = Backend::start(vec![vec![OK]]);
        let world = World::new(&[&backend]);
        let moving = Updates {
            index: 2,
            ranges: vec![holders(None)],
            ..Updates::default()
        };
        world.gate.known.borrow_mut().take(moving);
        let mut caller = world.connect().await;
        send(&mut caller, KEYED).await;
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert!(backend.got.borrow().is_empty());
        let held = Updates {
            index: 3,
            ranges: vec![holders(Some("owner"))],
            ..Updates::default()
        };
        world.gate.known.borrow_mut().take(held);
        world.gate.changed.wake();
        let answer = read(&mut caller, &mut String::new()).await.unwrap();
        assert_eq!(status(&answer), 200);
    });
}

#[test]
fn a_key_that_stays_without_a_holder_is_refused_as_not_run() {
    runtime::run(async {
        let backend = Backend::start(Vec::new());
        let world = World::new(&[&backend]);
        let moving = Updates {
            index: 2,
            ranges: vec![holders(None)],
            ..Updates::default()
        };
        world.gate.known.borrow_mut().take(moving);
        let answer = world.ask(KEYED).await;
        assert_eq!(status(&answer), 503);
        assert!(header(&answer, "retry-after").is_some());
    });
}

#[test]
fn a_request_without_route_or_key_is_told_so() {
    runtime::run(async {
        let backend = Backend::start(Vec::new());
        let world = World::new(&[&backend]);
        let lost = world.ask("GET /other HTTP/1.1\nhost: h\n\n").await;
        assert_eq!(status(&lost), 404);
        let lost = world.ask("GET /safe/1 HTTP/1.1\nhost: g\n\n").await;
        assert_eq!(status(&lost), 404);
        let keyless = world.ask("GET /keyed/1 HTTP/1.1\nhost: h\n\n").await;
        assert_eq!(status(&keyless), 400);
    });
}

#[test]
fn before_the_first_table_nothing_is_missing() {
    runtime::run(async {
        let world = World::new(&[]);
        world.gate.known.borrow_mut().table = None;
        assert_eq!(status(&world.ask(SAFE).await), 503);
        assert!(!world.gate.is_ready());
    });
}

#[test]
fn when_the_time_to_stop_is_over_answers_behind_a_slow_one_still_arrive() {
    runtime::run(async {
        let backend = Backend::start(vec![vec![Does::Waits], vec![OK]]);
        let world = World::new(&[&backend]);
        let mut caller = world.connect().await;
        send(&mut caller, &format!("{SAFE}{SAFE}")).await;
        until(|| backend.got.borrow().len() == 2).await;
        world.gate.close(Duration::ZERO);
        world.gate.cut.stop();
        let mut text = String::new();
        let first = read(&mut caller, &mut text).await.unwrap();
        assert_eq!(status(&first), 504);
        let second = read(&mut caller, &mut text).await;
        assert_eq!(second.map(|s| status(&s)), Some(200));
    });
}

#[test]
fn while_a_holder_is_dark_callers_are_told_when_its_keys_may_have_another() {
    runtime::run(async {
        let mut backend = Backend::start(Vec::new());
        let unused = TcpListener::bind("127.0.0.1:0").unwrap();
        backend.address = unused.local_addr().unwrap();
        drop(unused);
        let world = World::new(&[&backend]);
        for _ in 0..2 {
            let answer = world.ask(KEYED).await;
            assert_eq!(status(&answer), 503);
            let after = header(&answer, "retry-after").unwrap();
            assert!(after.parse::<f64>().unwrap() > 2.0, "{after}");
        }
    });
}
