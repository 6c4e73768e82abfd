use super::incarnation;
use crate::fleet::load::LoadCounts;
use crate::fleet::messages::ServiceLoad;
use crate::fleet::plan::{self, Candidate};
use crate::fleet::ranges::{AssignedRange, Move, RangeMap};
use crate::fleet::{Key, KeyRange};

fn candidates(names: &[&str]) -> Vec<Candidate> {
    let candidate = |name: &&str| Candidate {
        incarnation: incarnation(name, 1),
        weight: 3.0,
        accepts_keys: true,
    };
    names.iter().map(candidate).collect()
}

fn apply(ranges: &mut RangeMap, plan: &[Move], index: u64) {
    for moved in plan {
        ranges.reassign(index, std::slice::from_ref(moved));
        let assigned = AssignedRange {
            from: moved.from,
            to: moved.to,
            token: None,
        };
        ranges.assign(index + 1, &moved.next, &[assigned]);
    }
}

/// Share of all keys that a server owns.
fn key_share(ranges: &RangeMap, name: &str) -> f64 {
    let own = ranges.iter().filter(|r| {
        let owner = r.owner.as_ref();
        owner.is_some_and(|o| *o.server == *name)
    });
    own.map(|r| f64::from(r.key_count())).sum::<f64>() / 65536.0
}

#[test]
fn the_first_assignment_is_even_and_spreads_neighbours() {
    let mut ranges = RangeMap::default();
    let names = ["a", "b", "c", "d"];
    let shares = LoadCounts::default().shares("s");
    let plan = plan::plan(&ranges, &candidates(&names), &shares, false);
    apply(&mut ranges, &plan, 1);
    for name in names {
        assert!((key_share(&ranges, name) - 0.25).abs() < 0.02, "{name}");
    }
    let owners: std::collections::BTreeSet<_> = ranges
        .iter()
        .filter(|r| r.from < 8192)
        .map(|r| r.owner.clone())
        .collect();
    assert_eq!(
        owners.len(),
        4,
        "an eighth of the keys has all servers as owners"
    );
}

/// Carries out a plan like the coordinator: each next owner gets its ranges at once, with a token for
/// each range of their last owners.
fn carry_out(ranges: &mut RangeMap, moves: &[Move], candidates: &[Candidate], index: u64) {
    ranges.reassign(index, moves);
    for (candidate, index) in candidates.iter().zip(index + 1..) {
        let next = &candidate.incarnation;
        let is_next = |r: &&KeyRange| r.next.as_ref().is_some_and(|n| n.incarnation == *next);
        let assigned = ranges.iter().filter(is_next).map(|r| AssignedRange {
            from: r.from,
            to: r.to,
            token: Some(format!("{index}-{}", r.from).into()),
        });
        let assigned: Vec<_> = assigned.collect();
        let join = ranges.owned_count(next) + assigned.len() > plan::JOINED_RANGES;
        ranges.assign(index, next, &assigned);
        if join {
            ranges.join(index, next);
        }
    }
}

/// Guards against a service that shrinks until the responses to heartbeats, which name all ranges of a
/// server, are longer than a server takes.
#[test]
fn the_ranges_of_a_server_stay_few_while_others_leave() {
    let shares = LoadCounts::default().shares("s");
    let names: Vec<_> = (0..64).map(|i| format!("s{i}")).collect();
    for (leaving, remaining) in [(1, 63), (1, 10), (1, 7), (1, 2), (7, 8), (9, 1)] {
        let mut names: Vec<_> = names.iter().map(String::as_str).collect();
        let mut ranges = RangeMap::default();
        let mut index = 1;
        while !names.is_empty() {
            let present = candidates(&names);
            for _ in 0..2 {
                let moves = plan::plan(&ranges, &present, &shares, true);
                carry_out(&mut ranges, &moves, &present, index);
                index += 100;
            }
            for candidate in &present {
                let count = ranges.owned_count(&candidate.incarnation);
                let share = key_share(&ranges, &candidate.incarnation.server);
                let ratio = share * plan::to_f64(present.len());
                let state = format!("{count} ranges, {ratio} times the mean: {candidate:?}");
                assert!(count <= plan::MAX_RANGES_PER_SERVER, "{state}");
                assert!(ratio < 2.0, "{state}");
            }
            names.truncate(names.len() * remaining / (leaving + remaining));
        }
    }
}

