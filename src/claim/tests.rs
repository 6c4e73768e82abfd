//! Claim records under races and lost responses.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use monoio::net::TcpListener;

use super::client::{BeginResult, Claim, ClaimClient};
use super::messages::{Applied, Change, ClaimKey, Outcome};
use super::store::Store;
use crate::clock;
use crate::control::leader_client::{ControlVm, LeaderClient};
use crate::rpc::{self, Fault, error, server};
use crate::runtime;
use crate::timeline::Journal;

fn key(claim: &str) -> ClaimKey {
    ClaimKey {
        service: "rota".into(),
        claim: claim.into(),
    }
}

fn begin(claim: &str, attempt: &str, digest: u64) -> Change {
    Change::Begin {
        key: key(claim),
        hash: 1,
        digest,
        attempt: attempt.into(),
        expires_ms: 1_000,
    }
}

fn outcome(body: &str) -> Outcome {
    Outcome {
        status: 201,
        content_type: None,
        body: body.into(),
        server: "rota-1".into(),
        fence: 7,
    }
}

fn end(claim: &str, attempt: &str, body: &str) -> Change {
    Change::End {
        key: key(claim),
        attempt: attempt.into(),
        outcome: outcome(body),
    }
}

#[test]
fn only_the_first_attempt_may_send() {
    let mut store = Store::default();
    assert_eq!(store.apply(begin("c", "a1", 5)), Applied::Begun);
    assert_eq!(store.apply(begin("c", "a1", 5)), Applied::Begun);
    assert_eq!(
        store.apply(begin("c", "a2", 5)),
        Applied::Pending {
            attempt: "a1".into()
        }
    );
    assert_eq!(store.apply(begin("c", "a2", 6)), Applied::Reused);
    assert_eq!(store.apply(end("c", "a2", "x")), Applied::Absent);
    assert_eq!(store.apply(end("c", "a1", "x")), Applied::Done);
    assert_eq!(
        store.apply(begin("c", "a2", 5)),
        Applied::Ended {
            outcome: outcome("x")
        }
    );
}

#[test]
fn an_outcome_is_never_replaced_or_deleted() {
    let mut store = Store::default();
    store.apply(begin("c", "a1", 5));
    store.apply(end("c", "a1", "first"));
    store.apply(end("c", "a1", "second"));
    let abort = Change::Abort {
        key: key("c"),
        attempt: "a1".into(),
    };
    assert_eq!(store.apply(abort), Applied::Absent);
    assert_eq!(
        store.apply(begin("c", "a1", 5)),
        Applied::Ended {
            outcome: outcome("first")
        }
    );
}

#[test]
fn records_are_deleted_only_after_they_expire() {
    let mut store = Store::default();
    store.apply(begin("c", "a1", 5));
    assert!(!store.has_expired(999));
    store.apply(Change::Expire { now_ms: 999 });
    assert_eq!(store.len(), 1);
    store.apply(Change::Expire { now_ms: 1_000 });
    assert!(store.is_empty());
}

#[test]
fn any_order_of_changes_lets_one_attempt_send_between_aborts() {
    for seed in 0..200u64 {
        arbtest::arbtest(|u| {
            let mut store = Store::default();
            let mut sender: HashMap<u8, u8> = HashMap::new();
            for _ in 0..u.int_in_range(1..=80)? {
                let (claim, attempt) = (u.int_in_range(0..=2u8)?, u.int_in_range(0..=3u8)?);
                let (c, a) = (claim.to_string(), attempt.to_string());
                match u.int_in_range(0..=3u8)? {
                    0 | 1 => {
                        if store.apply(begin(&c, &a, 5)) == Applied::Begun {
                            assert_eq!(*sender.entry(claim).or_insert(attempt), attempt);
                        }
                    }
                    2 => drop(store.apply(end(&c, &a, &a))),
                    _ => {
                        let abort = Change::Abort {
                            key: key(&c),
                            attempt: a.as_str().into(),
                        };
                        if store.apply(abort) == Applied::Done {
                            assert_eq!(sender.remove(&claim), Some(attempt));
                        }
                    }
                }
                let text = serde_json::to_string(&store).unwrap();
                assert_eq!(serde_json::from_str::<Store>(&text).unwrap(), store);
            }
            Ok(())
        })
        .seed(seed << 32 | 0x400);
    }
}

