//! Selection of the backend server for a request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::backend::Backend;

/// Cost of a backend server in another zone, in requests of average length: traffic
/// between zones is expensive, but queueing behind other requests is worse.
const OTHER_ZONE_COST: f64 = 0.9;

/// Cost of a backend server of the local zone that other entry VMs prefer, in requests of
/// average length.
const NOT_PREFERRED_COST: f64 = 0.5;

/// Backend servers of its zone that an entry VM prefers: enough that some have capacity, and
/// few enough that each reports its load more than once a second.
const PREFERRED_PER_ENTRY_VM: usize = 12;

/// Slowdown of a nearly full server compared with one that has free slots.
const CROWDING_FACTOR: f64 = 0.35;

/// Cost of a failure rate of 1, in requests of average length.
const FAILURE_COST: f64 = 4.0;

/// Relative random spread of costs, so that entry VMs don't all select the same server.
const COST_JITTER: f64 = 0.08;

/// Requests per slot at which a backend server gets no more requests, if other entry VMs don't report
/// the load of any.
const MAX_REQUESTS_PER_SLOT: f64 = 2.5;

/// Load, relative to the concurrency limit, at which a server gets no more requests. In a replay of
/// a burst of 2.1, servers rejected 94 requests with 1.5, and 2,040 with [`MAX_REQUESTS_PER_SLOT`].
const MAX_KNOWN_LOAD: f64 = 1.5;

/// Load that is assumed at most of servers in other zones: only a zone that is full sends there,
/// and the others may have room.
const MAX_ASSUMED_ELSEWHERE: f64 = 1.0;

/// How long a server may leave requests unanswered before others are selected.
const MAX_SILENCE: Duration = Duration::from_millis(1500);

/// Inputs of a selection besides the backend servers.
#[derive(Clone, Copy, Debug)]
pub struct SelectionContext<'a> {
    /// Zone of this VM.
    pub zone: &'a str,
    /// Limit of this VM's requests in flight at one backend server.
    pub max_connections: u32,
    /// How long a server that leaves may still get requests.
    pub drain: Duration,
    /// Current time.
    pub now: Instant,
}

/// Selects the backend server with the lowest expected cost that is not in `tried`.
///
/// Servers that are backing off or unresponsive are selected only if all ready ones are, and
/// servers that leave only if no other one can take the request.
pub fn select_backend(
    backends: &[Rc<Backend>],
    tried: &[Rc<Backend>],
    context: &SelectionContext<'_>,
) -> Option<Rc<Backend>> {
    let untried = |b: &&Rc<Backend>| !tried.iter().any(|t| Rc::ptr_eq(t, b));
    let accepts = |b: &&Rc<Backend>| b.accepts_requests(context.drain, context.now);
    let stays = |b: &&Rc<Backend>| !b.is_leaving();
    let responsive =
        |b: &&Rc<Backend>| !b.is_backing_off(context.now) && b.silence(context.now) < MAX_SILENCE;
    let is_usable = |b: &&Rc<Backend>| accepts(b) && responsive(b);
    let assumed = AssumedLoad::new(backends.iter().filter(is_usable), context.now);
    let has_capacity = |b: &Backend| {
        assumed.known_load(b, context) < assumed.max_load(b, context.now) && can_send(b, context)
    };
    let available = |b: &&Rc<Backend>| accepts(b) && has_capacity(b);
    let any_responsive = backends.iter().any(|b| accepts(&b) && responsive(&b));
    let usable = || {
        let available = backends.iter().filter(untried).filter(available);
        available.filter(|b| !any_responsive || responsive(b))
    };
    let cost = |b: &Backend| cost_at(b, assumed.known_load(b, context), context);
    min_by_cost(usable().filter(stays), cost).or_else(|| min_by_cost(usable(), cost))
}

/// Time until the first of the backend servers wants requests again; `None` if one of them does
/// now, or none accepts requests at all.
pub fn all_quiet_for(backends: &[Rc<Backend>], context: &SelectionContext<'_>) -> Option<Duration> {
    let accepting = backends
        .iter()
        .filter(|b| b.accepts_requests(context.drain, context.now));
    let first = accepting.map(|b| b.quiet_for(context.now)).min();
    first.filter(|first| !first.is_zero())
}

/// Whether a backend server can take another request.
pub fn has_capacity(backend: &Backend, context: &SelectionContext<'_>) -> bool {
    let slots = f64::from(backend.server().slots.max(1));
    can_send(backend, context) && backend.load(context.now) < slots * MAX_REQUESTS_PER_SLOT
}

/// Whether a backend server may get another request of this VM, whatever the load.
fn can_send(backend: &Backend, context: &SelectionContext<'_>) -> bool {
    backend.overloaded_for(context.now).is_zero()
        && backend.quiet_for(context.now).is_zero()
        && backend.in_flight() < context.max_connections
}

