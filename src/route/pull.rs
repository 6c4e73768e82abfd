//! Tasks that pull routes from primaries, one for each service and zone.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::{PullRequest, PullResponse};
use super::table::Table;
use crate::clock;
use crate::ids;
use crate::rpc;
use crate::timeline::Journal;
use crate::timing;

/// Delay before the next request after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time that the client waits longer for a response than the primary may delay it.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// The primary to pull from.
#[derive(Clone, Debug)]
pub struct Target {
    /// Epoch of the delegation.
    pub epoch: ids::Epoch,
    /// The primary's process.
    pub peer: rpc::Peer,
    /// Whether this VM is a voter and may vote in this epoch.
    pub votes: bool,
}

/// Finds the primary of a service in a zone; `None` if there is no delegation.
pub type FindTarget = Box<dyn Fn(&str, &str) -> Option<Target>>;

/// Called with service, zone, epoch and time before a vote is sent.
pub type OnVote = Box<dyn Fn(&str, &str, ids::Epoch, Instant)>;

/// Callbacks of the pull tasks.
pub struct Hooks {
    /// Finds the primary to pull from.
    pub find_target: FindTarget,
    /// Called before a vote is sent.
    pub on_vote: OnVote,
}

impl fmt::Debug for Hooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Hooks").finish_non_exhaustive()
    }
}

/// Starts the pull tasks; each ends by itself once its delegation is gone.
pub struct Puller {
    table: Table,
    journal: Journal,
    hooks: Rc<Hooks>,
    running: Rc<RefCell<HashSet<(ids::ServiceName, ids::ZoneName)>>>,
}

impl Puller {
    /// A puller without tasks.
    pub fn new(table: Table, journal: Journal, hooks: Hooks) -> Self {
        Self {
            table,
            journal,
            hooks: Rc::new(hooks),
            running: Rc::default(),
        }
    }

    /// Starts the task for a service in a zone unless it is running.
    pub fn ensure(&self, service: &ids::ServiceName, zone: &ids::ZoneName) {
        let id = (Arc::clone(service), Arc::clone(zone));
        if !self.running.borrow_mut().insert(id.clone()) {
            return;
        }
        self.table.add_zone(service, zone);
        let task = PullTask {
            service: Arc::clone(service),
            zone: Arc::clone(zone),
            table: self.table.clone(),
            journal: self.journal.clone(),
            hooks: Rc::clone(&self.hooks),
            last_response: Cell::new(None),
        };
        let running = Rc::clone(&self.running);
        monoio::spawn(async move {
            task.run().await;
            running.borrow_mut().remove(&id);
        });
    }
}

impl fmt::Debug for Puller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Puller")
            .field("running", &self.running.borrow().len())
            .finish_non_exhaustive()
    }
}

struct PullTask {
    service: ids::ServiceName,
    zone: ids::ZoneName,
    table: Table,
    journal: Journal,
    hooks: Rc<Hooks>,
    /// Epoch and number of the response to the last request; `None` if that failed.
    ///
    /// Only a primary that responds gets votes: a vote for an unreachable one would delay its
    /// successor.
    last_response: Cell<Option<(ids::Epoch, u64)>>,
}

impl PullTask {
    async fn run(self) {
        while let Some(target) = (self.hooks.find_target)(&self.service, &self.zone) {
            if !self.pull(&target).await {
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
        self.table.remove_zone(&self.service, &self.zone);
    }

    /// Sends one request; true if the response was accepted.
    async fn pull(&self, target: &Target) -> bool {
        let Some(request) = self.next_request(target) else {
            return false;
        };
        let sent = clock::now();
        if request.votes {
            (self.hooks.on_vote)(&self.service, &self.zone, target.epoch, sent);
        }
        let timeout = timing::LONG_POLL_TIMEOUT + RESPONSE_MARGIN;
        let response = target
            .peer
            .call::<_, PullResponse>("route.pull", &request, timeout);
        let response = response.await;
        let number = response.as_ref().map_or(0, |r| r.number);
        let applied = match response {
            // The primary may not act yet: its response extends no map, but can be used to vote.
            Ok(response) if response.epoch == 0 => true,
            Ok(response) if response.epoch == target.epoch => {
                self.table.apply(&self.service, &self.zone, response, sent)
            }
            _ => false,
        };
        let last_response = (target.epoch, number);
        self.last_response.set(applied.then_some(last_response));
        applied
    }

    fn next_request(&self, target: &Target) -> Option<PullRequest> {
        let loads = self.table.take_loads(&self.service, &self.zone);
        let leaving = self.table.leaving(&self.service, &self.zone);
        let last_response = self.last_response.get().filter(|(e, _)| *e == target.epoch);
        let has_responded = last_response.is_some();
        self.table
            .with_map(&self.service, &self.zone, |map| PullRequest {
                vm: Arc::clone(self.journal.vm()),
                service: Arc::clone(&self.service),
                zone: Arc::clone(&self.zone),
                epoch: target.epoch,
                map_epoch: map.epoch(),
                version: map.version(),
                last_response: last_response.map_or(0, |(_, number)| number),
                votes: target.votes && has_responded,
                max_wait: timing::LONG_POLL_TIMEOUT,
                loads,
                leaving,
            })
    }
}
