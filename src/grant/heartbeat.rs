//! Heartbeats of backend servers: renews leases and reconciles grants.

use std::time::{Duration, Instant};

use super::messages::{Grant, LeaseRequest, LeaseResponse};
use super::pass::DISCOVERY_DELAY;
use super::server::Server;
use super::shard::{MoveCause, Owner, Shard, ShardState};
use super::state::{State, granted};
use crate::ids;
use crate::keys;
use crate::timeline::Event;
use crate::timing;

/// Time without a lease after which a returning server warms up again.
const COLD_AFTER: Duration = Duration::from_secs(5);

/// Limit of backend servers of one granter.
const MAX_SERVERS: usize = 1024;

impl State {
    /// Answers a heartbeat; `None` if it is out of order, from a replaced incarnation, or there are
    /// too many servers.
    pub(super) fn renew_lease(
        &mut self,
        now: Instant,
        request: &LeaseRequest,
    ) -> Option<LeaseResponse> {
        if !self.update_server(now, request) {
            return None;
        }
        let server = self.servers.get(&request.server)?;
        let owner = server.owner();
        if server.info.checks_fences {
            self.adopt_grants(now, &owner, request);
        }
        self.reconcile_grants(now, &owner, request);
        let grants = self.list_grants(&owner);
        Some(self.lease_response(request, grants))
    }

    fn lease_response(&self, request: &LeaseRequest, grants: Vec<Grant>) -> LeaseResponse {
        let has_shard = |s: &Shard| {
            s.owner_or_revoked()
                .is_some_and(|o| o.server == request.server)
        };
        LeaseResponse {
            epoch: self.epoch,
            lease: timing::SERVER_LEASE,
            grants,
            drained: request.draining && !self.shards.values().any(has_shard),
        }
    }

    /// Updates or adds the server; false if the heartbeat is out of order, from a replaced
    /// incarnation, or there are too many servers.
    fn update_server(&mut self, now: Instant, request: &LeaseRequest) -> bool {
        let lease_end = now + timing::SERVER_LEASE + timing::CLOCK_ALLOWANCE;
        let version = self.version + 1;
        self.assign_after.get_or_insert(now + DISCOVERY_DELAY);
        let Some(server) = self.servers.get_mut(&request.server) else {
            if self.servers.len() >= MAX_SERVERS {
                return false;
            }
            let mut server = Server::new(request, now);
            server.last_sequence = request.sequence;
            server.lease_end = lease_end;
            server.changed_version = version;
            server.leaving = request.draining;
            self.version = version;
            let name = ids::ServerName::clone(&request.server);
            self.servers.insert(name, server);
            self.record(Event::new("grant.server.new").server(&request.server));
            return true;
        };
        if server.is_superseded(&request.incarnation) {
            return false;
        }
        if server.info.incarnation != request.incarnation {
            let old = server.owner();
            self.revoke_restarted(&old);
        }
        let version = self.version + 1;
        let Some(server) = self.servers.get_mut(&request.server) else {
            return false;
        };
        if server.info.incarnation != request.incarnation {
            server.replace_incarnation(request, now);
            server.changed_version = version;
            self.version = version;
        }
        if server.info.checks_fences && request.sequence <= server.last_sequence {
            return false;
        }
        if now > server.lease_end + COLD_AFTER {
            server.start_warmup(now);
        }
        let info_changed =
            server.info.address != request.address || server.info.slots != request.slots;
        if info_changed || !server.alive {
            server.info.address = request.address;
            server.info.slots = request.slots;
            server.changed_version = version;
            self.version = version;
        }
        server.alive = true;
        server.last_sequence = request.sequence;
        server.lease_end = lease_end;
        server.leaving = request.draining;
        server.outstanding_requests = request.outstanding_requests;
        true
    }

    /// Revokes the shards of a replaced incarnation.
    fn revoke_restarted(&mut self, old: &Owner) {
        self.record(Event::new("grant.server.restarted").server(&old.server));
        for start in self.starts_where(|s| s.owner() == Some(old)) {
            self.revoke(start, MoveCause::Restarted, None);
        }
    }

    /// Compares the shards granted to a server with the grants that it holds or is finishing.
    fn reconcile_grants(&mut self, now: Instant, owner: &Owner, request: &LeaseRequest) {
        let Some(server) = self.servers.get(&owner.server) else {
            return;
        };
        let (checks_fences, end) = (server.info.checks_fences, server.lease_end);
        for start in self.starts_where(|s| s.owner_or_revoked() == Some(owner)) {
            let Some(shard) = self.shards.get_mut(&start) else {
                continue;
            };
            let grant = Grant {
                span: shard.span,
                fence: shard.fence,
            };
            let is_held = request.held_grants.contains(&grant);
            let in_use = any_overlap(&request.held_grants, shard.span)
                || any_overlap(&request.finishing_grants, shard.span);
            match &mut shard.state {
                ShardState::Granted { sent: false, .. } => {}
                ShardState::Granted {
                    confirmed: true, ..
                } if is_held || !checks_fences => {}
                ShardState::Granted { .. } if is_held || !checks_fences => {
                    shard.in_use = true;
                    self.set_state(start, granted(owner, true, true));
                    self.record_shard("grant.confirmed", start);
                }
                ShardState::Granted { .. } => self.handle_dropped(now, start, owner, in_use),
                ShardState::Revoking { lease_end, .. } if checks_fences && in_use => {
                    *lease_end = end;
                }
                ShardState::Revoking {
                    checks_fences: true,
                    ..
                } => self.free(now, start),
                _ => {}
            }
        }
    }

    /// Handles a grant that was sent to a server which does not hold it: the response was lost or
    /// the lease expired.
    ///
    /// `in_use` tells whether the server holds or finishes a grant that overlaps the span.
    fn handle_dropped(&mut self, now: Instant, start: keys::KeyHash, owner: &Owner, in_use: bool) {
        self.record_shard("grant.dropped", start);
        let is_assignable = self
            .servers
            .get(&owner.server)
            .is_some_and(Server::is_assignable);
        let is_clear = self
            .shards
            .get(&start)
            .is_some_and(|s| s.clear_of_predecessor(now));
        match () {
            () if is_assignable && is_clear => self.grant(start, owner),
            () if in_use => self.revoke(start, MoveCause::LeaseExpired, None),
            () => self.free(now, start),
        }
    }

    /// Lists all grants of a server and marks them as sent.
    fn list_grants(&mut self, owner: &Owner) -> Vec<Grant> {
        let mut grants = Vec::new();
        let server = self.servers.get(&owner.server);
        let checks_fences = server.is_some_and(|s| s.info.checks_fences);
        for shard in self.shards.values_mut() {
            if let ShardState::Granted {
                owner: shard_owner,
                sent,
                ..
            } = &mut shard.state
                && shard_owner == owner
            {
                *sent = true;
                shard.in_use |= checks_fences;
                grants.push(Grant {
                    span: shard.span,
                    fence: shard.fence,
                });
            }
        }
        grants
    }
}

/// Whether any of the grants overlaps the span.
fn any_overlap(grants: &[Grant], span: keys::Span) -> bool {
    grants.iter().any(|g| g.span.overlaps(&span))
}
