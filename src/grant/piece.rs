//! One span of a duty and who holds it.

use std::time::Instant;

use crate::ids;
use crate::keys;
use crate::place;
use crate::route;

/// A backend server in one of its starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Owner {
    pub(super) server: ids::ServerName,
    pub(super) incarnation: ids::Incarnation,
}

/// Why a span leaves its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// The owner's lease ran out.
    Lost,
    /// The owner started anew.
    Restarted,
    /// The owner is draining.
    Drain,
    /// Load is evened out.
    Balance,
    /// Another zone takes the span over.
    Release,
}

impl Cause {
    /// Name for the time line.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Lost => "lost",
            Self::Restarted => "restarted",
            Self::Drain => "drain",
            Self::Balance => "balance",
            Self::Release => "release",
        }
    }
}

/// Who holds a span.
#[derive(Clone, Debug)]
pub(super) enum Hold {
    /// A grant of the prior carrier may still live until then.
    Unknown { until: Instant },
    /// Nobody.
    Free { last: Option<ids::ServerName> },
    /// A server, or it will with the next answer to it.
    Held {
        owner: Owner,
        /// Whether an answer listed the grant.
        listed: bool,
        /// Whether the owner confirmed it, so that the route is published.
        confirmed: bool,
    },
    /// The route is taken back and the grant listed no longer.
    Leaving {
        owner: Owner,
        checks: bool,
        cause: Cause,
        /// End of the owner's lease, for an owner that checks.
        over: Instant,
        /// When no entry VM could route to the owner any more, for one that does not check.
        quiet: Option<Instant>,
        /// Next owner, if one was chosen.
        next: Option<ids::ServerName>,
    },
}

/// Hashes whose requests are counted apart between two looks.
const HOT_LIMIT: usize = 32;

/// A hash with many requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hot {
    pub(super) hash: keys::KeyHash,
    /// Requests a second, smoothed.
    pub(super) rate: f64,
    /// Requests since the last look.
    pub(super) requests: f64,
}

/// One span of a duty.
#[derive(Clone, Debug)]
pub(super) struct Piece {
    pub(super) span: keys::Span,
    /// Fence of the last grant; 0 if there was none.
    pub(super) fence: ids::Fence,
    /// Map version of the last change of its route.
    pub(super) stamp: ids::MapVersion,
    /// Map version that took its last route back.
    pub(super) withdrawn: ids::MapVersion,
    pub(super) hold: Hold,
    /// Whether its owner may hold it or work on it, under whatever fence.
    pub(super) exposed: bool,
    /// Earliest time at which it may be free, because of what the prior carrier granted.
    pub(super) floor: Option<Instant>,
    /// Requests a second, smoothed.
    pub(super) rate: f64,
    /// Requests since the last look.
    pub(super) requests: f64,
    /// Hot hashes.
    pub(super) hot: Vec<Hot>,
    /// When it was last taken from an owner to even out load.
    pub(super) moved: Option<Instant>,
}

impl Piece {
    /// A piece with the given holder and no history.
    pub(super) const fn new(span: keys::Span, hold: Hold, version: ids::MapVersion) -> Self {
        Self {
            span,
            fence: 0,
            stamp: version,
            withdrawn: version,
            hold,
            exposed: false,
            floor: None,
            rate: 0.0,
            requests: 0.0,
            hot: Vec::new(),
            moved: None,
        }
    }

    /// The part of this piece within `span`, with its share of the load.
    pub(super) fn part(&self, span: keys::Span) -> Self {
        let mut part = self.clone();
        part.span = span;
        part.hot.retain(|h| span.contains(h.hash));
        part.rate = self.rate * place::model::width(span) / place::model::width(self.span);
        part
    }

    /// Counts requests for one hash.
    pub(super) fn heat(&mut self, hash: keys::KeyHash, requests: f64) {
        let full = self.hot.len() >= HOT_LIMIT;
        match self.hot.iter_mut().find(|h| h.hash == hash) {
            Some(hot) => hot.requests += requests,
            None if !full => self.hot.push(Hot {
                hash,
                rate: 0.0,
                requests,
            }),
            None => {}
        }
    }

    /// Whether nothing of the prior carrier can concern it any more.
    pub(super) fn settled(&self, now: Instant) -> bool {
        self.floor.is_none_or(|f| now >= f)
    }

    /// Whether entry VMs route to the owner.
    pub(super) const fn published(&self) -> bool {
        matches!(
            self.hold,
            Hold::Held {
                confirmed: true,
                ..
            }
        )
    }

    /// Owner that holds or is given the piece.
    pub(super) const fn holder(&self) -> Option<&Owner> {
        match &self.hold {
            Hold::Held { owner, .. } => Some(owner),
            _ => None,
        }
    }

    /// Owner that holds the piece or is leaving it.
    pub(super) const fn bound(&self) -> Option<&Owner> {
        match &self.hold {
            Hold::Held { owner, .. } | Hold::Leaving { owner, .. } => Some(owner),
            _ => None,
        }
    }

    /// The route as entry VMs see it.
    pub(super) fn route(&self) -> route::Route {
        let server = match &self.hold {
            Hold::Held {
                owner,
                confirmed: true,
                ..
            } => Some(ids::ServerName::clone(&owner.server)),
            _ => None,
        };
        route::Route {
            span: self.span,
            fence: self.fence,
            server,
        }
    }
}
