//! Metrics of one run, computed from its records.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use serde::Serialize;

use crate::options::Options;
use crate::records::{Execution, Records, Trace};

/// Metrics of one run; a metric that doesn't apply to the scenario is absent.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Metrics {
    scenario: String,
    seed: u64,
    pub(crate) requests: usize,
    #[serde(rename = "answers")]
    responses: BTreeMap<String, u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) unavailable_ms: Option<u64>,
    /// Failed requests after the event for keys that no victim owned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) others_failed: Option<usize>,
    /// Longest time for which a key that no victim owned was not served.
    #[serde(skip_serializing_if = "Option::is_none")]
    others_unavailable_ms: Option<u64>,
    /// Time from the event to the last execution on a victim.
    #[serde(skip_serializing_if = "Option::is_none")]
    victim_ran_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) churn: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) churn_floor: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) imbalance: Option<f64>,
    pub(crate) claims_sent: usize,
    pub(crate) claims_run_twice: usize,
    pub(crate) false_not_run: usize,
    /// Claims with the verdict `done` that no server has recorded.
    pub(crate) claims_lost: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) high_rank_served: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) low_rank_served: Option<f64>,
    pub(crate) amplification: f64,
    p50_us: u64,
    p99_us: u64,
    longest_us: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    baseline: Option<Baseline>,
}

/// Churn and imbalance of placement by `hash modulo servers`, computed from the same hashes.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Baseline {
    #[serde(rename = "way")]
    method: &'static str,
    churn: f64,
    imbalance: f64,
}

/// Availability of one key as its callers have seen it so far.
#[derive(Clone, Copy, Debug, Default)]
struct KeyAvailability {
    /// Time of the last success.
    last_success_ms: u64,
    /// Time at which the first failed request since then was sent.
    unavailable_since_ms: Option<u64>,
}

/// Owner of each key by its last recorded execution.
type Owners = HashMap<Arc<str>, Arc<str>>;

impl Metrics {
    /// Computes the metrics of one run.
    pub(crate) fn new(options: &Options, records: &Records) -> Self {
        let event = options.event_ms;
        let before = owners(records.executions.iter().filter(|r| r.wall_ms < event));
        let after = owners(records.executions.iter().filter(|r| r.wall_ms >= event));
        let has_event = event > 0;
        let is_victim_key = |key: &Arc<str>| before.get(key).is_some_and(|o| options.is_victim(o));
        let traces: Vec<&Trace> = records
            .traces
            .iter()
            .filter(|t| t.done_ms >= event)
            .collect();
        let others: Vec<&Trace> = traces
            .iter()
            .copied()
            .filter(|t| !is_victim_key(&t.key))
            .collect();
        let failed = others.iter().filter(|t| !is_done(t)).count();
        let has_claim = |claims| move |t: &&Trace| t.claim.is_some() == claims;
        let all = || records.traces.iter();
        let high_rank: Vec<&Trace> = all().filter(has_claim(true)).collect();
        let low_rank: Vec<&Trace> = all().filter(has_claim(false)).collect();
        let claims: HashSet<&Arc<str>> = all().filter_map(|t| t.claim.as_ref()).collect();
        let mut latencies_us: Vec<u64> = all().map(|t| t.took_us).collect();
        latencies_us.sort_unstable();
        Self {
            scenario: options.scenario.clone(),
            seed: options.seed,
            requests: records.traces.len(),
            responses: count_responses(&records.traces),
            unavailable_ms: has_event.then(|| longest_unavailable_ms(&traces)),
            others_failed: has_event.then_some(failed),
            others_unavailable_ms: has_event.then(|| longest_unavailable_ms(&others)),
            victim_ran_ms: victim_ran_ms(options, &records.executions),
            churn: has_event.then(|| churn(&before, &after)),
            churn_floor: has_event.then(|| churn_floor(options, &before)),
            imbalance: imbalance(
                records
                    .executions
                    .iter()
                    .filter(|r| r.wall_ms >= options.settled_ms),
            ),
            claims_sent: claims.len(),
            claims_run_twice: count_repeated_claims(&records.executions),
            false_not_run: count_false_not_run(records),
            claims_lost: count_lost_claims(records),
            high_rank_served: success_ratio(&high_rank),
            low_rank_served: success_ratio(&low_rank),
            amplification: ratio(count_arrivals(records), records.traces.len()),
            p50_us: quantile(&latencies_us, 50),
            p99_us: quantile(&latencies_us, 99),
            longest_us: quantile(&latencies_us, 100),
            baseline: baseline(options, &records.executions),
        }
    }
}

