//! Waiting for a place at a backend server: the tasks around [`seats`].

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::oneshot;

use super::backend::Backend;
use super::seats::{Decision, SeatId, SeatRequest, Seats};
use crate::clock;
use crate::fleet::Incarnation;

/// Interval at which a waiting request is looked at while no other one arrives or ends.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long the queue of a server is remembered without requests.
const IDLE_LIFETIME: Duration = Duration::from_mins(1);

/// Requests of other senders that are not subtracted from a server's slots: a server may count the
/// request that it answers.
const TOLERATED_OTHERS: f64 = 1.0;

/// Queues of the backend servers that this VM is the relay VM of.
#[derive(Debug, Default)]
pub struct SeatQueues {
    queues: RefCell<HashMap<Incarnation, Rc<SeatQueue>>>,
}

/// Queue of one backend server.
pub struct SeatQueue {
    seats: RefCell<Seats>,
    waiters: RefCell<HashMap<SeatId, oneshot::Sender<Decision>>>,
    used_at: Cell<Instant>,
}

/// Place at a backend server; free when dropped.
#[derive(Debug)]
pub struct SeatGuard {
    queue: Rc<SeatQueue>,
    id: SeatId,
    served: Cell<bool>,
}

impl SeatQueues {
    /// Waits for a place at a backend server, for as long as `may_send` allows to send to it.
    ///
    /// # Errors
    ///
    /// The time until capacity is expected, if the request can't be served by its deadline or may not
    /// be sent any more.
    pub async fn acquire<F>(
        &self,
        backend: &Backend,
        request: SeatRequest,
        may_send: F,
    ) -> Result<SeatGuard, Duration>
    where
        F: Fn() -> bool,
    {
        let now = clock::now();
        let limit = limit(backend, now);
        let queue = {
            let mut queues = self.queues.borrow_mut();
            let incarnation = backend.server().incarnation.clone();
            let new = || Rc::new(SeatQueue::new(limit, now));
            Rc::clone(queues.entry(incarnation).or_insert_with(new))
        };
        queue.acquire(backend, request, may_send).await
    }

    /// Forgets queues that have not been used for a while.
    pub fn sweep(&self, now: Instant) {
        self.queues.borrow_mut().retain(|_, queue| {
            !queue.seats.borrow().is_empty() || now < queue.used_at.get() + IDLE_LIFETIME
        });
    }

    /// Requests in flight and waiting at all servers.
    pub fn counts(&self) -> (usize, usize) {
        let queues = self.queues.borrow();
        queues.values().fold((0, 0), |(running, waiting), queue| {
            let seats = queue.seats.borrow();
            (
                running + seats.running_count(),
                waiting + seats.waiting_count(),
            )
        })
    }
}

impl SeatQueue {
    fn new(limit: u32, now: Instant) -> Self {
        Self {
            seats: RefCell::new(Seats::new(limit, now)),
            waiters: RefCell::default(),
            used_at: Cell::new(now),
        }
    }

    /// Follows what the server takes now.
    fn update(&self, backend: &Backend, now: Instant) {
        let pace = backend.limiter().borrow().relay_interval(now);
        let mut seats = self.seats.borrow_mut();
        seats.set_limit(limit(backend, now));
        seats.set_pace(pace);
    }

    async fn acquire<F>(
        self: &Rc<Self>,
        backend: &Backend,
        request: SeatRequest,
        may_send: F,
    ) -> Result<SeatGuard, Duration>
    where
        F: Fn() -> bool,
    {
        let last_place_at = Seats::last_place_at(&request);
        let deadline = request.deadline;
        let now = clock::now();
        self.used_at.set(now);
        self.update(backend, now);
        let id = self.seats.borrow_mut().arrive(request, now);
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(id, sender);
        let mut waiting = Waiting {
            queue: self,
            id,
            receiver,
            has_place: false,
        };
        self.decide(now);
        loop {
            let now = clock::now();
            let next_start = self.seats.borrow().next_start();
            let changes = [last_place_at, deadline, next_start].into_iter();
            let next_change = changes.filter(|at| *at > now).min();
            let pause =
                next_change.map_or(RECHECK_INTERVAL, |at| at.saturating_duration_since(now));
            let pause = pause.min(RECHECK_INTERVAL);
            match monoio::time::timeout(pause, &mut waiting.receiver).await {
                Ok(Ok(Decision::Start)) => {
                    waiting.has_place = true;
                    return Ok(SeatGuard {
                        queue: Rc::clone(self),
                        id,
                        served: Cell::new(false),
                    });
                }
                Ok(Ok(Decision::Refuse(after))) => return Err(after),
                Ok(Err(_)) => return Err(RECHECK_INTERVAL),
                Err(_) if !may_send() => return Err(RECHECK_INTERVAL),
                Err(_) => {
                    let now = clock::now();
                    self.update(backend, now);
                    self.decide(now);
                }
            }
        }
    }

    fn decide(&self, now: Instant) {
        let decisions = self.seats.borrow_mut().decide(now);
        for (id, decision) in decisions {
            let waiter = self.waiters.borrow_mut().remove(&id);
            // A request that has just gone frees its place when its guard is dropped.
            let _ = waiter.map(|sender| sender.send(decision));
        }
    }

    fn finish(&self, id: SeatId, served: bool) {
        let now = clock::now();
        self.used_at.set(now);
        self.seats.borrow_mut().finish(id, served, now);
        self.decide(now);
    }
}

impl fmt::Debug for SeatQueue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SeatQueue")
            .field("seats", &self.seats)
            .finish_non_exhaustive()
    }
}

impl SeatGuard {
    /// Records that the server has answered.
    pub fn set_served(&self) {
        self.served.set(true);
    }
}

impl Drop for SeatGuard {
    fn drop(&mut self) {
        self.queue.finish(self.id, self.served.get());
    }
}

/// Request in the queue; it leaves the queue when dropped.
struct Waiting<'a> {
    queue: &'a Rc<SeatQueue>,
    id: SeatId,
    receiver: oneshot::Receiver<Decision>,
    has_place: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.has_place {
            return;
        }
        self.queue.waiters.borrow_mut().remove(&self.id);
        self.queue.seats.borrow_mut().leave(self.id);
        // It may have got a place that it didn't learn of.
        self.queue.finish(self.id, false);
    }
}

/// Requests that may be in flight at a server: as many as it takes well, without those of others.
fn limit(backend: &Backend, now: Instant) -> u32 {
    let others = backend.load(now) - f64::from(backend.in_flight());
    let others = (others - TOLERATED_OTHERS).max(0.0).floor();
    let room = backend.room(now);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value lies between 1 and a u32"
    )]
    let limit = (room - others).round().max(1.0) as u32;
    limit
}
