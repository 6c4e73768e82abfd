//! The control daemon's answers and the entry VM's questions, over loopback.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use monoio::net::TcpListener;

use super::fixture::{delegated, entry, ms};
use crate::clock;
use crate::control::leader_client::{ControlVm, LeaderClient};
use crate::delegate::desk::{Desk, Log};
use crate::delegate::messages::{WatchAnswer, WatchRequest};
use crate::delegate::watch::{self, Watch};
use crate::delegate::{Office, View};
use crate::notify::Notify;
use crate::rpc::{CallError, Fault, Peer, error, serve, server};
use crate::runtime;
use crate::timeline::Journal;

/// A control VM over the state of [`delegated`].
struct Node {
    desk: Rc<Desk>,
    applied: Rc<Cell<u64>>,
    leads: Rc<Cell<bool>>,
}

fn node() -> Node {
    let control = delegated();
    let applied = Rc::new(Cell::new(control.index));
    let leads = Rc::new(Cell::new(true));
    let changed = Rc::new(Notify::default());
    let (index, barrier_index) = (Rc::clone(&applied), Rc::clone(&applied));
    let (leading, led) = (Rc::clone(&leads), Rc::clone(&leads));
    let log = Log {
        read_barrier: Box::new(move || {
            let index = Ok(barrier_index.get());
            let confirmed = index.and_then(|index| {
                let other = Fault::new(error::NOT_LEADER, "another VM leads");
                led.get().then_some(index).ok_or(other)
            });
            Box::pin(async move { confirmed })
        }),
        leading_since: Box::new(move || leading.get().then(clock::now)),
        applied: Box::new(move || index.get()),
        changed,
    };
    let desk = Desk {
        log,
        store: Rc::new(RefCell::new(control.store)),
        office: Rc::new(RefCell::new(Office::default())),
        documents: Box::new(|_| Vec::new()),
    };
    Node {
        desk: Rc::new(desk),
        applied,
        leads,
    }
}

fn listen(node: &Node) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let desk = Rc::clone(&node.desk);
    monoio::spawn(serve(
        listener,
        Journal::new("c".into()),
        move |method, body| {
            let desk = Rc::clone(&desk);
            async move {
                let answer = desk.answer(&method, &body).await;
                answer.unwrap_or_else(|| Err(server::unknown(&method)))
            }
        },
    ));
    Peer::new(address, Journal::new("e".into()))
}

fn question(have: u64) -> WatchRequest {
    WatchRequest {
        entry: entry("a1", "a"),
        have,
        wait: ms(30),
        heard: Vec::new(),
    }
}

#[test]
fn a_question_gets_the_changes_since() {
    runtime::run(async {
        let node = node();
        let peer = listen(&node);
        let ask = |have| {
            let peer = peer.clone();
            async move {
                let request = question(have);
                let answer = peer.call(watch::METHOD, &request, ms(5000)).await;
                answer.map(|a: WatchAnswer| (a.index, a.delegations.len()))
            }
        };
        let index = node.applied.get();
        assert_eq!(ask(0).await, Ok((index, 2)));
        assert_eq!(ask(index).await, Ok((index, 0)));
        assert!(matches!(ask(index + 1).await, Err(CallError::Fault(_))));
    });
}

#[test]
fn a_view_follows_whichever_vm_leads() {
    runtime::run(async {
        let (first, second) = (node(), node());
        first.leads.set(false);
        let vms = [&first, &second].map(|node| ControlVm {
            vm: "control".into(),
            address: listen(node).address(),
        });
        let view = Rc::new(View::default());
        let watch = Watch {
            view: Rc::clone(&view),
            control: LeaderClient::new(&vms, &Journal::new("a1".into())),
            entry: Box::new(|| entry("a1", "a")),
            heard: Box::new(Vec::new),
        };
        monoio::spawn(watch.run());
        while view.index() == 0 {
            view.changed.wait(ms(50)).await;
        }
        assert_eq!(view.index(), second.applied.get());
        assert_eq!(view.all_delegations().len(), 2);
        let high = second.applied.get() + 1;
        second.applied.set(high);
        while view.index() < high {
            view.changed.wait(ms(10)).await;
        }
        second.leads.set(false);
        first.leads.set(true);
        monoio::time::sleep(ms(300)).await;
        assert_eq!(view.index(), high);
    });
}
