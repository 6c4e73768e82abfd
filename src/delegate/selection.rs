//! Selection of primaries and voters, and the first division of the key space.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3;

use super::store;
use crate::ids;
use crate::keys;

/// Maximum number of entry VMs that vote for a primary.
const MAX_VOTERS: usize = 5;

/// Selects the VM with the highest rendezvous hash for a service.
///
/// Primaries of different services thus spread over the VMs of a zone, and the
/// failure of one VM moves only its own delegations.
pub(super) fn select_primary<'a, I>(service: &str, candidates: I) -> Option<&'a ids::VmName>
where
    I: Iterator<Item = &'a ids::VmName>,
{
    candidates.max_by_key(|vm| rendezvous_hash(service, vm))
}

/// Selects voters for `primary`: itself, then current voters, then others by rendezvous hash.
pub(super) fn select_voters(
    service: &str,
    primary: &ids::VmName,
    current: &[ids::VmName],
    alive: &[ids::VmName],
) -> Vec<ids::VmName> {
    let mut others: Vec<_> = alive.iter().filter(|vm| *vm != primary).collect();
    others.sort_by_key(|vm| {
        (
            !current.contains(vm),
            u64::MAX - rendezvous_hash(service, vm),
        )
    });
    let others = others.into_iter().take(MAX_VOTERS - 1);
    let mut voters: Vec<_> = others.chain([primary]).map(Arc::clone).collect();
    voters.sort_unstable();
    voters
}

/// Configuration with `primary` and `voters`; the control VMs vote if the number of voters is even.
pub(super) fn primary_config(
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

/// Splits spans into contiguous runs with lengths in proportion to the weights.
pub(super) fn split_by_weight(spans: &[keys::Span], weights: &[u64]) -> Vec<Vec<keys::Span>> {
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

fn rendezvous_hash(service: &str, vm: &str) -> u64 {
    xxh3::xxh3_64_with_seed(vm.as_bytes(), xxh3::xxh3_64(service.as_bytes()))
}
