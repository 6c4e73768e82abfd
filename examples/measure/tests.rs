use std::path::PathBuf;
use std::sync::Arc;

use crate::figures::Figures;
use crate::files::{Files, Run, Trace};
use crate::options::Options;

const EVENT_MS: u64 = 1_000;

fn options(victim: Option<&str>) -> Options {
    Options {
        scenario: "test".into(),
        seed: 1,
        folder: PathBuf::new(),
        event_ms: EVENT_MS,
        settled_ms: 0,
        victims: victim.map(|v| vec![v.to_owned()]),
        servers: 2,
        added: 0,
    }
}

fn run(server: &str, key: &str, wall_ms: u64) -> Run {
    Run {
        server: server.into(),
        request: None,
        claim: None,
        path: format!("/lockers/{key}").into(),
        hash: Some(1),
        wall_ms,
    }
}

fn trace(key: &str, sent_ms: u64, done_ms: u64, verdict: &str) -> Trace {
    Trace {
        sent_ms,
        done_ms,
        took_us: 0,
        key: key.into(),
        claim: None,
        request: None,
        status: if verdict == "done" { 200 } else { 503 },
        verdict: verdict.into(),
    }
}

#[test]
fn unavailable_time_lasts_from_the_first_failure_to_the_next_success() {
    let files = Files {
        runs: vec![run("a", "k", 900), run("b", "k", 1_500), run("b", "l", 950)],
        traces: vec![
            trace("k", 990, 1_010, "not-run"),
            trace("l", 1_000, 1_020, "done"),
            trace("k", 1_100, 1_300, "not-run"),
            trace("k", 1_310, 1_500, "done"),
        ],
        ..Files::default()
    };
    let figures = Figures::new(&options(Some("a")), &files);
    assert_eq!(figures.unavailable_ms, Some(510));
    assert_eq!(figures.others_failed, Some(0));
    assert_eq!(figures.churn, Some(1.0));
    assert_eq!(figures.churn_floor, Some(0.5));
}

#[test]
fn key_is_served_while_one_of_its_requests_stays_open() {
    let files = Files {
        traces: vec![
            trace("k", 1_000, 4_000, "may-have-run"),
            trace("k", 1_100, 1_700, "done"),
            trace("k", 2_000, 2_010, "done"),
            trace("k", 3_900, 3_920, "done"),
            trace("k", 4_100, 4_110, "done"),
        ],
        ..Files::default()
    };
    let figures = Figures::new(&options(Some("a")), &files);
    assert_eq!(figures.unavailable_ms, Some(600));
}

#[test]
fn claims_are_judged_by_what_servers_recorded() {
    let claim = |name: &str, verdict| Trace {
        claim: Some(name.into()),
        ..trace("k", 10, 20, verdict)
    };
    let ran = |name: &str| Run {
        claim: Some(Arc::from(name)),
        ..run("a", "k", 15)
    };
    let files = Files {
        runs: vec![ran("twice"), ran("twice"), ran("denied")],
        traces: vec![
            claim("twice", "done"),
            claim("denied", "not-run"),
            claim("lost", "done"),
            claim("shed", "not-run"),
        ],
        ..Files::default()
    };
    let figures = Figures::new(&options(None), &files);
    assert_eq!(figures.claims_sent, 4);
    assert_eq!(figures.claims_run_twice, 1);
    assert_eq!(figures.false_not_run, 1);
    assert_eq!(figures.claims_lost, 1);
    assert_eq!(figures.high_rank_served, Some(0.5));
}

#[test]
fn amplification_leaves_out_what_came_before_the_first_traced_request() {
    let files = Files {
        runs: vec![run("a", "k", 5), run("a", "k", 15), run("b", "k", 16)],
        traces: vec![trace("k", 10, 20, "done")],
        ..Files::default()
    };
    let figures = Figures::new(&options(None), &files);
    assert!((figures.amplification - 2.0).abs() < f64::EPSILON);
}

#[test]
fn imbalance_is_the_most_loaded_over_the_mean() {
    let files = Files {
        runs: vec![
            run("a", "k", 1),
            run("a", "k", 2),
            run("a", "k", 3),
            run("b", "l", 4),
        ],
        ..Files::default()
    };
    let figures = Figures::new(&options(None), &files);
    assert_eq!(figures.imbalance, Some(1.5));
    assert_eq!(figures.requests, 0);
    assert!(figures.amplification.abs() < f64::EPSILON);
}
