//! The delegation manager at a higher epoch and after a restart.

use std::rc::Rc;
use std::time::Instant;

use super::fixture::{SERVICE, ms};
use crate::delegate::messages::{DocumentUpdate, RenewResponse, RenewedDelegation, WatchResponse};
use crate::delegate::voter::Voter;
use crate::delegate::{Delegation, DelegationManager, View};
use crate::grant::{Granters, InheritedState};
use crate::keys::Span;
use crate::timeline::Journal;

struct Vm {
    view: Rc<View>,
    granters: Rc<Granters>,
    manager: DelegationManager,
}

fn vm(start: Instant) -> Vm {
    let (view, granters) = (Rc::new(View::default()), Rc::new(Granters::default()));
    let manager = DelegationManager::new(
        Rc::clone(&view),
        Rc::new(Voter::new(start)),
        Rc::clone(&granters),
        Box::new(|_, _| InheritedState::default()),
        Box::new(|_, _| {}),
        Journal::new("a1".into()),
    );
    Vm {
        view,
        granters,
        manager,
    }
}

/// Applies an update of the leader with a document and, if given, a delegation to `a1`.
fn update_view(vm: &Vm, index: u64, epoch: Option<u64>) {
    let delegation = epoch.map(|epoch| Delegation {
        service: SERVICE.into(),
        zone: "a".into(),
        epoch,
        primary: "a1".into(),
        voters: vec!["a1".into()],
        tiebreak: false,
        term: ms(2000),
        spans: vec![Span::ALL],
        predecessors: Vec::new(),
    });
    vm.view.apply(WatchResponse {
        index,
        documents: vec![DocumentUpdate {
            version: 1,
            change: "c".into(),
            document: super::simulation::document(2000),
        }],
        delegations: delegation.into_iter().collect(),
        ..WatchResponse::default()
    });
}

/// An active primary in epoch 1, renewed at `start`.
fn active(start: Instant) -> Vm {
    let vm = vm(start);
    update_view(&vm, 1, None);
    vm.manager.advance(start);
    update_view(&vm, 2, Some(1));
    vm.manager.advance(start);
    let renewed = RenewedDelegation {
        service: SERVICE.into(),
        zone: "a".into(),
        epoch: 1,
        release: Vec::new(),
    };
    let response = RenewResponse {
        renewed: vec![renewed],
    };
    vm.manager.record_renewals(start, &response);
    assert_eq!(vm.manager.active(start).len(), 1);
    vm
}

#[test]
fn granter_is_kept_only_if_its_lease_expired_recently() {
    let start = Instant::now();
    for (lapse, kept) in [(2400, true), (2600, false)] {
        let vm = active(start);
        let granter = vm.granters.get(&SERVICE.into(), &"a".into()).unwrap();
        update_view(&vm, 3, Some(2));
        vm.manager.advance(start + ms(lapse));
        let after = vm.granters.get(&SERVICE.into(), &"a".into()).unwrap();
        assert_eq!(Rc::ptr_eq(&granter, &after), kept);
    }
}

#[test]
fn restarted_process_resigns_delegations_of_its_vm() {
    let start = Instant::now();
    let vm = vm(start);
    update_view(&vm, 5, Some(1));
    vm.manager.advance(start);
    let resigned = |vm: &Vm| {
        let report = vm.manager.renewal_report(start);
        let delegations = report.delegations.iter();
        delegations
            .map(|d| (d.epoch, d.resigned))
            .collect::<Vec<_>>()
    };
    assert_eq!(resigned(&vm), [(1, true)]);
    update_view(&vm, 6, Some(2));
    vm.manager.advance(start);
    assert_eq!(resigned(&vm), [(2, true)]);
    assert!(vm.granters.list().is_empty());
}