#[test]
fn the_end_of_a_server_moves_only_its_keys() {
    let mut ranges = RangeMap::default();
    let shares = LoadCounts::default().shares("s");
    let names = ["a", "b", "c", "d"];
    let first = plan::plan(&ranges, &candidates(&names), &shares, false);
    apply(&mut ranges, &first, 1);
    let before = ranges.clone();
    let second = plan::plan(&ranges, &candidates(&["a", "b", "d"]), &shares, false);
    for moved in &second {
        let overlapping = before.iter().filter(|r| r.overlaps(moved.from, moved.to));
        assert!(
            overlapping
                .into_iter()
                .all(|r| &*r.owner.as_ref().unwrap().server == "c")
        );
    }
    apply(&mut ranges, &second, 3);
    for name in ["a", "b", "d"] {
        assert!(
            (key_share(&ranges, name) - 1.0 / 3.0).abs() < 0.05,
            "{name}"
        );
    }
}

#[test]
fn nothing_moves_while_the_load_is_even() {
    let mut ranges = RangeMap::default();
    let shares = LoadCounts::default().shares("s");
    let names = ["a", "b", "c"];
    let first = plan::plan(&ranges, &candidates(&names), &shares, true);
    apply(&mut ranges, &first, 1);
    assert_eq!(plan::plan(&ranges, &candidates(&names), &shares, true), []);
}

#[test]
fn neighbouring_busy_keys_are_split_between_servers() {
    let mut ranges = RangeMap::default();
    let names = ["a", "b", "c", "d"];
    let first = plan::plan(
        &ranges,
        &candidates(&names),
        &LoadCounts::default().shares("s"),
        false,
    );
    apply(&mut ranges, &first, 1);
    let mut loads = LoadCounts::default();
    let counts = (1100..1228).map(|key| (key, 6)).collect();
    let service = "s".into();
    loads.add(&ServiceLoad { service, counts });
    let shares = loads.shares("s");
    let load = |ranges: &RangeMap, name: &str| -> f64 {
        let own = ranges
            .iter()
            .filter(|r| &*r.owner.as_ref().unwrap().server == name);
        own.map(|r| shares.range_share(r.from, r.to)).sum()
    };
    let highest_load =
        |ranges: &RangeMap| names.iter().map(|n| load(ranges, n)).fold(0.0, f64::max);
    assert!(highest_load(&ranges) > 0.8);
    for round in 0..4 {
        let plan = plan::plan(&ranges, &candidates(&names), &shares, true);
        apply(&mut ranges, &plan, 10 + 2 * round);
    }
    assert!(highest_load(&ranges) < 0.4, "{}", highest_load(&ranges));
}

#[test]
fn a_server_without_keys_gets_some() {
    let mut ranges = RangeMap::default();
    let shares = LoadCounts::default().shares("s");
    let first = plan::plan(&ranges, &candidates(&["a", "b", "c"]), &shares, false);
    apply(&mut ranges, &first, 1);
    let names = ["a", "b", "c", "new"];
    for round in 0..3 {
        let plan = plan::plan(&ranges, &candidates(&names), &shares, true);
        apply(&mut ranges, &plan, 10 + 2 * round);
    }
    assert!(key_share(&ranges, "new") > 0.1);
}

#[test]
fn the_prefix_of_a_range_ends_at_its_share() {
    let shares = LoadCounts::default().shares("s");
    assert_eq!(shares.prefix_end(0, Key::MAX, 0.5), Some(Key::MAX / 2));
    assert_eq!(shares.prefix_end(100, 200, 1.0), Some(200));
    assert_eq!(shares.prefix_end(100, 200, 0.0), None);
    let total = shares.range_share(0, Key::MAX);
    assert!((total - 1.0).abs() < 1e-9);
}

