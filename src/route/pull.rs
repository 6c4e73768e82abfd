//! The tasks that ask carriers for routes, one for each service and zone.

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

/// Wait before the next question after one that failed.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time that an answer may take beyond the hold.
const ANSWER_ALLOWANCE: Duration = Duration::from_millis(150);

/// The carrier to ask, as this VM knows it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Epoch of the delegation.
    pub epoch: ids::Epoch,
    /// The carrier.
    pub peer: rpc::Peer,
    /// Whether this VM is a voter and may vote in this epoch.
    pub votes: bool,
}

/// Finds the carrier of a service in a zone; `None` if there is no such delegation.
pub type FindTarget = Box<dyn Fn(&str, &str) -> Option<Target>>;

/// Told before a vote leaves: service, zone, epoch, and the time.
pub type OnVote = Box<dyn Fn(&str, &str, ids::Epoch, Instant)>;

/// What the tasks need to know of the rest of the process.
pub struct Hooks {
    /// Finds the carrier to ask.
    pub find_target: FindTarget,
    /// Told before a vote leaves.
    pub on_vote: OnVote,
}

impl fmt::Debug for Hooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Hooks").finish_non_exhaustive()
    }
}

/// Starts and ends the tasks as delegations come and go.
pub struct Puller {
    table: Table,
    journal: Journal,
    sources: Rc<Hooks>,
    running: Rc<RefCell<HashSet<(ids::ServiceName, ids::ZoneName)>>>,
}

impl Puller {
    /// A puller without tasks.
    pub fn new(table: Table, journal: Journal, sources: Hooks) -> Self {
        Self {
            table,
            journal,
            sources: Rc::new(sources),
            running: Rc::default(),
        }
    }

    /// Makes sure that a task runs for a service in a zone; it ends by itself
    /// when the delegation is gone.
    pub fn ensure(&self, service: &ids::ServiceName, zone: &ids::ZoneName) {
        let id = (Arc::clone(service), Arc::clone(zone));
        if !self.running.borrow_mut().insert(id.clone()) {
            return;
        }
        self.table.add_zone(service, zone);
        let task = Task {
            service: Arc::clone(service),
            zone: Arc::clone(zone),
            table: self.table.clone(),
            journal: self.journal.clone(),
            sources: Rc::clone(&self.sources),
            answered: Cell::new(None),
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

struct Task {
    service: ids::ServiceName,
    zone: ids::ZoneName,
    table: Table,
    journal: Journal,
    sources: Rc<Hooks>,
    /// Epoch in which the last question was answered, and the answer's number; `None` if it was not.
    ///
    /// Only a carrier that answers gets votes: a vote for a silent one would
    /// keep its successor waiting.
    answered: Cell<Option<(ids::Epoch, u64)>>,
}

impl Task {
    async fn run(self) {
        while let Some(target) = (self.sources.find_target)(&self.service, &self.zone) {
            if !self.ask(&target).await {
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
        self.table.remove_zone(&self.service, &self.zone);
    }

    /// Asks once; true if the answer was taken in.
    async fn ask(&self, target: &Target) -> bool {
        let Some(request) = self.question(target) else {
            return false;
        };
        let sent = clock::now();
        if request.votes {
            (self.sources.on_vote)(&self.service, &self.zone, target.epoch, sent);
        }
        let timeout = timing::POLL_HOLD + ANSWER_ALLOWANCE;
        let answer = target
            .peer
            .call::<_, PullResponse>("route.pull", &request, timeout);
        let answer = answer.await;
        let number = answer.as_ref().map_or(0, |a| a.number);
        let taken = match answer {
            // The carrier may not act yet: its answer prolongs no map, but can be voted with.
            Ok(answer) if answer.epoch == 0 => true,
            Ok(answer) if answer.epoch == target.epoch => {
                self.table.apply(&self.service, &self.zone, answer, sent)
            }
            _ => false,
        };
        let answered = (target.epoch, number);
        self.answered.set(taken.then_some(answered));
        taken
    }

    fn question(&self, target: &Target) -> Option<PullRequest> {
        let loads = self.table.take_loads(&self.service, &self.zone);
        let answered = self.answered.get().filter(|(e, _)| *e == target.epoch);
        let answers = answered.is_some();
        self.table
            .with_map(&self.service, &self.zone, |map| PullRequest {
                vm: Arc::clone(self.journal.vm()),
                service: Arc::clone(&self.service),
                zone: Arc::clone(&self.zone),
                epoch: target.epoch,
                map_epoch: map.epoch(),
                version: map.version(),
                last_response: answered.map_or(0, |(_, number)| number),
                votes: target.votes && answers,
                max_wait: timing::POLL_HOLD,
                loads,
            })
    }
}
