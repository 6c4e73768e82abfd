//! Validation of a document before it is stored or used.
//!
//! All faults are reported at once, so that an operator can correct them together.

use serde_json::Value;

use super::model::Document;
use super::pattern::{self, KeySource, Segment};
pub use crate::fields::Finding;
use crate::fields::{self, Fields, Report};

/// Largest number of routes of one document.
const MAX_ROUTES: usize = 256;

/// Largest number of ranks of one document.
const MAX_RANKS: usize = 16;

/// Longest name in characters.
const MAX_NAME_CHARS: usize = 63;

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Methods that by definition change nothing and so cannot be claims.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

const NAME_SYNTAX: &str = "1 to 63 characters of a-z, 0-9 and -, no - at either end";

/// Parses and validates a document.
///
/// # Errors
///
/// All faults of the document.
pub fn check(text: &str) -> Result<Document, Vec<Finding>> {
    let report = Report::default();
    let Some(value) = fields::parse(&report, text) else {
        return Err(report.into_findings());
    };
    check_document(&report, &value);
    let findings = report.into_findings();
    if !findings.is_empty() {
        return Err(findings);
    }
    serde_json::from_value(value).map_err(|e| {
        let report = Report::default();
        report.add("$", &e.to_string(), "a document");
        report.into_findings()
    })
}

fn check_document(report: &Report, value: &Value) {
    let known = [
        "service",
        "ranks",
        "routes",
        "placement",
        "term_ms",
        "limits",
    ];
    let Some(document) = Fields::new(report, "", value, &known) else {
        return;
    };
    document.text("service", NAME_SYNTAX, is_name);
    let ranks = check_ranks(report, &document);
    check_routes(report, &document, ranks.as_deref());
    document.optional_number("term_ms", 1000..=86_400_000);
    if let Some(value) = document.optional("placement") {
        check_placement(report, value);
    }
    if let Some(value) = document.optional("limits") {
        check_limits(report, value);
    }
}

/// The names of the ranks; `None` if `ranks` is not a list.
fn check_ranks<'a>(report: &Report, document: &Fields<'a>) -> Option<Vec<&'a str>> {
    let allowed = format!("a list of 1 to {MAX_RANKS} names, the most important first");
    let list = document.list("ranks", &allowed)?;
    if list.is_empty() || list.len() > MAX_RANKS {
        report.add("ranks", &format!("{} names", list.len()), &allowed);
    }
    let mut ranks: Vec<&str> = Vec::new();
    for (i, value) in list.iter().enumerate().take(MAX_RANKS) {
        let path = format!("ranks[{i}]");
        match value.as_str() {
            Some(name) if ranks.contains(&name) => {
                report.add(&path, &fields::preview(value), "each rank once");
            }
            Some(name) if is_name(name) => ranks.push(name),
            _ => report.add(&path, &fields::preview(value), NAME_SYNTAX),
        }
    }
    Some(ranks)
}

/// The fields of a route that later routes are compared with.
struct CheckedRoute<'a> {
    index: usize,
    name: Option<&'a str>,
    method: Option<&'a str>,
    segments: Option<Vec<Segment>>,
}

fn check_routes(report: &Report, document: &Fields<'_>, ranks: Option<&[&str]>) {
    let allowed = format!("a list of 1 to {MAX_ROUTES} routes");
    let Some(list) = document.list("routes", &allowed) else {
        return;
    };
    if list.is_empty() || list.len() > MAX_ROUTES {
        report.add("routes", &format!("{} routes", list.len()), &allowed);
    }
    let mut earlier: Vec<CheckedRoute<'_>> = Vec::new();
    for (index, value) in list.iter().enumerate().take(MAX_ROUTES) {
        let path = format!("routes[{index}]");
        let known = [
            "name",
            "method",
            "path",
            "key",
            "rank",
            "repeat",
            "deadline_ms",
        ];
        let Some(route) = Fields::new(report, &path, value, &known) else {
            continue;
        };
        let route = check_route(&route, index, ranks);
        check_against_earlier(report, &path, &route, &earlier);
        earlier.push(route);
    }
}

