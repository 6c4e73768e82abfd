//! The leader's planner, with simulated time.

use super::fixture::{Leader, SERVICE, delegated, ms};
use crate::delegate::store::Change;

fn replaced(changes: &[Change]) -> bool {
    changes
        .iter()
        .any(|c| matches!(c, Change::ReplacePrimary { .. }))
}

fn replaced_in(change: &Change, zone: &str) -> bool {
    matches!(change, Change::ReplacePrimary { config, .. } if *config.zone == *zone)
}

/// Runs passes with requests of all VMs but those in `silent`; returns the applied changes.
fn run_passes(
    leader: &mut Leader,
    steps: usize,
    silent: &[&str],
    servers: (u32, u32),
) -> Vec<Change> {
    let mut done = Vec::new();
    for _ in 0..steps {
        leader.now += ms(50);
        for (vm, zone) in [("a1", "a"), ("a2", "a"), ("b1", "b")] {
            if !silent.contains(&vm) {
                leader.watch(vm, zone, 0);
            }
        }
        for (zone, servers) in [("a", servers.0), ("b", servers.1)] {
            if silent.contains(&&*leader.primary(zone)) {
                continue;
            }
            let release = leader.renew(zone, servers, &[]).unwrap_or_default();
            if !release.is_empty() {
                leader.renew(zone, servers, &release);
            }
        }
        done.extend(leader.plan_and_apply());
    }
    done
}

#[test]
fn first_delegation_is_split_by_slots() {
    let leader = delegated();
    assert_eq!((leader.spans("a"), leader.spans("b")), (10, 6));
    let a = leader.store.delegation(SERVICE, "a").unwrap();
    assert_eq!(a.voters.len(), 2);
    assert!(a.tiebreak);
    let b = leader.store.delegation(SERVICE, "b").unwrap();
    assert_eq!((b.voters.len(), b.tiebreak), (1, false));
}

#[test]
fn silent_primary_is_replaced_and_a_live_one_is_not() {
    let mut leader = delegated();
    assert!(!replaced(&run_passes(&mut leader, 100, &[], (2, 1))));
    let primary = leader.primary("a");
    let changes = run_passes(&mut leader, 8, &[&primary], (2, 1));
    assert!(replaced(&changes));
    assert_ne!(leader.primary("a"), primary);
    let predecessors = &leader.store.delegation(SERVICE, "a").unwrap().predecessors;
    assert!(predecessors.iter().all(|p| *p.primary == *primary));
}

#[test]
fn new_primary_needs_no_vote_of_a_silent_vm() {
    let mut leader = delegated();
    let primary = leader.primary("a");
    run_passes(&mut leader, 12, &[&primary], (2, 1));
    let voters = |leader: &Leader| {
        let delegation = leader.store.delegation(SERVICE, "a").unwrap();
        (delegation.epoch, delegation.voters.len())
    };
    let after_failover = voters(&leader);
    assert_eq!(after_failover.1, 1);
    run_passes(&mut leader, 60, &[&primary], (2, 1));
    assert_eq!(voters(&leader), after_failover);
    run_passes(&mut leader, 2, &[], (2, 1));
    assert_eq!(voters(&leader).1, 2);
}

#[test]
fn new_leader_waits_before_it_replaces_a_primary() {
    let mut leader = delegated();
    let primary = leader.primary("a");
    leader.now += ms(1000);
    leader.leading_since = leader.now;
    assert!(!replaced(&run_passes(&mut leader, 5, &[&primary], (2, 1))));
    assert!(replaced(&run_passes(&mut leader, 3, &[&primary], (2, 1))));
}

#[test]
fn leader_that_stalled_first_waits_for_its_primaries() {
    let mut leader = delegated();
    let primary = leader.primary("a");
    leader.now += ms(30_000);
    assert_eq!(run_passes(&mut leader, 1, &[&primary], (2, 1)), []);
    assert_eq!(run_passes(&mut leader, 20, &[], (2, 1)), []);
    assert_eq!((leader.spans("a"), leader.spans("b")), (10, 6));
}

