//! The control daemon's handler and the entry VM's long poll, over loopback.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use monoio::net::TcpListener;

use super::fixture::{delegated, entry_vm, ms};
use crate::clock;
use crate::control::leader_client::{ControlVm, LeaderClient};
use crate::delegate::handler::{Handler, LogAccess};
use crate::delegate::messages::{WatchRequest, WatchResponse};
use crate::delegate::watch::{self, Watcher};
use crate::delegate::{Planner, View};
use crate::notify::Notify;
use crate::rpc::{CallError, Fault, Peer, error, serve, server};
use crate::runtime;
use crate::timeline::Journal;

/// Control VM with the state of [`delegated`].
struct ControlNode {
    handler: Rc<Handler>,
    applied: Rc<Cell<u64>>,
    leads: Rc<Cell<bool>>,
}

fn node() -> ControlNode {
    let leader = delegated();
    let applied = Rc::new(Cell::new(leader.index));
    let leads = Rc::new(Cell::new(true));
    let changed = Rc::new(Notify::default());
    let (index, barrier_index) = (Rc::clone(&applied), Rc::clone(&applied));
    let (leading, led) = (Rc::clone(&leads), Rc::clone(&leads));
    let log = LogAccess {
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
    let handler = Handler {
        log,
        store: Rc::new(RefCell::new(leader.store)),
        planner: Rc::new(RefCell::new(Planner::default())),
        documents: Box::new(|_| Vec::new()),
    };
    ControlNode {
        handler: Rc::new(handler),
        applied,
        leads,
    }
}

fn listen(node: &ControlNode) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let handler = Rc::clone(&node.handler);
    monoio::spawn(serve(
        listener,
        Journal::new("c".into()),
        move |method, body| {
            let handler = Rc::clone(&handler);
            async move {
                let response = handler.answer(&method, &body).await;
                response.unwrap_or_else(|| Err(server::unknown_method(&method)))
            }
        },
    ));
    Peer::new(address, Journal::new("e".into()))
}

fn watch_request(known_index: u64) -> WatchRequest {
    WatchRequest {
        entry_vm: entry_vm("a1", "a"),
        known_index,
        wait: ms(30),
        capacities: Vec::new(),
    }
}

#[test]
fn response_has_the_changes_since_the_known_index() {
    runtime::run(async {
        let node = node();
        let peer = listen(&node);
        let ask = |known_index| {
            let peer = peer.clone();
            async move {
                let request = watch_request(known_index);
                let response = peer.call(watch::METHOD, &request, ms(5000)).await;
                response.map(|r: WatchResponse| (r.index, r.delegations.len()))
            }
        };
        let index = node.applied.get();
        assert_eq!(ask(0).await, Ok((index, 2)));
        assert_eq!(ask(index).await, Ok((index, 0)));
        assert!(matches!(ask(index + 1).await, Err(CallError::Fault(_))));
    });
}

#[test]
fn view_follows_the_current_leader() {
    runtime::run(async {
        let (first, second) = (node(), node());
        first.leads.set(false);
        let vms = [&first, &second].map(|node| ControlVm {
            vm: "control".into(),
            address: listen(node).address(),
        });
        let view = Rc::new(View::default());
        let watcher = Watcher {
            view: Rc::clone(&view),
            control: LeaderClient::new(&vms, &Journal::new("a1".into())),
            entry_vm: Box::new(|| entry_vm("a1", "a")),
            capacities: Box::new(Vec::new),
        };
        monoio::spawn(watcher.run());
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
