//! Backend servers that leave.
//!
//! A server says that it leaves in a call of its own, which names the server and, at best, its
//! start. The call may overtake the first heartbeat, so the log remembers a departure of a server that
//! it doesn't know. The call may also be a delayed one of an earlier process under the name; without a
//! start it counts only if it was sent after the registered incarnation was last changed.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::coordinator::{Coordinator, RequestError};
use super::messages::Leave;
use super::model::{Server, ServerState};
use super::store::{Change, Effect, MAX_TOMBSTONES, Store};
use crate::ids;
use crate::timeline::Event;

/// What left under the name of a server without being registered.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Departure {
    /// Start of the latest incarnation that said so.
    #[serde(rename = "born", default, skip_serializing_if = "Option::is_none")]
    start_ms: Option<u64>,
    /// Log index of the last departure that named no start.
    #[serde(default)]
    unnamed: ids::LogIndex,
    /// Log index of the last change.
    changed: ids::LogIndex,
}

impl Store {
    /// Records that a server leaves, unless the call may be that of an earlier process.
    pub(super) fn leave(&mut self, index: ids::LogIndex, leave: &Leave) -> Effect {
        let known = self.servers.get(&leave.server);
        let Some(known) = known.filter(|v| v.value.state != ServerState::Gone) else {
            self.record_departure(index, leave);
            return Effect::Applied;
        };
        let incarnation = known.value.incarnation.clone();
        match leave.start_ms {
            Some(start_ms) if start_ms > incarnation.start_ms => {
                self.record_departure(index, leave);
            }
            Some(start_ms) if start_ms < incarnation.start_ms => {}
            None if known.value.state == ServerState::Left => {}
            None if known.changed > leave.sent_after => return Effect::Outdated,
            Some(_) | None => self.set_state(index, &incarnation, ServerState::Left),
        }
        Effect::Applied
    }

    /// Whether a server has left, as far as a heartbeat that was sent after a log index tells.
    pub(super) fn has_left(&self, server: &Server, sent_after: ids::LogIndex) -> bool {
        let departure = self.departures.get(&server.incarnation.server);
        departure.is_some_and(|d| {
            d.start_ms >= Some(server.incarnation.start_ms) || d.unnamed > sent_after
        })
    }

    fn record_departure(&mut self, index: ids::LogIndex, leave: &Leave) {
        let name = Arc::clone(&leave.server);
        let departure = self.departures.entry(name).or_default();
        departure.changed = index;
        match leave.start_ms {
            Some(_) => departure.start_ms = departure.start_ms.max(leave.start_ms),
            None => departure.unnamed = index,
        }
        if self.departures.len() <= MAX_TOMBSTONES {
            return;
        }
        let oldest = self.departures.iter().min_by_key(|(_, d)| d.changed);
        if let Some(name) = oldest.map(|(name, _)| Arc::clone(name)) {
            self.departures.remove(&name);
        }
    }
}

impl Coordinator {
    /// Records that a backend server leaves.
    ///
    /// # Errors
    ///
    /// [`RequestError`] if the change was not or may not have been committed, or the call may be
    /// older than the registration of the server.
    pub async fn leave(&self, leave: Leave) -> Result<(), RequestError> {
        self.log.leading_since().ok_or(RequestError::NotLeader)?;
        let server = Arc::clone(&leave.server);
        let detail = format!("born={:?} sent_after={}", leave.start_ms, leave.sent_after);
        let record = |kind, detail: &str| {
            let event = Event::new(kind).server(&server);
            self.journal.record(event.detail(detail));
        };
        match self.propose_ordered(Change::Leave(leave)).await? {
            Effect::Applied => {
                record("fleet.stand", &format!("Left {detail}"));
                self.request_pass();
                Ok(())
            }
            Effect::Outdated => {
                record("fleet.leave_outdated", &detail);
                let reason = "the server may have been registered since the call was sent";
                Err(RequestError::Unavailable(reason.into()))
            }
        }
    }
}
