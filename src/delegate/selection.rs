//! Choices among entry VMs and the first cut of the key space.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3;

use super::store;
use crate::ids;
use crate::keys;

/// Most entry VMs that vote for a carrier.
const VOTERS_MAX: usize = 5;

/// The VM with the highest rendezvous hash for a service.
///
/// Carriers of different services thus spread over the VMs of a zone, and the
/// loss of one VM moves only its own duties.
pub(super) fn primary<'a, I>(service: &str, candidates: I) -> Option<&'a ids::VmName>
where
    I: Iterator<Item = &'a ids::VmName>,
{
    candidates.max_by_key(|vm| score(service, vm))
}

/// Voters for `carrier`: itself, then those that vote already, then others by rendezvous hash.
pub(super) fn voters(
    service: &str,
    primary: &ids::VmName,
    current: &[ids::VmName],
    alive: &[ids::VmName],
) -> Vec<ids::VmName> {
    let mut others: Vec<_> = alive.iter().filter(|vm| *vm != primary).collect();
    others.sort_by_key(|vm| (!current.contains(vm), u64::MAX - score(service, vm)));
    let others = others.into_iter().take(VOTERS_MAX - 1);
    let mut voters: Vec<_> = others.chain([primary]).map(Arc::clone).collect();
    voters.sort_unstable();
    voters
}

/// An appointment of `carrier` with `voters`; the control VMs vote if the count is even.
pub(super) fn config(
    zone: &ids::ZoneName,
    primary: &ids::VmName,
    voters: Vec<ids::VmName>,
    term: Duration,
) -> store::PrimaryConfig {
    store::PrimaryConfig {
        zone: Arc::clone(zone),
        primary: Arc::clone(primary),
        tiebreak: voters.len().is_multiple_of(2),
        voters,
        term,
    }
}

/// Deals spans in contiguous runs, as long as the weights say.
pub(super) fn deal(spans: &[keys::Span], weights: &[u64]) -> Vec<Vec<keys::Span>> {
    let total: u128 = weights.iter().map(|w| u128::from(*w)).sum();
    let count = spans.len() as u128;
    let bound = |sum: u128| usize::try_from(sum * count / total.max(1)).unwrap_or(0);
    let mut sum = 0;
    let mut runs = Vec::with_capacity(weights.len());
    for weight in weights {
        let start = bound(sum);
        sum += u128::from(*weight);
        runs.push(spans.get(start..bound(sum)).unwrap_or_default().to_vec());
    }
    runs
}

fn score(service: &str, vm: &str) -> u64 {
    xxh3::xxh3_64_with_seed(vm.as_bytes(), xxh3::xxh3_64(service.as_bytes()))
}