fn is_done(trace: &Trace) -> bool {
    *trace.verdict == *"done" && trace.status < 400
}

fn count_responses(traces: &[Trace]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for trace in traces {
        let name = format!("{} {}", trace.status, trace.verdict);
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// Number of requests that reached a backend server since the first traced request was sent.
fn count_arrivals(records: &Records) -> usize {
    let first = records.traces.first().map_or(0, |t| t.sent_ms);
    let executions = records.executions.iter().filter(|r| r.wall_ms >= first);
    executions.count() + records.refusals.len()
}

/// Longest time in milliseconds for which a key was not served, as its callers saw it.
///
/// The time starts when the first request that fails is sent, or at the last success of another
/// request for the key if that is later, and ends with the next success.
fn longest_unavailable_ms(traces: &[&Trace]) -> u64 {
    let mut keys: HashMap<&str, KeyAvailability> = HashMap::new();
    let mut by_end: Vec<&&Trace> = traces.iter().collect();
    by_end.sort_by_key(|t| t.done_ms);
    let mut longest = 0;
    for trace in by_end {
        let key = keys.entry(&trace.key).or_default();
        let sent = trace.sent_ms.max(key.last_success_ms);
        let since = key
            .unavailable_since_ms
            .map_or(sent, |since| since.min(sent));
        longest = longest.max(trace.done_ms.saturating_sub(since));
        if is_done(trace) {
            key.last_success_ms = trace.done_ms;
            key.unavailable_since_ms = None;
        } else {
            key.unavailable_since_ms = Some(since);
        }
    }
    longest
}

fn owners<'a, I>(executions: I) -> Owners
where
    I: Iterator<Item = &'a Execution>,
{
    executions
        .map(|r| (key(&r.path).into(), Arc::clone(&r.server)))
        .collect()
}

/// Key in a path `/lockers/{key}` or `/lockers/{key}/release`.
fn key(path: &str) -> &str {
    path.split('/').nth(2).unwrap_or(path)
}

/// Time from the event to the last execution on a victim, in milliseconds.
fn victim_ran_ms(options: &Options, executions: &[Execution]) -> Option<u64> {
    let on_victims = executions.iter().filter(|r| options.is_victim(&r.server));
    let last = on_victims.map(|r| r.wall_ms).max()?;
    Some(last.saturating_sub(options.event_ms))
}

/// Share of the keys with an owner before and after the event that changed owner.
fn churn(before: &Owners, after: &Owners) -> f64 {
    let both = before.iter().filter_map(|(k, o)| Some((o, after.get(k)?)));
    let (total, moved) = both.fold((0, 0), |(total, moved), (old, new)| {
        (total + 1, moved + usize::from(old != new))
    });
    ratio(moved, total)
}

/// Least share of keys that must change owner: the share of the victims or of the added servers.
fn churn_floor(options: &Options, before: &Owners) -> f64 {
    let added = options.added as usize;
    match &options.victims {
        Some(_) => {
            let owned = before.values().filter(|o| options.is_victim(o)).count();
            ratio(owned, before.len())
        }
        None => ratio(added, options.servers as usize + added),
    }
}

/// Most executions of a server over the mean of the servers that executed any.
fn imbalance<'a, I>(executions: I) -> Option<f64>
where
    I: Iterator<Item = &'a Execution>,
{
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for execution in executions {
        *counts.entry(&execution.server).or_default() += 1;
    }
    let max = counts.values().max()?;
    let sum: usize = counts.values().sum();
    Some(ratio(max * counts.len(), sum))
}

fn count_repeated_claims(executions: &[Execution]) -> usize {
    let mut seen = HashSet::new();
    let claims = executions.iter().filter_map(|r| r.claim.as_ref());
    claims.filter(|c| !seen.insert(*c)).count()
}

/// Number of requests, and of claims by their last attempt, with the verdict `not-run` that ran.
fn count_false_not_run(records: &Records) -> usize {
    let requests: HashSet<&Arc<str>> = records
        .executions
        .iter()
        .filter_map(|r| r.request.as_ref())
        .collect();
    let claims = executed_claims(records);
    let last = last_attempts(records);
    let not_run = records.traces.iter().filter(|t| *t.verdict == *"not-run");
    let wrong = not_run.filter(|t| t.request.as_ref().is_some_and(|r| requests.contains(r)));
    let wrong_claims = last.iter().filter(|(_, t)| *t.verdict == *"not-run");
    let wrong_claims = wrong_claims.filter(|(c, t)| {
        let by_request = t.request.as_ref().is_some_and(|r| requests.contains(r));
        claims.contains(*c) && !by_request
    });
    wrong.count() + wrong_claims.count()
}

/// Number of claims that succeeded by their last attempt and that no server executed.
fn count_lost_claims(records: &Records) -> usize {
    let executed = executed_claims(records);
    let last = last_attempts(records);
    let is_lost = |(c, t): &(&&Arc<str>, &&Trace)| is_done(t) && !executed.contains(**c);
    last.iter().filter(is_lost).count()
}

fn executed_claims(records: &Records) -> HashSet<&Arc<str>> {
    records
        .executions
        .iter()
        .filter_map(|r| r.claim.as_ref())
        .collect()
}

/// Last attempt of each claim.
fn last_attempts(records: &Records) -> HashMap<&Arc<str>, &Trace> {
    let attempts = records.traces.iter();
    attempts
        .filter_map(|t| Some((t.claim.as_ref()?, t)))
        .collect()
}

fn success_ratio(traces: &[&Trace]) -> Option<f64> {
    let done = traces.iter().filter(|t| is_done(t)).count();
    (!traces.is_empty()).then(|| ratio(done, traces.len()))
}

fn baseline(options: &Options, executions: &[Execution]) -> Option<Baseline> {
    let before = u64::from(options.servers);
    let removed = options.victims.as_ref().map_or(0, Vec::len) as u64;
    let after = before.saturating_sub(removed) + u64::from(options.added);
    if before == 0 || after == 0 {
        return None;
    }
    let settled = executions
        .iter()
        .filter(|r| r.wall_ms >= options.settled_ms);
    let mut counts: HashMap<u64, usize> = HashMap::new();
    for hash in settled.filter_map(|r| r.hash) {
        *counts.entry(hash % after).or_default() += 1;
    }
    let max = counts.values().max().copied().unwrap_or(0);
    let sum: usize = counts.values().sum();
    let imbalance = ratio(max * counts.len(), sum);
    let hashes: HashSet<u64> = executions.iter().filter_map(|r| r.hash).collect();
    let moved = hashes
        .iter()
        .filter(|h| **h % before != **h % after)
        .count();
    let churn = ratio(moved, hashes.len());
    let method = "modulo";
    Some(Baseline {
        method,
        churn,
        imbalance,
    })
}

fn quantile(sorted: &[u64], percent: usize) -> u64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get(last * percent / 100).copied().unwrap_or(0)
}

#[expect(clippy::cast_precision_loss, reason = "counts of one short run")]
fn ratio(part: usize, total: usize) -> f64 {
    if total == 0 {
        0.0
    } else {
        part as f64 / total as f64
    }
}
