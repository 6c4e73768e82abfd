//! Checks of changes to the replicated state.

use std::time::Duration;

use super::fixture::{SERVICE, service_params};
use crate::delegate::messages::WatchResponse;
use crate::delegate::store::{Applied, Change, PrimaryConfig, Store, ZoneShare};
use crate::delegate::view::View;
use crate::keys::{self, Span};

fn config(zone: &str, primary: &str) -> PrimaryConfig {
    PrimaryConfig {
        zone: zone.into(),
        primary: primary.into(),
        voters: vec![primary.into()],
        tiebreak: false,
        term: Duration::from_secs(2),
    }
}

fn initialize(shares: Vec<(&str, Vec<Span>)>) -> Change {
    let shares = shares.into_iter().map(|(zone, spans)| ZoneShare {
        config: config(zone, "vm"),
        spans,
    });
    Change::Initialize {
        service: SERVICE.into(),
        shares: shares.collect(),
    }
}

fn replace_primary(epoch: u64, primary: &str, resigned: bool) -> Change {
    Change::ReplacePrimary {
        service: SERVICE.into(),
        epoch,
        config: config("a", primary),
        resigned,
    }
}

fn move_spans(epochs: (u64, u64), to: &str, spans: Vec<Span>) -> Change {
    Change::MoveSpans {
        service: SERVICE.into(),
        from: "a".into(),
        from_epoch: epochs.0,
        to: config(to, "vm"),
        to_epoch: epochs.1,
        spans,
    }
}

#[test]
fn first_delegation_must_cover_the_key_space_once() {
    let spans = Span::split_evenly(4);
    let mut store = Store::default();
    let gap = initialize(vec![("a", spans[..2].to_vec()), ("b", spans[3..].to_vec())]);
    assert_eq!(store.apply(1, gap), Applied::Refused);
    let twice = initialize(vec![("a", spans.clone()), ("b", spans[3..].to_vec())]);
    assert_eq!(store.apply(2, twice), Applied::Refused);
    let zone_twice = initialize(vec![("a", spans[..2].to_vec()), ("a", spans[2..].to_vec())]);
    assert_eq!(store.apply(3, zone_twice), Applied::Refused);
    let whole = initialize(vec![("a", spans[..2].to_vec()), ("b", spans[2..].to_vec())]);
    assert_eq!(store.apply(4, whole.clone()), Applied::Done);
    assert_eq!(store.apply(5, whole), Applied::Stale);
}

#[test]
fn change_planned_for_an_older_epoch_is_refused() {
    let spans = Span::split_evenly(4);
    let mut store = Store::default();
    store.apply(1, initialize(vec![("a", spans.clone())]));
    assert_eq!(
        store.apply(2, replace_primary(1, "x", false)),
        Applied::Done
    );
    assert_eq!(
        store.apply(3, replace_primary(1, "y", false)),
        Applied::Stale
    );
    let outdated = move_spans((1, 0), "b", spans[..1].to_vec());
    assert_eq!(store.apply(4, outdated), Applied::Stale);
    let unlisted = move_spans((2, 0), "b", vec![Span::single(3)]);
    assert_eq!(store.apply(5, unlisted), Applied::Refused);
    let valid = move_spans((2, 0), "b", spans[..1].to_vec());
    assert_eq!(store.apply(6, valid.clone()), Applied::Done);
    assert_eq!(store.apply(7, valid), Applied::Stale);
    let epochs: Vec<_> = store.delegations(SERVICE).map(|d| d.epoch).collect();
    assert_eq!(epochs, [3, 4]);
}

#[test]
fn predecessors_stay_listed_until_they_are_cleared() {
    let mut store = Store::default();
    store.apply(1, initialize(vec![("a", vec![Span::ALL])]));
    store.apply(2, replace_primary(1, "x", false));
    store.apply(3, replace_primary(2, "y", true));
    let predecessors = |store: &Store| -> Vec<_> {
        let delegation = store.delegation(SERVICE, "a").unwrap();
        let predecessors = delegation.predecessors.iter();
        predecessors
            .map(|p| (p.primary.to_string(), p.resigned))
            .collect()
    };
    assert_eq!(
        predecessors(&store),
        [("vm".into(), false), ("x".into(), true)]
    );
    let clear = |epoch| Change::ClearPredecessors {
        service: SERVICE.into(),
        zone: "a".into(),
        epoch,
    };
    assert_eq!(store.apply(4, clear(2)), Applied::Stale);
    assert_eq!(store.apply(5, clear(3)), Applied::Done);
    assert_eq!(predecessors(&store), []);
}

