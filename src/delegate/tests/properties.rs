//! Invariants under lost and late messages, frozen and restarted processes, partitions and
//! elections.

use super::simulation::Simulation;

const VMS: [(&str, &str); 6] = [
    ("a1", "a"),
    ("a2", "a"),
    ("a3", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("c1", "c"),
];

const SERVERS: [(&str, &str); 5] = [("s", "a"), ("t", "a"), ("u", "b"), ("v", "b"), ("w", "c")];

/// Number of seeds.
const SEEDS: u64 = 40;

fn inject_fault(simulation: &mut Simulation) {
    match simulation.rng.u64(0..100) {
        0 | 1 => {
            let i = simulation.rng.usize(0..simulation.vms.len());
            simulation.vms[i].frozen_until = simulation.at + simulation.rng.u64(0..3000);
        }
        2 => {
            let i = simulation.rng.usize(0..simulation.servers.len());
            simulation.servers[i].frozen_until = simulation.at + simulation.rng.u64(0..3000);
        }
        3 => {
            let gap = simulation.rng.u64(0..400);
            simulation.change_leader(gap);
        }
        4 => {
            let i = simulation.rng.usize(0..simulation.vms.len());
            simulation.restart(i);
        }
        5 => {
            let zone = ["a", "b", "c"][simulation.rng.usize(0..3)];
            simulation.partition_zone(zone);
        }
        6..=9 => {
            let i = simulation.rng.usize(0..simulation.vms.len());
            simulation.partitioned.insert(simulation.vms[i].name);
        }
        10..=12 => simulation.partitioned.clear(),
        13..=15 => {
            let i = simulation.rng.usize(1..simulation.vms.len());
            simulation.partitioned_pair = Some((simulation.rng.usize(0..i), i));
        }
        _ => {}
    }
}

#[test]
fn never_two_active_primaries_nor_two_owners() {
    let (mut takeovers, mut moves, mut active_steps) = (0, 0, 0);
    for seed in 0..SEEDS {
        arbtest::arbtest(|u| {
            let mut simulation = Simulation::new(u.arbitrary()?, &VMS, &SERVERS);
            simulation.loss_percent = u.int_in_range(0..=20)?;
            simulation.late_percent = u.int_in_range(0..=20)?;
            simulation.term = u.int_in_range(300..=4000)?;
            for _ in 0..300 {
                simulation.run(50);
                inject_fault(&mut simulation);
            }
            takeovers += simulation.takeovers;
            moves += simulation.moves;
            active_steps += simulation.active_steps;
            Ok(())
        })
        .seed(seed << 32 | 64)
        .run();
    }
    assert!(takeovers > 0 && moves > 0 && active_steps > 0);
}

#[test]
fn partitioned_zone_stays_active_by_its_own_votes_until_its_term_ends() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed, &VMS, &SERVERS);
        simulation.term = 5000;
        simulation.run(4000);
        let primary = simulation
            .active()
            .into_iter()
            .find(|(_, zone)| *zone == "a");
        assert!(primary.is_some());
        simulation.partition_zone("a");
        simulation.run(4700);
        assert_eq!(
            simulation.active().into_iter().find(|a| a.1 == "a"),
            primary
        );
        simulation.run(700);
        assert_eq!(simulation.active().iter().find(|a| a.1 == "a"), None);
        assert!(simulation.spans("a") > 0);
        simulation.run(2000);
        assert_eq!(simulation.spans("a"), 0);
        simulation.partitioned.clear();
        simulation.run(12_000);
        assert!(simulation.active().iter().any(|a| a.1 == "a"));
        assert!(simulation.spans("a") > 0);
    }
}
