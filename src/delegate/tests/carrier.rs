//! What a carrier does when its delegation goes on or its process restarted.

use std::rc::Rc;
use std::time::Instant;

use super::fixture::{KIOSK, ms};
use crate::delegate::bar::BarDesk;
use crate::delegate::messages::{DocumentNews, RenewAnswer, Renewed, WatchAnswer};
use crate::delegate::{Carrier, Delegation, View};
use crate::grant::{Granters, InheritedState};
use crate::keys::Span;
use crate::timeline::Journal;

struct Vm {
    view: Rc<View>,
    duties: Rc<Granters>,
    carrier: Carrier,
}

fn vm(start: Instant) -> Vm {
    let (view, duties) = (Rc::new(View::default()), Rc::new(Granters::default()));
    let carrier = Carrier::new(
        Rc::clone(&view),
        Rc::new(BarDesk::new(start)),
        Rc::clone(&duties),
        Box::new(|_, _| InheritedState::default()),
        Box::new(|_, _| {}),
        Journal::new("a1".into()),
    );
    Vm {
        view,
        duties,
        carrier,
    }
}

/// The leader tells of a document and of a delegation to `a1`, if any.
fn tell(vm: &Vm, index: u64, epoch: Option<u64>) {
    let delegation = epoch.map(|epoch| Delegation {
        service: KIOSK.into(),
        zone: "a".into(),
        epoch,
        carrier: "a1".into(),
        voters: vec!["a1".into()],
        tiebreak: false,
        term: ms(2000),
        spans: vec![Span::ALL],
        prior: Vec::new(),
    });
    vm.view.take_in(WatchAnswer {
        index,
        documents: vec![DocumentNews {
            version: 1,
            change: "c".into(),
            document: super::world::document(2000),
        }],
        delegations: delegation.into_iter().collect(),
        ..WatchAnswer::default()
    });
}

/// A carrier that acts under epoch 1, renewed at `start`.
fn acting(start: Instant) -> Vm {
    let vm = vm(start);
    tell(&vm, 1, None);
    vm.carrier.advance(start);
    tell(&vm, 2, Some(1));
    vm.carrier.advance(start);
    let renewed = Renewed {
        service: KIOSK.into(),
        zone: "a".into(),
        epoch: 1,
        release: Vec::new(),
    };
    let answer = RenewAnswer {
        renewed: vec![renewed],
    };
    vm.carrier.answered(start, &answer);
    assert_eq!(vm.carrier.acting(start).len(), 1);
    vm
}

#[test]
fn a_duty_goes_on_only_while_its_right_has_not_been_over_for_long() {
    let start = Instant::now();
    for (lapse, goes_on) in [(2400, true), (2600, false)] {
        let vm = acting(start);
        let duty = vm.duties.get(&KIOSK.into(), &"a".into()).unwrap();
        tell(&vm, 3, Some(2));
        vm.carrier.advance(start + ms(lapse));
        let after = vm.duties.get(&KIOSK.into(), &"a".into()).unwrap();
        assert_eq!(Rc::ptr_eq(&duty, &after), goes_on);
    }
}

#[test]
fn a_process_that_restarted_resigns_what_its_vm_carried() {
    let start = Instant::now();
    let vm = vm(start);
    tell(&vm, 5, Some(1));
    vm.carrier.advance(start);
    let resigned = |vm: &Vm| {
        let reports = vm.carrier.reports(start);
        let duties = reports.duties.iter();
        duties.map(|d| (d.epoch, d.resigned)).collect::<Vec<_>>()
    };
    assert_eq!(resigned(&vm), [(1, true)]);
    tell(&vm, 6, Some(2));
    vm.carrier.advance(start);
    assert_eq!(resigned(&vm), [(2, true)]);
    assert!(vm.duties.list().is_empty());
}
