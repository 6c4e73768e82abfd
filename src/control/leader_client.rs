//! Client for calls from other processes to the leader of the control VMs.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::clock;
use crate::ids;
use crate::rpc::{self, CallError, Fault, error};
use crate::timeline::Journal;

/// Longest wait for one control VM before the next one is called.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);

/// Name and address of a control VM, from the settings.
#[derive(Clone, Debug)]
pub struct ControlVm {
    /// Name of the VM.
    pub vm: ids::VmName,
    /// Address for RPC.
    pub address: SocketAddr,
}

/// Why a call to the leader returned no result.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderCallError {
    /// No leader accepted the request; it was certainly not carried out.
    NotSent,
    /// The request may have been carried out.
    OutcomeUnknown,
    /// The leader refused the request.
    Refused(Fault),
}

/// Client of the control VMs; clones share connections and the known leader.
#[derive(Clone)]
pub struct LeaderClient {
    inner: Rc<Inner>,
}

struct Inner {
    vms: Vec<(ids::VmName, rpc::Peer)>,
    leader: Cell<usize>,
}

impl LeaderClient {
    /// Creates a client of the given control VMs.
    pub fn new(vms: &[ControlVm], journal: &Journal) -> Self {
        let vms = vms
            .iter()
            .map(|c| {
                let peer = rpc::Peer::new(c.address, journal.clone());
                (ids::VmName::clone(&c.vm), peer)
            })
            .collect();
        Self {
            inner: Rc::new(Inner {
                vms,
                leader: Cell::new(0),
            }),
        }
    }

    /// Calls the leader within `timeout`, with at most as many attempts as there are control VMs.
    ///
    /// # Errors
    ///
    /// [`LeaderCallError::NotSent`] only if no control VM can have carried out the request.
    pub async fn call<Q, A>(
        &self,
        method: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, LeaderCallError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let deadline = clock::now() + timeout;
        let count = self.inner.vms.len();
        let mut outcome_unknown = false;
        let mut called = vec![false; count];
        for _ in 0..count {
            let Some(index) = self.next_uncalled(&called) else {
                break;
            };
            if let Some(called) = called.get_mut(index) {
                *called = true;
            }
            match self.call_vm(index, method, request, deadline).await {
                Ok(response) => return Ok(response),
                Err(CallError::Fault(fault)) if fault.code == error::NOT_LEADER => {
                    self.follow_hint(index, &fault);
                }
                Err(CallError::Fault(fault)) if fault.code == error::OUTCOME_UNKNOWN => {
                    self.advance_from(index);
                    outcome_unknown = true;
                }
                Err(CallError::Fault(fault)) => return Err(LeaderCallError::Refused(fault)),
                Err(CallError::Unreachable(_)) => self.advance_from(index),
                Err(CallError::ConnectionLost | CallError::TimedOut | CallError::Malformed(_)) => {
                    self.advance_from(index);
                    outcome_unknown = true;
                }
            }
            if clock::now() >= deadline {
                break;
            }
        }
        Err(if outcome_unknown {
            LeaderCallError::OutcomeUnknown
        } else {
            LeaderCallError::NotSent
        })
    }

    /// The presumed leader, or the next VM that this call has not tried yet.
    fn next_uncalled(&self, called: &[bool]) -> Option<usize> {
        let first = self.inner.leader.get();
        let indexes = (0..called.len()).map(|i| (first + i) % called.len().max(1));
        let is_uncalled = |i: &usize| called.get(*i) == Some(&false);
        { indexes }.find(is_uncalled)
    }

    async fn call_vm<Q, A>(
        &self,
        index: usize,
        method: &str,
        request: &Q,
        deadline: Instant,
    ) -> Result<A, CallError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let Some((_, peer)) = self.inner.vms.get(index) else {
            return Err(CallError::Unreachable("no control VM is configured".into()));
        };
        let left = deadline.saturating_duration_since(clock::now());
        peer.call(method, request, left.min(ATTEMPT_TIMEOUT)).await
    }

    /// Selects the leader that a fault names, else the next VM.
    fn follow_hint(&self, from: usize, fault: &Fault) {
        let hinted = fault.data.as_ref().and_then(|data| data.as_str());
        let position =
            hinted.and_then(|name| self.inner.vms.iter().position(|(vm, _)| **vm == *name));
        match position {
            Some(position) if position != from => self.inner.leader.set(position),
            _ => self.advance_from(from),
        }
    }

    /// Selects the next control VM instead of the presumed leader.
    pub fn try_next(&self) {
        self.advance_from(self.inner.leader.get());
    }

    /// Selects the next VM, unless another call has selected one already.
    fn advance_from(&self, from: usize) {
        if self.inner.leader.get() == from {
            self.inner
                .leader
                .set((from + 1) % self.inner.vms.len().max(1));
        }
    }
}

impl fmt::Debug for LeaderClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LeaderClient")
            .field("vms", &self.inner.vms.len())
            .field("leader", &self.inner.leader.get())
            .finish()
    }
}

#[cfg(test)]
mod tests;
