use super::{announce, incarnation, register_vm, server};
use crate::fleet::{Change, Effect, Ordered, ServerState, Store, Vm, VmRole};

fn register(store: &mut Store, index: u64, name: &str, start_ms: u64, port: u16) {
    store.apply(index, announce(server(name, start_ms, port)));
}

#[test]
fn a_later_incarnation_replaces_another_server_at_its_address() {
    let mut store = Store::default();
    register(&mut store, 1, "old", 10, 80);
    register(&mut store, 2, "new", 20, 80);
    assert!(store.server("old").is_none());
    assert!(store.server("new").is_some());
}

#[test]
fn a_delayed_announcement_has_no_effect() {
    let mut store = Store::default();
    register(&mut store, 1, "new", 20, 80);
    register(&mut store, 2, "old", 10, 80);
    assert!(store.server("old").is_none());
    register(&mut store, 3, "new", 15, 81);
    assert_eq!(store.server("new").unwrap().incarnation.start_ms, 20);
}

#[test]
fn a_restart_under_the_same_name_is_another_incarnation() {
    let mut store = Store::default();
    register(&mut store, 1, "a", 10, 80);
    register(&mut store, 2, "a", 11, 80);
    assert!(store.incarnation(&incarnation("a", 10)).is_none());
    assert!(store.incarnation(&incarnation("a", 11)).is_some());
}

#[test]
fn a_gone_incarnation_does_not_come_back() {
    let mut store = Store::default();
    register(&mut store, 1, "a", 10, 80);
    let state = ServerState::Gone;
    let incarnation = incarnation("a", 10);
    store.apply(2, Change::SetState { incarnation, state });
    register(&mut store, 3, "a", 10, 80);
    assert!(store.server("a").is_none());
}

#[test]
fn a_vm_replaces_another_at_its_address() {
    let vm = |name: &str| Vm {
        name: name.into(),
        zone: "z".into(),
        address: ([127, 0, 0, 1], 1).into(),
        role: VmRole::Entry,
    };
    let mut store = Store::default();
    store.apply(1, register_vm(vm("a")));
    store.apply(2, register_vm(vm("b")));
    let names: Vec<_> = store.vms().map(|v| v.name.to_string()).collect();
    assert_eq!(names, ["b"]);
}

/// Guards against a poll of an earlier process that a suspended control VM reads, and which changes the
/// address of a VM or removes the one that has taken its address.
#[test]
fn a_vm_is_registered_only_by_what_was_sent_after_its_last_change() {
    let vm = |name: &str, port| Vm {
        name: name.into(),
        zone: "z".into(),
        address: ([127, 0, 0, 1], port).into(),
        role: VmRole::Entry,
    };
    let mut store = Store::default();
    store.apply(10, register_vm(vm("a", 1)));
    store.apply(20, register_vm(vm("a", 2)));
    store.apply(30, register_vm(vm("b", 1)));
    let mut register = |value, sent_after| {
        let vm = Ordered { value, sent_after };
        store.apply(40, Change::Vm(vm))
    };
    assert_eq!(register(vm("a", 1), 15), Effect::Outdated);
    assert_eq!(
        register(vm("a", 1), 25),
        Effect::Outdated,
        "b has its address"
    );
    assert_eq!(
        register(vm("c", 3), 0),
        Effect::Applied,
        "nothing is replaced"
    );
    assert_eq!(register(vm("a", 1), 30), Effect::Applied);
    let names: Vec<_> = store.vms().map(|v| v.name.to_string()).collect();
    assert_eq!(names, ["a", "c"]);
}
