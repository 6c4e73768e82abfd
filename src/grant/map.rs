//! The route map as entry VMs get it: whole, or as changes since a version.

use std::time::Instant;

use super::shard::Shard;
use super::state::State;
use super::subscriber::Subscriber;
use crate::ids;
use crate::route::{PullRequest, PullResponse};

impl State {
    /// Takes in a question; returns when the answer that it repeats was sent.
    pub(super) fn record_pull(&mut self, now: Instant, request: &PullRequest) -> Option<Instant> {
        let known = self.epochs.contains(&request.map_epoch);
        let vm = ids::VmName::clone(&request.vm);
        self.record_loads(&request.loads);
        let entry = self.subscribers.entry(vm);
        let subscriber = entry.or_insert_with(|| Subscriber::new(now));
        if known && request.version <= self.version {
            subscriber.confirmed_version = subscriber.confirmed_version.max(request.version);
        }
        subscriber.sent_at(request.last_response)
    }

    /// Whether there is news for the map that the question names.
    pub(super) fn has_changes(&self, request: &PullRequest) -> bool {
        self.version != request.version || !self.epochs.contains(&request.map_epoch)
    }

    /// Composes an answer; without a right it carries no map.
    pub(super) fn pull_response(
        &mut self,
        now: Instant,
        request: &PullRequest,
        mapped: bool,
    ) -> PullResponse {
        self.response_number += 1;
        let number = self.response_number;
        let vm = ids::VmName::clone(&request.vm);
        let entry = self.subscribers.entry(vm);
        let subscriber = entry.or_insert_with(|| Subscriber::new(now));
        subscriber.record_response(number, now, mapped);
        if !mapped {
            return PullResponse {
                number,
                ..PullResponse::default()
            };
        }
        let held = request.version;
        let known = self.epochs.contains(&request.map_epoch);
        let full = !known || held > self.version || held < self.min_delta_version;
        let since = if full { 0 } else { held };
        let gone = self
            .removed_spans
            .iter()
            .filter(|(v, _)| !full && *v > since);
        let routes = self.shards.values().filter(|p| p.changed_version > since);
        let servers = self.servers.values().filter(|s| s.changed_version > since);
        PullResponse {
            number,
            epoch: self.epoch,
            version: self.version,
            is_full: full,
            removed: gone.map(|(_, s)| *s).collect(),
            routes: routes.map(Shard::route).collect(),
            servers: servers.map(|s| s.info.clone()).collect(),
        }
    }
}
