use super::incarnation;
use crate::fleet::Key;
use crate::fleet::load::LoadCounts;
use crate::fleet::messages::ServiceLoad;
use crate::fleet::plan::{self, Candidate};
use crate::fleet::ranges::{AssignedRange, Move, RangeMap};

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
