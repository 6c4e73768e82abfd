//! Order in which requests of one service that wait for capacity get it.
//!
//! Answers the load pattern of more requests than room, with unequal ranks: an urgent request
//! overtakes, and among requests of one rank the oldest is first. A request that has waited
//! [`RANK_ADVANTAGE`] for each rank goes before newer ones of higher ranks, so that no rank is
//! left without any service.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids;
use crate::table::model::Rank;

/// By how much later a request may arrive and still go first, for each rank that it is higher.
const RANK_ADVANTAGE: Duration = Duration::from_millis(300);

/// Place in the order: the arrival time, delayed for lower ranks, and a number that makes it unique.
type Place = (Instant, u64);

#[derive(Default)]
struct Places {
    next_number: u64,
    waiting: HashMap<ids::ServiceName, BTreeSet<Place>>,
}

/// Requests of this VM that wait for capacity, by service; clones share the state.
#[derive(Clone, Default)]
pub struct WaitingRequests {
    places: Rc<RefCell<Places>>,
}

/// A waiting request; it leaves the order when dropped.
pub struct Waiter {
    requests: WaitingRequests,
    service: ids::ServiceName,
    place: Place,
}

impl WaitingRequests {
    /// Adds a request that arrived at `arrived_at`.
    pub fn join(&self, service: &ids::ServiceName, rank: Rank, arrived_at: Instant) -> Waiter {
        let mut places = self.places.borrow_mut();
        places.next_number = places.next_number.wrapping_add(1);
        let delay = RANK_ADVANTAGE.saturating_mul(rank);
        let at = arrived_at.checked_add(delay).unwrap_or(arrived_at);
        let place = (at, places.next_number);
        let waiting = places.waiting.entry(Arc::clone(service)).or_default();
        waiting.insert(place);
        Waiter {
            requests: self.clone(),
            service: Arc::clone(service),
            place,
        }
    }

    /// Whether any request waits for a service.
    pub fn any(&self, service: &str) -> bool {
        self.places.borrow().waiting.contains_key(service)
    }

    /// Number of requests that wait for a service.
    pub fn count(&self, service: &str) -> usize {
        let places = self.places.borrow();
        places.waiting.get(service).map_or(0, BTreeSet::len)
    }
}

impl Waiter {
    /// Whether no other request of the service goes before this one.
    pub fn is_first(&self) -> bool {
        let places = self.requests.places.borrow();
        let waiting = places.waiting.get(&self.service);
        waiting.and_then(BTreeSet::first) == Some(&self.place)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut places = self.requests.places.borrow_mut();
        let Some(waiting) = places.waiting.get_mut(&self.service) else {
            return;
        };
        waiting.remove(&self.place);
        if waiting.is_empty() {
            places.waiting.remove(&self.service);
        }
    }
}

impl fmt::Debug for WaitingRequests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WaitingRequests").finish_non_exhaustive()
    }
}

impl fmt::Debug for Waiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Waiter")
            .field("service", &self.service)
            .finish_non_exhaustive()
    }
}
