//! Heartbeats of backend servers: who asks, what it holds, what it is granted.

use std::time::{Duration, Instant};

use super::messages::{Grant, LeaseRequest, LeaseResponse};
use super::server::Server;
use super::shard::{MoveCause, Owner, Shard, ShardState};
use super::state::{State, granted};
use super::tick::DISCOVERY_DELAY;
use crate::ids;
use crate::keys;
use crate::timeline::Event;
use crate::timing;

/// Time without a lease after which a server that comes back counts as cold.
const COLD_AFTER: Duration = Duration::from_secs(5);

/// Backend servers of one duty, at most.
const MAX_SERVERS: usize = 1024;

impl State {
    /// Answers a heartbeat.
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
        let bound = |p: &Shard| {
            p.owner_or_revoked()
                .is_some_and(|o| o.server == request.server)
        };
        LeaseResponse {
            epoch: self.epoch,
            lease: timing::SERVER_LEASE,
            grants,
            drained: request.draining && !self.shards.values().any(bound),
        }
    }

    /// Takes in who asks; false if the question is out of order or there are too many servers.
    fn update_server(&mut self, now: Instant, request: &LeaseRequest) -> bool {
        let end = now + timing::SERVER_LEASE + timing::CLOCK_ALLOWANCE;
        let version = self.version + 1;
        self.assign_after.get_or_insert(now + DISCOVERY_DELAY);
        let Some(server) = self.servers.get_mut(&request.server) else {
            if self.servers.len() >= MAX_SERVERS {
                return false;
            }
            let mut server = Server::new(request, now);
            server.last_sequence = request.sequence;
            server.lease_end = end;
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
        let moved = server.info.address != request.address || server.info.slots != request.slots;
        if moved || !server.alive {
            server.info.address = request.address;
            server.info.slots = request.slots;
            server.changed_version = version;
            self.version = version;
        }
        server.alive = true;
        server.last_sequence = request.sequence;
        server.lease_end = end;
        server.leaving = request.draining;
        server.outstanding_requests = request.outstanding_requests;
        true
    }

    /// Takes the spans of a replaced start away.
    fn revoke_restarted(&mut self, old: &Owner) {
        self.record(Event::new("grant.server.restarted").server(&old.server));
        for start in self.starts_where(|p| p.owner() == Some(old)) {
            self.revoke(start, MoveCause::Restarted, None);
        }
    }

    /// Takes in what a server says that it holds and is finishing.
    fn reconcile_grants(&mut self, now: Instant, owner: &Owner, request: &LeaseRequest) {
        let Some(server) = self.servers.get(&owner.server) else {
            return;
        };
        let (checks, end) = (server.info.checks_fences, server.lease_end);
        for start in self.starts_where(|p| p.owner_or_revoked() == Some(owner)) {
            let Some(shard) = self.shards.get_mut(&start) else {
                continue;
            };
            let grant = Grant {
                span: shard.span,
                fence: shard.fence,
            };
            let holds = request.held_grants.contains(&grant);
            let bound = any_overlap(&request.held_grants, shard.span)
                || any_overlap(&request.finishing_grants, shard.span);
            match &mut shard.state {
                ShardState::Granted { sent: false, .. } => {}
                ShardState::Granted {
                    confirmed: true, ..
                } if holds || !checks => {}
                ShardState::Granted { .. } if holds || !checks => {
                    shard.in_use = true;
                    self.set_state(start, granted(owner, true, true));
                    self.record_shard("grant.confirmed", start);
                }
                ShardState::Granted { .. } => self.handle_dropped(now, start, owner, bound),
                ShardState::Revoking {
                    lease_end: over, ..
                } if checks && bound => *over = end,
                ShardState::Revoking {
                    checks_fences: true,
                    ..
                } => self.free(now, start),
                _ => {}
            }
        }
    }

    /// A server does not hold a grant that was listed to it: it lost the answer or its lease.
    ///
    /// What it still works on under another grant counts as bound.
    fn handle_dropped(&mut self, now: Instant, start: keys::KeyHash, owner: &Owner, bound: bool) {
        self.record_shard("grant.dropped", start);
        let open = self
            .servers
            .get(&owner.server)
            .is_some_and(Server::is_assignable);
        let settled = self
            .shards
            .get(&start)
            .is_some_and(|p| p.clear_of_predecessor(now));
        match () {
            () if open && settled => self.grant(start, owner),
            () if bound => self.revoke(start, MoveCause::LeaseExpired, None),
            () => self.free(now, start),
        }
    }

    /// All grants of a server, listed from now on.
    fn list_grants(&mut self, owner: &Owner) -> Vec<Grant> {
        let mut grants = Vec::new();
        let checks = self.servers.get(&owner.server);
        let checks = checks.is_some_and(|s| s.info.checks_fences);
        for shard in self.shards.values_mut() {
            if let ShardState::Granted {
                owner: held,
                sent: listed,
                ..
            } = &mut shard.state
                && held == owner
            {
                *listed = true;
                shard.in_use |= checks;
                grants.push(Grant {
                    span: shard.span,
                    fence: shard.fence,
                });
            }
        }
        grants
    }
}

/// Whether one of the grants shares a hash with the span.
fn any_overlap(grants: &[Grant], span: keys::Span) -> bool {
    grants.iter().any(|g| g.span.overlaps(&span))
}
