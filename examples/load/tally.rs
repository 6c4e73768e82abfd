//! What came of all requests, and its summary.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// What a caller was told about one claim.
#[derive(Debug, Serialize)]
pub(crate) struct Outcome {
    /// Id of the claim.
    pub(crate) claim: Arc<str>,
    /// Key.
    pub(crate) key: Arc<str>,
    /// Status, 0 without an answer.
    pub(crate) status: u16,
    /// Verdict; `none` without an answer.
    pub(crate) verdict: Arc<str>,
    /// Times that it was sent.
    pub(crate) sent: u32,
}

/// One request that was sent.
#[derive(Debug, Serialize)]
pub(crate) struct Trace<'a> {
    /// Wall time of sending, in milliseconds.
    pub(crate) sent_ms: u64,
    /// Wall time of the answer or the failure, in milliseconds.
    pub(crate) done_ms: u64,
    /// Time from its due time to that, in microseconds.
    pub(crate) took_us: u64,
    /// Key.
    pub(crate) key: &'a str,
    /// Id of the claim, of a claim.
    pub(crate) claim: Option<&'a str>,
    /// Id that the entry VM gave the request.
    pub(crate) request: Option<Arc<str>>,
    /// Status, 0 without an answer.
    pub(crate) status: u16,
    /// Verdict; `none` without an answer.
    pub(crate) verdict: Arc<str>,
}

/// Counts over all connections.
#[derive(Debug)]
pub(crate) struct Tally {
    started: Instant,
    answers: BTreeMap<String, u64>,
    failures: BTreeMap<&'static str, u64>,
    replays: u64,
    latency: Histogram<u64>,
    last_done: Instant,
    longest_gap: Duration,
    outcomes: Option<File>,
    traces: Option<BufWriter<File>>,
}

/// The line that is printed.
#[derive(Debug, Serialize)]
pub(crate) struct Summary {
    requests: u64,
    seconds: f64,
    per_second: f64,
    answers: BTreeMap<String, u64>,
    failures: BTreeMap<&'static str, u64>,
    replays: u64,
    latency_us: BTreeMap<&'static str, u64>,
    longest_gap_ms: u64,
}

impl Tally {
    /// An empty tally.
    pub(crate) fn new(outcomes: Option<&Path>, traces: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let latency = Histogram::new_with_max(LONGEST_US, 3).map_err(io::Error::other)?;
        let now = Instant::now();
        Ok(Self {
            started: now,
            answers: BTreeMap::new(),
            failures: BTreeMap::new(),
            replays: 0,
            latency,
            last_done: now,
            longest_gap: Duration::ZERO,
            outcomes: outcomes.map(open).transpose()?,
            traces: traces.map(open).transpose()?.map(BufWriter::new),
        })
    }

    /// Counts an answer.
    pub(crate) fn answer(&mut self, status: u16, verdict: &str, replay: bool, took: Duration) {
        *self
            .answers
            .entry(format!("{status} {verdict}"))
            .or_default() += 1;
        self.replays += u64::from(replay);
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros);
        if verdict == "done" {
            let now = Instant::now();
            self.longest_gap = self.longest_gap.max(now - self.last_done);
            self.last_done = now;
        }
    }

    /// Counts a request without an answer.
    pub(crate) fn failure(&mut self, reason: &'static str) {
        *self.failures.entry(reason).or_default() += 1;
    }

    /// Records what a caller was told about a claim.
    pub(crate) fn outcome(&mut self, outcome: &Outcome) -> io::Result<()> {
        let Some(file) = self.outcomes.as_mut() else {
            return Ok(());
        };
        let mut line = serde_json::to_vec(outcome)?;
        line.push(b'\n');
        file.write_all(&line)
    }

    /// Records a request that was sent.
    pub(crate) fn trace(&mut self, trace: &Trace<'_>) -> io::Result<()> {
        let Some(file) = self.traces.as_mut() else {
            return Ok(());
        };
        serde_json::to_writer(&mut *file, trace)?;
        file.write_all(b"\n")
    }

    /// Writes out what is still buffered.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        self.traces.as_mut().map_or(Ok(()), Write::flush)
    }

    /// The summary of all that was counted.
    pub(crate) fn summary(&self) -> Summary {
        let took = self.started.elapsed().as_secs_f64();
        let requests = self.answers.values().chain(self.failures.values()).sum();
        let quantiles = [
            ("p50", 0.5),
            ("p90", 0.9),
            ("p99", 0.99),
            ("p999", 0.999),
            ("max", 1.0),
        ];
        let latency = quantiles.map(|(name, q)| (name, self.latency.value_at_quantile(q)));
        #[expect(clippy::cast_precision_loss, reason = "a rate needs no exact count")]
        let per_second = requests as f64 / took.max(f64::EPSILON);
        Summary {
            requests,
            seconds: took,
            per_second,
            answers: self.answers.clone(),
            failures: self.failures.clone(),
            replays: self.replays,
            latency_us: latency.into(),
            longest_gap_ms: agateyoke::clock::as_ms(self.longest_gap),
        }
    }
}
