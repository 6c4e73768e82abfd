//! What the records say.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use serde::Serialize;

use crate::files::{Files, Run, Trace};
use crate::options::Options;

/// Figures of one run; an absent one does not apply.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figures {
    scenario: String,
    seed: u64,
    pub(crate) requests: usize,
    answers: BTreeMap<String, u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) unavailable_ms: Option<u64>,
    /// Requests after the event that failed, for keys that the victim did not own.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) others_failed: Option<usize>,
    /// Longest time that such a key was not served.
    #[serde(skip_serializing_if = "Option::is_none")]
    others_unavailable_ms: Option<u64>,
    /// Last run on a victim after the event.
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
    /// Claims told done that no server has a record of.
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

/// The same by `hash modulo servers`, computed from the same hashes.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Baseline {
    way: &'static str,
    churn: f64,
    imbalance: f64,
}

/// What callers saw of one key so far.
#[derive(Clone, Copy, Debug, Default)]
struct Dark {
    /// Last success.
    served_ms: u64,
    /// Sending of the first failure since then.
    since_ms: Option<u64>,
}

/// Owner of each key, by the last record.
type Owners = HashMap<Arc<str>, Arc<str>>;

impl Figures {
    /// The figures of one run.
    pub(crate) fn new(options: &Options, files: &Files) -> Self {
        let event = options.event_ms;
        let before = owners(files.runs.iter().filter(|r| r.wall_ms < event));
        let after = owners(files.runs.iter().filter(|r| r.wall_ms >= event));
        let has_event = event > 0;
        let lost = |key: &Arc<str>| before.get(key).is_some_and(|o| options.is_victim(o));
        let traces: Vec<&Trace> = files.traces.iter().filter(|t| t.done_ms >= event).collect();
        let others: Vec<&Trace> = traces.iter().copied().filter(|t| !lost(&t.key)).collect();
        let failed = others.iter().filter(|t| !is_done(t)).count();
        let rank = |claims| move |t: &&Trace| t.claim.is_some() == claims;
        let all = || files.traces.iter();
        let high: Vec<&Trace> = all().filter(rank(true)).collect();
        let low: Vec<&Trace> = all().filter(rank(false)).collect();
        let claims: HashSet<&Arc<str>> = all().filter_map(|t| t.claim.as_ref()).collect();
        let mut took: Vec<u64> = all().map(|t| t.took_us).collect();
        took.sort_unstable();
        Self {
            scenario: options.scenario.clone(),
            seed: options.seed,
            requests: files.traces.len(),
            answers: answers(&files.traces),
            unavailable_ms: has_event.then(|| dark(&traces)),
            others_failed: has_event.then_some(failed),
            others_unavailable_ms: has_event.then(|| dark(&others)),
            victim_ran_ms: victim_ran_ms(options, &files.runs),
            churn: has_event.then(|| moved(&before, &after)),
            churn_floor: has_event.then(|| floor(options, &before)),
            imbalance: imbalance(
                files
                    .runs
                    .iter()
                    .filter(|r| r.wall_ms >= options.settled_ms),
            ),
            claims_sent: claims.len(),
            claims_run_twice: run_twice(&files.runs),
            false_not_run: false_not_run(files),
            claims_lost: claims_lost(files),
            high_rank_served: served(&high),
            low_rank_served: served(&low),
            amplification: share(arrivals(files), files.traces.len()),
            p50_us: quantile(&took, 50),
            p99_us: quantile(&took, 99),
            longest_us: quantile(&took, 100),
            baseline: baseline(options, &files.runs),
        }
    }
}

fn is_done(trace: &Trace) -> bool {
    *trace.verdict == *"done" && trace.status < 400
}

