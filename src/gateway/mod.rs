//! Gateway of a fleet: routes callers' requests from an entry VM to backend servers.
//!
//! An entry VM [polls](control_poll) the control VMs for the routing table, the
//! backend servers and the owners of keys ([`routing`]). Each caller connection has
//! one task ([`caller`]), which reads pipelined requests ahead and answers them in
//! order. A request ([`request`]) is matched to a route, assigned to a backend server
//! ([`selection`]), sent and answered ([`exchange`]). Whether it may be retried depends
//! on the [outcome](exchange::Outcome) and on a [`budget`] that the entry VMs share
//! without coordination.

mod attempts;
pub mod backend;
pub mod backend_connection;
pub mod budget;
pub mod caller;
pub mod capacity;
pub mod control_poll;
pub mod daemon;
pub mod exchange;
pub mod head;
pub mod hedge;
pub mod held_response;
mod notices;
pub mod peers;
pub mod relay;
mod relayed;
pub mod request;
pub mod response;
mod response_writer;
pub mod routing;
pub mod seat_queue;
pub mod seats;
pub mod selection;
#[cfg(test)]
mod tests;
pub mod waiting;
pub mod warmup;

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::clock;
use crate::fleet::load::LoadCounts;
use crate::ids;
use crate::notify::Notify;
use crate::settings::fleet::{DEFAULT_DRAIN, DEFAULT_EVACUATION, Retries};
use crate::web::StopHandle;

pub use head::HeaderNames;

/// State shared by the tasks of an entry VM.
pub struct Gateway {
    /// Names of the headers exchanged with callers and backend servers.
    pub header_names: HeaderNames,
    /// Availability zone of this VM.
    pub zone: ids::ZoneName,
    /// Routing state as reported by the control VMs.
    pub routing: RefCell<routing::RoutingState>,
    /// Woken when [`Gateway::routing`] changes.
    pub changed: Notify,
    /// Retry budgets of the services.
    pub budget: RefCell<budget::RetryBudget>,
    /// Woken when a backend server is first seen to leave.
    pub noticed: Notify,
    /// How long a server that leaves may still get requests.
    pub drain: Cell<Duration>,
    /// Time after which the servers of an evacuated zone get no more requests.
    pub evacuation: Cell<Duration>,
    /// Requests per key that were not yet reported to the control VMs.
    pub loads: RefCell<LoadCounts>,
    /// State as relay VM, and as sender to relay VMs.
    pub relay: relay::Relay,
    /// Asks caller connections to close.
    pub stop: StopHandle,
    /// Aborts requests in flight, so that the responses queued behind them are still sent.
    pub abort: StopHandle,
    /// When this VM starts to reject requests; set on shutdown.
    pub accept_until: Cell<Option<Instant>>,
    /// Requests that wait for capacity.
    pub waiting: waiting::WaitingRequests,
    /// Memory for responses that are held back.
    pub held: held_response::HeldBytes,
    /// Counters of requests by result.
    pub counters: Counters,
}

/// Counters of requests by result.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests answered by a backend server.
    pub answered: Cell<u64>,
    /// Requests answered by this VM with a rejection or failure.
    pub rejected: Cell<u64>,
    /// Retries sent.
    pub retried: Cell<u64>,
    /// Second attempts sent while the first was unanswered.
    pub hedged: Cell<u64>,
    /// Second attempts whose response was forwarded.
    pub hedge_won: Cell<u64>,
    /// Backend servers first seen to leave in a response.
    pub leaving: Cell<u64>,
    /// Times that a backend server began to want no requests.
    pub quiet: Cell<u64>,
}

impl Gateway {
    /// Creates a gateway without routing state.
    pub fn new(header_names: HeaderNames, zone: ids::ZoneName, retries: &Retries) -> Rc<Self> {
        Rc::new(Self {
            header_names,
            zone,
            routing: RefCell::default(),
            changed: Notify::default(),
            budget: RefCell::new(budget::RetryBudget::new(retries)),
            noticed: Notify::default(),
            drain: Cell::new(DEFAULT_DRAIN),
            evacuation: Cell::new(DEFAULT_EVACUATION),
            loads: RefCell::default(),
            relay: relay::Relay::default(),
            stop: StopHandle::default(),
            abort: StopHandle::default(),
            accept_until: Cell::default(),
            waiting: waiting::WaitingRequests::default(),
            held: held_response::HeldBytes::default(),
            counters: Counters::default(),
        })
    }

    /// Asks connections to close; requests are accepted for `grace` longer.
    pub fn shut_down(&self, grace: Duration) {
        self.accept_until.set(Some(clock::now() + grace));
        self.stop.stop();
    }

    /// Whether this VM shuts down and rejects new requests.
    pub fn is_shut_down(&self) -> bool {
        self.accept_until
            .get()
            .is_some_and(|until| clock::now() >= until)
    }

    /// Whether requests can be routed.
    pub fn is_ready(&self) -> bool {
        self.routing.borrow().table.is_some() && !self.stop.is_stopping()
    }
}

impl fmt::Debug for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateway")
            .field("zone", &self.zone)
            .finish_non_exhaustive()
    }
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_add(1));
}