#[test]
fn zone_without_servers_or_spans_does_not_block_rebalancing() {
    let mut leader = delegated();
    run_passes(&mut leader, 20, &[], (0, 1));
    assert_eq!((leader.spans("a"), leader.spans("b")), (0, 16));
    leader.watch("c1", "c", 1);
    for _ in 0..100 {
        leader.watch("c1", "c", 1);
        run_passes(&mut leader, 1, &[], (0, 1));
        if leader.store.delegation(SERVICE, "c").is_some() {
            leader.renew("c", 1, &[]);
        }
    }
    assert_eq!(leader.spans("b") + leader.spans("c"), 16);
    assert!(leader.spans("c") >= 6);
}

#[test]
fn renewal_is_refused_once_a_replacement_is_proposed() {
    let mut leader = delegated();
    let other = match &*leader.primary("a") {
        "a1" => "a2",
        _ => "a1",
    };
    let services = [super::fixture::service_params()];
    let mut changes = Vec::new();
    for _ in 0..8 {
        leader.now += ms(40);
        leader.watch(other, "a", 0);
        let (now, since) = (leader.now, leader.leading_since);
        changes = leader.planner.plan(now, since, &leader.store, &services);
    }
    assert!(replaced(&changes));
    assert_eq!(leader.renew("a", 2, &[]), None);
}

#[test]
fn resigned_primary_is_selected_again_only_if_no_other_vm_can() {
    let mut leader = delegated();
    let primary = leader.primary("a");
    leader.resign("a");
    leader.plan_and_apply();
    assert_ne!(leader.primary("a"), primary);
    leader.resign("b");
    let again = |changes: Vec<Change>| changes.iter().any(|c| replaced_in(c, "b"));
    assert!(again(run_passes(&mut leader, 1, &["a1", "a2"], (2, 1))));
    leader.resign("b");
    assert!(!again(run_passes(&mut leader, 9, &["a1", "a2"], (2, 1))));
    assert!(again(run_passes(&mut leader, 3, &["a1", "a2"], (2, 1))));
}

#[test]
fn unreachable_zone_keeps_its_spans_until_every_lease_has_expired() {
    let mut leader = delegated();
    // Term 2000, route lease 500, deadline 300, twice the clock allowance 20.
    run_passes(&mut leader, 56, &["a1", "a2"], (0, 1));
    assert_eq!(leader.spans("a"), 10);
    run_passes(&mut leader, 2, &["a1", "a2"], (0, 1));
    assert_eq!((leader.spans("a"), leader.spans("b")), (0, 16));
}

#[test]
fn zone_without_servers_releases_all_spans() {
    let mut leader = delegated();
    run_passes(&mut leader, 1, &[], (2, 1));
    run_passes(&mut leader, 3, &[], (0, 1));
    assert_eq!((leader.spans("a"), leader.spans("b")), (0, 16));
}

#[test]
fn zones_are_filled_to_their_target_width() {
    let mut leader = delegated();
    run_passes(&mut leader, 300, &[], (2, 1));
    assert_eq!((leader.spans("a"), leader.spans("b")), (10, 6));
    run_passes(&mut leader, 300, &[], (2, 6));
    assert_eq!((leader.spans("a"), leader.spans("b")), (4, 12));
}

#[test]
fn release_reported_before_its_request_does_not_count() {
    let mut leader = delegated();
    leader.renew("a", 0, &[]);
    leader.plan_and_apply();
    let requested = leader.renew("a", 0, &[]).unwrap();
    assert!(!requested.is_empty());
    // Sent before the release was requested, received after it.
    leader.sequence -= 2;
    leader.renew("a", 0, &requested);
    leader.plan_and_apply();
    assert_eq!(leader.spans("a"), 10);
}
