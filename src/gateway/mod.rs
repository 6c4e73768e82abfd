//! The entry VM's side of a fleet: callers' requests on their way to backend servers.
//!
//! An entry VM [follows](follow) what the control VMs know: the routing table,
//! the backend servers and who holds which keys ([`known`]). Each connection of
//! a caller has one task ([`caller`]), which reads requests ahead and answers
//! them in their order. A request ([`request`]) is routed, offered to a backend
//! server ([`choose`]), sent and answered ([`exchange`]); what may be sent again
//! follows from the [verdict](exchange::Outcome) and from a [`budget`] that the
//! entry VMs share without asking each other.

mod attempts;
pub mod backend;
pub mod budget;
pub mod caller;
pub mod control_poll;
pub mod daemon;
pub mod exchange;
pub mod head;
pub mod request;
pub mod response;
mod response_writer;
pub mod routing;
pub mod selection;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::clock;
use crate::fleet::balance::Loads;
use crate::ids;
use crate::notify::Notify;
use crate::settings::fleet::Retries;
use crate::web::Stop;

pub use head::HeaderNames;

/// What the tasks of an entry VM share.
pub struct Gateway {
    /// Headers by which callers and backend servers speak.
    pub header_names: HeaderNames,
    /// Availability zone of this VM.
    pub zone: ids::ZoneName,
    /// What the control VMs told.
    pub routing: RefCell<routing::RoutingState>,
    /// Wakes when [`Gate::known`] has changed.
    pub changed: Notify,
    /// What may be sent again.
    pub budget: RefCell<budget::RetryBudget>,
    /// Requests by keys that the control VMs have not yet heard of.
    pub loads: RefCell<Loads>,
    /// Asks connections to end.
    pub stop: Stop,
    /// Asks requests under way to end, so that what waits behind them is still answered.
    pub abort: Stop,
    /// From when on no request is taken any more, once this VM stops.
    pub accept_until: Cell<Option<Instant>>,
    /// What became of requests so far.
    pub counters: Counters,
}

/// What became of requests.
#[derive(Debug, Default)]
pub struct Counters {
    /// Answered by a backend server.
    pub answered: Cell<u64>,
    /// Answered with a refusal or failure of this VM's own.
    pub rejected: Cell<u64>,
    /// Sent again.
    pub retried: Cell<u64>,
}

impl Gateway {
    /// A gate that knows nothing yet.
    pub fn new(header_names: HeaderNames, zone: ids::ZoneName, retries: &Retries) -> Rc<Self> {
        Rc::new(Self {
            header_names,
            zone,
            routing: RefCell::default(),
            changed: Notify::default(),
            budget: RefCell::new(budget::RetryBudget::new(retries)),
            loads: RefCell::default(),
            stop: Stop::default(),
            abort: Stop::default(),
            accept_until: Cell::default(),
            counters: Counters::default(),
        })
    }

    /// Asks connections to end; requests are taken for `leave` longer.
    pub fn shut_down(&self, grace: Duration) {
        self.accept_until.set(Some(clock::now() + grace));
        self.stop.stop();
    }

    /// Whether this VM stops and takes no more requests.
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

/// Adds one to a counter.
fn increment(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_add(1));
}
