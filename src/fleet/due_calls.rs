//! Which grants and releases are due, for services whose keys are delivered by calls.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::call_leases::{CallLeases, Run};
use super::messages::GrantedRange;
use super::model::{Incarnation, KeyRange};
use super::ranges::RangeMap;

/// Time after which a grant is sent again; a lease bears two lost calls and an election.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(900);

/// Calls that are due at one backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DueCalls {
    /// Grants to send or to renew.
    pub grants: Vec<GrantedRange>,
    /// Keys to take back.
    pub releases: Vec<Run>,
}

/// Computes the calls that are due.
///
/// Until `is_settled` holds for a range, a grant of an earlier leader may still be under way to its
/// owner; the owner keeps the keys for so long, as nobody else could get them.
pub fn due<F>(
    ranges: &RangeMap,
    calls: &CallLeases,
    is_settled: F,
    now: Instant,
) -> HashMap<Incarnation, DueCalls>
where
    F: Fn(&KeyRange) -> bool,
{
    let mut due: HashMap<Incarnation, DueCalls> = HashMap::new();
    let mut ranges = ranges.iter().peekable();
    while let Some(range) = ranges.next() {
        let Some(owner) = &range.owner else {
            continue;
        };
        let to_release = range.next.is_some() && is_settled(range);
        let mut run = Run {
            from: range.from,
            to: range.to,
            fence: range.fence,
        };
        let continues = |next: &&KeyRange| {
            next.owner == range.owner
                && next.fence == range.fence
                && next.token == range.token
                && (next.next.is_some() && is_settled(next)) == to_release
        };
        while let Some(next) = ranges.next_if(continues) {
            run.to = next.to;
        }
        if to_release && !calls.is_released(owner, &run) && !calls.is_granting(owner, &run) {
            let due = due.entry(owner.clone()).or_default();
            due.releases.push(run);
        }
        if !to_release && calls.is_due(owner, &run, RENEW_INTERVAL, now) {
            let due = due.entry(owner.clone()).or_default();
            due.grants.push(GrantedRange {
                from: run.from,
                to: run.to,
                fence: run.fence,
                token: range.token.clone(),
            });
        }
    }
    due
}
