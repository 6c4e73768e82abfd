//! The entry VM's side of a fleet: callers' requests on their way to backend servers.
//!
//! An entry VM [follows](follow) what the control VMs know: the routing table,
//! the backend servers and who holds which keys ([`known`]). Each connection of
//! a caller has one task ([`caller`]), which reads requests ahead and answers
//! them in their order. A request ([`request`]) is routed, offered to a backend
//! server ([`choose`]), sent and answered ([`exchange`]); what may be sent again
//! follows from the [verdict](exchange::Outcome) and from a [`budget`] that the
//! entry VMs share without asking each other.

pub mod answer;
pub mod backend;
pub mod budget;
pub mod caller;
pub mod choose;
pub mod daemon;
pub mod exchange;
pub mod follow;
pub mod head;
pub mod known;
mod reply;
pub mod request;
#[cfg(test)]
mod tests;
mod tries;

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::clock;
use crate::fleet::load::LoadCounts;
use crate::ids;
use crate::notify::Notify;
use crate::settings::fleet::Retries;
use crate::web::Stop;

pub use head::Names;

/// What the tasks of an entry VM share.
pub struct Gate {
    /// Headers by which callers and backend servers speak.
    pub names: Names,
    /// Availability zone of this VM.
    pub zone: ids::ZoneName,
    /// What the control VMs told.
    pub known: RefCell<known::Known>,
    /// Wakes when [`Gate::known`] has changed.
    pub changed: Notify,
    /// What may be sent again.
    pub budget: RefCell<budget::Budget>,
    /// Requests by keys that the control VMs have not yet heard of.
    pub loads: RefCell<LoadCounts>,
    /// Asks connections to end.
    pub stop: Stop,
    /// Asks requests under way to end, so that what waits behind them is still answered.
    pub cut: Stop,
    /// From when on no request is taken any more, once this VM stops.
    pub last_call: Cell<Option<Instant>>,
    /// What became of requests so far.
    pub counts: Counts,
}

/// What became of requests.
#[derive(Debug, Default)]
pub struct Counts {
    /// Answered by a backend server.
    pub answered: Cell<u64>,
    /// Answered with a refusal or failure of this VM's own.
    pub refused: Cell<u64>,
    /// Sent again.
    pub repeated: Cell<u64>,
}

impl Gate {
    /// A gate that knows nothing yet.
    pub fn new(names: Names, zone: ids::ZoneName, retries: &Retries) -> Rc<Self> {
        Rc::new(Self {
            names,
            zone,
            known: RefCell::default(),
            changed: Notify::default(),
            budget: RefCell::new(budget::Budget::new(retries)),
            loads: RefCell::default(),
            stop: Stop::default(),
            cut: Stop::default(),
            last_call: Cell::default(),
            counts: Counts::default(),
        })
    }

    /// Asks connections to end; requests are taken for `leave` longer.
    pub fn close(&self, leave: Duration) {
        self.last_call.set(Some(clock::now() + leave));
        self.stop.stop();
    }

    /// Whether this VM stops and takes no more requests.
    pub fn is_closed(&self) -> bool {
        self.last_call
            .get()
            .is_some_and(|last| clock::now() >= last)
    }

    /// Whether requests can be routed.
    pub fn is_ready(&self) -> bool {
        self.known.borrow().table.is_some() && !self.stop.is_stopping()
    }
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate")
            .field("zone", &self.zone)
            .finish_non_exhaustive()
    }
}

/// Adds one to a counter.
fn count(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_add(1));
}
