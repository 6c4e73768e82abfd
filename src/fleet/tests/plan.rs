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
    };
    names.iter().map(candidate).collect()
}

fn carry_out(ranges: &mut RangeMap, plan: &[Move], index: u64) {
    for release in plan {
        ranges.reassign(index, std::slice::from_ref(release));
        let assigned = AssignedRange {
            from: release.from,
            to: release.to,
            token: None,
        };
        ranges.assign(index + 1, &release.next, &[assigned]);
    }
}

/// VmRole of all keys that a server holds.
fn width(ranges: &RangeMap, name: &str) -> f64 {
    let own = ranges.iter().filter(|r| {
        let owner = r.owner.as_ref();
        owner.is_some_and(|h| *h.server == *name)
    });
    own.map(|r| f64::from(r.key_count())).sum::<f64>() / 65536.0
}

#[test]
fn the_first_deal_is_even_and_spreads_neighbours() {
    let mut ranges = RangeMap::default();
    let names = ["a", "b", "c", "d"];
    let shares = LoadCounts::default().shares("s");
    let plan = plan::plan(&ranges, &candidates(&names), &shares, false);
    carry_out(&mut ranges, &plan, 1);
    for name in names {
        assert!((width(&ranges, name) - 0.25).abs() < 0.02, "{name}");
    }
    let ranges: std::collections::BTreeSet<_> = ranges
        .iter()
        .filter(|r| r.from < 8192)
        .map(|r| r.owner.clone())
        .collect();
    assert_eq!(ranges.len(), 4, "an eighth of the keys meets all servers");
}

#[test]
fn a_loss_moves_only_the_keys_that_were_lost() {
    let mut ranges = RangeMap::default();
    let shares = LoadCounts::default().shares("s");
    let names = ["a", "b", "c", "d"];
    let deal = plan::plan(&ranges, &candidates(&names), &shares, false);
    carry_out(&mut ranges, &deal, 1);
    let before = ranges.clone();
    let left = plan::plan(&ranges, &candidates(&["a", "b", "d"]), &shares, false);
    for release in &left {
        let held = before
            .iter()
            .filter(|r| r.overlaps(release.from, release.to));
        assert!(
            held.into_iter()
                .all(|r| &*r.owner.as_ref().unwrap().server == "c")
        );
    }
    carry_out(&mut ranges, &left, 3);
    for name in ["a", "b", "d"] {
        assert!((width(&ranges, name) - 1.0 / 3.0).abs() < 0.05, "{name}");
    }
}

#[test]
fn nothing_moves_while_loads_are_even() {
    let mut ranges = RangeMap::default();
    let shares = LoadCounts::default().shares("s");
    let names = ["a", "b", "c"];
    let deal = plan::plan(&ranges, &candidates(&names), &shares, true);
    carry_out(&mut ranges, &deal, 1);
    assert_eq!(plan::plan(&ranges, &candidates(&names), &shares, true), []);
}

#[test]
fn a_busy_neighbourhood_is_split_between_servers() {
    let mut ranges = RangeMap::default();
    let names = ["a", "b", "c", "d"];
    let deal = plan::plan(
        &ranges,
        &candidates(&names),
        &LoadCounts::default().shares("s"),
        false,
    );
    carry_out(&mut ranges, &deal, 1);
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
    let hottest = |ranges: &RangeMap| names.iter().map(|n| load(ranges, n)).fold(0.0, f64::max);
    assert!(hottest(&ranges) > 0.8);
    for round in 0..4 {
        let plan = plan::plan(&ranges, &candidates(&names), &shares, true);
        carry_out(&mut ranges, &plan, 10 + 2 * round);
    }
    assert!(hottest(&ranges) < 0.4, "{}", hottest(&ranges));
}

#[test]
fn a_server_without_keys_is_given_some() {
    let mut ranges = RangeMap::default();
    let shares = LoadCounts::default().shares("s");
    let deal = plan::plan(&ranges, &candidates(&["a", "b", "c"]), &shares, false);
    carry_out(&mut ranges, &deal, 1);
    let names = ["a", "b", "c", "new"];
    for round in 0..3 {
        let plan = plan::plan(&ranges, &candidates(&names), &shares, true);
        carry_out(&mut ranges, &plan, 10 + 2 * round);
    }
    assert!(width(&ranges, "new") > 0.1);
}

#[test]
fn the_start_of_a_span_is_cut_at_its_share() {
    let shares = LoadCounts::default().shares("s");
    assert_eq!(shares.prefix_end(0, Key::MAX, 0.5), Some(Key::MAX / 2));
    assert_eq!(shares.prefix_end(100, 200, 1.0), Some(200));
    assert_eq!(shares.prefix_end(100, 200, 0.0), None);
    let whole = shares.range_share(0, Key::MAX);
    assert!((whole - 1.0).abs() < 1e-9);
}

#[test]
fn a_key_that_is_busier_than_a_server_gets_its_holder_for_itself() {
    let mut ranges = RangeMap::default();
    let names = ["a", "b", "c", "d"];
    let quiet = LoadCounts::default().shares("s");
    let deal = plan::plan(&ranges, &candidates(&names), &quiet, false);
    carry_out(&mut ranges, &deal, 1);
    let mut loads = LoadCounts::default();
    let others = (0..500).map(|i| (i * 130, 1));
    let counts = others.chain([(32777, 400)]).collect();
    let service = "s".into();
    loads.add(&ServiceLoad { service, counts });
    let shares = loads.shares("s");
    let held = |ranges: &RangeMap, key: Key| {
        let range = ranges.iter().find(|r| r.from <= key && key <= r.to);
        range.and_then(|r| r.owner.clone()).unwrap()
    };
    let owner = held(&ranges, 32777);
    for round in 0..6 {
        let plan = plan::plan(&ranges, &candidates(&names), &shares, true);
        carry_out(&mut ranges, &plan, 10 + 2 * round);
    }
    assert_eq!(held(&ranges, 32777), owner, "it stays where it was");
    assert!(
        width(&ranges, &owner.server) < 0.1,
        "{}",
        width(&ranges, &owner.server)
    );
}
