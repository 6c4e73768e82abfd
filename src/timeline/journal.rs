//! Events of one process, kept in a ring buffer and written to the log.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::time::Instant;

use super::event::Event;
use super::timestamp::Timestamp;
use crate::clock;
use crate::ids;

/// Number of events that a process keeps in memory.
const MAX_EVENTS: usize = 8192;

/// Largest lead of a received timestamp over the local wall clock.
const MAX_CLOCK_LEAD_MS: u64 = 60_000;

/// Handle to the journal of this process; clones share the journal.
#[derive(Clone)]
pub struct Journal {
    inner: Rc<Inner>,
}

struct Inner {
    vm: ids::VmName,
    started: Instant,
    last_timestamp: Cell<Timestamp>,
    last_seq: Cell<u64>,
    events: RefCell<VecDeque<Event>>,
}

impl Journal {
    /// Creates an empty journal for a process on `vm`.
    pub fn new(vm: ids::VmName) -> Self {
        Self {
            inner: Rc::new(Inner {
                vm,
                started: clock::now(),
                last_timestamp: Cell::default(),
                last_seq: Cell::default(),
                events: RefCell::default(),
            }),
        }
    }

    /// Name of the VM on which the process runs.
    pub fn vm(&self) -> &ids::VmName {
        &self.inner.vm
    }

    /// Advances the clock; messages to other processes carry the result.
    pub fn next_timestamp(&self) -> Timestamp {
        let next = self.inner.last_timestamp.get().next(clock::wall_ms());
        self.inner.last_timestamp.set(next);
        next
    }

    /// Advances the clock to the timestamp of a received message.
    ///
    /// A timestamp far ahead of the local wall clock is ignored, so that one
    /// wrong clock does not advance the clocks of all processes.
    pub fn observe(&self, timestamp: Timestamp) {
        let plausible = timestamp.wall_ms <= clock::wall_ms().saturating_add(MAX_CLOCK_LEAD_MS);
        if plausible && timestamp > self.inner.last_timestamp.get() {
            self.inner.last_timestamp.set(timestamp);
        }
    }

    /// Records an event and writes it to the log.
    pub fn record(&self, mut event: Event) {
        event.timestamp = self.next_timestamp();
        event.mono_us = u64::try_from(self.inner.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        event.seq = self.inner.last_seq.get() + 1;
        event.vm = Some(std::sync::Arc::clone(&self.inner.vm));
        self.inner.last_seq.set(event.seq);
        ::log::info!("{}", event.log_line());
        let mut events = self.inner.events.borrow_mut();
        if events.len() == MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Events with a sequence number above `seq`, oldest first.
    pub fn events_after(&self, seq: u64) -> Vec<Event> {
        let events = self.inner.events.borrow();
        events.iter().filter(|e| e.seq > seq).cloned().collect()
    }
}

impl fmt::Debug for Journal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Journal")
            .field("vm", &self.inner.vm)
            .field("seq", &self.inner.last_seq.get())
            .finish_non_exhaustive()
    }
}
