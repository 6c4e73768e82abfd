//! An entry VM's long poll for updates at the leader of the control VMs.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use super::messages::{EntryVm, ServiceCapacity, WatchRequest, WatchResponse};
use super::view::View;
use crate::control::leader_client::LeaderClient;
use crate::timing;

/// RPC method of the long poll.
pub const METHOD: &str = "control.watch";

/// Time that the client waits longer for a response than the leader may delay it.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// Pause after a poll that no control VM answered.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Keeps a [`View`] up to date.
pub struct Watcher {
    /// The view.
    pub view: Rc<View>,
    /// The control VMs.
    pub control: LeaderClient,
    /// Returns the current description of this VM.
    pub entry_vm: Box<dyn Fn() -> EntryVm>,
    /// Returns the services whose backend servers recently sent heartbeats to this VM.
    pub capacities: Box<dyn Fn() -> Vec<ServiceCapacity>>,
}

impl Watcher {
    /// Polls for updates, forever.
    pub async fn run(self) {
        loop {
            if !self.poll().await {
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Polls once; false if no leader answered or the response was older than the view.
    async fn poll(&self) -> bool {
        let request = WatchRequest {
            entry_vm: (self.entry_vm)(),
            known_index: self.view.index(),
            wait: timing::LONG_POLL_TIMEOUT,
            capacities: (self.capacities)(),
        };
        let timeout = timing::LONG_POLL_TIMEOUT + RESPONSE_MARGIN;
        let response: Result<WatchResponse, _> = self.control.call(METHOD, &request, timeout).await;
        let Ok(response) = response else {
            return false;
        };
        let applied = self.view.apply(response);
        if !applied {
            self.control.try_next();
        }
        applied
    }
}

impl fmt::Debug for Watcher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watcher")
            .field("view", &self.view)
            .finish_non_exhaustive()
    }
}
