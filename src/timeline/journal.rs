//! The events of one process, kept in a ring and written to its log.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::time::Instant;

use super::event::Event;
use super::stamp::Stamp;
use crate::clock;
use crate::ids;

/// Events that a process keeps in memory.
const RING_EVENTS: usize = 8192;

/// Farthest that a foreign stamp may lead the own wall time, in milliseconds.
const LEAD_LIMIT_MS: u64 = 60_000;

/// Handle to the journal of this process; clones share it.
#[derive(Clone)]
pub struct Journal {
    inner: Rc<Inner>,
}

struct Inner {
    vm: ids::VmName,
    started: Instant,
    last: Cell<Stamp>,
    seq: Cell<u64>,
    ring: RefCell<VecDeque<Event>>,
}

impl Journal {
    /// An empty journal of the process on `vm`.
    pub fn new(vm: ids::VmName) -> Self {
        Self {
            inner: Rc::new(Inner {
                vm,
                started: clock::now(),
                last: Cell::default(),
                seq: Cell::default(),
                ring: RefCell::default(),
            }),
        }
    }

    /// Name of the VM.
    pub fn vm(&self) -> &ids::VmName {
        &self.inner.vm
    }

    /// A fresh stamp, for a message about to leave.
    pub fn stamp(&self) -> Stamp {
        let next = self.inner.last.get().next(clock::wall_ms());
        self.inner.last.set(next);
        next
    }

    /// Takes in the stamp of a message that arrived.
    ///
    /// A stamp far ahead of the own wall time is ignored, so that one broken
    /// clock does not carry every other away.
    pub fn observe(&self, stamp: Stamp) {
        let near = stamp.wall_ms <= clock::wall_ms().saturating_add(LEAD_LIMIT_MS);
        if near && stamp > self.inner.last.get() {
            self.inner.last.set(stamp);
        }
    }

    /// Records an event and writes it to the log.
    pub fn record(&self, mut event: Event) {
        event.stamp = self.stamp();
        event.mono_us = u64::try_from(self.inner.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        event.seq = self.inner.seq.get() + 1;
        event.vm = Some(std::sync::Arc::clone(&self.inner.vm));
        self.inner.seq.set(event.seq);
        ::log::info!("{}", event.line());
        let mut ring = self.inner.ring.borrow_mut();
        if ring.len() == RING_EVENTS {
            ring.pop_front();
        }
        ring.push_back(event);
    }

    /// Events after position `seq`, oldest first.
    pub fn since(&self, seq: u64) -> Vec<Event> {
        let ring = self.inner.ring.borrow();
        ring.iter().filter(|e| e.seq > seq).cloned().collect()
    }
}

impl fmt::Debug for Journal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Journal")
            .field("vm", &self.inner.vm)
            .field("seq", &self.inner.seq.get())
            .finish_non_exhaustive()
    }
}