fn answers(traces: &[Trace]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for trace in traces {
        let name = format!("{} {}", trace.status, trace.verdict);
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// Requests that reached a server since the first that is traced.
fn arrivals(files: &Files) -> usize {
    let first = files.traces.first().map_or(0, |t| t.sent_ms);
    let runs = files.runs.iter().filter(|r| r.wall_ms >= first);
    runs.count() + files.refusals.len()
}

/// Longest time for which a key was not served, as its callers saw it.
///
/// It begins with the sending of the first request that is not served, or with
/// the last success of another request for the key, if that came later, and
/// ends with the next success.
fn dark(traces: &[&Trace]) -> u64 {
    let mut keys: HashMap<&str, Dark> = HashMap::new();
    let mut ends: Vec<&&Trace> = traces.iter().collect();
    ends.sort_by_key(|t| t.done_ms);
    let mut longest = 0;
    for trace in ends {
        let dark = keys.entry(&trace.key).or_default();
        let sent = trace.sent_ms.max(dark.served_ms);
        let since = dark.since_ms.map_or(sent, |since| since.min(sent));
        longest = longest.max(trace.done_ms.saturating_sub(since));
        if is_done(trace) {
            dark.served_ms = trace.done_ms;
            dark.since_ms = None;
        } else {
            dark.since_ms = Some(since);
        }
    }
    longest
}

fn owners<'a, I>(runs: I) -> Owners
where
    I: Iterator<Item = &'a Run>,
{
    runs.map(|r| (key(&r.path).into(), Arc::clone(&r.server)))
        .collect()
}

/// The key in a path `/lockers/{key}` or `/lockers/{key}/release`.
fn key(path: &str) -> &str {
    path.split('/').nth(2).unwrap_or(path)
}

/// Time from the event to the last run on a victim.
fn victim_ran_ms(options: &Options, runs: &[Run]) -> Option<u64> {
    let of_victims = runs.iter().filter(|r| options.is_victim(&r.server));
    let last = of_victims.map(|r| r.wall_ms).max()?;
    Some(last.saturating_sub(options.event_ms))
}

/// Share of the keys, known before and after, that changed owner.
fn moved(before: &Owners, after: &Owners) -> f64 {
    let both = before.iter().filter_map(|(k, o)| Some((o, after.get(k)?)));
    let (all, moved) = both.fold((0, 0), |(all, moved), (old, new)| {
        (all + 1, moved + usize::from(old != new))
    });
    share(moved, all)
}

/// Least share of keys that has to move: what the victim owned.
fn floor(options: &Options, before: &Owners) -> f64 {
    let added = options.added as usize;
    match &options.victims {
        Some(_) => {
            let owned = before.values().filter(|o| options.is_victim(o)).count();
            share(owned, before.len())
        }
        None => share(added, options.servers as usize + added),
    }
}

/// Most runs of a server over the mean of all that ran something.
fn imbalance<'a, I>(runs: I) -> Option<f64>
where
    I: Iterator<Item = &'a Run>,
{
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for run in runs {
        *counts.entry(&run.server).or_default() += 1;
    }
    let most = counts.values().max()?;
    let sum: usize = counts.values().sum();
    Some(share(most * counts.len(), sum))
}

fn run_twice(runs: &[Run]) -> usize {
    let mut seen = HashSet::new();
    let claims = runs.iter().filter_map(|r| r.claim.as_ref());
    claims.filter(|c| !seen.insert(*c)).count()
}

/// Requests and claims that were told `not-run` last, yet ran.
fn false_not_run(files: &Files) -> usize {
    let requests: HashSet<&Arc<str>> = files
        .runs
        .iter()
        .filter_map(|r| r.request.as_ref())
        .collect();
    let claims = ran_claims(files);
    let last = last_told(files);
    let told = files.traces.iter().filter(|t| *t.verdict == *"not-run");
    let wrong = told.filter(|t| t.request.as_ref().is_some_and(|r| requests.contains(r)));
    let wrong_claims = last.iter().filter(|(_, t)| *t.verdict == *"not-run");
    let wrong_claims = wrong_claims.filter(|(c, t)| {
        let by_request = t.request.as_ref().is_some_and(|r| requests.contains(r));
        claims.contains(*c) && !by_request
    });
    wrong.count() + wrong_claims.count()
}

/// Claims that were told `done` with success, and that no server ran.
fn claims_lost(files: &Files) -> usize {
    let ran = ran_claims(files);
    let told = last_told(files);
    let is_lost = |(c, t): &(&&Arc<str>, &&Trace)| is_done(t) && !ran.contains(**c);
    told.iter().filter(is_lost).count()
}

fn ran_claims(files: &Files) -> HashSet<&Arc<str>> {
    files.runs.iter().filter_map(|r| r.claim.as_ref()).collect()
}

/// The last attempt of each claim.
fn last_told(files: &Files) -> HashMap<&Arc<str>, &Trace> {
    let attempts = files.traces.iter();
    attempts
        .filter_map(|t| Some((t.claim.as_ref()?, t)))
        .collect()
}

fn served(traces: &[&Trace]) -> Option<f64> {
    let done = traces.iter().filter(|t| is_done(t)).count();
    (!traces.is_empty()).then(|| share(done, traces.len()))
}

fn baseline(options: &Options, runs: &[Run]) -> Option<Baseline> {
    let before = u64::from(options.servers);
    let gone = options.victims.as_ref().map_or(0, Vec::len) as u64;
    let after = before.saturating_sub(gone) + u64::from(options.added);
    if before == 0 || after == 0 {
        return None;
    }
    let late = runs.iter().filter(|r| r.wall_ms >= options.settled_ms);
    let mut counts: HashMap<u64, usize> = HashMap::new();
    for hash in late.filter_map(|r| r.hash) {
        *counts.entry(hash % after).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or(0);
    let sum: usize = counts.values().sum();
    let imbalance = share(most * counts.len(), sum);
    let hashes: HashSet<u64> = runs.iter().filter_map(|r| r.hash).collect();
    let moved = hashes
        .iter()
        .filter(|h| **h % before != **h % after)
        .count();
    let churn = share(moved, hashes.len());
    let way = "modulo";
    Some(Baseline {
        way,
        churn,
        imbalance,
    })
}

fn quantile(sorted: &[u64], percent: usize) -> u64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get(last * percent / 100).copied().unwrap_or(0)
}

#[expect(clippy::cast_precision_loss, reason = "counts of one short run")]
fn share(part: usize, whole: usize) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}