/// What is assumed of the load at servers whose load other entry VMs don't report.
#[derive(Clone, Copy, Debug)]
struct AssumedLoad {
    /// Mean load of the others, relative to their concurrency limits; `None` if there are none.
    mean: Option<f64>,
}

impl AssumedLoad {
    /// Derives the assumption from servers that answer.
    ///
    /// Without it, a server that only other entry VMs prefer seems idle in a burst, and all entry VMs
    /// that find those that they prefer full send there at once.
    fn new<'a, I>(backends: I, now: Instant) -> Self
    where
        I: Iterator<Item = &'a Rc<Backend>>,
    {
        let shared = backends.filter(|b| b.shares_load());
        let loads = shared.map(|b| b.load(now) / b.room(now));
        let (sum, count) = loads.fold((0.0, 0.0), |(sum, count), l| (sum + l, count + 1.0));
        Self {
            mean: (count > 0.0).then(|| sum / count),
        }
    }

    /// Requests in flight at a server, as far as known or assumed.
    fn known_load(self, backend: &Backend, context: &SelectionContext<'_>) -> f64 {
        let load = backend.load(context.now);
        let server = backend.server();
        let max_assumed = if *server.zone == *context.zone {
            MAX_KNOWN_LOAD
        } else {
            MAX_ASSUMED_ELSEWHERE
        };
        match self.mean {
            Some(mean) if !backend.shares_load() => {
                let others = mean.min(max_assumed) * f64::from(server.slots.max(1));
                load.max(f64::from(backend.in_flight()) + others)
            }
            _ => load,
        }
    }

    /// Requests in flight at which a server gets no more.
    fn max_load(self, backend: &Backend, now: Instant) -> f64 {
        match self.mean {
            Some(_) => backend.room(now) * MAX_KNOWN_LOAD,
            None => f64::from(backend.server().slots.max(1)) * MAX_REQUESTS_PER_SLOT,
        }
    }
}

/// Requests in flight from which on a request waits at a backend server.
fn parallel_requests(backend: &Backend, now: Instant) -> f64 {
    if backend.shares_load() {
        backend.room(now)
    } else {
        f64::from(backend.server().slots.max(1))
    }
}

fn min_by_cost<'a, I, C>(backends: I, cost: C) -> Option<Rc<Backend>>
where
    I: Iterator<Item = &'a Rc<Backend>>,
    C: Fn(&Backend) -> f64,
{
    let costs = backends.map(|b| {
        let jitter = 1.0 + COST_JITTER * fastrand::f64();
        (cost(b) * jitter, b)
    });
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, b)| Rc::clone(b))
}

/// Expected duration of a request at a backend server, in requests of average length.
pub fn cost(backend: &Backend, context: &SelectionContext<'_>) -> f64 {
    cost_at(backend, backend.load(context.now), context)
}

fn cost_at(backend: &Backend, known_load: f64, context: &SelectionContext<'_>) -> f64 {
    let server = backend.server();
    let parallel = parallel_requests(backend, context.now);
    let load = known_load / parallel;
    let wait = ((known_load + 1.0) / parallel).max(1.0) + CROWDING_FACTOR * load * load;
    let zone_cost = match *server.zone == *context.zone {
        true if backend.is_preferred() => 0.0,
        true => NOT_PREFERRED_COST,
        false => OTHER_ZONE_COST,
    };
    backend.relative_latency(context.now) * wait + zone_cost + FAILURE_COST * backend.failure_rate()
}

/// Marks the backend servers of the zone that this entry VM prefers.
///
/// `position` is the index of this VM among the entry VMs of the zone, and their
/// number. Preferred sets are spread evenly, so that each server is preferred by about
/// as many entry VMs.
pub fn assign_preferred(backends: &[Rc<Backend>], zone: &str, position: (usize, usize)) {
    let zone_backends = zone_order(backends, zone);
    for (i, backend) in zone_backends.iter().enumerate() {
        backend.set_preferred(prefers(position, (i, zone_backends.len())));
    }
}

/// Whether an entry VM prefers a backend server; both are given by their index and the number of
/// those in the zone.
pub fn prefers(entry_vm: (usize, usize), server: (usize, usize)) -> bool {
    let ((index, entry_vms), (i, servers)) = (entry_vm, server);
    let first = index * servers / entry_vms.max(1);
    let offset = (i + servers - first.min(servers)) % servers.max(1);
    offset < PREFERRED_PER_ENTRY_VM
}

/// Backend servers of a zone in the order in which entry VMs prefer them.
pub fn zone_order(backends: &[Rc<Backend>], zone: &str) -> Vec<Rc<Backend>> {
    let in_zone = backends.iter().filter(|b| *b.server().zone == *zone);
    let mut zone_backends: Vec<_> = in_zone.cloned().collect();
    zone_backends.sort_by_key(|b| Arc::clone(&b.server().incarnation.server));
    zone_backends
}
