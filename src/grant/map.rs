//! The route map sent to entry VMs: in full, or as changes since a version.

use std::time::Instant;

use super::shard::Shard;
use super::state::State;
use super::subscriber::Subscriber;
use crate::ids;
use crate::route::{PullRequest, PullResponse};

impl State {
    /// Records a pull request; returns when the response that it acknowledges was sent.
    pub(super) fn record_pull(&mut self, now: Instant, request: &PullRequest) -> Option<Instant> {
        let known_epoch = self.epochs.contains(&request.map_epoch);
        let vm = ids::VmName::clone(&request.vm);
        self.record_loads(&request.loads);
        self.record_leaving(&request.leaving);
        let entry = self.subscribers.entry(vm);
        let subscriber = entry.or_insert_with(|| Subscriber::new(now));
        if known_epoch && request.version <= self.version {
            subscriber.confirmed_version = subscriber.confirmed_version.max(request.version);
        }
        subscriber.sent_at(request.last_response)
    }

    /// Whether the map differs from the one that the request names.
    pub(super) fn has_changes(&self, request: &PullRequest) -> bool {
        self.version != request.version || !self.epochs.contains(&request.map_epoch)
    }

    /// Builds a response; it carries a map only if `has_map`.
    pub(super) fn pull_response(
        &mut self,
        now: Instant,
        request: &PullRequest,
        has_map: bool,
    ) -> PullResponse {
        self.response_number += 1;
        let number = self.response_number;
        let vm = ids::VmName::clone(&request.vm);
        let entry = self.subscribers.entry(vm);
        let subscriber = entry.or_insert_with(|| Subscriber::new(now));
        subscriber.record_response(number, now, has_map);
        if !has_map {
            return PullResponse {
                number,
                ..PullResponse::default()
            };
        }
        let held_version = request.version;
        let known_epoch = self.epochs.contains(&request.map_epoch);
        let is_full =
            !known_epoch || held_version > self.version || held_version < self.min_update_version;
        let since = if is_full { 0 } else { held_version };
        let removed = self
            .removed_spans
            .iter()
            .filter(|(v, _)| !is_full && *v > since);
        let routes = self.shards.values().filter(|s| s.changed_version > since);
        let servers = self.servers.values().filter(|s| s.changed_version > since);
        PullResponse {
            number,
            epoch: self.epoch,
            version: self.version,
            is_full,
            removed: removed.map(|(_, s)| *s).collect(),
            routes: routes.map(Shard::route).collect(),
            servers: servers.map(|s| s.info.clone()).collect(),
        }
    }
}
