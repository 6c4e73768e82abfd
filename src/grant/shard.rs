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
pub(super) enum MoveCause {
    /// The owner's lease ran out.
    LeaseExpired,
    /// The owner started anew.
    Restarted,
    /// The owner is draining.
    Drain,
    /// Load is evened out.
    Rebalance,
    /// Another zone takes the span over.
    Release,
}

impl MoveCause {
    /// Name for the time line.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::LeaseExpired => "lost",
            Self::Restarted => "restarted",
            Self::Drain => "drain",
            Self::Rebalance => "balance",
            Self::Release => "release",
        }
    }
}

/// Who holds a span.
#[derive(Clone, Debug)]
pub(super) enum ShardState {
    /// A grant of the prior carrier may still live until then.
    PriorGrant { until: Instant },
    /// Nobody.
    Free { last_owner: Option<ids::ServerName> },
    /// A server, or it will with the next answer to it.
    Granted {
        owner: Owner,
        /// Whether an answer listed the grant.
        sent: bool,
        /// Whether the owner confirmed it, so that the route is published.
        confirmed: bool,
    },
    /// The route is taken back and the grant listed no longer.
    Revoking {
        owner: Owner,
        checks_fences: bool,
        cause: MoveCause,
        /// End of the owner's lease, for an owner that checks.
        lease_end: Instant,
        /// When no entry VM could route to the owner any more, for one that does not check.
        unrouted_since: Option<Instant>,
        /// Next owner, if one was chosen.
        next_owner: Option<ids::ServerName>,
    },
}

/// Hashes whose requests are counted apart between two looks.
const MAX_TRACKED_HASHES: usize = 32;

/// A hash with many requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct HotHash {
    pub(super) hash: keys::KeyHash,
    /// Requests a second, smoothed.
    pub(super) request_rate: f64,
    /// Requests since the last look.
    pub(super) recent_requests: f64,
}

/// One span of a duty.
#[derive(Clone, Debug)]
pub(super) struct Shard {
    pub(super) span: keys::Span,
    /// Fence of the last grant; 0 if there was none.
    pub(super) fence: ids::Fence,
    /// Map version of the last change of its route.
    pub(super) changed_version: ids::MapVersion,
    /// Map version that took its last route back.
    pub(super) withdrawn_version: ids::MapVersion,
    pub(super) state: ShardState,
    /// Whether its owner may hold it or work on it, under whatever fence.
    pub(super) in_use: bool,
    /// Earliest time at which it may be free, because of what the prior carrier granted.
    pub(super) earliest_free: Option<Instant>,
    /// Requests a second, smoothed.
    pub(super) request_rate: f64,
    /// Requests since the last look.
    pub(super) recent_requests: f64,
    /// HotHash hashes.
    pub(super) hot_hashes: Vec<HotHash>,
    /// When it was last taken from an owner to even out load.
    pub(super) last_rebalanced: Option<Instant>,
}

impl Shard {
    /// A shard with the given holder and no history.
    pub(super) const fn new(span: keys::Span, hold: ShardState, version: ids::MapVersion) -> Self {
        Self {
            span,
            fence: 0,
            changed_version: version,
            withdrawn_version: version,
            state: hold,
            in_use: false,
            earliest_free: None,
            request_rate: 0.0,
            recent_requests: 0.0,
            hot_hashes: Vec::new(),
            last_rebalanced: None,
        }
    }

    /// The part of this shard within `span`, with its share of the load.
    pub(super) fn restrict(&self, span: keys::Span) -> Self {
        let mut part = self.clone();
        part.span = span;
        part.hot_hashes.retain(|h| span.contains(h.hash));
        part.request_rate =
            self.request_rate * place::model::width(span) / place::model::width(self.span);
        part
    }

    /// Counts requests for one hash.
    pub(super) fn count_hash(&mut self, hash: keys::KeyHash, requests: f64) {
        let full = self.hot_hashes.len() >= MAX_TRACKED_HASHES;
        match self.hot_hashes.iter_mut().find(|h| h.hash == hash) {
            Some(hot) => hot.recent_requests += requests,
            None if !full => self.hot_hashes.push(HotHash {
                hash,
                request_rate: 0.0,
                recent_requests: requests,
            }),
            None => {}
        }
    }

    /// Whether nothing of the prior carrier can concern it any more.
    pub(super) fn clear_of_predecessor(&self, now: Instant) -> bool {
        self.earliest_free.is_none_or(|f| now >= f)
    }

    /// Whether entry VMs route to the owner.
    pub(super) const fn is_routed(&self) -> bool {
        matches!(
            self.state,
            ShardState::Granted {
                confirmed: true,
                ..
            }
        )
    }

    /// Owner that holds or is given the shard.
    pub(super) const fn owner(&self) -> Option<&Owner> {
        match &self.state {
            ShardState::Granted { owner, .. } => Some(owner),
            _ => None,
        }
    }

    /// Owner that holds the shard or is leaving it.
    pub(super) const fn owner_or_revoked(&self) -> Option<&Owner> {
        match &self.state {
            ShardState::Granted { owner, .. } | ShardState::Revoking { owner, .. } => Some(owner),
            _ => None,
        }
    }

    /// The route as entry VMs see it.
    pub(super) fn route(&self) -> route::Route {
        let server = match &self.state {
            ShardState::Granted {
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
