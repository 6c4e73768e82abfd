//! A granter's state for one backend server.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::messages::LeaseRequest;
use super::shard::Owner;
use crate::ids;
use crate::route;

/// Share of its slots that a cold server may use at first, in percent.
const COLD_PERCENT: u32 = 20;

/// Time in which a cold server reaches all of its slots.
const WARMUP_TIME: Duration = Duration::from_secs(8);

/// Step in which the usable share grows, in percent.
const WARMUP_STEP_PERCENT: u32 = 10;

/// Replaced incarnations that are kept for one server.
const MAX_PAST_INCARNATIONS: usize = 16;

/// One backend server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) info: route::ServerInfo,
    /// Sequence number of the last heartbeat.
    pub(super) last_sequence: u64,
    /// End of the lease by the primary's clock, including the clock allowance.
    pub(super) lease_end: Instant,
    /// Whether the lease is valid.
    pub(super) alive: bool,
    /// Whether the server reported that it is leaving.
    pub(super) leaving: bool,
    /// Incarnation that entry VMs saw leaving in a response.
    pub(super) seen_leaving: Option<ids::Incarnation>,
    /// Whether an operator drains the server.
    pub(super) operator_drain: bool,
    /// Requests in progress and queued, as the server reported.
    pub(super) outstanding_requests: u32,
    /// Share of the capacity that entry VMs find usable, 0 to 1.
    pub(super) health: f64,
    /// Map version of the last change of `info`.
    pub(super) changed_version: ids::MapVersion,
    /// Start of the current drain and the number of shards at that time.
    drain_start: Option<(Instant, usize)>,
    warmup_start: Instant,
    warmup_base_percent: u32,
    past_incarnations: VecDeque<ids::Incarnation>,
}

impl Server {
    /// A server whose first heartbeat just arrived.
    pub(super) fn new(request: &LeaseRequest, now: Instant) -> Self {
        let mut server = Self::inherited(info(request), now, now);
        server.start_warmup(now);
        server
    }

    /// A server known from the predecessor's route map.
    pub(super) const fn inherited(
        info: route::ServerInfo,
        now: Instant,
        lease_end: Instant,
    ) -> Self {
        let warmup_base_percent = info.warm_percent;
        Self {
            info,
            last_sequence: 0,
            lease_end,
            alive: true,
            leaving: false,
            seen_leaving: None,
            operator_drain: false,
            outstanding_requests: 0,
            health: 1.0,
            changed_version: 0,
            drain_start: None,
            warmup_start: now,
            warmup_base_percent,
            past_incarnations: VecDeque::new(),
        }
    }

    /// The current incarnation as an owner.
    pub(super) fn owner(&self) -> Owner {
        Owner {
            server: ids::ServerName::clone(&self.info.server),
            incarnation: ids::Incarnation::clone(&self.info.incarnation),
        }
    }

    /// Whether the current incarnation replaced the given one and is alive.
    pub(super) fn is_superseded(&self, incarnation: &ids::Incarnation) -> bool {
        self.alive && self.past_incarnations.contains(incarnation)
    }

    /// Replaces the current incarnation by the one that sent `request`.
    pub(super) fn replace_incarnation(&mut self, request: &LeaseRequest, now: Instant) {
        if self.past_incarnations.len() == MAX_PAST_INCARNATIONS {
            self.past_incarnations.pop_front();
        }
        self.past_incarnations
            .push_back(ids::Incarnation::clone(&self.info.incarnation));
        self.past_incarnations.retain(|i| *i != request.incarnation);
        self.info = info(request);
        self.last_sequence = 0;
        self.leaving = false;
        self.health = 1.0;
        self.start_warmup(now);
    }

    pub(super) const fn start_warmup(&mut self, now: Instant) {
        self.warmup_start = now;
        self.warmup_base_percent = COLD_PERCENT;
        self.info.warm_percent = COLD_PERCENT;
    }

    /// Usable share of the slots at `now`, in percent.
    pub(super) fn warm_percent(&self, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.warmup_start);
        let gained = elapsed.as_millis() * u128::from(100 - COLD_PERCENT) / WARMUP_TIME.as_millis();
        let gained = u32::try_from(gained).unwrap_or(100).min(100);
        let percent = self.warmup_base_percent + gained;
        if percent >= 100 {
            100
        } else {
            percent / WARMUP_STEP_PERCENT * WARMUP_STEP_PERCENT
        }
    }

    /// Whether the server may be granted spans.
    pub(super) fn is_assignable(&self) -> bool {
        self.alive && !self.is_draining()
    }

    /// Whether the server's spans are to be moved to other servers.
    pub(super) fn is_draining(&self) -> bool {
        let seen_leaving = self.seen_leaving.as_ref() == Some(&self.info.incarnation);
        self.leaving || seen_leaving || self.operator_drain
    }

    /// Number of moves that must start now so that all of them start within `time`.
    pub(super) fn drain_due(&mut self, now: Instant, owned: usize, time: Duration) -> usize {
        if !self.is_draining() {
            self.drain_start = None;
            return 0;
        }
        let (since, total) = *self.drain_start.get_or_insert((now, owned));
        let elapsed_ms = now.saturating_duration_since(since).as_millis();
        let elapsed_ms = usize::try_from(elapsed_ms).unwrap_or(usize::MAX);
        let time_ms = usize::try_from(time.as_millis()).unwrap_or(usize::MAX);
        let due = total.saturating_mul(elapsed_ms.min(time_ms)) / time_ms;
        owned.saturating_sub(total.saturating_sub(due))
    }

    /// Capacity in slots, reduced by warm-up and health.
    pub(super) fn capacity(&self) -> f64 {
        f64::from(self.info.slots) * f64::from(self.info.warm_percent) / 100.0 * self.health
    }
}

fn info(request: &LeaseRequest) -> route::ServerInfo {
    route::ServerInfo {
        server: ids::ServerName::clone(&request.server),
        incarnation: ids::Incarnation::clone(&request.incarnation),
        address: request.address,
        slots: request.slots,
        checks_fences: request.checks_fences,
        warm_percent: COLD_PERCENT,
    }
}
