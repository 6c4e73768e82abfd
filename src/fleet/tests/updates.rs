use super::{announce, incarnation, register_vm, server};
use crate::fleet::{Change, ServerState, Store, Vm, VmRole};
use crate::fleet::{encoding, updates};
use crate::table;

fn set_state(name: &str, state: ServerState) -> Change {
    Change::SetState {
        incarnation: incarnation(name, 1),
        state,
    }
}

#[test]
fn updates_contain_what_changed_since_an_index() {
    let mut store = Store::default();
    let table = table::Store::default();
    store.apply(1, announce(server("a", 1, 1)));
    store.apply(2, announce(server("b", 1, 2)));
    let first = updates::since(0, 2, &table, &store);
    assert!(first.full);
    assert_eq!(first.servers.len(), 2);
    store.apply(3, set_state("b", ServerState::Draining));
    let second = updates::since(2, 3, &table, &store);
    assert!(!second.full);
    let changed: Vec<_> = second
        .servers
        .iter()
        .map(|s| &*s.incarnation.server)
        .collect();
    assert_eq!(changed, ["b"]);
    assert!(updates::since(3, 3, &table, &store).is_empty());
}

#[test]
fn the_end_of_a_server_is_sent_only_to_who_knew_it() {
    let mut store = Store::default();
    let table = table::Store::default();
    store.apply(1, announce(server("a", 1, 1)));
    store.apply(2, set_state("a", ServerState::Gone));
    assert_eq!(updates::since(1, 2, &table, &store).servers.len(), 1);
    assert!(updates::since(0, 2, &table, &store).servers.is_empty());
}

#[test]
fn only_changed_ranges_are_sent() {
    let mut store = Store::default();
    let table = table::Store::default();
    let service = || "s".into();
    let ranges = vec![
        (incarnation("a", 1), vec![(0, 9)]),
        (incarnation("b", 1), vec![(10, 19)]),
    ];
    let reassign = Change::Reassign {
        service: service(),
        ranges,
    };
    store.apply(1, reassign);
    let ranges = vec![(incarnation("b", 1), vec![(5, 9)])];
    let reassign = Change::Reassign {
        service: service(),
        ranges,
    };
    store.apply(2, reassign);
    let updates = updates::since(1, 2, &table, &store);
    let ranges: Vec<_> = updates.ranges[0]
        .ranges
        .iter()
        .map(|r| (r.from, r.to))
        .collect();
    assert_eq!(ranges, [(5, 9)]);
}

#[test]
fn full_updates_survive_compression() {
    let mut store = Store::default();
    let table = table::Store::default();
    store.apply(1, announce(server("a", 1, 1)));
    store.apply(2, announce(server("b", 1, 2)));
    let updates = updates::since(0, 2, &table, &store);
    let encoded = encoding::EncodedUpdates::Compressed(encoding::compress(&updates).unwrap());
    let decoded = encoding::decode(encoded).unwrap();
    assert_eq!(decoded.servers, updates.servers);
    assert!(decoded.full);
    assert!(encoding::decode(encoding::EncodedUpdates::Compressed("not base64!".into())).is_err());
    assert!(encoding::decode(encoding::EncodedUpdates::Compressed("AAAA".into())).is_err());
}

#[test]
fn only_changed_vms_are_sent() {
    let mut store = Store::default();
    let table = table::Store::default();
    let vm = |name: &str, port| Vm {
        name: name.into(),
        zone: "z".into(),
        address: ([127, 0, 0, 1], port).into(),
        role: VmRole::Entry,
    };
    store.apply(1, register_vm(vm("a", 1)));
    store.apply(2, register_vm(vm("b", 2)));
    assert_eq!(updates::since(1, 2, &table, &store).vms, [vm("b", 2)]);
    assert_eq!(updates::since(0, 2, &table, &store).vms.len(), 2);
}
