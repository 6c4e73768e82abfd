//! The limiter before one backend server.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use local_sync::oneshot;

use super::limit::AdaptiveLimit;
use crate::clock;
use crate::ids;

/// Shortest time that a shed caller is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Position of a rank in the document, 0 for the most important.
pub type RankIndex = usize;

/// A request that was not let through; it never left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shed {
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// How a request that was let through ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The server answered.
    Served,
    /// The server shed it.
    Shed,
    /// It failed or was given up.
    Failed,
}

/// Order in the queue: by rank, then by arrival.
type Place = (RankIndex, u64);

struct State {
    limit: AdaptiveLimit,
    inside: u32,
    arrivals: u64,
    queue: BTreeMap<Place, oneshot::Sender<Admitted>>,
}

/// Sent to a waiting request; an admitted one already counts as inside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Admitted {
    Yes,
    Evicted,
}

/// The limiter before one backend server; clones share it.
#[derive(Clone)]
pub struct Limiter {
    state: Rc<RefCell<State>>,
}

/// Leave to send one request; gives its place back when it is dropped.
pub struct Permit {
    limiter: Limiter,
    ending: RequestOutcome,
}

impl Limiter {
    /// A limiter before a server with so many usable slots.
    pub fn new(slots: u32) -> Self {
        Self {
            state: Rc::new(RefCell::new(State {
                limit: AdaptiveLimit::new(slots),
                inside: 0,
                arrivals: 0,
                queue: BTreeMap::new(),
            })),
        }
    }

    /// Follows a change of the server's usable slots.
    pub fn resize(&self, slots: u32) {
        self.state.borrow_mut().limit.resize(slots);
        self.let_in();
    }

    /// Requests inside and waiting.
    pub fn occupancy(&self) -> (u32, usize) {
        let state = self.state.borrow();
        (state.inside, state.queue.len())
    }

    /// Waits for leave to send a request, in a queue of at most `queue`, until `give_up`.
    ///
    /// # Errors
    ///
    /// [`Shed`] if the queue is full of requests that rank as high, if a
    /// request of higher rank took its place, or if `give_up` came first.
    pub async fn acquire(
        &self,
        rank: RankIndex,
        queue: usize,
        give_up: Instant,
    ) -> Result<Permit, Shed> {
        let Some((place, receiver)) = self.enter(rank, queue)? else {
            return Ok(self.permit());
        };
        let mut waiting = Waiting {
            limiter: self,
            place,
            receiver,
        };
        let left = give_up.saturating_duration_since(clock::now());
        match monoio::time::timeout(left, &mut waiting.receiver).await {
            Ok(Ok(Admitted::Yes)) => Ok(self.permit()),
            Ok(Ok(Admitted::Evicted) | Err(_)) | Err(_) => Err(shed()),
        }
    }

    /// Goes in at once (`None`) or takes a place in the queue.
    fn enter(
        &self,
        rank: RankIndex,
        queue: usize,
    ) -> Result<Option<(Place, oneshot::Receiver<Admitted>)>, Shed> {
        let mut state = self.state.borrow_mut();
        if state.inside < state.limit.allowed() && state.queue.is_empty() {
            state.inside += 1;
            return Ok(None);
        }
        if state.queue.len() >= queue {
            match state.queue.last_key_value() {
                Some((&(lowest, _), _)) if rank < lowest => state.evict_last(),
                _ => return Err(shed()),
            }
        }
        let place = (rank, state.arrivals);
        state.arrivals += 1;
        let (sender, receiver) = oneshot::channel();
        state.queue.insert(place, sender);
        Ok(Some((place, receiver)))
    }

    fn permit(&self) -> Permit {
        Permit {
            limiter: self.clone(),
            ending: RequestOutcome::Failed,
        }
    }

    /// Lets waiting requests in while there is room.
    fn let_in(&self) {
        let mut state = self.state.borrow_mut();
        while state.inside < state.limit.allowed() {
            let Some((_, sender)) = state.queue.pop_first() else {
                return;
            };
            if sender.send(Admitted::Yes).is_ok() {
                state.inside += 1;
            }
        }
    }

    fn leave(&self, ending: RequestOutcome) {
        {
            let mut state = self.state.borrow_mut();
            state.inside = state.inside.saturating_sub(1);
            match ending {
                RequestOutcome::Served => state.limit.record_served(),
                RequestOutcome::Shed => state.limit.record_shed(),
                RequestOutcome::Failed => {}
            }
        }
        self.let_in();
    }
}

impl State {
    fn evict_last(&mut self) {
        if let Some((_, sender)) = self.queue.pop_last() {
            let _ = sender.send(Admitted::Evicted);
        }
    }
}

impl fmt::Debug for Limiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (inside, waiting) = self.occupancy();
        f.debug_struct("Limiter")
            .field("inside", &inside)
            .field("waiting", &waiting)
            .finish_non_exhaustive()
    }
}

impl Permit {
    /// Says how the request ended; without it, it counts as failed.
    pub fn set_outcome(&mut self, ending: RequestOutcome) {
        self.ending = ending;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limiter.leave(self.ending);
    }
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit")
            .field("ending", &self.ending)
            .finish_non_exhaustive()
    }
}

/// A place in the queue; given up when its future ends or is dropped.
struct Waiting<'a> {
    limiter: &'a Limiter,
    place: Place,
    receiver: oneshot::Receiver<Admitted>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let queued = self.limiter.state.borrow_mut().queue.remove(&self.place);
        let unused = queued.is_none() && self.receiver.try_recv() == Ok(Admitted::Yes);
        if unused {
            self.limiter.leave(RequestOutcome::Failed);
        }
    }
}

fn shed() -> Shed {
    Shed {
        retry_after: MIN_RETRY_AFTER,
    }
}

/// The limiters of this entry VM, one for each start of a backend server.
#[derive(Debug, Default)]
pub struct Limiters {
    limiters: RefCell<HashMap<ids::Incarnation, Limiter>>,
}

impl Limiters {
    /// The limiter before a start of a server with so many usable slots.
    pub fn limiter(&self, incarnation: &ids::Incarnation, slots: u32) -> Limiter {
        let mut limiters = self.limiters.borrow_mut();
        if let Some(limiter) = limiters.get(incarnation) {
            return limiter.clone();
        }
        let limiter = Limiter::new(slots);
        limiters.insert(Arc::clone(incarnation), limiter.clone());
        limiter
    }

    /// Drops limiters that nobody uses and `keep` does not want.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&ids::Incarnation) -> bool,
    {
        let idle = |limiter: &Limiter| limiter.occupancy() == (0, 0);
        self.limiters
            .borrow_mut()
            .retain(|name, limiter| !idle(limiter) || keep(name));
    }
}
