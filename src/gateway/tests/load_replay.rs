//! Replays of load patterns: the share answered within the target and the most loaded server, with
//! what entry VMs tell each other and without it, on the same arrivals.

use super::load_model::{Outcome, Pattern, Replay};

/// One zone of three of a large deployment: 84 entry VMs, 122 servers of 6 slots.
fn large() -> Pattern {
    Pattern {
        vms: 28,
        servers: 41,
        slots: 6,
        queue: 6,
        work_ms: 300.0,
        target_ms: 800.0,
        rate: |_| 375.0,
        seconds: 10.0,
        speeds: (0.5, 1.6),
        slow_share: 0.2,
        crowding: 0.0,
        loss: 0.01,
        shares_load: true,
        reports_percent: false,
    }
}

/// One zone of three of a deployment of 91 entry VMs and 153 servers of 2 slots.
fn small_servers() -> Pattern {
    Pattern {
        vms: 30,
        servers: 51,
        slots: 2,
        queue: 2,
        work_ms: 140.0,
        target_ms: 500.0,
        rate: |_| 317.0,
        speeds: (0.5, 1.5),
        slow_share: 0.0,
        ..large()
    }
}

fn compare(pattern: &Pattern) -> (Outcome, Outcome) {
    let alone = Pattern {
        shares_load: false,
        ..pattern.clone()
    };
    let (alone, shared) = (Replay::run(&alone, 1), Replay::run(pattern, 1));
    println!("alone  {alone:?}\nshared {shared:?}");
    assert_eq!(alone.arrivals, shared.arrivals);
    (alone, shared)
}

/// Guards against messages and another selection in deployments that don't need them.
#[test]
fn load_is_exchanged_only_without_keys_and_between_more_vms_than_slots() {
    assert_eq!(Replay::shared_count(&large()), 12);
    let few_vms = Pattern { vms: 6, ..large() };
    assert_eq!(Replay::shared_count(&few_vms), 0);
    let one_more = Pattern { vms: 7, ..large() };
    assert!(Replay::shared_count(&one_more) > 0);
    let keyed = Pattern {
        shares_load: false,
        ..large()
    };
    assert_eq!(Replay::shared_count(&keyed), 0);
}

/// Guards against servers that queue while others that the VM prefers are idle.
#[test]
fn even_servers_are_filled_evenly() {
    let (alone, shared) = compare(&Pattern {
        speeds: (1.0, 1.0),
        slow_share: 0.0,
        ..large()
    });
    assert!(shared.most_loaded < alone.most_loaded);
    assert!(shared.mean_met < alone.mean_met);
    assert_eq!(shared.refused + shared.late, 0);
}

/// Guards against queues at slow servers.
#[test]
fn uneven_servers_answer_more_requests_in_time() {
    let (alone, shared) = compare(&large());
    assert!(shared.share_in_time() > alone.share_in_time() + 0.01);
    assert!(shared.most_loaded <= alone.most_loaded);
    assert!(shared.mean_met < alone.mean_met * 0.85);
}

/// Guards against rejections during a burst while other servers have room.
#[test]
fn a_burst_finds_the_servers_that_have_room() {
    let (alone, shared) = compare(&Pattern {
        rate: |t| {
            if (2.0..6.0).contains(&t) {
                640.0
            } else {
                375.0
            }
        },
        ..large()
    });
    assert!(shared.share_in_time() > alone.share_in_time() + 0.01);
    assert!(f64::from(shared.rejections) < 0.6 * f64::from(alone.rejections));
}

/// Guards against load that lags behind a server with two slots.
#[test]
fn servers_with_few_slots_are_not_overrun() {
    let (alone, shared) = compare(&small_servers());
    assert!(shared.share_in_time() >= alone.share_in_time());
    assert!(shared.rejections < alone.rejections / 2);
}

/// Guards against decisions that depend on each datagram: a fifth of them are lost.
#[test]
fn lost_datagrams_cost_little() {
    let (alone, shared) = compare(&Pattern {
        loss: 0.2,
        ..large()
    });
    assert!(shared.share_in_time() > alone.share_in_time());
    assert!(shared.mean_met < alone.mean_met);
}

/// Guards against messages that grow with the number of entry VMs.
#[test]
fn messages_of_a_vm_do_not_grow_with_the_number_of_vms() {
    let per_vm = |vms: u32| {
        let pattern = Pattern {
            vms: vms as usize,
            seconds: 3.0,
            ..large()
        };
        f64::from(Replay::run(&pattern, 1).datagrams) / f64::from(vms) / 3.0
    };
    let figures = [per_vm(28), per_vm(100)];
    println!("datagrams a VM and second at 28 and 100 VMs of the zone: {figures:?}");
    assert!(figures.iter().all(|f| *f < 24.0 * 25.0));
}

/// Guards against a reported slow period that is noticed only when the request is late.
#[test]
fn reported_slowness_is_avoided_at_once() {
    let (alone, shared) = compare(&Pattern {
        reports_percent: true,
        ..large()
    });
    let unreported = Replay::run(&large(), 1);
    assert!(shared.share_in_time() > alone.share_in_time() + 0.02);
    assert!(shared.share_in_time() > unreported.share_in_time() + 0.02);
}

/// Guards against servers that are filled although they slow down long before they are full.
#[test]
fn servers_that_slow_down_before_they_are_full_are_not_filled() {
    let (alone, shared) = compare(&Pattern {
        crowding: 0.4,
        slow_share: 0.0,
        ..large()
    });
    assert!(shared.share_in_time() >= alone.share_in_time());
    assert!(shared.mean_met < alone.mean_met * 0.85);
    assert!(shared.most_loaded < alone.most_loaded);
}
