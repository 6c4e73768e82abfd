//! Concurrency limiter with a rank-ordered queue, one per backend server.

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

/// Wait suggested to callers whose requests were shed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Position of a rank in the document, 0 for the most important.
pub type RankIndex = usize;

/// Rejection of a request that was not sent to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shed {
    /// Suggested wait before the caller retries.
    pub retry_after: Duration,
}

/// Outcome of a request that held a [`Permit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The server answered.
    Served,
    /// The server shed the request.
    Shed,
    /// The request failed or was abandoned.
    Failed,
}

/// Queue order: by rank, then by arrival.
type QueueKey = (RankIndex, u64);

struct State {
    limit: AdaptiveLimit,
    in_flight: u32,
    next_arrival: u64,
    queue: BTreeMap<QueueKey, oneshot::Sender<Admission>>,
}

/// Message to a queued request; a granted one is already counted in [`State::in_flight`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Admission {
    Granted,
    Evicted,
}

/// Limiter of one backend server; clones share its state.
#[derive(Clone)]
pub struct Limiter {
    state: Rc<RefCell<State>>,
}

/// Permission to send one request; dropping it frees the slot.
pub struct Permit {
    limiter: Limiter,
    outcome: RequestOutcome,
}

impl Limiter {
    /// Creates a limiter for a server with `slots` usable slots.
    pub fn new(slots: u32) -> Self {
        Self {
            state: Rc::new(RefCell::new(State {
                limit: AdaptiveLimit::new(slots),
                in_flight: 0,
                next_arrival: 0,
                queue: BTreeMap::new(),
            })),
        }
    }

    /// Applies a change of the server's usable slots.
    pub fn resize(&self, slots: u32) {
        self.state.borrow_mut().limit.resize(slots);
        self.admit_queued();
    }

    /// Returns the numbers of requests in flight and queued.
    pub fn occupancy(&self) -> (u32, usize) {
        let state = self.state.borrow();
        (state.in_flight, state.queue.len())
    }

    /// Waits until `deadline` for a permit, in a queue of at most `max_queued` requests.
    ///
    /// # Errors
    ///
    /// [`Shed`] if the queue is full of requests of the same or a higher rank, if a
    /// request of higher rank evicted this one, or if `deadline` passed.
    pub async fn acquire(
        &self,
        rank: RankIndex,
        max_queued: usize,
        deadline: Instant,
    ) -> Result<Permit, Shed> {
        let Some((key, receiver)) = self.acquire_or_enqueue(rank, max_queued)? else {
            return Ok(self.permit());
        };
        let mut queued = QueuedRequest {
            limiter: self,
            key,
            receiver,
        };
        let left = deadline.saturating_duration_since(clock::now());
        match monoio::time::timeout(left, &mut queued.receiver).await {
            Ok(Ok(Admission::Granted)) => Ok(self.permit()),
            Ok(Ok(Admission::Evicted) | Err(_)) | Err(_) => Err(shed_error()),
        }
    }

    /// Takes a slot at once (`None`) or joins the queue.
    fn acquire_or_enqueue(
        &self,
        rank: RankIndex,
        max_queued: usize,
    ) -> Result<Option<(QueueKey, oneshot::Receiver<Admission>)>, Shed> {
        let mut state = self.state.borrow_mut();
        if state.in_flight < state.limit.allowed() && state.queue.is_empty() {
            state.in_flight += 1;
            return Ok(None);
        }
        if state.queue.len() >= max_queued {
            match state.queue.last_key_value() {
                Some((&(lowest_rank, _), _)) if rank < lowest_rank => state.evict_lowest(),
                _ => return Err(shed_error()),
            }
        }
        let key = (rank, state.next_arrival);
        state.next_arrival += 1;
        let (sender, receiver) = oneshot::channel();
        state.queue.insert(key, sender);
        Ok(Some((key, receiver)))
    }

    fn permit(&self) -> Permit {
        Permit {
            limiter: self.clone(),
            outcome: RequestOutcome::Failed,
        }
    }

    /// Grants permits to queued requests while the limit allows.
    fn admit_queued(&self) {
        let mut state = self.state.borrow_mut();
        while state.in_flight < state.limit.allowed() {
            let Some((_, sender)) = state.queue.pop_first() else {
                return;
            };
            if sender.send(Admission::Granted).is_ok() {
                state.in_flight += 1;
            }
        }
    }

    fn release(&self, outcome: RequestOutcome) {
        {
            let mut state = self.state.borrow_mut();
            state.in_flight = state.in_flight.saturating_sub(1);
            match outcome {
                RequestOutcome::Served => state.limit.record_served(),
                RequestOutcome::Shed => state.limit.record_shed(),
                RequestOutcome::Failed => {}
            }
        }
        self.admit_queued();
    }
}

impl State {
    fn evict_lowest(&mut self) {
        if let Some((_, sender)) = self.queue.pop_last() {
            let _ = sender.send(Admission::Evicted);
        }
    }
}

impl fmt::Debug for Limiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (in_flight, queued) = self.occupancy();
        f.debug_struct("Limiter")
            .field("inside", &in_flight)
            .field("queued", &queued)
            .finish_non_exhaustive()
    }
}

impl Permit {
    /// Sets the outcome of the request; [`RequestOutcome::Failed`] unless set.
    pub fn set_outcome(&mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limiter.release(self.outcome);
    }
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit")
            .field("ending", &self.outcome)
            .finish_non_exhaustive()
    }
}

/// Request in the queue; it leaves the queue when dropped.
struct QueuedRequest<'a> {
    limiter: &'a Limiter,
    key: QueueKey,
    receiver: oneshot::Receiver<Admission>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let queued = self.limiter.state.borrow_mut().queue.remove(&self.key);
        let permit_unused = queued.is_none() && self.receiver.try_recv() == Ok(Admission::Granted);
        if permit_unused {
            self.limiter.release(RequestOutcome::Failed);
        }
    }
}

fn shed_error() -> Shed {
    Shed {
        retry_after: RETRY_AFTER,
    }
}

/// Limiters of this entry VM, one per incarnation of a backend server.
#[derive(Debug, Default)]
pub struct Limiters {
    limiters: RefCell<HashMap<ids::Incarnation, Limiter>>,
}

impl Limiters {
    /// Returns the limiter of `incarnation`, created with `slots` if missing.
    pub fn limiter(&self, incarnation: &ids::Incarnation, slots: u32) -> Limiter {
        let mut limiters = self.limiters.borrow_mut();
        if let Some(limiter) = limiters.get(incarnation) {
            return limiter.clone();
        }
        let limiter = Limiter::new(slots);
        limiters.insert(Arc::clone(incarnation), limiter.clone());
        limiter
    }

    /// Drops idle limiters that `keep` returns false for.
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
