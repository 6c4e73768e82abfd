//! Metrics of an entry VM.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::grant::overview::Overview;
use crate::ids;
use crate::verdict::Verdict;

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] = [
    0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 1.0, 4.0,
];

/// Labels of a request that was answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Answered {
    service: String,
    route: String,
    verdict: &'static str,
    status: u16,
}

/// Labels of what concerns one kind of request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Kind {
    service: String,
    route: String,
}

/// Labels of what concerns a service in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Place {
    service: String,
    zone: String,
}

type Ratio = Gauge<f64, AtomicU64>;

/// Counters and histograms of this process; clones share them.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    answered: Family<Answered, Counter>,
    latency: Family<Kind, Histogram>,
    attempts: Family<Kind, Counter>,
    sheds: Family<Kind, Counter>,
    imbalance: Family<Place, Ratio>,
    dark: Family<Place, Gauge>,
    moving: Family<Place, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("agateyoke_entry");
        let latency: Family<Kind, Histogram> =
            Family::new_with_constructor(|| Histogram::new(LATENCY_BOUNDS_S));
        let answered = Family::default();
        let attempts = Family::default();
        let sheds = Family::default();
        let imbalance = Family::default();
        let dark = Family::default();
        let moving = Family::default();
        registry.register("requests", "Requests answered to callers", answered.clone());
        registry.register_with_unit(
            "latency",
            "Time from a request's arrival to its answer",
            Unit::Seconds,
            latency.clone(),
        );
        registry.register(
            "attempts",
            "Requests sent to backend servers",
            attempts.clone(),
        );
        registry.register(
            "sheds",
            "Requests shed before they were sent",
            sheds.clone(),
        );
        registry.register(
            "imbalance_ratio",
            "Load of the most loaded backend server over the mean, for duties of this VM",
            imbalance.clone(),
        );
        registry.register(
            "dark_spans",
            "Spans without a route, for duties of this VM",
            dark.clone(),
        );
        registry.register(
            "moving_spans",
            "Spans that are leaving their owner, for duties of this VM",
            moving.clone(),
        );
        Self {
            registry: Arc::new(registry),
            answered,
            latency,
            attempts,
            sheds,
            imbalance,
            dark,
            moving,
        }
    }
}

impl Metrics {
    /// Counts an answer to a caller.
    pub fn answered(
        &self,
        service: &str,
        route: &str,
        verdict: Verdict,
        status: u16,
        took: Duration,
    ) {
        let labels = Answered {
            service: service.into(),
            route: route.into(),
            verdict: verdict.as_str(),
            status,
        };
        self.answered.get_or_create(&labels).inc();
        let latency = self.latency.get_or_create(&kind(service, route));
        latency.observe(took.as_secs_f64());
    }

    /// Counts a request sent to a backend server.
    pub fn attempt(&self, service: &str, route: &str) {
        self.attempts.get_or_create(&kind(service, route)).inc();
    }

    /// Counts a request shed before it was sent.
    pub fn shed(&self, service: &str, route: &str) {
        self.sheds.get_or_create(&kind(service, route)).inc();
    }

    /// Takes in the state of the duties.
    pub fn duties(&self, overviews: &[Overview]) {
        for overview in overviews {
            let place = Place {
                service: overview.service.to_string(),
                zone: overview.zone.to_string(),
            };
            let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
            self.imbalance
                .get_or_create(&place)
                .set(imbalance(overview));
            self.dark
                .get_or_create(&place)
                .set(count(overview.unrouted.len()));
            self.moving
                .get_or_create(&place)
                .set(count(overview.moves.len()));
        }
    }

    /// All metrics as Prometheus text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = text::encode(&mut text, &self.registry) {
            log::warn!("event=entry.metrics error={:?}", error.to_string());
        }
        text
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

fn kind(service: &str, route: &str) -> Kind {
    Kind {
        service: service.into(),
        route: route.into(),
    }
}

/// Load of the most loaded live server over the mean, both by slots; 1 without load.
fn imbalance(overview: &Overview) -> f64 {
    let live: Vec<_> = overview
        .servers
        .iter()
        .filter(|s| s.alive && s.slots > 0)
        .collect();
    let slots: f64 = live.iter().map(|s| f64::from(s.slots)).sum();
    let rate: f64 = live.iter().map(|s| s.request_rate).sum();
    if rate <= 0.0 || slots <= 0.0 {
        return 1.0;
    }
    let shares = live.iter().map(|s| s.request_rate / f64::from(s.slots));
    shares.fold(0.0, f64::max) / (rate / slots)
}

/// Name under which requests of no known service or route are counted.
pub const NO_NAME: &str = "-";

/// Service under which a request is counted; unknown ones share a name, so
/// that callers cannot make up labels.
pub fn label(known: Option<&ids::ServiceName>) -> &str {
    known.map_or(NO_NAME, |service| service)
}