/// A control VM with claim records that can lose responses or not be the leader.
#[derive(Default)]
struct FakeControl {
    store: RefCell<Store>,
    lost_responses: Cell<u32>,
    leads: Cell<bool>,
}

fn start(control: &Rc<FakeControl>) -> ControlVm {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let control = Rc::clone(control);
    monoio::spawn(rpc::serve(
        listener,
        Journal::new("c".into()),
        move |_, body| {
            let control = Rc::clone(&control);
            async move {
                if !control.leads.get() {
                    return Err(Fault::new(error::NOT_LEADER, "not the leader"));
                }
                let applied = control
                    .store
                    .borrow_mut()
                    .apply(server::decode_params(&body)?);
                let lost = control.lost_responses.get();
                if lost > 0 {
                    control.lost_responses.set(lost - 1);
                    return Err(Fault::new(error::OUTCOME_UNKNOWN, "response lost"));
                }
                server::encode_result(&applied)
            }
        },
    ));
    ControlVm {
        vm: "c".into(),
        address,
    }
}

fn claim(attempt: &str) -> Claim {
    Claim {
        key: key("c"),
        hash: 1,
        digest: 5,
        attempt: attempt.into(),
        retention: Duration::from_mins(1),
    }
}

fn client(control: &Rc<FakeControl>) -> ClaimClient {
    ClaimClient::new(LeaderClient::new(
        &[start(control)],
        &Journal::new(Arc::from("e")),
    ))
}

#[test]
fn a_begin_whose_response_was_lost_is_acquired_by_a_retry() {
    runtime::run(async {
        let control = Rc::new(FakeControl::default());
        control.leads.set(true);
        control.lost_responses.set(1);
        let deadline = clock::now() + Duration::from_secs(5);
        assert_eq!(
            client(&control).begin(&claim("a1"), deadline).await,
            BeginResult::Acquired
        );
    });
}

#[test]
fn a_second_entry_vm_gets_the_outcome_of_the_first() {
    runtime::run(async {
        let control = Rc::new(FakeControl::default());
        control.leads.set(true);
        let (first, second) = (client(&control), client(&control));
        let deadline = clock::now() + Duration::from_secs(5);
        assert_eq!(
            first.begin(&claim("a1"), deadline).await,
            BeginResult::Acquired
        );
        let waiting = monoio::spawn(async move { second.begin(&claim("a2"), deadline).await });
        monoio::time::sleep(Duration::from_millis(60)).await;
        assert!(first.end(&claim("a1"), outcome("opened"), deadline).await);
        assert_eq!(waiting.await, BeginResult::Ended(outcome("opened")));
    });
}

#[test]
fn without_a_leader_nothing_is_recorded_and_nothing_is_sent() {
    runtime::run(async {
        let control = Rc::new(FakeControl::default());
        let deadline = clock::now() + Duration::from_millis(80);
        let begun = client(&control).begin(&claim("a1"), deadline).await;
        assert_eq!(begun, BeginResult::NotRecorded);
        assert!(control.store.borrow().is_empty());
    });
}

#[test]
fn a_record_created_with_lost_responses_is_deleted() {
    runtime::run(async {
        let control = Rc::new(FakeControl::default());
        control.leads.set(true);
        control.lost_responses.set(u32::MAX);
        let client = client(&control);
        let deadline = clock::now() + Duration::from_millis(80);
        assert_eq!(
            client.begin(&claim("a1"), deadline).await,
            BeginResult::NotRecorded
        );
        for _ in 0..200 {
            if control.store.borrow().is_empty() {
                return;
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the record was not deleted");
    });
}
