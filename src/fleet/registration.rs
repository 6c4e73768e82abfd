//! Whether the sender of a heartbeat may be registered.
//!
//! A heartbeat may come from another writer, with the name or the address of a backend server that
//! runs. It must neither take keys from their owner nor shut out a server for good, so a registered
//! server gives way only if it owns no keys, or is silent and has no lease. A heartbeat may also be a
//! delayed one of a process that has ended: a later incarnation, or a later server at its address,
//! gives way only to a heartbeat that was sent after its own registration.
//!
//! A server stays registered while the routing table lacks its service, as the service may come back:
//! what its heartbeats say counts meanwhile.

use std::sync::Arc;
use std::time::Instant;

use super::coordinator::SILENCE_LIMIT;
use super::leases::Leases;
use super::messages::Heartbeat;
use super::model::{Incarnation, Server, ServerState};
use super::ranges::RangeMap;
use super::store::{Change, Effect, Ordered, Store};
use crate::ids;

/// What a heartbeat means for the registration of its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Registration {
    /// The sender is registered.
    Known,
    /// The sender is not registered, and the routing table doesn't have its service.
    Ignored,
    /// The heartbeat would displace these servers, which may be running.
    Blocked(Vec<Incarnation>),
    /// The heartbeat may be a delayed one of a process that has ended since.
    Outdated,
    /// The sender is registered with another service or address, and may be running there.
    Conflict,
    /// The sender is to be registered.
    New {
        /// Incarnations that end by it.
        displaced: Vec<Incarnation>,
        /// Change that registers it.
        change: Box<Change>,
    },
}

/// Decides about a heartbeat; `has_service` if the routing table has its service.
pub fn decide(
    heartbeat: &Heartbeat,
    has_service: bool,
    store: &Store,
    leases: &Leases,
    now: Instant,
) -> Registration {
    let sender = &heartbeat.server;
    let registered = store.incarnation(&sender.incarnation);
    if registered.is_some_and(|r| r.service == sender.service && r.address == sender.address) {
        return Registration::Known;
    }
    if !has_service {
        return Registration::Ignored;
    }
    let is_later = is_later(store, sender);
    let sent_after = heartbeat.sent_after;
    let is_delayed = !is_later && !store.is_newest(sender, sent_after);
    if is_delayed || store.has_left(sender, sent_after) {
        return Registration::Outdated;
    }
    let by_name = store.server(&sender.incarnation.server).map(|s| &**s);
    let at_address = store.others_at(sender.address, &sender.incarnation);
    let displaced: Vec<_> = by_name.into_iter().chain(at_address).collect();
    let gives_way = |s: &&Server| may_displace(s, sender, store, leases, now);
    let stays = displaced.iter().filter(|s| !gives_way(s));
    let stays: Vec<_> = stays.map(|s| s.incarnation.clone()).collect();
    if !stays.is_empty() {
        return match registered {
            Some(_) => Registration::Conflict,
            None => Registration::Blocked(stays),
        };
    }
    let server = Ordered {
        value: sender.clone(),
        sent_after,
    };
    let change = if is_later {
        Change::Announce(server)
    } else {
        Change::Readmit(server)
    };
    Registration::New {
        displaced: displaced.iter().map(|s| s.incarnation.clone()).collect(),
        change: Box::new(change),
    }
}

/// Whether a registered server gives way to the sender of a heartbeat.
fn may_displace(
    registered: &Server,
    sender: &Server,
    store: &Store,
    leases: &Leases,
    now: Instant,
) -> bool {
    let incarnation = &registered.incarnation;
    let mut ranges = store
        .ranges(&registered.service)
        .into_iter()
        .flat_map(RangeMap::iter);
    let owns_keys = ranges.any(|r| {
        let next = r.next.as_ref().map(|n| &n.incarnation);
        r.owner.as_ref() == Some(incarnation) || next == Some(incarnation)
    });
    let is_later = sender.incarnation.start_ms > incarnation.start_ms;
    let is_silent = leases.is_silent(incarnation, SILENCE_LIMIT, now);
    (!owns_keys && is_later)
        || (is_silent && (!owns_keys || leases.has_expired(incarnation, store, now)))
}

/// Whether a server is later than all that are or were registered under its name or address, as
/// [`Change::Announce`] requires.
fn is_later(store: &Store, server: &Server) -> bool {
    let previous = store.servers.get(&server.incarnation.server);
    let start_ms = server.incarnation.start_ms;
    previous.is_none_or(|p| p.value.incarnation.start_ms < start_ms)
        && store
            .others_at(server.address, &server.incarnation)
            .all(|s| s.incarnation.start_ms <= start_ms)
}

impl Store {
    /// Whether a heartbeat of a server that was sent after a log index is newer than all that the log has
    /// of the server's name and of others at its address.
    fn is_newest(&self, server: &Server, sent_after: ids::LogIndex) -> bool {
        let by_name = self.servers.get(&server.incarnation.server);
        let at_address = self
            .servers
            .values()
            .filter(|v| v.value.address == server.address && v.value.state != ServerState::Gone);
        let mut known = by_name.into_iter().chain(at_address);
        known.all(|v| v.changed <= sent_after)
    }

    /// Registers a backend server whatever the start times say, unless its heartbeat may be a delayed
    /// one; others at its address are gone.
    pub(super) fn readmit(&mut self, index: ids::LogIndex, server: Ordered<Server>) -> Effect {
        let Ordered {
            value: server,
            sent_after,
        } = server;
        if !self.is_newest(&server, sent_after) || self.has_left(&server, sent_after) {
            return Effect::Outdated;
        }
        let others = self.others_at(server.address, &server.incarnation);
        let displaced: Vec<_> = others.map(|s| s.incarnation.clone()).collect();
        for incarnation in displaced {
            self.set_state(index, &incarnation, ServerState::Gone);
        }
        self.insert(index, Arc::new(server));
        Effect::Applied
    }
}
