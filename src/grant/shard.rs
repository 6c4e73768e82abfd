//! A span with its owner, grant and load.

use std::time::Instant;

use crate::ids;
use crate::keys;
use crate::place;
use crate::route;

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Owner {
    pub(super) server: ids::ServerName,
    pub(super) incarnation: ids::Incarnation,
}

/// Why a shard is taken from its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MoveCause {
    /// The owner's lease expired.
    LeaseExpired,
    /// The owner restarted.
    Restarted,
    /// The owner is draining.
    Drain,
    /// Load is rebalanced.
    Rebalance,
    /// Another zone takes over the span.
    Release,
}

impl MoveCause {
    /// Name in time line events and overviews.
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

/// State of a shard's grant.
#[derive(Clone, Debug)]
pub(super) enum ShardState {
    /// A grant of the predecessor may be valid until that instant.
    PriorGrant { until: Instant },
    /// No server owns the shard.
    Free { last_owner: Option<ids::ServerName> },
    /// Granted to a server, which learns of it from the next response.
    Granted {
        owner: Owner,
        /// Whether a response listed the grant.
        sent: bool,
        /// Whether the owner confirmed the grant, so that the route is published.
        confirmed: bool,
    },
    /// The route is withdrawn and responses no longer list the grant.
    Revoking {
        owner: Owner,
        checks_fences: bool,
        cause: MoveCause,
        /// End of the owner's lease, for an owner that checks fences.
        lease_end: Instant,
        /// Since when no entry VM can route to the owner, for one that does not check fences.
        unrouted_since: Option<Instant>,
        /// Next owner, if one was chosen.
        next_owner: Option<ids::ServerName>,
    },
}

/// Hashes of one shard whose requests are counted between two load passes.
const MAX_TRACKED_HASHES: usize = 32;

/// A hash with many requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct HotHash {
    pub(super) hash: keys::KeyHash,
    /// Requests per second, smoothed.
    pub(super) request_rate: f64,
    /// Requests since the last load pass.
    pub(super) recent_requests: f64,
}

/// A span with its grant and load.
#[derive(Clone, Debug)]
pub(super) struct Shard {
    pub(super) span: keys::Span,
    /// Fence of the last grant; 0 if there was none.
    pub(super) fence: ids::Fence,
    /// Map version of the last route change.
    pub(super) changed_version: ids::MapVersion,
    /// Map version that withdrew the last route.
    pub(super) withdrawn_version: ids::MapVersion,
    pub(super) state: ShardState,
    /// Whether the owner may hold the span or work on it, under any fence.
    pub(super) in_use: bool,
    /// Earliest instant at which the span may be free, given the predecessor's grants.
    pub(super) earliest_free: Option<Instant>,
    /// Requests per second, smoothed.
    pub(super) request_rate: f64,
    /// Requests since the last load pass.
    pub(super) recent_requests: f64,
    pub(super) hot_hashes: Vec<HotHash>,
    /// When the shard was last moved to rebalance load.
    pub(super) last_rebalanced: Option<Instant>,
}

impl Shard {
    /// A shard in the given state, without a fence or load.
    pub(super) const fn new(span: keys::Span, state: ShardState, version: ids::MapVersion) -> Self {
        Self {
            span,
            fence: 0,
            changed_version: version,
            withdrawn_version: version,
            state,
            in_use: false,
            earliest_free: None,
            request_rate: 0.0,
            recent_requests: 0.0,
            hot_hashes: Vec::new(),
            last_rebalanced: None,
        }
    }

    /// The part of the shard within `span`, with its share of the load.
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

    /// Whether no grant or map of the predecessor can affect the shard any more.
    pub(super) fn clear_of_predecessor(&self, now: Instant) -> bool {
        self.earliest_free.is_none_or(|e| now >= e)
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

    /// Server that the shard is granted to.
    pub(super) const fn owner(&self) -> Option<&Owner> {
        match &self.state {
            ShardState::Granted { owner, .. } => Some(owner),
            _ => None,
        }
    }

    /// Server that the shard is granted to or is being revoked from.
    pub(super) const fn owner_or_revoked(&self) -> Option<&Owner> {
        match &self.state {
            ShardState::Granted { owner, .. } | ShardState::Revoking { owner, .. } => Some(owner),
            _ => None,
        }
    }

    /// The route that entry VMs get.
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
