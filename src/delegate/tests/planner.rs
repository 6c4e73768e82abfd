//! The leader's decisions, with a clock that jumps.

use super::fixture::{Control, KIOSK, delegated, ms};
use crate::delegate::store::Change;

fn appointed(changes: &[Change]) -> bool {
    changes
        .iter()
        .any(|c| matches!(c, Change::ReplacePrimary { .. }))
}

fn appoints(change: &Change, zone: &str) -> bool {
    matches!(change, Change::ReplacePrimary { config, .. } if *config.zone == *zone)
}

/// Both zones go on for a while, without the VMs in `silent`.
fn go_on(control: &mut Control, steps: usize, silent: &[&str], servers: (u32, u32)) -> Vec<Change> {
    let mut done = Vec::new();
    for _ in 0..steps {
        control.now += ms(50);
        for (vm, zone) in [("a1", "a"), ("a2", "a"), ("b1", "b")] {
            if !silent.contains(&vm) {
                control.watch(vm, zone, 0);
            }
        }
        for (zone, servers) in [("a", servers.0), ("b", servers.1)] {
            if silent.contains(&&*control.primary(zone)) {
                continue;
            }
            let release = control.renew(zone, servers, &[]).unwrap_or_default();
            if !release.is_empty() {
                control.renew(zone, servers, &release);
            }
        }
        done.extend(control.decide());
    }
    done
}

#[test]
fn first_delegation_is_dealt_by_slots() {
    let control = delegated();
    assert_eq!((control.spans("a"), control.spans("b")), (10, 6));
    let a = control.store.delegation(KIOSK, "a").unwrap();
    assert_eq!(a.voters.len(), 2);
    assert!(a.tiebreak);
    let b = control.store.delegation(KIOSK, "b").unwrap();
    assert_eq!((b.voters.len(), b.tiebreak), (1, false));
}

#[test]
fn a_silent_carrier_is_replaced_and_a_live_one_is_not() {
    let mut control = delegated();
    assert!(!appointed(&go_on(&mut control, 100, &[], (2, 1))));
    let primary = control.primary("a");
    let changes = go_on(&mut control, 8, &[&primary], (2, 1));
    assert!(appointed(&changes));
    assert_ne!(control.primary("a"), primary);
    let predecessors = &control.store.delegation(KIOSK, "a").unwrap().predecessors;
    assert!(predecessors.iter().all(|p| *p.primary == *primary));
}

#[test]
fn a_new_carrier_needs_no_vote_of_a_silent_vm() {
    let mut control = delegated();
    let primary = control.primary("a");
    go_on(&mut control, 12, &[&primary], (2, 1));
    let voters = |control: &Control| {
        let delegation = control.store.delegation(KIOSK, "a").unwrap();
        (delegation.epoch, delegation.voters.len())
    };
    let replaced = voters(&control);
    assert_eq!(replaced.1, 1);
    go_on(&mut control, 60, &[&primary], (2, 1));
    assert_eq!(voters(&control), replaced);
    go_on(&mut control, 2, &[], (2, 1));
    assert_eq!(voters(&control).1, 2);
}

#[test]
fn a_new_leader_waits_before_it_replaces() {
    let mut control = delegated();
    let primary = control.primary("a");
    control.now += ms(1000);
    control.since = control.now;
    assert!(!appointed(&go_on(&mut control, 5, &[&primary], (2, 1))));
    assert!(appointed(&go_on(&mut control, 3, &[&primary], (2, 1))));
}

#[test]
fn a_leader_that_was_frozen_hears_its_carriers_first() {
    let mut control = delegated();
    let primary = control.primary("a");
    control.now += ms(30_000);
    assert_eq!(go_on(&mut control, 1, &[&primary], (2, 1)), []);
    assert_eq!(go_on(&mut control, 20, &[], (2, 1)), []);
    assert_eq!((control.spans("a"), control.spans("b")), (10, 6));
}

#[test]
fn a_zone_without_servers_or_spans_keeps_no_other_from_its_share() {
    let mut control = delegated();
    go_on(&mut control, 20, &[], (0, 1));
    assert_eq!((control.spans("a"), control.spans("b")), (0, 16));
    control.watch("c1", "c", 1);
    for _ in 0..100 {
        control.watch("c1", "c", 1);
        go_on(&mut control, 1, &[], (0, 1));
        if control.store.delegation(KIOSK, "c").is_some() {
            control.renew("c", 1, &[]);
        }
    }
    assert_eq!(control.spans("b") + control.spans("c"), 16);
    assert!(control.spans("c") >= 6);
}

#[test]
fn a_renewal_is_refused_once_a_replacement_is_proposed() {
    let mut control = delegated();
    let other = match &*control.primary("a") {
        "a1" => "a2",
        _ => "a1",
    };
    let services = [super::fixture::kiosk()];
    let mut changes = Vec::new();
    for _ in 0..8 {
        control.now += ms(40);
        control.watch(other, "a", 0);
        let (now, since) = (control.now, control.since);
        changes = control.planner.plan(now, since, &control.store, &services);
    }
    assert!(appointed(&changes));
    assert_eq!(control.renew("a", 2, &[]), None);
}

#[test]
fn a_carrier_that_gave_up_gets_its_duty_again_only_if_no_other_can() {
    let mut control = delegated();
    let primary = control.primary("a");
    control.resign("a");
    control.decide();
    assert_ne!(control.primary("a"), primary);
    control.resign("b");
    let again = |changes: Vec<Change>| changes.iter().any(|c| appoints(c, "b"));
    assert!(again(go_on(&mut control, 1, &["a1", "a2"], (2, 1))));
    control.resign("b");
    assert!(!again(go_on(&mut control, 9, &["a1", "a2"], (2, 1))));
    assert!(again(go_on(&mut control, 3, &["a1", "a2"], (2, 1))));
}

#[test]
fn a_lost_zone_keeps_its_spans_until_everything_has_run_out() {
    let mut control = delegated();
    // Term 2000, route lease 500, deadline 300, twice the clock allowance 20.
    go_on(&mut control, 56, &["a1", "a2"], (0, 1));
    assert_eq!(control.spans("a"), 10);
    go_on(&mut control, 2, &["a1", "a2"], (0, 1));
    assert_eq!((control.spans("a"), control.spans("b")), (0, 16));
}

#[test]
fn a_zone_without_servers_releases_all() {
    let mut control = delegated();
    go_on(&mut control, 1, &[], (2, 1));
    go_on(&mut control, 3, &[], (0, 1));
    assert_eq!((control.spans("a"), control.spans("b")), (0, 16));
}

#[test]
fn zones_are_filled_up_to_their_share() {
    let mut control = delegated();
    go_on(&mut control, 300, &[], (2, 1));
    assert_eq!((control.spans("a"), control.spans("b")), (10, 6));
    go_on(&mut control, 300, &[], (2, 6));
    assert_eq!((control.spans("a"), control.spans("b")), (4, 12));
}

#[test]
fn a_late_report_of_released_spans_does_not_count() {
    let mut control = delegated();
    control.renew("a", 0, &[]);
    control.decide();
    let asked = control.renew("a", 0, &[]).unwrap();
    assert!(!asked.is_empty());
    // Sent before the question was asked, arrives after it.
    control.number -= 2;
    control.renew("a", 0, &asked);
    control.decide();
    assert_eq!(control.spans("a"), 10);
}
