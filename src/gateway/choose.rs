//! Which backend server a request is offered to.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::backend::Backend;

/// What a backend server in another zone costs more, in requests of average length:
/// bytes between zones are dear, waiting behind others is dearer.
const OTHER_ZONE: f64 = 0.9;

/// What a backend server of the own zone costs more that other entry VMs prefer.
const OTHERS_FIRST: f64 = 0.5;

/// Backend servers of its zone that an entry VM prefers: so many that some have room, and so
/// few that it hears of the load of each more than once a second.
const PREFERRED: usize = 12;

/// How much a server that is nearly full is slower than one with free slots.
const CROWDED: f64 = 0.35;

/// What a failure costs, in requests of average length.
const FAULT: f64 = 4.0;

/// Part by which equal costs are drawn apart, so that entry VMs don't all choose alike.
const DRAWN: f64 = 0.08;

/// Requests for each slot from which on a server gets no more of them.
const FULL: f64 = 2.5;

/// How long a server may leave requests without any answer before others go elsewhere.
const SILENT: Duration = Duration::from_millis(1500);

/// What is known about the others that want the same.
#[derive(Clone, Copy, Debug)]
pub struct Terms<'a> {
    /// Zone of this VM.
    pub zone: &'a str,
    /// Requests that this VM may have under way at one backend server.
    pub connections: u32,
    /// Now.
    pub now: Instant,
}

/// The backend server with the least expected cost that is not among `tried`.
///
/// Servers that rest after failures are taken only if all do.
pub fn choose(
    backends: &[Rc<Backend>],
    tried: &[Rc<Backend>],
    terms: &Terms<'_>,
) -> Option<Rc<Backend>> {
    let untried = |b: &&Rc<Backend>| !tried.iter().any(|t| Rc::ptr_eq(t, b));
    let open = |b: &&Rc<Backend>| b.is_ready() && has_room(b, terms);
    let fit = |b: &&Rc<Backend>| !b.is_resting(terms.now) && b.silence(terms.now) < SILENT;
    let usable = || backends.iter().filter(untried).filter(open);
    if backends.iter().any(|b| b.is_ready() && fit(&b)) {
        least(usable().filter(fit), terms)
    } else {
        least(usable(), terms)
    }
}

/// Whether a backend server can take another request.
pub fn has_room(backend: &Backend, terms: &Terms<'_>) -> bool {
    let slots = f64::from(backend.server().slots.max(1));
    backend.in_flight() < terms.connections && backend.load(terms.now) < slots * FULL
}

fn least<'a, I>(backends: I, terms: &Terms<'_>) -> Option<Rc<Backend>>
where
    I: Iterator<Item = &'a Rc<Backend>>,
{
    let costs = backends.map(|b| {
        let drawn = 1.0 + DRAWN * fastrand::f64();
        (cost(b, terms) * drawn, b)
    });
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, b)| Rc::clone(b))
}

/// Expected time of a request there, in requests of average length.
pub fn cost(backend: &Backend, terms: &Terms<'_>) -> f64 {
    let server = backend.server();
    let slots = f64::from(server.slots.max(1));
    let load = backend.load(terms.now) / slots;
    let ahead = backend.load(terms.now) + 1.0;
    let wait = (ahead / slots).max(1.0) + CROWDED * load * load;
    let zone = match *server.zone == *terms.zone {
        true if backend.is_preferred() => 0.0,
        true => OTHERS_FIRST,
        false => OTHER_ZONE,
    };
    backend.pace(terms.now) * wait + zone + FAULT * backend.faults()
}

/// Has an entry VM prefer its part of the backend servers of its zone.
///
/// `place` is its number among the entry VMs of the zone, and their count. The
/// parts lie evenly over all, so that each server is preferred by about as many.
pub fn prefer(backends: &[Rc<Backend>], zone: &str, place: (usize, usize)) {
    let mut near: Vec<_> = backends
        .iter()
        .filter(|b| *b.server().zone == *zone)
        .collect();
    near.sort_by_key(|b| Arc::clone(&b.server().incarnation.server));
    let (number, entries) = place;
    let first = number * near.len() / entries.max(1);
    for (i, backend) in near.iter().enumerate() {
        let after = (i + near.len() - first.min(near.len())) % near.len().max(1);
        backend.set_preferred(after < PREFERRED);
    }
}
