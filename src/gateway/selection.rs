//! Which backend server a request is offered to.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::backend::Backend;

/// What a backend server in another zone costs more, in requests of average length:
/// bytes between zones are dear, waiting behind others is dearer.
const OTHER_ZONE_COST: f64 = 0.9;

/// What a backend server of the own zone costs more that other entry VMs prefer.
const NOT_PREFERRED_COST: f64 = 0.5;

/// Backend servers of its zone that an entry VM prefers: so many that some have room, and so
/// few that it hears of the load of each more than once a second.
const PREFERRED_PER_ENTRY_VM: usize = 12;

/// How much a server that is nearly full is slower than one with free slots.
const CROWDING_FACTOR: f64 = 0.35;

/// What a failure costs, in requests of average length.
const FAILURE_COST: f64 = 4.0;

/// Part by which equal costs are drawn apart, so that entry VMs don't all choose alike.
const COST_JITTER: f64 = 0.08;

/// Requests for each slot from which on a server gets no more of them.
const MAX_REQUESTS_PER_SLOT: f64 = 2.5;

/// How long a server may leave requests without any answer before others go elsewhere.
const MAX_SILENCE: Duration = Duration::from_millis(1500);

/// What is known about the others that want the same.
#[derive(Clone, Copy, Debug)]
pub struct SelectionContext<'a> {
    /// Zone of this VM.
    pub zone: &'a str,
    /// Requests that this VM may have under way at one backend server.
    pub max_connections: u32,
    /// Now.
    pub now: Instant,
}

/// The backend server with the least expected cost that is not among `tried`.
///
/// Servers that rest after failures are taken only if all do.
pub fn select_backend(
    backends: &[Rc<Backend>],
    tried: &[Rc<Backend>],
    context: &SelectionContext<'_>,
) -> Option<Rc<Backend>> {
    let untried = |b: &&Rc<Backend>| !tried.iter().any(|t| Rc::ptr_eq(t, b));
    let available = |b: &&Rc<Backend>| b.is_ready() && has_capacity(b, context);
    let responsive =
        |b: &&Rc<Backend>| !b.is_backing_off(context.now) && b.silence(context.now) < MAX_SILENCE;
    let usable = || backends.iter().filter(untried).filter(available);
    if backends.iter().any(|b| b.is_ready() && responsive(&b)) {
        min_by_cost(usable().filter(responsive), context)
    } else {
        min_by_cost(usable(), context)
    }
}

/// Whether a backend server can take another request.
pub fn has_capacity(backend: &Backend, context: &SelectionContext<'_>) -> bool {
    let slots = f64::from(backend.server().slots.max(1));
    backend.in_flight() < context.max_connections
        && backend.load(context.now) < slots * MAX_REQUESTS_PER_SLOT
}

fn min_by_cost<'a, I>(backends: I, context: &SelectionContext<'_>) -> Option<Rc<Backend>>
where
    I: Iterator<Item = &'a Rc<Backend>>,
{
    let costs = backends.map(|b| {
        let jitter = 1.0 + COST_JITTER * fastrand::f64();
        (cost(b, context) * jitter, b)
    });
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, b)| Rc::clone(b))
}

/// Expected time of a request there, in requests of average length.
pub fn cost(backend: &Backend, context: &SelectionContext<'_>) -> f64 {
    let server = backend.server();
    let slots = f64::from(server.slots.max(1));
    let load = backend.load(context.now) / slots;
    let with_this = backend.load(context.now) + 1.0;
    let wait = (with_this / slots).max(1.0) + CROWDING_FACTOR * load * load;
    let zone_cost = match *server.zone == *context.zone {
        true if backend.is_preferred() => 0.0,
        true => NOT_PREFERRED_COST,
        false => OTHER_ZONE_COST,
    };
    backend.relative_latency(context.now) * wait + zone_cost + FAILURE_COST * backend.failure_rate()
}

/// Has an entry VM prefer its part of the backend servers of its zone.
///
/// `place` is its number among the entry VMs of the zone, and their count. The
/// parts lie evenly over all, so that each server is preferred by about as many.
pub fn assign_preferred(backends: &[Rc<Backend>], zone: &str, position: (usize, usize)) {
    let mut zone_backends: Vec<_> = backends
        .iter()
        .filter(|b| *b.server().zone == *zone)
        .collect();
    zone_backends.sort_by_key(|b| Arc::clone(&b.server().life.server));
    let (index, entry_vms) = position;
    let first = index * zone_backends.len() / entry_vms.max(1);
    for (i, backend) in zone_backends.iter().enumerate() {
        let offset =
            (i + zone_backends.len() - first.min(zone_backends.len())) % zone_backends.len().max(1);
        backend.set_preferred(offset < PREFERRED_PER_ENTRY_VM);
    }
}
