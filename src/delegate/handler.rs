//! The control daemon's RPC handler for entry VMs.
//!
//! Only a leader responds, and only after it has confirmed its leadership with
//! a majority since the request arrived, so a VM that was partitioned does not
//! respond with outdated state.

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
use crate::rpc::{Fault, RpcResult, error, server};
use crate::timing;

/// Timeout for this VM to apply the commands that a majority has committed.
const APPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Boxed future of a local task.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Log position committed when leadership was confirmed.
///
/// The error is the fault to respond with, for example if another VM leads.
pub type ReadIndexResult = Result<ids::LogIndex, Fault>;

/// Access of the [`Handler`] to the replicated log.
pub struct LogAccess {
    /// Confirms leadership with a majority and gives the log position committed by then.
    pub read_barrier: Box<dyn Fn() -> BoxFuture<ReadIndexResult>>,
    /// Start of this VM's leadership; `None` if it does not lead.
    pub leading_since: Box<dyn Fn() -> Option<Instant>>,
    /// Log position up to which commands are applied.
    pub applied: Box<dyn Fn() -> ids::LogIndex>,
    /// Notified when commands were applied.
    pub changed: Rc<Notify>,
}

/// Handles the RPC methods `control.watch` and `delegate.renew`.
pub struct Handler {
    /// The replicated log.
    pub log: LogAccess,
    /// The replicated state.
    pub store: Rc<RefCell<Store>>,
    /// State of the leader.
    pub planner: Rc<RefCell<Planner>>,
    /// Returns the documents changed after a log position.
    pub documents: Box<dyn Fn(ids::LogIndex) -> Vec<DocumentUpdate>>,
}

impl Handler {
    /// Answers an RPC; `None` if the method is not handled here.
    pub async fn answer(&self, method: &str, body: &RawValue) -> Option<RpcResult> {
        match method {
            watch::METHOD => Some(self.watch(body).await),
            renew::METHOD => Some(self.renew(body).await),
            _ => None,
        }
    }

    async fn watch(&self, body: &RawValue) -> RpcResult {
        let arrived = clock::now();
        let request: WatchRequest = server::decode_params(body)?;
        self.confirm_leadership().await?;
        self.planner
            .borrow_mut()
            .record_watch(clock::now(), &request);
        if self.applied() < request.known_index {
            return Err(Fault::new(error::REFUSED, "the asking VM knows more"));
        }
        let wait = request.wait.min(timing::LONG_POLL_TIMEOUT);
        loop {
            let response = self.updates(request.known_index);
            let left = wait.saturating_sub(clock::now().saturating_duration_since(arrived));
            if !response.is_empty() || left.is_zero() {
                return server::encode_result(&response);
            }
            self.log.changed.wait(left).await;
        }
    }

    async fn renew(&self, body: &RawValue) -> RpcResult {
        let request: RenewRequest = server::decode_params(body)?;
        self.confirm_leadership().await?;
        let mut planner = self.planner.borrow_mut();
        let response = planner.renew(clock::now(), &request, &self.store.borrow());
        server::encode_result(&response)
    }

    /// Confirms that this VM leads and has applied all that was committed before the call.
    async fn confirm_leadership(&self) -> Result<(), Fault> {
        let index = (self.log.read_barrier)().await?;
        let start = clock::now();
        while self.applied() < index {
            let left = APPLY_TIMEOUT.saturating_sub(clock::now().saturating_duration_since(start));
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
            removed_vms: updates.removed_vms,
            all_vms: updates.all_vms,
            drains: updates.drains,
        }
    }
}

impl fmt::Debug for LogAccess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogAccess").finish_non_exhaustive()
    }
}

impl fmt::Debug for Handler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handler").finish_non_exhaustive()
    }
}
