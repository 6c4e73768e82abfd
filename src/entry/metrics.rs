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

/// Labels of the counter of responses.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResponseLabels {
    service: String,
    route: String,
    verdict: &'static str,
    status: u16,
}

/// Labels of metrics by route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabels {
    service: String,
    route: String,
}

/// Labels of metrics by service and zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ZoneLabels {
    service: String,
    zone: String,
}

type RatioGauge = Gauge<f64, AtomicU64>;

/// Metrics of this process; clones share them.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    responses: Family<ResponseLabels, Counter>,
    latency: Family<RouteLabels, Histogram>,
    attempts: Family<RouteLabels, Counter>,
    sheds: Family<RouteLabels, Counter>,
    imbalance: Family<ZoneLabels, RatioGauge>,
    unrouted: Family<ZoneLabels, Gauge>,
    moving: Family<ZoneLabels, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("agateyoke_entry");
        let latency: Family<RouteLabels, Histogram> =
            Family::new_with_constructor(|| Histogram::new(LATENCY_BOUNDS_S));
        let responses = Family::default();
        let attempts = Family::default();
        let sheds = Family::default();
        let imbalance = Family::default();
        let unrouted = Family::default();
        let moving = Family::default();
        registry.register(
            "requests",
            "Requests answered to callers",
            responses.clone(),
        );
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
            unrouted.clone(),
        );
        registry.register(
            "moving_spans",
            "Spans that are leaving their owner, for duties of this VM",
            moving.clone(),
        );
        Self {
            registry: Arc::new(registry),
            responses,
            latency,
            attempts,
            sheds,
            imbalance,
            unrouted,
            moving,
        }
    }
}

impl Metrics {
    /// Counts a response to a caller and records its latency.
    pub fn record_response(
        &self,
        service: &str,
        route: &str,
        verdict: Verdict,
        status: u16,
        elapsed: Duration,
    ) {
        let labels = ResponseLabels {
            service: service.into(),
            route: route.into(),
            verdict: verdict.as_str(),
            status,
        };
        self.responses.get_or_create(&labels).inc();
        let latency = self.latency.get_or_create(&route_labels(service, route));
        latency.observe(elapsed.as_secs_f64());
    }

    /// Counts a request sent to a backend server.
    pub fn count_attempt(&self, service: &str, route: &str) {
        self.attempts
            .get_or_create(&route_labels(service, route))
            .inc();
    }

    /// Counts a request shed before it was sent.
    pub fn count_shed(&self, service: &str, route: &str) {
        self.sheds
            .get_or_create(&route_labels(service, route))
            .inc();
    }

    /// Sets the gauges of the services for which this VM grants spans.
    pub fn record_grants(&self, overviews: &[Overview]) {
        for overview in overviews {
            let labels = ZoneLabels {
                service: overview.service.to_string(),
                zone: overview.zone.to_string(),
            };
            let to_i64 = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
            self.imbalance
                .get_or_create(&labels)
                .set(imbalance(overview));
            self.unrouted
                .get_or_create(&labels)
                .set(to_i64(overview.unrouted.len()));
            self.moving
                .get_or_create(&labels)
                .set(to_i64(overview.moves.len()));
        }
    }

    /// Formats all metrics as Prometheus text.
    pub fn encode(&self) -> String {
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

fn route_labels(service: &str, route: &str) -> RouteLabels {
    RouteLabels {
        service: service.into(),
        route: route.into(),
    }
}

/// Highest load of a live server divided by the mean load, both per slot; 1 without load.
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

/// Label of requests without a known service or route.
pub const UNKNOWN_LABEL: &str = "-";

/// Label of a service; unknown services share one, so that callers cannot create
/// labels.
pub fn service_label(service: Option<&ids::ServiceName>) -> &str {
    service.map_or(UNKNOWN_LABEL, |name| name)
}
