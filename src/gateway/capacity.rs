//! How fast a backend server works, and how many requests it takes well, as its responses show.
//!
//! Servers of one service differ, change, and some slow down long before they are full, so neither
//! can be configured. Two load patterns decide the filter: a step or ramp of slowness, and the
//! return from it, is followed within 3 s at one response a second; and a slow period of some
//! hundred milliseconds changes nothing that is learned.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time over which the median of the samples is taken. With one response a second, two of three
/// samples show a step after 2 s, and one slow response shows nothing.
const WINDOW: Duration = Duration::from_millis(2900);

/// Samples of the window that are kept; of more, the oldest are dropped.
const MAX_SAMPLES: usize = 12;

/// Weight of a new sample in the averages: about ten samples count.
const EWMA_WEIGHT: f64 = 0.12;

/// Weight of a new sample in the average deviation.
const SPREAD_WEIGHT: f64 = 0.05;

/// Average relative deviation that is assumed at first.
const INITIAL_SPREAD: f64 = 0.2;

/// Smallest relative difference between median and average that is taken for a step.
const MIN_STEP: f64 = 0.35;

/// Average deviations that a step must exceed, so that work of varying length makes no steps.
const STEP_DEVIATIONS: f64 = 1.8;

/// Range of relative times.
const TIME_RANGE: (f64, f64) = (0.05, 20.0);

/// Age up to which a reported time of work counts for a selection: it changes several times a second.
const FRESH: Duration = Duration::from_millis(300);

/// Rise of the time per request, against that at low load, that is taken for disproportionate.
const DISPROPORTIONATE: f64 = 1.8;

/// Share of the limit from which on a response says something about the limit.
const NEAR_LIMIT: f64 = 0.7;

/// Share of the limit up to which a response says how long work takes without crowding.
const LOW_LOAD: f64 = 0.5;

/// Growth of the limit with each response near it that came as expected. With [`SHRINK`], the
/// limit settles where a quarter of the responses near it take disproportionately long.
const GROWTH: f64 = 0.1;

/// Reduction of the limit with each response near it that took disproportionately long.
const SHRINK: f64 = 0.3;

/// Factor of the limit after a time-out, a rejection or a dropped connection.
const BACKOFF_FACTOR: f64 = 0.75;

/// Shortest time between two such reductions: requests that were sent together fail together.
const BACKOFF_INTERVAL: Duration = Duration::from_millis(250);

/// Average of samples that ignores outliers and follows steps.
#[derive(Clone, Debug)]
pub struct Smoothed {
    average: f64,
    /// Average relative deviation of the samples from the average.
    spread: f64,
    samples: VecDeque<(Instant, f64)>,
}

impl Default for Smoothed {
    fn default() -> Self {
        Self {
            average: 1.0,
            spread: INITIAL_SPREAD,
            samples: VecDeque::new(),
        }
    }
}

impl Smoothed {
    /// Average; 1 before the first sample.
    pub fn value(&self) -> f64 {
        self.average
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: f64, now: Instant) {
        if !sample.is_finite() {
            return;
        }
        let sample = sample.clamp(TIME_RANGE.0, TIME_RANGE.1);
        let is_old = |at: Instant| at + WINDOW <= now;
        while self.samples.len() >= MAX_SAMPLES
            || self.samples.front().is_some_and(|(at, _)| is_old(*at))
        {
            self.samples.pop_front();
        }
        self.samples.push_back((now, sample));
        let step = MIN_STEP.max(self.spread * STEP_DEVIATIONS);
        let (low, high) = (self.average / (1.0 + step), self.average * (1.0 + step));
        match self.median() {
            Some(median) if median < low || median > high => self.average = median,
            _ => {
                let deviation = (sample / self.average - 1.0).abs().min(1.0);
                self.spread += SPREAD_WEIGHT * (deviation - self.spread);
                self.average += EWMA_WEIGHT * (sample.clamp(low, high) - self.average);
            }
        }
    }

    /// Median of the samples of the window, the lower one of two; `None` if it has only one.
    fn median(&self) -> Option<f64> {
        let mut values: Vec<_> = self.samples.iter().map(|(_, value)| *value).collect();
        if values.len() < 2 {
            return None;
        }
        values.sort_by(f64::total_cmp);
        values.get((values.len() - 1) / 2).copied()
    }
}

/// What is learned of one backend server.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Time of requests relative to others of their kind, at the usual speed of the server.
    time: Smoothed,
    /// The same of requests that were sent at low load.
    low_load_time: Smoothed,
    /// Time of work that the server reports, relative to what is usual there.
    reported: Smoothed,
    last_reported: Option<(f64, Instant)>,
    limit: f64,
    slots: f64,
    backed_off_at: Option<Instant>,
}

impl Capacity {
    /// Creates the state of a server with so many slots, of which nothing is known.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            time: Smoothed::default(),
            low_load_time: Smoothed::default(),
            reported: Smoothed::default(),
            last_reported: None,
            limit: slots,
            slots,
            backed_off_at: None,
        }
    }

    /// Requests in flight that the server takes well, from 1 to its slots.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Time of a request now, relative to others of its kind at other servers of the service.
    pub fn relative_time(&self, now: Instant) -> f64 {
        let fresh = self.last_reported.filter(|(_, at)| now < *at + FRESH);
        let reported = fresh.map_or(self.reported.value(), |(factor, _)| factor);
        self.time.value() * reported
    }

    /// Whether the server reports how long work takes.
    pub fn is_reported(&self) -> bool {
        self.last_reported.is_some()
    }

    /// Records how long work takes, in percent of what is usual, as reported at a time.
    pub fn record_percent(&mut self, percent: u16, at: Instant) {
        if percent == 0 || self.last_reported.is_some_and(|(_, last)| at <= last) {
            return;
        }
        let factor = (f64::from(percent) / 100.0).clamp(TIME_RANGE.0, TIME_RANGE.1);
        self.last_reported = Some((factor, at));
        self.reported.record(factor, at);
    }

    /// Records a response: its time relative to others of its kind, corrected for waiting at the
    /// server, and the other requests that were in flight there when it was sent.
    pub fn record_response(&mut self, time: f64, load: f64, now: Instant) {
        let fresh = self.last_reported.filter(|(_, at)| now < *at + FRESH);
        let time = time / fresh.map_or(1.0, |(factor, _)| factor);
        self.time.record(time, now);
        let load = load + 1.0;
        if load <= (self.limit * LOW_LOAD).max(1.0) {
            self.low_load_time.record(time, now);
        }
        if load < self.limit * NEAR_LIMIT {
            return;
        }
        let change = if time > self.low_load_time.value() * DISPROPORTIONATE {
            -SHRINK
        } else {
            GROWTH
        };
        self.limit = (self.limit + change).clamp(1.0, self.slots);
    }

    /// Records a time-out, a rejection for lack of capacity or a dropped connection.
    pub fn record_overload(&mut self, now: Instant) {
        let is_recent = |at: Instant| now < at + BACKOFF_INTERVAL;
        if !self.backed_off_at.is_some_and(is_recent) {
            self.backed_off_at = Some(now);
            self.limit = (self.limit * BACKOFF_FACTOR).max(1.0);
        }
    }
}
