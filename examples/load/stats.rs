//! Statistics of all requests, and their summary.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest latency that is recorded; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Result of one claim.
#[derive(Debug, Serialize)]
pub(crate) struct Outcome {
    /// Id of the claim.
    pub(crate) claim: Arc<str>,
    /// Key.
    pub(crate) key: Arc<str>,
    /// HTTP status, 0 without a response.
    pub(crate) status: u16,
    /// Verdict; `none` without a response.
    pub(crate) verdict: Arc<str>,
    /// Number of attempts.
    #[serde(rename = "sent")]
    pub(crate) attempts: u32,
}

/// One request that was sent.
#[derive(Debug, Serialize)]
pub(crate) struct Trace<'a> {
    /// Wall time at which the request was sent, in milliseconds.
    pub(crate) sent_ms: u64,
    /// Wall time of the response or the failure, in milliseconds.
    pub(crate) done_ms: u64,
    /// Time from the due time of the request to its response or failure, in microseconds.
    pub(crate) took_us: u64,
    /// Key.
    pub(crate) key: &'a str,
    /// Id of the claim; `None` for a lookup.
    pub(crate) claim: Option<&'a str>,
    /// Id that the entry VM gave to the request.
    pub(crate) request: Option<Arc<str>>,
    /// HTTP status, 0 without a response.
    pub(crate) status: u16,
    /// Verdict; `none` without a response.
    pub(crate) verdict: Arc<str>,
}

/// Statistics over all connections.
#[derive(Debug)]
pub(crate) struct Stats {
    started: Instant,
    responses: BTreeMap<String, u64>,
    failures: BTreeMap<&'static str, u64>,
    replays: u64,
    latency: Histogram<u64>,
    last_success: Instant,
    longest_gap: Duration,
    outcomes: Option<File>,
    traces: Option<BufWriter<File>>,
}

/// Summary that is printed as one JSON line.
#[derive(Debug, Serialize)]
pub(crate) struct Summary {
    requests: u64,
    seconds: f64,
    per_second: f64,
    #[serde(rename = "answers")]
    responses: BTreeMap<String, u64>,
    failures: BTreeMap<&'static str, u64>,
    replays: u64,
    latency_us: BTreeMap<&'static str, u64>,
    longest_gap_ms: u64,
}

impl Stats {
    /// Empty statistics; opens the files of outcomes and traces.
    pub(crate) fn new(outcomes: Option<&Path>, traces: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let latency = Histogram::new_with_max(MAX_LATENCY_US, 3).map_err(io::Error::other)?;
        let now = Instant::now();
        Ok(Self {
            started: now,
            responses: BTreeMap::new(),
            failures: BTreeMap::new(),
            replays: 0,
            latency,
            last_success: now,
            longest_gap: Duration::ZERO,
            outcomes: outcomes.map(open).transpose()?,
            traces: traces.map(open).transpose()?.map(BufWriter::new),
        })
    }

    /// Records a response.
    pub(crate) fn record_response(
        &mut self,
        status: u16,
        verdict: &str,
        replay: bool,
        latency: Duration,
    ) {
        *self
            .responses
            .entry(format!("{status} {verdict}"))
            .or_default() += 1;
        self.replays += u64::from(replay);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros);
        if verdict == "done" {
            let now = Instant::now();
            self.longest_gap = self.longest_gap.max(now - self.last_success);
            self.last_success = now;
        }
    }

    /// Records a request without a response.
    pub(crate) fn record_failure(&mut self, reason: &'static str) {
        *self.failures.entry(reason).or_default() += 1;
    }

    /// Appends the result of a claim to the file of outcomes.
    pub(crate) fn record_outcome(&mut self, outcome: &Outcome) -> io::Result<()> {
        let Some(file) = self.outcomes.as_mut() else {
            return Ok(());
        };
        let mut line = serde_json::to_vec(outcome)?;
        line.push(b'\n');
        file.write_all(&line)
    }

    /// Appends a sent request to the file of traces.
    pub(crate) fn record_trace(&mut self, trace: &Trace<'_>) -> io::Result<()> {
        let Some(file) = self.traces.as_mut() else {
            return Ok(());
        };
        serde_json::to_writer(&mut *file, trace)?;
        file.write_all(b"\n")
    }

    /// Flushes buffered traces.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        self.traces.as_mut().map_or(Ok(()), Write::flush)
    }

    /// Summary of the statistics so far.
    pub(crate) fn summary(&self) -> Summary {
        let seconds = self.started.elapsed().as_secs_f64();
        let requests = self.responses.values().chain(self.failures.values()).sum();
        let quantiles = [
            ("p50", 0.5),
            ("p90", 0.9),
            ("p99", 0.99),
            ("p999", 0.999),
            ("max", 1.0),
        ];
        let latency = quantiles.map(|(name, q)| (name, self.latency.value_at_quantile(q)));
        #[expect(clippy::cast_precision_loss, reason = "a rate needs no exact count")]
        let per_second = requests as f64 / seconds.max(f64::EPSILON);
        Summary {
            requests,
            seconds,
            per_second,
            responses: self.responses.clone(),
            failures: self.failures.clone(),
            replays: self.replays,
            latency_us: latency.into(),
            longest_gap_ms: agateyoke::clock::as_ms(self.longest_gap),
        }
    }
}