#[test]
fn updates_hold_what_changed_after_an_index() {
    let mut store = Store::default();
    store.apply(1, initialize(vec![("a", Span::split_evenly(2))]));
    let change = Change::UpsertEntryVm {
        entry_vm: super::fixture::entry_vm("a1", "a"),
    };
    store.apply(2, change);
    store.apply(
        3,
        move_spans((1, 0), "b", Span::split_evenly(2)[1..].to_vec()),
    );
    let updates = store.updates_since(2);
    assert_eq!((updates.delegations.len(), updates.entry_vms.len()), (2, 0));
    assert_eq!(store.updates_since(3).delegations, []);
    let all = store.updates_since(0);
    assert_eq!((all.delegations.len(), all.entry_vms.len()), (2, 1));
}

#[test]
fn updates_name_the_entry_vms_that_were_removed() {
    let mut store = Store::default();
    let upsert = |name: &str| Change::UpsertEntryVm {
        entry_vm: super::fixture::entry_vm(name, "a"),
    };
    let remove = |name: &str| Change::RemoveEntryVm { vm: name.into() };
    store.apply(1, upsert("a1"));
    store.apply(2, upsert("a2"));
    let view = View::default();
    let follow = |store: &Store, index| {
        let updates = store.updates_since(view.index());
        view.apply(WatchResponse {
            index,
            documents: vec![],
            delegations: updates.delegations,
            entry_vms: updates.entry_vms,
            removed_vms: updates.removed_vms,
            all_vms: updates.all_vms,
            drains: updates.drains,
        });
        let names = view.entry_vms().into_iter().map(|e| e.vm.to_string());
        names.collect::<Vec<_>>()
    };
    assert_eq!(follow(&store, 2), ["a1", "a2"]);
    store.apply(3, remove("a1"));
    assert_eq!(follow(&store, 3), ["a2"]);
    store.apply(4, upsert("a1"));
    assert_eq!(follow(&store, 4), ["a1", "a2"]);
    store.apply(5, remove("a2"));
    let restored: Store = serde_json::from_str(&serde_json::to_string(&store).unwrap()).unwrap();
    assert_eq!(follow(&restored, 5), ["a1"], "from a snapshot");
}

#[test]
fn a_view_that_missed_dropped_removals_gets_all_entry_vms() {
    let mut store = Store::default();
    store.apply(
        1,
        Change::UpsertEntryVm {
            entry_vm: super::fixture::entry_vm("kept", "a"),
        },
    );
    for index in 0..5000_u64 {
        let name = format!("vm-{index}");
        let entry_vm = super::fixture::entry_vm(&name, "a");
        store.apply(2 + 2 * index, Change::UpsertEntryVm { entry_vm });
        let vm = name.as_str().into();
        store.apply(3 + 2 * index, Change::RemoveEntryVm { vm });
    }
    let updates = store.updates_since(2);
    assert!(updates.all_vms);
    assert_eq!(updates.entry_vms.len(), 1);
    assert!(!store.updates_since(9999).all_vms);
}

#[test]
fn snapshot_restores_the_same_state() {
    let mut store = Store::default();
    store.apply(
        1,
        initialize(vec![("a", Span::split_evenly(service_params().span_count))]),
    );
    store.apply(2, replace_primary(1, "x", false));
    let text = serde_json::to_string(&store).unwrap();
    assert_eq!(serde_json::from_str::<Store>(&text).unwrap(), store);
    let widths = store.delegations(SERVICE).flat_map(|d| d.spans.iter());
    assert_eq!(widths.map(Span::width).sum::<u64>(), keys::HASH_SPACE);
}