fn check_route<'a>(route: &Fields<'a>, index: usize, ranks: Option<&[&str]>) -> CheckedRoute<'a> {
    let name = route.text("name", NAME_SYNTAX, is_name);
    let method = route.keyword("method", &METHODS);
    let is_pattern = |text: &str| pattern::parse(text).is_some();
    let path = route.text("path", pattern::PATTERN_SYNTAX, is_pattern);
    let segments = path.and_then(pattern::parse);
    check_key(route, segments.as_deref());
    match ranks {
        Some(ranks) if !ranks.is_empty() => {
            route.keyword("rank", ranks);
        }
        _ => {
            route.text("rank", "one of the document's ranks", |_| true);
        }
    }
    let repeat = route.keyword("repeat", &["idempotent", "once", "claim"]);
    if repeat == Some("claim") && method.is_some_and(|m| SAFE_METHODS.contains(&m)) {
        route.add(
            "method",
            "POST, PUT, PATCH or DELETE, as the route is a claim",
        );
    }
    route.number("deadline_ms", 1..=60_000);
    CheckedRoute {
        index,
        name,
        method,
        segments,
    }
}

fn check_key(route: &Fields<'_>, segments: Option<&[Segment]>) {
    let is_key_source = |text: &str| KeySource::parse(text).is_some();
    let key = route.text("key", pattern::KEY_SYNTAX, is_key_source);
    let Some((KeySource::Path(name), segments)) = key.and_then(KeySource::parse).zip(segments)
    else {
        return;
    };
    let names: Vec<&str> = segments.iter().filter_map(Segment::name).collect();
    match names.is_empty() {
        true => route.add(
            "key",
            "header:NAME or query:NAME, as the path has no parameter",
        ),
        false if names.contains(&&*name) => {}
        false => {
            let sources: Vec<String> = names.iter().map(|n| format!("path:{n}")).collect();
            let sources: Vec<&str> = sources.iter().map(String::as_str).collect();
            route.keyword("key", &sources);
        }
    }
}

/// Reports a name in use by an earlier route, and a route that an earlier one shadows.
fn check_against_earlier(
    report: &Report,
    path: &str,
    route: &CheckedRoute<'_>,
    earlier: &[CheckedRoute<'_>],
) {
    let same_name = |e: &&CheckedRoute<'_>| e.name.is_some() && e.name == route.name;
    if let Some(other) = earlier.iter().find(same_name) {
        let found = format!(
            "{:?}, the name of routes[{}]",
            route.name.unwrap_or_default(),
            other.index
        );
        report.add(&format!("{path}.name"), &found, "a unique name");
    }
    let covers = |e: &&CheckedRoute<'_>| match (&e.segments, &route.segments) {
        (Some(a), Some(b)) => {
            e.method.is_some() && e.method == route.method && pattern::covers(a, b)
        }
        _ => false,
    };
    if let Some(other) = earlier.iter().find(covers) {
        let found = format!("a route shadowed by routes[{}]", other.index);
        report.add(
            &format!("{path}.path"),
            &found,
            "a path that no earlier route covers",
        );
    }
}

fn check_placement(report: &Report, value: &Value) {
    let known = ["spans", "imbalance", "churn", "unavailable"];
    let Some(placement) = Fields::new(report, "placement", value, &known) else {
        return;
    };
    placement.optional_number("spans", 16..=4096);
    for name in ["imbalance", "churn", "unavailable"] {
        placement.optional_number(name, 0..=100);
    }
}

fn check_limits(report: &Report, value: &Value) {
    let known = [
        "queue",
        "queue_ms",
        "retry_percent",
        "body_bytes",
        "claim_memory_ms",
    ];
    let Some(limits) = Fields::new(report, "limits", value, &known) else {
        return;
    };
    limits.optional_number("queue", 0..=10_000);
    limits.optional_number("queue_ms", 0..=60_000);
    limits.optional_number("retry_percent", 0..=100);
    limits.optional_number("body_bytes", 0..=64 << 20);
    limits.optional_number("claim_memory_ms", 60_000..=30 * 86_400_000);
}

fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let hyphen_at_end = text.starts_with('-') || text.ends_with('-');
    (1..=MAX_NAME_CHARS).contains(&text.len()) && text.bytes().all(allowed) && !hyphen_at_end
}
