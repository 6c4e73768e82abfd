//! What a carrier remembers of one backend server.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::messages::LeaseRequest;
use super::shard::Owner;
use crate::ids;
use crate::route;

/// Share of its slots that a cold server starts with, in percent.
const COLD_PERCENT: u32 = 20;

/// Time in which a cold server warms up.
const WARMUP_TIME: Duration = Duration::from_secs(8);

/// Steps in which the share grows, in percent.
const WARMUP_STEP_PERCENT: u32 = 10;

/// Replaced starts of one server that are remembered.
const MAX_PAST_INCARNATIONS: usize = 16;

/// One backend server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) info: route::ServerInfo,
    /// Number of the last question taken in.
    pub(super) last_sequence: u64,
    /// End of its lease by the carrier's clock, the allowance added.
    pub(super) lease_end: Instant,
    /// Whether its lease runs.
    pub(super) alive: bool,
    /// Whether it said that it is leaving.
    pub(super) leaving: bool,
    /// Whether an operator drains it.
    pub(super) operator_drain: bool,
    /// Requests in work and waiting, as it reported.
    pub(super) outstanding_requests: u32,
    /// Share of its capacity that entry VMs find usable, 0 to 1.
    pub(super) health: f64,
    /// Map version of the last change of its info.
    pub(super) changed_version: ids::MapVersion,
    /// When the drain that goes on began, and with how many spans.
    drain_start: Option<(Instant, usize)>,
    warmup_start: Instant,
    warmup_base_percent: u32,
    past_incarnations: VecDeque<ids::Incarnation>,
}

impl Server {
    /// A server that was just heard for the first time.
    pub(super) fn new(request: &LeaseRequest, now: Instant) -> Self {
        let mut server = Self::inherited(info(request), now, now);
        server.start_warmup(now);
        server
    }

    /// A server known from the route map of the prior carrier.
    pub(super) const fn inherited(
        info: route::ServerInfo,
        now: Instant,
        lease_end: Instant,
    ) -> Self {
        let warm_from = info.warm_percent;
        Self {
            info,
            last_sequence: 0,
            lease_end,
            alive: true,
            leaving: false,
            operator_drain: false,
            outstanding_requests: 0,
            health: 1.0,
            changed_version: 0,
            drain_start: None,
            warmup_start: now,
            warmup_base_percent: warm_from,
            past_incarnations: VecDeque::new(),
        }
    }

    /// This start as an owner.
    pub(super) fn owner(&self) -> Owner {
        Owner {
            server: ids::ServerName::clone(&self.info.server),
            incarnation: ids::Incarnation::clone(&self.info.incarnation),
        }
    }

    /// Whether the start was replaced by the present one, which is alive.
    pub(super) fn is_superseded(&self, incarnation: &ids::Incarnation) -> bool {
        self.alive && self.past_incarnations.contains(incarnation)
    }

    /// Puts another start in place of the present one.
    pub(super) fn replace_incarnation(&mut self, request: &LeaseRequest, now: Instant) {
        if self.past_incarnations.len() == MAX_PAST_INCARNATIONS {
            self.past_incarnations.pop_front();
        }
        self.past_incarnations
            .push_back(ids::Incarnation::clone(&self.info.incarnation));
        self.past_incarnations.retain(|f| *f != request.incarnation);
        self.info = info(request);
        self.last_sequence = 0;
        self.leaving = false;
        self.health = 1.0;
        self.start_warmup(now);
    }

    /// Begins to warm up.
    pub(super) const fn start_warmup(&mut self, now: Instant) {
        self.warmup_start = now;
        self.warmup_base_percent = COLD_PERCENT;
        self.info.warm_percent = COLD_PERCENT;
    }

    /// Usable share of its slots at `now`, in percent.
    pub(super) fn warm_percent(&self, now: Instant) -> u32 {
        let passed = now.saturating_duration_since(self.warmup_start);
        let gained = passed.as_millis() * u128::from(100 - COLD_PERCENT) / WARMUP_TIME.as_millis();
        let gained = u32::try_from(gained).unwrap_or(100).min(100);
        let percent = self.warmup_base_percent + gained;
        if percent >= 100 {
            100
        } else {
            percent / WARMUP_STEP_PERCENT * WARMUP_STEP_PERCENT
        }
    }

    /// Whether it may be given spans.
    pub(super) const fn is_assignable(&self) -> bool {
        self.alive && !self.is_draining()
    }

    /// Whether its spans are to be moved away.
    pub(super) const fn is_draining(&self) -> bool {
        self.leaving || self.operator_drain
    }

    /// Spans that must begin to leave now, so that a drain ends in `time`.
    pub(super) fn drain_due(&mut self, now: Instant, owned: usize, time: Duration) -> usize {
        if !self.is_draining() {
            self.drain_start = None;
            return 0;
        }
        let (since, total) = *self.drain_start.get_or_insert((now, owned));
        let passed = now.saturating_duration_since(since).as_millis();
        let passed = usize::try_from(passed).unwrap_or(usize::MAX);
        let whole = usize::try_from(time.as_millis()).unwrap_or(usize::MAX);
        let due = total.saturating_mul(passed.min(whole)) / whole;
        owned.saturating_sub(total.saturating_sub(due))
    }

    /// Load that it can carry, in slots.
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