#[test]
fn the_owner_of_a_very_busy_key_loses_its_other_keys() {
    let mut ranges = RangeMap::default();
    let names = ["a", "b", "c", "d"];
    let no_load = LoadCounts::default().shares("s");
    let first = plan::plan(&ranges, &candidates(&names), &no_load, false);
    apply(&mut ranges, &first, 1);
    let mut loads = LoadCounts::default();
    let others = (0..500).map(|i| (i * 130, 1));
    let counts = others.chain([(32777, 400)]).collect();
    let service = "s".into();
    loads.add(&ServiceLoad { service, counts });
    let shares = loads.shares("s");
    let owner_of = |ranges: &RangeMap, key: Key| {
        let range = ranges.iter().find(|r| r.from <= key && key <= r.to);
        range.and_then(|r| r.owner.clone()).unwrap()
    };
    let owner = owner_of(&ranges, 32777);
    for round in 0..6 {
        let plan = plan::plan(&ranges, &candidates(&names), &shares, true);
        apply(&mut ranges, &plan, 10 + 2 * round);
    }
    assert_eq!(
        owner_of(&ranges, 32777),
        owner,
        "the busy key does not move"
    );
    assert!(
        key_share(&ranges, &owner.server) < 0.1,
        "{}",
        key_share(&ranges, &owner.server)
    );
}

#[test]
fn a_server_that_accepts_no_keys_keeps_what_it_has() {
    let mut ranges = RangeMap::default();
    let shares = LoadCounts::default().shares("s");
    let first = plan::plan(&ranges, &candidates(&["a", "b", "c"]), &shares, false);
    apply(&mut ranges, &first, 1);
    let before = key_share(&ranges, "b");
    let mut candidates = candidates(&["a", "b"]);
    candidates[1].accepts_keys = false;
    for round in 0..4 {
        let plan = plan::plan(&ranges, &candidates, &shares, true);
        assert!(plan.iter().all(|m| &*m.next.server != "b"), "{plan:?}");
        apply(&mut ranges, &plan, 10 + 2 * round);
    }
    assert!((key_share(&ranges, "a") + before - 1.0).abs() < 0.01);
}

