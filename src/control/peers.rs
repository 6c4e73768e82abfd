//! Calls from other processes to the leader of the control VMs.

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

/// Longest wait for one control VM before the next is asked.
const TRY_TIMEOUT: Duration = Duration::from_millis(400);

/// A control VM as the settings name it.
#[derive(Clone, Debug)]
pub struct ControlVm {
    /// Name.
    pub vm: ids::VmName,
    /// Address for calls between processes.
    pub address: SocketAddr,
}

/// Why a call to the leader has no result.
#[derive(Clone, Debug, PartialEq)]
pub enum SendError {
    /// No leader took the request; it was certainly not carried out.
    NotSent,
    /// It may have been carried out.
    Unsure,
    /// The leader refused it.
    Refused(Fault),
}

/// Handle to the control VMs; clones share connections and the known leader.
#[derive(Clone)]
pub struct Peers {
    inner: Rc<Inner>,
}

struct Inner {
    vms: Vec<(ids::VmName, rpc::Peer)>,
    leader: Cell<usize>,
}

impl Peers {
    /// A handle to the given control VMs.
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

    /// Calls the leader, asking each control VM at most once, within `timeout`.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only if no control VM can have carried it out.
    pub async fn call<Q, A>(
        &self,
        method: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, SendError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let end = clock::now() + timeout;
        let count = self.inner.vms.len();
        let mut unsure = false;
        for _ in 0..count {
            let index = self.inner.leader.get();
            match self.ask(index, method, request, end).await {
                Ok(answer) => return Ok(answer),
                Err(CallError::Fault(fault)) if fault.code == error::NOT_LEADER => {
                    self.turn_to(index, &fault);
                }
                Err(CallError::Fault(fault)) if fault.code == error::OUTCOME_UNKNOWN => {
                    self.skip(index);
                    unsure = true;
                }
                Err(CallError::Fault(fault)) => return Err(SendError::Refused(fault)),
                Err(CallError::Unreachable(_)) => self.skip(index),
                Err(CallError::ConnectionLost | CallError::TimedOut | CallError::Malformed(_)) => {
                    self.skip(index);
                    unsure = true;
                }
            }
            if clock::now() >= end {
                break;
            }
        }
        Err(if unsure {
            SendError::Unsure
        } else {
            SendError::NotSent
        })
    }

    async fn ask<Q, A>(
        &self,
        index: usize,
        method: &str,
        request: &Q,
        end: Instant,
    ) -> Result<A, CallError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let Some((_, peer)) = self.inner.vms.get(index) else {
            return Err(CallError::Unreachable("no control VM is set".into()));
        };
        let left = end.saturating_duration_since(clock::now());
        peer.call(method, request, left.min(TRY_TIMEOUT)).await
    }

    /// Turns to the leader that a fault names, else to the next VM.
    fn turn_to(&self, from: usize, fault: &Fault) {
        let named = fault.data.as_ref().and_then(|data| data.as_str());
        let position =
            named.and_then(|name| self.inner.vms.iter().position(|(vm, _)| **vm == *name));
        match position {
            Some(position) if position != from => self.inner.leader.set(position),
            _ => self.skip(from),
        }
    }

    /// Turns away from the control VM that is taken for the leader.
    pub fn turn_away(&self) {
        self.skip(self.inner.leader.get());
    }

    /// Turns to the next VM, unless another call already turned away.
    fn skip(&self, from: usize) {
        if self.inner.leader.get() == from {
            self.inner
                .leader
                .set((from + 1) % self.inner.vms.len().max(1));
        }
    }
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peers")
            .field("vms", &self.inner.vms.len())
            .field("leader", &self.inner.leader.get())
            .finish()
    }
}
