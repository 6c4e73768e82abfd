//! Two entry VMs and a control VM on loopback, with the tasks as daemons run them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use monoio::net::TcpListener;

use super::fixture::{KIOSK, entry, kiosk, ms};
use crate::clock;
use crate::control::leader_client::{ControlVm, LeaderClient};
use crate::delegate::bar::BarDesk;
use crate::delegate::carrier::{Carrier, ask_voters};
use crate::delegate::desk::{Desk, Log};
use crate::delegate::messages::{DocumentNews, Heard};
use crate::delegate::renew::Renewals;
use crate::delegate::store::Store;
use crate::delegate::watch::Watch;
use crate::delegate::{Office, View};
use crate::grant::{Duties, Inherited};
use crate::notify::Notify;
use crate::rpc::{serve, server};
use crate::runtime;
use crate::timeline::Journal;

/// A control VM that commits at once, and its address.
fn control() -> std::net::SocketAddr {
    let store = Rc::new(RefCell::new(Store::default()));
    let office = Rc::new(RefCell::new(Office::default()));
    let (index, since) = (Rc::new(Cell::new(1)), clock::now());
    let changed = Rc::new(Notify::default());
    let (confirmed, applied) = (Rc::clone(&index), Rc::clone(&index));
    let desk = Rc::new(Desk {
        log: Log {
            read_barrier: Box::new(move || {
                let index = Ok(confirmed.get());
                Box::pin(async move { index })
            }),
            leading_since: Box::new(move || Some(since)),
            applied: Box::new(move || applied.get()),
            changed: Rc::clone(&changed),
        },
        store: Rc::clone(&store),
        office: Rc::clone(&office),
        documents: Box::new(|have| {
            let document = DocumentNews {
                version: 1,
                change: "c".into(),
                document: super::world::document(2000),
            };
            (have == 0).then_some(document).into_iter().collect()
        }),
    });
    monoio::spawn(async move {
        loop {
            let now = clock::now();
            let due = office
                .borrow_mut()
                .decide(now, since, &store.borrow(), &[kiosk()]);
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
        let desk = Rc::clone(&desk);
        async move {
            let answer = desk.answer(&method, &body).await;
            answer.unwrap_or_else(|| Err(server::unknown(&method)))
        }
    }));
    address
}

/// An entry VM of zone `a`.
fn vm(name: &str, control: std::net::SocketAddr) -> Rc<Carrier> {
    let journal = Journal::new(name.into());
    let view = Rc::new(View::default());
    let desk = Rc::new(BarDesk::new(clock::now()));
    let carrier = Rc::new(Carrier::new(
        Rc::clone(&view),
        Rc::clone(&desk),
        Rc::new(Duties::default()),
        Box::new(|_, _| Inherited::default()),
        ask_voters(Rc::clone(&view), journal.clone()),
        journal.clone(),
    ));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut me = entry(name, "a");
    me.peer = listener.local_addr().unwrap();
    monoio::spawn(serve(listener, journal.clone(), move |method, body| {
        let answer = desk.answer(&method, &body);
        async move { answer.unwrap_or_else(|| Err(server::unknown(&method))) }
    }));
    let vm = ControlVm {
        vm: "control".into(),
        address: control,
    };
    let control = LeaderClient::new(&[vm], &journal);
    let watch = Watch {
        view,
        control: control.clone(),
        entry: Box::new(move || me.clone()),
        heard: Box::new(|| {
            vec![Heard {
                service: KIOSK.into(),
                servers: 1,
                slots: 6,
            }]
        }),
    };
    let (reporting, answering) = (Rc::clone(&carrier), Rc::clone(&carrier));
    let renewals = Renewals {
        control,
        vm: name.into(),
        reports: Box::new(move |now| reporting.reports(now)),
        answered: Box::new(move |sent, _, answer| answering.answered(sent, answer)),
        number: Cell::new(0),
    };
    monoio::spawn(watch.run());
    monoio::spawn(renewals.run());
    let running = Rc::clone(&carrier);
    monoio::spawn(async move { running.run().await });
    carrier
}

async fn acts(carrier: &Carrier) -> u64 {
    loop {
        if let Some((_, epoch)) = carrier.acting(clock::now()).first() {
            return *epoch;
        }
        monoio::time::sleep(ms(10)).await;
    }
}

#[test]
fn a_duty_goes_to_the_other_vm_when_its_carrier_stops() {
    runtime::run(async {
        let control = control();
        let vms = [vm("a1", control), vm("a2", control)];
        let first = monoio::select! {
            epoch = acts(&vms[0]) => (0, epoch),
            epoch = acts(&vms[1]) => (1, epoch),
        };
        vms[first.0].resign();
        assert_eq!(vms[first.0].acting(clock::now()), []);
        let epoch = acts(&vms[1 - first.0]).await;
        assert!(epoch > first.1);
        vms[first.0].handed_on(ms(10_000)).await;
        assert_eq!(vms[first.0].reports(clock::now()).duties, []);
    });
}