#[test]
fn a_calm_day_of_few_requests_moves_no_keys() {
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let names: Vec<String> = (0..380).map(|i| format!("s{i}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut ranges = RangeMap::default();
        let mut loads = LoadCounts::default();
        let first = plan::plan(&ranges, &candidates(&names), &loads.shares("s"), false);
        apply(&mut ranges, &first, 1);
        let mut moved = 0;
        for round in 0..60 {
            // Two requests a second and server, as on the largest site, each half second.
            let mut counts = std::collections::BTreeMap::new();
            for _ in 0..380 {
                *counts.entry(random.u16(..)).or_insert(0) += 1;
            }
            let counts = counts.into_iter().collect();
            let service = "s".into();
            loads.add(&ServiceLoad { service, counts });
            let plan = plan::plan(&ranges, &candidates(&names), &loads.shares("s"), true);
            moved += plan
                .iter()
                .map(|m| u32::from(m.to - m.from) + 1)
                .sum::<u32>();
            apply(&mut ranges, &plan, 10 + 2 * round);
            loads.decay("s", 0.97);
        }
        assert!(
            moved <= 65536 / 20,
            "{moved} keys moved on a calm day, seed {seed}"
        );
    }
}

/// Replays the half seconds of a service whose servers differ in speed, of which each is three times
/// slower for a fifth of the time in short periods. Returns the keys that move in each.
fn replay_uneven(seed: u64, servers: usize, per_sec: u32, half_seconds: u64) -> Vec<u32> {
    let mut random = fastrand::Rng::with_seed(seed);
    let names: Vec<String> = (0..servers).map(|i| format!("s{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut candidates = candidates(&names);
    let usual: Vec<_> = names
        .iter()
        .map(|_| 1.0 / (0.5 + 1.1 * random.f64()))
        .collect();
    let mean = usual.iter().sum::<f64>() / f64::from(u32::try_from(servers).unwrap()) * 1.4;
    let mut learned = vec![1.0; servers];
    let (mut ranges, mut loads) = (RangeMap::default(), LoadCounts::default());
    let first = plan::plan(&ranges, &candidates, &loads.shares("s"), false);
    apply(&mut ranges, &first, 1);
    let mut moved = Vec::new();
    for round in 0..half_seconds {
        let mut counts = std::collections::BTreeMap::new();
        for _ in 0..per_sec / 2 {
            let key: Key = random.u16(..);
            *counts.entry(key).or_insert(0) += 1;
            let range = ranges.overlapping(key, key).next().unwrap();
            let owner = &range.owner.as_ref().unwrap().server;
            let i = owner.trim_start_matches('s').parse::<usize>().unwrap();
            let slow = if random.f64() < 0.2 { 3.0 } else { 1.0 };
            let sample = usual[i] * slow / mean;
            learned[i] = learned[i] * 0.935 + sample * 0.065;
            candidates[i].weight = 6.0 / f64::clamp(learned[i], 0.4, 3.0);
        }
        let counts = counts.into_iter().collect();
        let service = "s".into();
        loads.add(&ServiceLoad { service, counts });
        let keys = plan::balance_keys(servers, std::time::Duration::from_millis(500));
        let shares = loads.shares("s");
        let plan = plan::plan_bounded(&ranges, &candidates, &shares, Some(keys));
        let count = |m: &Move| u32::from(m.to - m.from) + 1;
        moved.push(plan.iter().map(count).sum::<u32>());
        apply(&mut ranges, &plan, 10 + 2 * round);
        let requests = loads.total("s") / f64::from(u32::try_from(servers).unwrap());
        let stretch = (40.0 / requests.max(1.0)).clamp(1.0, 8.0);
        loads.decay("s", 1.0 - 1.0 / (8.0 * stretch));
    }
    moved
}

/// Guards against keys that move for nothing, as each move holds up requests: the speeds of the
/// servers are learned from few responses.
#[test]
fn few_keys_move_for_balance_on_a_calm_day_of_uneven_servers() {
    for (servers, per_sec) in [(156, 575), (170, 728)] {
        for seed in 0..2 {
            let moved = replay_uneven(seed, servers, per_sec, 240);
            let (settling, calm) = moved.split_at(120);
            let limit = plan::balance_keys(servers, std::time::Duration::from_millis(500));
            assert!(settling.iter().all(|m| *m <= limit), "{settling:?}");
            let (before, after): (u32, u32) = (settling.iter().sum(), calm.iter().sum());
            println!("{servers} servers: {before} keys in the first minute, {after} in the second");
            assert!(after < 65536 / 10, "{after} keys in a minute");
        }
    }
}

/// Guards against a busy key that stays at a slow server while a fast one has room, and against keys
/// that stay with it as it is the first of their range.
#[test]
fn a_busy_key_of_a_slow_server_goes_to_a_fast_one_and_the_keys_behind_it_leave() {
    for (slow_weight, moves_on) in [(3.0, false), (1.5, true)] {
        let mut candidates = candidates(&["slow", "b", "fast"]);
        candidates[0].weight = slow_weight;
        candidates[2].weight = 6.0;
        let mut ranges = RangeMap::default();
        let all = |name: &str, from, to| Move {
            from,
            to,
            next: incarnation(name, 1),
        };
        let first = [
            all("slow", 0, 21_999),
            all("b", 22_000, 43_999),
            all("fast", 44_000, Key::MAX),
        ];
        apply(&mut ranges, &first, 1);
        let mut loads = LoadCounts::default();
        let others = (1..650).map(|i| (i * 100, 1));
        let counts = [(0, 900)].into_iter().chain(others).collect();
        let service = "s".into();
        loads.add(&ServiceLoad { service, counts });
        for round in 0..8 {
            let plan = plan::plan(&ranges, &candidates, &loads.shares("s"), true);
            apply(&mut ranges, &plan, 10 + 2 * round);
        }
        let owner = ranges.iter().next().unwrap().owner.clone().unwrap();
        let expected = if moves_on { "fast" } else { "slow" };
        assert_eq!(&*owner.server, expected);
        let share = key_share(&ranges, "slow");
        assert!(moves_on || share < 0.05, "{share}");
    }
}
