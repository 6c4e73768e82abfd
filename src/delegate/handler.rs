//! The control daemon's answers to entry VMs.
//!
//! Only a leader answers, and only after a round to a majority that came after
//! the question, so a VM that was cut off for long tells nothing outdated.

use std::cell::RefCell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::value::RawValue;

use super::messages::{DocumentUpdate, RenewRequest, WatchRequest, WatchResponse};
use super::planner::Planner;
use super::store::Store;
use super::{renew, watch};
use crate::clock;
use crate::ids;
use crate::notify::Notify;
use crate::rpc::{Answer, Fault, error, server};
use crate::timing;

/// Longest wait until this VM has applied what the majority has.
const APPLY_LIMIT: Duration = Duration::from_millis(250);

/// A result that comes later.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Position committed when leadership was confirmed.
pub type ReadIndexResult = Result<ids::LogIndex, Fault>;

/// What the desk needs of the replicated log.
pub struct LogAccess {
    /// Confirms leadership by a round to a majority; gives the position committed by then.
    pub read_barrier: Box<dyn Fn() -> BoxFuture<ReadIndexResult>>,
    /// Since when this VM leads; `None` if it does not.
    pub leading_since: Box<dyn Fn() -> Option<Instant>>,
    /// Position up to which commands are applied.
    pub applied: Box<dyn Fn() -> ids::LogIndex>,
    /// Wakes when commands were applied.
    pub changed: Rc<Notify>,
}

/// Answers the methods `control.watch` and `delegate.renew`.
pub struct Handler {
    /// The replicated log.
    pub log: LogAccess,
    /// The replicated state.
    pub store: Rc<RefCell<Store>>,
    /// The leader's knowledge.
    pub planner: Rc<RefCell<Planner>>,
    /// Documents changed after a log position.
    pub documents: Box<dyn Fn(ids::LogIndex) -> Vec<DocumentUpdate>>,
}

impl Handler {
    /// Answers a call; `None` if the method belongs to another slice.
    pub async fn answer(&self, method: &str, body: &RawValue) -> Option<Answer> {
        match method {
            watch::METHOD => Some(self.watch(body).await),
            renew::METHOD => Some(self.renew(body).await),
            _ => None,
        }
    }

    async fn watch(&self, body: &RawValue) -> Answer {
        let asked = clock::now();
        let request: WatchRequest = server::params(body)?;
        self.lead().await?;
        self.planner
            .borrow_mut()
            .record_watch(clock::now(), &request);
        if self.applied() < request.known_index {
            return Err(Fault::new(error::REFUSED, "the asking VM knows more"));
        }
        let wait = request.wait.min(timing::POLL_HOLD);
        loop {
            let answer = self.updates(request.known_index);
            let left = wait.saturating_sub(clock::now().saturating_duration_since(asked));
            if !answer.is_empty() || left.is_zero() {
                return server::result(&answer);
            }
            self.log.changed.wait(left).await;
        }
    }

    async fn renew(&self, body: &RawValue) -> Answer {
        let request: RenewRequest = server::params(body)?;
        self.lead().await?;
        let mut planner = self.planner.borrow_mut();
        let answer = planner.renew(clock::now(), &request, &self.store.borrow());
        server::result(&answer)
    }

    /// Confirms that this VM leads and has applied all that was committed before the call.
    async fn lead(&self) -> Result<(), Fault> {
        let index = (self.log.read_barrier)().await?;
        let start = clock::now();
        while self.applied() < index {
            let left = APPLY_LIMIT.saturating_sub(clock::now().saturating_duration_since(start));
            if left.is_zero() {
                return Err(Fault::new(error::NOT_LEADER, "commands are applied late"));
            }
            self.log.changed.wait(left).await;
        }
        match (self.log.leading_since)() {
            Some(_) => Ok(()),
            None => Err(Fault::new(error::NOT_LEADER, "another VM leads")),
        }
    }

    fn applied(&self) -> ids::LogIndex {
        (self.log.applied)()
    }

    fn updates(&self, known_index: ids::LogIndex) -> WatchResponse {
        let updates = self.store.borrow().updates_since(known_index);
        WatchResponse {
            index: self.applied(),
            documents: (self.documents)(known_index),
            delegations: updates.delegations,
            entry_vms: updates.entry_vms,
            drains: updates.drains,
        }
    }
}

impl fmt::Debug for LogAccess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log").finish_non_exhaustive()
    }
}

impl fmt::Debug for Handler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Desk").finish_non_exhaustive()
    }
}
