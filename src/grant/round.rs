//! What a carrier does at each tick: ends leases, advances waits, places spans.

use std::time::{Duration, Instant};

use super::piece::{Cause, Hold, Owner, Piece};
use super::server::Server;
use super::state::State;
use crate::ids;
use crate::keys;
use crate::place;
use crate::timeline::Event;
use crate::timing;

/// Time from the first server heard until spans are first placed.
pub(super) const SETTLING: Duration = Duration::from_millis(250);

/// Time without a look after which servers are given [`SETTLING`] to come back.
const LONG_PAUSE: Duration = Duration::from_millis(250);

/// How long a lost server that owns nothing is remembered.
const LOST_MEMORY: Duration = Duration::from_mins(1);

impl State {
    /// Advances all that waits for time to pass.
    pub(super) fn tick(&mut self, now: Instant, may_act: bool) {
        if !may_act {
            self.ticked = None;
            return;
        }
        let paused = self.ticked.is_none_or(|t| now > t + LONG_PAUSE);
        if paused && self.placing.is_some() {
            self.placing = Some(now + SETTLING);
        }
        self.ticked = Some(now);
        self.expire(now);
        self.warm(now);
        self.advance(now);
        if self.placing.is_some_and(|p| now >= p) {
            self.move_on(now);
            self.place(now);
        }
    }

    /// Ends the leases that have run out.
    fn expire(&mut self, now: Instant) {
        let out = |s: &&mut Server| s.alive && now >= s.lease_end;
        let mut lost = Vec::new();
        for server in self.servers.values_mut().filter(out) {
            server.alive = false;
            lost.push(server.owner());
        }
        for owner in lost {
            self.record(Event::new("grant.server.lost").server(&owner.server));
            for start in self.picked(|p| p.holder() == Some(&owner)) {
                self.leave(start, Cause::Lost, None);
            }
        }
        let names: Vec<_> = self.servers.keys().cloned().collect();
        for name in names {
            let bound = |p: &Piece| p.bound().is_some_and(|o| o.server == name);
            let old = |s: &Server| !s.alive && now >= s.lease_end + LOST_MEMORY;
            if self.servers.get(&name).is_some_and(old) && !self.pieces.values().any(bound) {
                self.servers.remove(&name);
            }
        }
        self.subscribers.retain(|_, s| now < s.expiry + LOST_MEMORY);
    }

    /// Grows the usable share of servers that warm up.
    fn warm(&mut self, now: Instant) {
        for server in self.servers.values_mut() {
            let percent = server.warmth(now);
            if server.alive && server.info.warm_percent != percent {
                self.version += 1;
                server.info.warm_percent = percent;
                server.stamp = self.version;
            }
        }
    }

    /// Advances pieces that wait for the end of a grant.
    fn advance(&mut self, now: Instant) {
        let waiting = |p: &Piece| matches!(p.hold, Hold::Unknown { .. } | Hold::Leaving { .. });
        for start in self.picked(waiting) {
            self.step(now, start);
        }
    }

    fn step(&mut self, now: Instant, start: keys::KeyHash) {
        let Some(piece) = self.pieces.get(&start) else {
            return;
        };
        let silent = self.quiet(piece.withdrawn, now);
        let settle = self.deadline + timing::CLOCK_ALLOWANCE;
        match piece.hold.clone() {
            Hold::Unknown { until } if now >= until && piece.settled(now) => {
                self.set(start, Hold::Free { last: None });
                self.note("grant.free", start);
            }
            Hold::Leaving {
                checks: true, over, ..
            } if now >= over => self.vacate(now, start),
            Hold::Leaving {
                checks: false,
                quiet: Some(quiet),
                ..
            } if now >= quiet + settle => self.vacate(now, start),
            Hold::Leaving {
                owner,
                checks: false,
                cause: Cause::Lost,
                ..
            } if self.back(&owner) => self.give(start, &owner),
            Hold::Leaving {
                checks: false,
                quiet: None,
                ..
            } if silent => {
                if let Some(Piece {
                    hold: Hold::Leaving { quiet, .. },
                    ..
                }) = self.pieces.get_mut(&start)
                {
                    *quiet = Some(now);
                }
            }
            _ => {}
        }
    }

    /// Whether a server that was lost came back as the same start.
    fn back(&self, owner: &Owner) -> bool {
        let server = self.servers.get(&owner.server);
        server.is_some_and(|s| s.open() && s.info.incarnation == owner.incarnation)
    }

    /// Places free spans on servers.
    fn place(&mut self, now: Instant) {
        let free = |p: &Piece| matches!(p.hold, Hold::Free { .. }) && !self.wanted(p.span);
        let free = self.picked(free);
        if free.is_empty() {
            return;
        }
        let (pieces, names, servers) = self.scene(now);
        for choice in place::assign(&pieces, &servers) {
            let (Some(piece), Some(name)) = (pieces.get(choice.shard), names.get(choice.server))
            else {
                continue;
            };
            let start = piece.span.start;
            let Some(server) = self.servers.get(name) else {
                continue;
            };
            let withdrawn = self.pieces.get(&start).map_or(0, |p| p.withdrawn);
            let may = server.info.checks_fences || self.quiet(withdrawn, now);
            let owner = server.owner();
            if may && free.contains(&start) {
                self.give(start, &owner);
            }
        }
    }

    /// Pieces and servers as the placement policy sees them.
    pub(super) fn scene(
        &self,
        now: Instant,
    ) -> (Vec<place::Shard>, Vec<ids::ServerName>, Vec<place::Server>) {
        let names: Vec<_> = self.servers.keys().cloned().collect();
        let index = |name: &ids::ServerName| names.binary_search(name).ok();
        let piece = |p: &Piece| {
            let (owner, last) = match &p.hold {
                Hold::Held { owner, .. } => (index(&owner.server), None),
                Hold::Leaving { next, .. } => (next.as_ref().and_then(index), None),
                Hold::Free { last } => (None, last.as_ref().and_then(index)),
                Hold::Unknown { .. } => (None, None),
            };
            place::Shard {
                span: p.span,
                owner,
                last_owner: last,
                free: matches!(p.hold, Hold::Free { .. }) && !self.wanted(p.span),
                movable: self.movable(p, now),
                request_rate: p.rate,
                hot_hashes: p.hot.iter().map(|h| (h.hash, h.rate)).collect(),
            }
        };
        let server = |s: &Server| place::Server {
            capacity: s.capacity(),
            assignable: s.open(),
        };
        let pieces = self.pieces.values().map(piece).collect();
        let servers = self.servers.values().map(server).collect();
        (pieces, names, servers)
    }
}
