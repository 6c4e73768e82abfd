//! Until when the leader takes backend servers for cold.
//!
//! The log has how long a server stays cold from the change that says so, and the leader's clock
//! tells when that is over. A heartbeat is news if it reports a later end: a server may turn cold
//! again at any moment.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::model::{Incarnation, Server, ServerState};
use super::store::Store;
use crate::ids;
use crate::table;

/// Difference to the known end from which on a reported one is news: heartbeats are delayed by
/// about this much.
const TOLERANCE: Duration = Duration::from_millis(250);

/// Longest reported coldness that is recorded.
const MAX_REPORTED: Duration = Duration::from_mins(1);

/// Whether a server says that it is cold and its service limits the requests to cold ones.
pub(super) fn reports_cold(service: &table::Service, server: &Server) -> bool {
    service.warmup.is_some() && !server.warmup.is_zero()
}

/// Ends of coldness by the clock of this VM.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdServers {
    /// Log index of the change that made each server cold, and the end of its coldness.
    ends: HashMap<Incarnation, (ids::LogIndex, Instant)>,
}

impl ColdServers {
    /// How long a server stays cold if its heartbeat reports a later end than is known.
    pub(super) fn news(
        &mut self,
        store: &Store,
        server: &Server,
        now: Instant,
    ) -> Option<Duration> {
        let remaining = server.warmup.min(MAX_REPORTED);
        let known = store.servers.get(&server.incarnation.server);
        let known = known.filter(|v| v.value.incarnation == server.incarnation)?;
        let end = if known.value.warmup.is_zero() {
            now
        } else {
            self.end(&known.value, known.changed, now)
        };
        let is_gone = known.value.state == ServerState::Gone;
        (!is_gone && now + remaining > end + TOLERANCE).then_some(remaining)
    }

    /// Servers of the services that `is_limited` names that are cold no longer, but are in the log.
    pub(super) fn take_warm<F>(
        &mut self,
        store: &Store,
        is_limited: F,
        now: Instant,
    ) -> Vec<Incarnation>
    where
        F: Fn(&str) -> bool,
    {
        let mut warm = Vec::new();
        let mut cold = HashMap::new();
        for versioned in store.servers.values() {
            let server = &versioned.value;
            let is_cold = !server.warmup.is_zero() && server.state != ServerState::Gone;
            if !is_cold || !is_limited(&server.service) {
                continue;
            }
            let end = self.end(server, versioned.changed, now);
            cold.insert(server.incarnation.clone(), (versioned.changed, end));
            if end <= now {
                warm.push(server.incarnation.clone());
            }
        }
        self.ends = cold;
        warm
    }

    /// End of the coldness that the change at log index `changed` recorded, from when this VM first
    /// saw it.
    fn end(&mut self, server: &Server, changed: ids::LogIndex, now: Instant) -> Instant {
        let new = (changed, now + server.warmup.min(MAX_REPORTED));
        let known = self.ends.entry(server.incarnation.clone()).or_insert(new);
        if known.0 != changed {
            *known = new;
        }
        known.1
    }
}
