//! Two entry VMs and a control VM on loopback, with the tasks that the daemons run.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use monoio::net::TcpListener;

use super::fixture::{SERVICE, entry_vm, ms, service_params};
use crate::clock;
use crate::control::leader_client::{ControlVm, LeaderClient};
use crate::delegate::handler::{Handler, LogAccess};
use crate::delegate::manager::{DelegationManager, ask_voters};
use crate::delegate::messages::{DocumentUpdate, ServiceCapacity};
use crate::delegate::renew::Renewer;
use crate::delegate::store::Store;
use crate::delegate::voter::Voter;
use crate::delegate::watch::Watcher;
use crate::delegate::{Planner, View};
use crate::grant::{Granters, InheritedState};
use crate::notify::Notify;
use crate::rpc::{serve, server};
use crate::runtime;
use crate::timeline::Journal;

/// Starts a control VM that commits at once; returns its address.
fn start_control() -> std::net::SocketAddr {
    let store = Rc::new(RefCell::new(Store::default()));
    let planner = Rc::new(RefCell::new(Planner::default()));
    let (index, since) = (Rc::new(Cell::new(1)), clock::now());
    let changed = Rc::new(Notify::default());
    let (confirmed, applied) = (Rc::clone(&index), Rc::clone(&index));
    let handler = Rc::new(Handler {
        log: LogAccess {
            read_barrier: Box::new(move || {
                let index = Ok(confirmed.get());
                Box::pin(async move { index })
            }),
            leading_since: Box::new(move || Some(since)),
            applied: Box::new(move || applied.get()),
            changed: Rc::clone(&changed),
        },
        store: Rc::clone(&store),
        planner: Rc::clone(&planner),
        documents: Box::new(|known_index| {
            let document = DocumentUpdate {
                version: 1,
                change: "c".into(),
                document: super::simulation::document(2000),
            };
            (known_index == 0).then_some(document).into_iter().collect()
        }),
    });
    monoio::spawn(async move {
        loop {
            let now = clock::now();
            let due = planner
                .borrow_mut()
                .plan(now, since, &store.borrow(), &[service_params()]);
            for change in due {
                index.set(index.get() + 1);
                store.borrow_mut().apply(index.get(), change);
                changed.wake();
            }
            monoio::time::sleep(ms(20)).await;
        }
    });
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let journal = Journal::new("c".into());
    monoio::spawn(serve(listener, journal, move |method, body| {
        let handler = Rc::clone(&handler);
        async move {
            let response = handler.answer(&method, &body).await;
            response.unwrap_or_else(|| Err(server::unknown_method(&method)))
        }
    }));
    address
}

/// Starts an entry VM of zone `a`.
fn start_entry_vm(name: &str, control: std::net::SocketAddr) -> Rc<DelegationManager> {
    let journal = Journal::new(name.into());
    let view = Rc::new(View::default());
    let voter = Rc::new(Voter::new(clock::now()));
    let manager = Rc::new(DelegationManager::new(
        Rc::clone(&view),
        Rc::clone(&voter),
        Rc::new(Granters::default()),
        Box::new(|_, _| InheritedState::default()),
        ask_voters(Rc::clone(&view), journal.clone()),
        journal.clone(),
    ));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut own = entry_vm(name, "a");
    own.peer = listener.local_addr().unwrap();
    monoio::spawn(serve(listener, journal.clone(), move |method, body| {
        let response = voter.answer(&method, &body);
        async move { response.unwrap_or_else(|| Err(server::unknown_method(&method))) }
    }));
    let vm = ControlVm {
        vm: "control".into(),
        address: control,
    };
    let control = LeaderClient::new(&[vm], &journal);
    let watcher = Watcher {
        view,
        control: control.clone(),
        entry_vm: Box::new(move || own.clone()),
        capacities: Box::new(|| {
            vec![ServiceCapacity {
                service: SERVICE.into(),
                servers: 1,
                slots: 6,
            }]
        }),
    };
    let (reporter, recorder) = (Rc::clone(&manager), Rc::clone(&manager));
    let renewer = Renewer {
        control,
        vm: name.into(),
        report: Box::new(move |now| reporter.renewal_report(now)),
        on_response: Box::new(move |sent, _, response| recorder.record_renewals(sent, response)),
        sequence: Cell::new(0),
    };
    monoio::spawn(watcher.run());
    monoio::spawn(renewer.run());
    let running = Rc::clone(&manager);
    monoio::spawn(async move { running.run().await });
    manager
}

async fn wait_until_active(manager: &DelegationManager) -> u64 {
    loop {
        if let Some((_, epoch)) = manager.active(clock::now()).first() {
            return *epoch;
        }
        monoio::time::sleep(ms(10)).await;
    }
}

#[test]
fn delegation_goes_to_the_other_vm_when_its_primary_stops() {
    runtime::run(async {
        let control = start_control();
        let vms = [start_entry_vm("a1", control), start_entry_vm("a2", control)];
        let first = monoio::select! {
            epoch = wait_until_active(&vms[0]) => (0, epoch),
            epoch = wait_until_active(&vms[1]) => (1, epoch),
        };
        vms[first.0].resign();
        assert_eq!(vms[first.0].active(clock::now()), []);
        let epoch = wait_until_active(&vms[1 - first.0]).await;
        assert!(epoch > first.1);
        vms[first.0].wait_handover(ms(10_000)).await;
        assert_eq!(vms[first.0].renewal_report(clock::now()).delegations, []);
    });
}
