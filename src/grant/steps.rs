//! The steps by which a span comes to a backend server and leaves it.

use std::time::Instant;

use super::piece::{Cause, Hold, Owner};
use super::state::{State, held};
use crate::ids;
use crate::keys;
use crate::timeline::Event;

impl State {
    /// Gives a free piece to a server, under a new fence.
    pub(super) fn give(&mut self, start: keys::KeyHash, owner: &Owner) {
        let Some(fence) = self.fence() else {
            return;
        };
        self.set(start, held(owner, false, false));
        if let Some(piece) = self.pieces.get_mut(&start) {
            piece.fence = fence;
            self.note("grant.given", start);
        }
    }

    /// Takes the route of a held piece back and lists its grant no longer.
    pub(super) fn leave(
        &mut self,
        start: keys::KeyHash,
        cause: Cause,
        next: Option<ids::ServerName>,
    ) {
        let Some(piece) = self.pieces.get(&start) else {
            return;
        };
        let Hold::Held { owner, .. } = piece.hold.clone() else {
            return;
        };
        let server = self.servers.get(&owner.server);
        let Some((checks, over)) = server.map(|s| (s.info.checks_fences, s.lease_end)) else {
            return;
        };
        self.note("grant.leaving", start);
        let hold = match () {
            () if piece.exposed => Hold::Leaving {
                owner,
                checks,
                cause,
                over,
                quiet: None,
                next,
            },
            () => Hold::Free { last: next },
        };
        self.set(start, hold);
    }

    /// The last owner is proved to hold the piece no longer.
    pub(super) fn vacate(&mut self, now: Instant, start: keys::KeyHash) {
        let Some(piece) = self.pieces.get(&start) else {
            return;
        };
        let last = match &piece.hold {
            Hold::Leaving { next, .. } => next.clone(),
            Hold::Held { owner, .. } => Some(ids::ServerName::clone(&owner.server)),
            _ => None,
        };
        let hold = match piece.floor {
            Some(until) if now < until => Hold::Unknown { until },
            _ => Hold::Free { last },
        };
        self.set(start, hold);
        self.note("grant.free", start);
    }

    /// Records an event of one piece.
    pub(super) fn note(&self, kind: &str, start: keys::KeyHash) {
        let Some(piece) = self.pieces.get(&start) else {
            return;
        };
        let event = Event::new(kind).span(piece.span).fence(piece.fence);
        self.record(match &piece.hold {
            Hold::Held { owner, .. } => event.server(&owner.server),
            Hold::Leaving { owner, cause, .. } => {
                event.server(&owner.server).detail(cause.as_str())
            }
            _ => event,
        });
    }
}
