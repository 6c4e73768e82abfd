//! Heartbeats of backend servers: who asks, what it holds, what it is granted.

use std::time::{Duration, Instant};

use super::messages::{Grant, LeaseRequest, LeaseResponse};
use super::piece::{Cause, Hold, Owner, Piece};
use super::round::SETTLING;
use super::server::Server;
use super::state::{State, held};
use crate::ids;
use crate::keys;
use crate::timeline::Event;
use crate::timing;

/// Time without a lease after which a server that comes back counts as cold.
const COLD_AFTER: Duration = Duration::from_secs(5);

/// Backend servers of one duty, at most.
const SERVERS_LIMIT: usize = 1024;

impl State {
    /// Answers a heartbeat.
    pub(super) fn lease(&mut self, now: Instant, request: &LeaseRequest) -> Option<LeaseResponse> {
        if !self.meet(now, request) {
            return None;
        }
        let server = self.servers.get(&request.server)?;
        let owner = server.owner();
        if server.info.checks_fences {
            self.adopt(now, &owner, request);
        }
        self.confirm(now, &owner, request);
        let grants = self.list(&owner);
        Some(self.listing(request, grants))
    }

    fn listing(&self, request: &LeaseRequest, grants: Vec<Grant>) -> LeaseResponse {
        let bound = |p: &Piece| p.bound().is_some_and(|o| o.server == request.server);
        LeaseResponse {
            epoch: self.epoch,
            lease: timing::SERVER_LEASE,
            grants,
            drained: request.draining && !self.pieces.values().any(bound),
        }
    }

    /// Takes in who asks; false if the question is out of order or there are too many servers.
    fn meet(&mut self, now: Instant, request: &LeaseRequest) -> bool {
        let end = now + timing::SERVER_LEASE + timing::CLOCK_ALLOWANCE;
        let version = self.version + 1;
        self.placing.get_or_insert(now + SETTLING);
        let Some(server) = self.servers.get_mut(&request.server) else {
            if self.servers.len() >= SERVERS_LIMIT {
                return false;
            }
            let mut server = Server::new(request, now);
            server.beat = request.sequence;
            server.lease_end = end;
            server.stamp = version;
            server.leaving = request.draining;
            self.version = version;
            let name = ids::ServerName::clone(&request.server);
            self.servers.insert(name, server);
            self.record(Event::new("grant.server.new").server(&request.server));
            return true;
        };
        if server.outlived(&request.incarnation) {
            return false;
        }
        if server.info.incarnation != request.incarnation {
            let old = server.owner();
            self.restarted(&old);
        }
        let version = self.version + 1;
        let Some(server) = self.servers.get_mut(&request.server) else {
            return false;
        };
        if server.info.incarnation != request.incarnation {
            server.restart(request, now);
            server.stamp = version;
            self.version = version;
        }
        if server.info.checks_fences && request.sequence <= server.beat {
            return false;
        }
        if now > server.lease_end + COLD_AFTER {
            server.start_cold(now);
        }
        let moved = server.info.address != request.address || server.info.slots != request.slots;
        if moved || !server.alive {
            server.info.address = request.address;
            server.info.slots = request.slots;
            server.stamp = version;
            self.version = version;
        }
        server.alive = true;
        server.beat = request.sequence;
        server.lease_end = end;
        server.leaving = request.draining;
        server.busy = request.outstanding_requests;
        true
    }

    /// Takes the spans of a replaced start away.
    fn restarted(&mut self, old: &Owner) {
        self.record(Event::new("grant.server.restarted").server(&old.server));
        for start in self.picked(|p| p.holder() == Some(old)) {
            self.leave(start, Cause::Restarted, None);
        }
    }

    /// Takes in what a server says that it holds and is finishing.
    fn confirm(&mut self, now: Instant, owner: &Owner, request: &LeaseRequest) {
        let Some(server) = self.servers.get(&owner.server) else {
            return;
        };
        let (checks, end) = (server.info.checks_fences, server.lease_end);
        for start in self.picked(|p| p.bound() == Some(owner)) {
            let Some(piece) = self.pieces.get_mut(&start) else {
                continue;
            };
            let grant = Grant {
                span: piece.span,
                fence: piece.fence,
            };
            let holds = request.held_grants.contains(&grant);
            let bound = touches(&request.held_grants, piece.span)
                || touches(&request.finishing_grants, piece.span);
            match &mut piece.hold {
                Hold::Held { listed: false, .. } => {}
                Hold::Held {
                    confirmed: true, ..
                } if holds || !checks => {}
                Hold::Held { .. } if holds || !checks => {
                    piece.exposed = true;
                    self.set(start, held(owner, true, true));
                    self.note("grant.confirmed", start);
                }
                Hold::Held { .. } => self.dropped(now, start, owner, bound),
                Hold::Leaving { over, .. } if checks && bound => *over = end,
                Hold::Leaving { checks: true, .. } => self.vacate(now, start),
                _ => {}
            }
        }
    }

    /// A server does not hold a grant that was listed to it: it lost the answer or its lease.
    ///
    /// What it still works on under another grant counts as bound.
    fn dropped(&mut self, now: Instant, start: keys::KeyHash, owner: &Owner, bound: bool) {
        self.note("grant.dropped", start);
        let open = self.servers.get(&owner.server).is_some_and(Server::open);
        let settled = self.pieces.get(&start).is_some_and(|p| p.settled(now));
        match () {
            () if open && settled => self.give(start, owner),
            () if bound => self.leave(start, Cause::Lost, None),
            () => self.vacate(now, start),
        }
    }

    /// All grants of a server, listed from now on.
    fn list(&mut self, owner: &Owner) -> Vec<Grant> {
        let mut grants = Vec::new();
        let checks = self.servers.get(&owner.server);
        let checks = checks.is_some_and(|s| s.info.checks_fences);
        for piece in self.pieces.values_mut() {
            if let Hold::Held {
                owner: held,
                listed,
                ..
            } = &mut piece.hold
                && held == owner
            {
                *listed = true;
                piece.exposed |= checks;
                grants.push(Grant {
                    span: piece.span,
                    fence: piece.fence,
                });
            }
        }
        grants
    }
}

/// Whether one of the grants shares a hash with the span.
fn touches(grants: &[Grant], span: keys::Span) -> bool {
    grants.iter().any(|g| g.span.overlaps(&span))
}
