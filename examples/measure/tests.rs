use std::path::PathBuf;
use std::sync::Arc;

use crate::metrics::Metrics;
use crate::options::Options;
use crate::records::{Execution, Records, Trace};

const EVENT_MS: u64 = 1_000;

fn options(victim: Option<&str>) -> Options {
    Options {
        scenario: "test".into(),
        seed: 1,
        directory: PathBuf::new(),
        event_ms: EVENT_MS,
        settled_ms: 0,
        victims: victim.map(|v| vec![v.to_owned()]),
        servers: 2,
        added: 0,
    }
}

fn execution(server: &str, key: &str, wall_ms: u64) -> Execution {
    Execution {
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
    let records = Records {
        executions: vec![
            execution("a", "k", 900),
            execution("b", "k", 1_500),
            execution("b", "l", 950),
        ],
        traces: vec![
            trace("k", 990, 1_010, "not-run"),
            trace("l", 1_000, 1_020, "done"),
            trace("k", 1_100, 1_300, "not-run"),
            trace("k", 1_310, 1_500, "done"),
        ],
        ..Records::default()
    };
    let metrics = Metrics::new(&options(Some("a")), &records);
    assert_eq!(metrics.unavailable_ms, Some(510));
    assert_eq!(metrics.others_failed, Some(0));
    assert_eq!(metrics.churn, Some(1.0));
    assert_eq!(metrics.churn_floor, Some(0.5));
}

#[test]
fn key_counts_as_served_while_one_of_its_requests_is_pending() {
    let records = Records {
        traces: vec![
            trace("k", 1_000, 4_000, "may-have-run"),
            trace("k", 1_100, 1_700, "done"),
            trace("k", 2_000, 2_010, "done"),
            trace("k", 3_900, 3_920, "done"),
            trace("k", 4_100, 4_110, "done"),
        ],
        ..Records::default()
    };
    let metrics = Metrics::new(&options(Some("a")), &records);
    assert_eq!(metrics.unavailable_ms, Some(600));
}

#[test]
fn claim_metrics_follow_the_records_of_servers() {
    let claim_trace = |name: &str, verdict| Trace {
        claim: Some(name.into()),
        ..trace("k", 10, 20, verdict)
    };
    let claim_execution = |name: &str| Execution {
        claim: Some(Arc::from(name)),
        ..execution("a", "k", 15)
    };
    let records = Records {
        executions: vec![
            claim_execution("twice"),
            claim_execution("twice"),
            claim_execution("denied"),
        ],
        traces: vec![
            claim_trace("twice", "done"),
            claim_trace("denied", "not-run"),
            claim_trace("lost", "done"),
            claim_trace("shed", "not-run"),
        ],
        ..Records::default()
    };
    let metrics = Metrics::new(&options(None), &records);
    assert_eq!(metrics.claims_sent, 4);
    assert_eq!(metrics.claims_run_twice, 1);
    assert_eq!(metrics.false_not_run, 1);
    assert_eq!(metrics.claims_lost, 1);
    assert_eq!(metrics.high_rank_served, Some(0.5));
}

#[test]
fn amplification_ignores_executions_before_the_first_traced_request() {
    let records = Records {
        executions: vec![
            execution("a", "k", 5),
            execution("a", "k", 15),
            execution("b", "k", 16),
        ],
        traces: vec![trace("k", 10, 20, "done")],
        ..Records::default()
    };
    let metrics = Metrics::new(&options(None), &records);
    assert!((metrics.amplification - 2.0).abs() < f64::EPSILON);
}

#[test]
fn imbalance_is_the_maximum_over_the_mean() {
    let records = Records {
        executions: vec![
            execution("a", "k", 1),
            execution("a", "k", 2),
            execution("a", "k", 3),
            execution("b", "l", 4),
        ],
        ..Records::default()
    };
    let metrics = Metrics::new(&options(None), &records);
    assert_eq!(metrics.imbalance, Some(1.5));
    assert_eq!(metrics.requests, 0);
    assert!(metrics.amplification.abs() < f64::EPSILON);
}
