//! How fast a backend server works, and how many requests it takes well, as its responses show.
//!
//! Servers of one service differ, change, and some slow down long before they are full, so neither
//! can be configured. Two load patterns decide the filter: a step or ramp of slowness, and the
//! return from it, is followed within 3 s at one response a second; and a slow period of some
//! hundred milliseconds changes nothing that is learned.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Samples that show a step: at one response a second, three slow ones in a row do after 3 s.
const MIN_SAMPLES: usize = 3;

/// Samples that are kept.
const MAX_SAMPLES: usize = 12;

/// Time within which responses make one sample, so that a slow period fills a few samples only.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Age beyond which samples are dropped, if [`MIN_SAMPLES`] remain.
const WINDOW: Duration = Duration::from_millis(2900);

/// Part of the samples that may contradict a step, as a divisor.
const OUTLIER_DIVISOR: usize = 4;

/// Weight of a new sample in the average: about ten samples count.
const EWMA_WEIGHT: f64 = 0.12;

/// Weight while nearly all samples are on one side of the average, as in a ramp.
const TREND_WEIGHT: f64 = 0.3;

/// Weight of a new sample in the average deviation.
const SPREAD_WEIGHT: f64 = 0.05;

/// Average relative deviation that is assumed at first.
const INITIAL_SPREAD: f64 = 0.2;

/// Smallest relative difference from the average that is taken for a step.
const MIN_STEP: f64 = 0.25;

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

/// Growth of the limit with each response near it that came as expected, in parts of the slots. With
/// [`SHRINK`], the limit settles where a quarter of the responses near it take disproportionately
/// long.
const GROWTH: f64 = 0.02;

/// Reduction of the limit with each response near it that took disproportionately long, in parts of
/// the slots.
const SHRINK: f64 = 0.06;

/// Time in which the limit returns most of the way to the slots if nothing reduces it. An entry VM
/// hears from a server about once a second, and the growth alone would take a minute.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

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
    recorded_at: Option<Instant>,
    samples: VecDeque<Sample>,
}

/// Mean of the responses within [`SAMPLE_INTERVAL`].
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    mean: f64,
    count: f64,
}

impl Default for Smoothed {
    fn default() -> Self {
        Self {
            average: 1.0,
            spread: INITIAL_SPREAD,
            recorded_at: None,
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
        let last_at = self.recorded_at.replace(now);
        let since_last = last_at.map_or(SAMPLE_INTERVAL, |at| now.saturating_duration_since(at));
        let weight = since_last.div_duration_f64(SAMPLE_INTERVAL).min(1.0);
        self.push(sample, now);
        let step = MIN_STEP.max(self.spread * STEP_DEVIATIONS);
        let (low, high) = (self.average / (1.0 + step), self.average * (1.0 + step));
        if let Some(median) = self.median_beyond(low, high) {
            self.average = median;
            return;
        }
        let is_trend = self.median_beyond(self.average, self.average).is_some();
        let average_weight = if is_trend { TREND_WEIGHT } else { EWMA_WEIGHT };
        let deviation = (sample / self.average - 1.0).abs().min(1.0);
        self.spread += weight * SPREAD_WEIGHT * (deviation - self.spread);
        self.average += weight * average_weight * (sample.clamp(low, high) - self.average);
    }

    fn push(&mut self, value: f64, now: Instant) {
        match self.samples.back_mut() {
            Some(last) if now < last.at + SAMPLE_INTERVAL => {
                last.count += 1.0;
                last.mean += (value - last.mean) / last.count;
            }
            _ => self.samples.push_back(Sample {
                at: now,
                mean: value,
                count: 1.0,
            }),
        }
        let is_old = |s: &Sample| s.at + WINDOW <= now;
        while self.samples.len() > MAX_SAMPLES
            || self.samples.len() > MIN_SAMPLES && self.samples.front().is_some_and(is_old)
        {
            self.samples.pop_front();
        }
    }

    /// Median of the samples if nearly all are above `high` or below `low`.
    fn median_beyond(&self, low: f64, high: f64) -> Option<f64> {
        let mut values: Vec<_> = self.samples.iter().map(|s| s.mean).collect();
        if values.len() < MIN_SAMPLES {
            return None;
        }
        values.sort_by(f64::total_cmp);
        let outliers = values.len() / OUTLIER_DIVISOR;
        let lowest = values.get(outliers)?;
        let highest = values.get(values.len().checked_sub(outliers + 1)?)?;
        let median = values.get(values.len() / 2).copied();
        median.filter(|_| *lowest > high || *highest < low)
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
    /// Limit at [`Capacity::limited_at`].
    limit: f64,
    limited_at: Option<Instant>,
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
            limited_at: None,
            slots,
            backed_off_at: None,
        }
    }

    /// Requests in flight that the server takes well, from 1 to its slots.
    pub fn limit(&self, now: Instant) -> f64 {
        let since = self
            .limited_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let remaining = (-since.div_duration_f64(RECOVERY_TIME)).exp();
        self.slots - (self.slots - self.limit) * remaining
    }

    fn set_limit(&mut self, limit: f64, now: Instant) {
        self.limit = limit.clamp(1.0, self.slots);
        self.limited_at = Some(now);
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
        let limit = self.limit(now);
        if load <= (limit * LOW_LOAD).max(1.0) {
            self.low_load_time.record(time, now);
        }
        if load < limit * NEAR_LIMIT {
            return;
        }
        let change = if time > self.low_load_time.value() * DISPROPORTIONATE {
            -SHRINK
        } else {
            GROWTH
        };
        self.set_limit(limit + change * self.slots, now);
    }

    /// Records a time-out, a rejection for lack of capacity or a dropped connection.
    pub fn record_overload(&mut self, now: Instant) {
        let is_recent = |at: Instant| now < at + BACKOFF_INTERVAL;
        if !self.backed_off_at.is_some_and(is_recent) {
            self.backed_off_at = Some(now);
            self.set_limit(self.limit(now) * BACKOFF_FACTOR, now);
        }
    }
}
