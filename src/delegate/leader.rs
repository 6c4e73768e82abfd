//! Calls to whichever control VM leads.

use std::cell::Cell;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::rpc::{CallError, Peer};

/// The control VMs, with the one that is taken for the leader.
#[derive(Debug)]
pub struct Leader {
    peers: Vec<Peer>,
    current: Cell<usize>,
}

impl Leader {
    /// The control VMs; the first is asked first.
    pub fn new(peers: Vec<Peer>) -> Self {
        Self {
            peers,
            current: Cell::new(0),
        }
    }

    /// Number of control VMs.
    pub const fn count(&self) -> usize {
        self.peers.len()
    }

    /// Calls the control VM taken for the leader; after an error the next one is taken for it.
    pub async fn call<Q, A>(
        &self,
        method: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, CallError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let tried = self.current.get();
        let Some(peer) = self.peers.get(tried) else {
            return Err(CallError::Unreachable("no control VM is known".into()));
        };
        let answer = peer.call(method, request, timeout).await;
        if answer.is_err() {
            self.pass(tried);
        }
        answer
    }

    /// Takes the next control VM for the leader, unless another call did so already.
    pub fn pass(&self, tried: usize) {
        if self.current.get() == tried {
            self.current.set((tried + 1) % self.peers.len().max(1));
        }
    }

    /// Position of the control VM taken for the leader.
    pub const fn current(&self) -> usize {
        self.current.get()
    }
}
