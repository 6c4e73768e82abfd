//! Claim records under races and losses.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use monoio::net::TcpListener;

use super::desk::{Begun, Claim, Desk};
use super::messages::{Applied, Change, ClaimKey, Outcome};
use super::store::Store;
use crate::clock;
use crate::control::peers::{ControlVm, Peers};
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
        forget_ms: 1_000,
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
fn an_outcome_is_never_replaced_or_taken_back() {
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
fn records_are_forgotten_only_after_their_time() {
    let mut store = Store::default();
    store.apply(begin("c", "a1", 5));
    assert!(!store.has_overdue(999));
    store.apply(Change::Forget { now_ms: 999 });
    assert_eq!(store.len(), 1);
    store.apply(Change::Forget { now_ms: 1_000 });
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

/// A control VM that holds records and may lose its answers or refuse to lead.
#[derive(Default)]
struct FakeControl {
    store: RefCell<Store>,
    answers_lost: Cell<u32>,
    leads: Cell<bool>,
}

fn fake(control: &Rc<FakeControl>) -> ControlVm {
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
                let lost = control.answers_lost.get();
                if lost > 0 {
                    control.answers_lost.set(lost - 1);
                    return Err(Fault::new(error::OUTCOME_UNKNOWN, "answer lost"));
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
        memory: Duration::from_mins(1),
    }
}

fn desk(control: &Rc<FakeControl>) -> Desk {
    Desk::new(Peers::new(&[fake(control)], &Journal::new(Arc::from("e"))))
}

#[test]
fn a_begin_whose_answer_was_lost_is_still_mine() {
    runtime::run(async {
        let control = Rc::new(FakeControl::default());
        control.leads.set(true);
        control.answers_lost.set(1);
        let give_up = clock::now() + Duration::from_secs(5);
        assert_eq!(
            desk(&control).begin(&claim("a1"), give_up).await,
            Begun::Mine
        );
    });
}

#[test]
fn a_second_entry_vm_gets_the_outcome_of_the_first() {
    runtime::run(async {
        let control = Rc::new(FakeControl::default());
        control.leads.set(true);
        let (first, second) = (desk(&control), desk(&control));
        let give_up = clock::now() + Duration::from_secs(5);
        assert_eq!(first.begin(&claim("a1"), give_up).await, Begun::Mine);
        let waiting = monoio::spawn(async move { second.begin(&claim("a2"), give_up).await });
        monoio::time::sleep(Duration::from_millis(60)).await;
        assert!(first.end(&claim("a1"), outcome("opened"), give_up).await);
        assert_eq!(waiting.await, Begun::Ended(outcome("opened")));
    });
}

#[test]
fn without_a_leader_nothing_is_recorded_and_nothing_is_sent() {
    runtime::run(async {
        let control = Rc::new(FakeControl::default());
        let give_up = clock::now() + Duration::from_millis(80);
        let begun = desk(&control).begin(&claim("a1"), give_up).await;
        assert_eq!(begun, Begun::Unrecorded);
        assert!(control.store.borrow().is_empty());
    });
}

#[test]
fn a_record_put_unawares_is_taken_back() {
    runtime::run(async {
        let control = Rc::new(FakeControl::default());
        control.leads.set(true);
        control.answers_lost.set(u32::MAX);
        let desk = desk(&control);
        let give_up = clock::now() + Duration::from_millis(80);
        assert_eq!(desk.begin(&claim("a1"), give_up).await, Begun::Unrecorded);
        for _ in 0..200 {
            if control.store.borrow().is_empty() {
                return;
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the record stayed");
    });
}
