//! What holds whatever is lost, late, frozen or restarted.

use super::simulation::World;

const VMS: [(&str, &str); 6] = [
    ("a1", "a"),
    ("a2", "a"),
    ("a3", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("c1", "c"),
];

const SERVERS: [(&str, &str); 5] = [("s", "a"), ("t", "a"), ("u", "b"), ("v", "b"), ("w", "c")];

/// Seeds that are tried.
const SEEDS: u64 = 40;

fn trouble(world: &mut World) {
    match world.rng.u64(0..100) {
        0 | 1 => {
            let i = world.rng.usize(0..world.vms.len());
            world.vms[i].frozen_until = world.at + world.rng.u64(0..3000);
        }
        2 => {
            let i = world.rng.usize(0..world.servers.len());
            world.servers[i].frozen_until = world.at + world.rng.u64(0..3000);
        }
        3 => {
            let gap = world.rng.u64(0..400);
            world.change_leader(gap);
        }
        4 => {
            let i = world.rng.usize(0..world.vms.len());
            world.restart(i);
        }
        5 => {
            let zone = ["a", "b", "c"][world.rng.usize(0..3)];
            world.cut_zone(zone);
        }
        6..=9 => {
            let i = world.rng.usize(0..world.vms.len());
            world.cut.insert(world.vms[i].name);
        }
        10..=12 => world.cut.clear(),
        13..=15 => {
            let i = world.rng.usize(1..world.vms.len());
            world.parted = Some((world.rng.usize(0..i), i));
        }
        _ => {}
    }
}

#[test]
fn never_two_carriers_nor_two_owners() {
    let (mut takeovers, mut moves, mut acted) = (0, 0, 0);
    for seed in 0..SEEDS {
        arbtest::arbtest(|u| {
            let mut world = World::new(u.arbitrary()?, &VMS, &SERVERS);
            world.loss = u.int_in_range(0..=20)?;
            world.late = u.int_in_range(0..=20)?;
            world.term = u.int_in_range(300..=4000)?;
            for _ in 0..300 {
                world.run(50);
                trouble(&mut world);
            }
            takeovers += world.takeovers;
            moves += world.moves;
            acted += world.acted;
            Ok(())
        })
        .seed(seed << 32 | 64)
        .run();
    }
    assert!(takeovers > 0 && moves > 0 && acted > 0);
}

#[test]
fn a_zone_cut_off_acts_by_its_own_votes_until_its_term_ends() {
    for seed in 0..10 {
        let mut world = World::new(seed, &VMS, &SERVERS);
        world.term = 5000;
        world.run(4000);
        let primary = world.acting().into_iter().find(|(_, zone)| *zone == "a");
        assert!(primary.is_some());
        world.cut_zone("a");
        world.run(4700);
        assert_eq!(world.acting().into_iter().find(|a| a.1 == "a"), primary);
        world.run(700);
        assert_eq!(world.acting().iter().find(|a| a.1 == "a"), None);
        assert!(world.spans("a") > 0);
        world.run(2000);
        assert_eq!(world.spans("a"), 0);
        world.cut.clear();
        world.run(12_000);
        assert!(world.acting().iter().any(|a| a.1 == "a"));
        assert!(world.spans("a") > 0);
    }
}
