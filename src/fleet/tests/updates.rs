use super::{incarnation, server};
use crate::fleet::{Change, ServerState, Store, Vm, VmRole};
use crate::fleet::{encoding, updates};
use crate::table;

fn stand(name: &str, state: ServerState) -> Change {
    Change::SetState {
        incarnation: incarnation(name, 1),
        state,
    }
}

#[test]
fn news_hold_what_changed_since_a_position() {
    let mut store = Store::default();
    let table = table::Store::default();
    store.apply(1, Change::Announce(server("a", 1, 1)));
    store.apply(2, Change::Announce(server("b", 1, 2)));
    let first = updates::since(0, 2, &table, &store);
    assert!(first.full);
    assert_eq!(first.servers.len(), 2);
    store.apply(3, stand("b", ServerState::Draining));
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
fn an_end_is_news_to_who_knew_the_server_and_to_nobody_else() {
    let mut store = Store::default();
    let table = table::Store::default();
    store.apply(1, Change::Announce(server("a", 1, 1)));
    store.apply(2, stand("a", ServerState::Gone));
    assert_eq!(updates::since(1, 2, &table, &store).servers.len(), 1);
    assert!(updates::since(0, 2, &table, &store).servers.is_empty());
}

#[test]
fn only_rows_that_changed_are_news() {
    let mut store = Store::default();
    let table = table::Store::default();
    let service = || "s".into();
    let ranges = vec![
        (incarnation("a", 1), vec![(0, 9)]),
        (incarnation("b", 1), vec![(10, 19)]),
    ];
    let release = Change::Reassign {
        service: service(),
        ranges,
    };
    store.apply(1, release);
    let ranges = vec![(incarnation("b", 1), vec![(5, 9)])];
    let release = Change::Reassign {
        service: service(),
        ranges,
    };
    store.apply(2, release);
    let updates = updates::since(1, 2, &table, &store);
    let ranges: Vec<_> = updates.ranges[0]
        .ranges
        .iter()
        .map(|r| (r.from, r.to))
        .collect();
    assert_eq!(ranges, [(5, 9)]);
}

#[test]
fn all_there_is_comes_out_as_it_was_packed() {
    let mut store = Store::default();
    let table = table::Store::default();
    store.apply(1, Change::Announce(server("a", 1, 1)));
    store.apply(2, Change::Announce(server("b", 1, 2)));
    let updates = updates::since(0, 2, &table, &store);
    let told = encoding::EncodedUpdates::Compressed(encoding::compress(&updates).unwrap());
    let unpacked = encoding::decode(told).unwrap();
    assert_eq!(unpacked.servers, updates.servers);
    assert!(unpacked.full);
    assert!(encoding::decode(encoding::EncodedUpdates::Compressed("not base64!".into())).is_err());
    assert!(encoding::decode(encoding::EncodedUpdates::Compressed("AAAA".into())).is_err());
}

#[test]
fn only_vms_that_changed_are_news() {
    let mut store = Store::default();
    let table = table::Store::default();
    let vm = |name: &str, port| Vm {
        name: name.into(),
        zone: "z".into(),
        address: ([127, 0, 0, 1], port).into(),
        role: VmRole::Entry,
    };
    store.apply(1, Change::Vm(vm("a", 1)));
    store.apply(2, Change::Vm(vm("b", 2)));
    assert_eq!(updates::since(1, 2, &table, &store).vms, [vm("b", 2)]);
    assert_eq!(updates::since(0, 2, &table, &store).vms.len(), 2);
}
