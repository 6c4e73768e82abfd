use super::incarnation;
use crate::fleet::Key;
use crate::fleet::balance::Loads;
use crate::fleet::messages::Load;
use crate::fleet::plan::{self, Candidate};
use crate::fleet::rows::{Assigned, Release, Rows};

fn candidates(names: &[&str]) -> Vec<Candidate> {
    let candidate = |name: &&str| Candidate {
        incarnation: incarnation(name, 1),
        weight: 3.0,
    };
    names.iter().map(candidate).collect()
}

fn carry_out(rows: &mut Rows, plan: &[Release], index: u64) {
    for release in plan {
        rows.release(index, std::slice::from_ref(release));
        let assigned = Assigned {
            from: release.from,
            to: release.to,
            token: None,
        };
        rows.assign(index + 1, &release.next, &[assigned]);
    }
}

/// VmRole of all keys that a server holds.
fn width(rows: &Rows, name: &str) -> f64 {
    let own = rows.iter().filter(|r| {
        let holder = r.holder.as_ref();
        holder.is_some_and(|h| *h.server == *name)
    });
    own.map(|r| f64::from(r.width())).sum::<f64>() / 65536.0
}

#[test]
fn the_first_deal_is_even_and_spreads_neighbours() {
    let mut rows = Rows::default();
    let names = ["a", "b", "c", "d"];
    let shares = Loads::default().shares("s");
    let plan = plan::plan(&rows, &candidates(&names), &shares, false);
    carry_out(&mut rows, &plan, 1);
    for name in names {
        assert!((width(&rows, name) - 0.25).abs() < 0.02, "{name}");
    }
    let holders: std::collections::BTreeSet<_> = rows
        .iter()
        .filter(|r| r.from < 8192)
        .map(|r| r.holder.clone())
        .collect();
    assert_eq!(holders.len(), 4, "an eighth of the keys meets all servers");
}

#[test]
fn a_loss_moves_only_the_keys_that_were_lost() {
    let mut rows = Rows::default();
    let shares = Loads::default().shares("s");
    let names = ["a", "b", "c", "d"];
    let deal = plan::plan(&rows, &candidates(&names), &shares, false);
    carry_out(&mut rows, &deal, 1);
    let before = rows.clone();
    let left = plan::plan(&rows, &candidates(&["a", "b", "d"]), &shares, false);
    for release in &left {
        let held = before
            .iter()
            .filter(|r| r.overlaps(release.from, release.to));
        assert!(
            held.into_iter()
                .all(|r| &*r.holder.as_ref().unwrap().server == "c")
        );
    }
    carry_out(&mut rows, &left, 3);
    for name in ["a", "b", "d"] {
        assert!((width(&rows, name) - 1.0 / 3.0).abs() < 0.05, "{name}");
    }
}

#[test]
fn nothing_moves_while_loads_are_even() {
    let mut rows = Rows::default();
    let shares = Loads::default().shares("s");
    let names = ["a", "b", "c"];
    let deal = plan::plan(&rows, &candidates(&names), &shares, true);
    carry_out(&mut rows, &deal, 1);
    assert_eq!(plan::plan(&rows, &candidates(&names), &shares, true), []);
}

#[test]
fn a_busy_neighbourhood_is_split_between_servers() {
    let mut rows = Rows::default();
    let names = ["a", "b", "c", "d"];
    let deal = plan::plan(
        &rows,
        &candidates(&names),
        &Loads::default().shares("s"),
        false,
    );
    carry_out(&mut rows, &deal, 1);
    let mut loads = Loads::default();
    let counts = (1100..1228).map(|key| (key, 6)).collect();
    let service = "s".into();
    loads.add(&Load { service, counts });
    let shares = loads.shares("s");
    let load = |rows: &Rows, name: &str| -> f64 {
        let own = rows
            .iter()
            .filter(|r| &*r.holder.as_ref().unwrap().server == name);
        own.map(|r| shares.of(r.from, r.to)).sum()
    };
    let hottest = |rows: &Rows| names.iter().map(|n| load(rows, n)).fold(0.0, f64::max);
    assert!(hottest(&rows) > 0.8);
    for round in 0..4 {
        let plan = plan::plan(&rows, &candidates(&names), &shares, true);
        carry_out(&mut rows, &plan, 10 + 2 * round);
    }
    assert!(hottest(&rows) < 0.4, "{}", hottest(&rows));
}

#[test]
fn a_server_without_keys_is_given_some() {
    let mut rows = Rows::default();
    let shares = Loads::default().shares("s");
    let deal = plan::plan(&rows, &candidates(&["a", "b", "c"]), &shares, false);
    carry_out(&mut rows, &deal, 1);
    let names = ["a", "b", "c", "new"];
    for round in 0..3 {
        let plan = plan::plan(&rows, &candidates(&names), &shares, true);
        carry_out(&mut rows, &plan, 10 + 2 * round);
    }
    assert!(width(&rows, "new") > 0.1);
}

#[test]
fn the_start_of_a_span_is_cut_at_its_share() {
    let shares = Loads::default().shares("s");
    assert_eq!(shares.upto(0, Key::MAX, 0.5), Some(Key::MAX / 2));
    assert_eq!(shares.upto(100, 200, 1.0), Some(200));
    assert_eq!(shares.upto(100, 200, 0.0), None);
    let whole = shares.of(0, Key::MAX);
    assert!((whole - 1.0).abs() < 1e-9);
}

#[test]
fn a_key_that_is_busier_than_a_server_gets_its_holder_for_itself() {
    let mut rows = Rows::default();
    let names = ["a", "b", "c", "d"];
    let quiet = Loads::default().shares("s");
    let deal = plan::plan(&rows, &candidates(&names), &quiet, false);
    carry_out(&mut rows, &deal, 1);
    let mut loads = Loads::default();
    let others = (0..500).map(|i| (i * 130, 1));
    let counts = others.chain([(32777, 400)]).collect();
    let service = "s".into();
    loads.add(&Load { service, counts });
    let shares = loads.shares("s");
    let held = |rows: &Rows, key: Key| {
        let row = rows.iter().find(|r| r.from <= key && key <= r.to);
        row.and_then(|r| r.holder.clone()).unwrap()
    };
    let holder = held(&rows, 32777);
    for round in 0..6 {
        let plan = plan::plan(&rows, &candidates(&names), &shares, true);
        carry_out(&mut rows, &plan, 10 + 2 * round);
    }
    assert_eq!(held(&rows, 32777), holder, "it stays where it was");
    assert!(
        width(&rows, &holder.server) < 0.1,
        "{}",
        width(&rows, &holder.server)
    );
}
