//! Models of backend servers and entry VMs that follow the protocol, with slow clocks.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::fixture;
use crate::delegate::messages;
use crate::grant::{Grant, LeaseRequest, LeaseResponse};
use crate::ids::{Epoch, Fence, MapVersion};
use crate::keys::Span;
use crate::route::messages::SpanLoad;
use crate::route::{PullRequest, PullResponse, Route, ServerInfo};
use crate::timing;

/// Deadline of every request.
pub(super) const DEADLINE: Duration = Duration::from_millis(200);

/// Real time that passes while a clock that is slow by `lag_per_mille` measures `time`.
fn on_slow_clock(time: Duration, lag_per_mille: u32) -> Duration {
    time + time * lag_per_mille / 1000
}

/// A request that is or may be in progress until `end`.
#[derive(Clone, Debug)]
pub(super) struct ActiveRequest {
    pub(super) grant: Grant,
    pub(super) end: Instant,
}

/// One incarnation of a backend server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) request: LeaseRequest,
    pub(super) frozen_until: Option<Instant>,
    pub(super) stopped: bool,
    pub(super) primary: usize,
    pub(super) next_heartbeat: Instant,
    pub(super) lease_end: Instant,
    pub(super) active_requests: Vec<ActiveRequest>,
    sent: Instant,
    clock_lag: u32,
    highest_fence: Fence,
}

impl Server {
    pub(super) fn new(name: &str, checks: bool, clock_lag: u32, now: Instant) -> Self {
        Self {
            request: fixture::heartbeat(name, checks),
            frozen_until: None,
            stopped: false,
            primary: 0,
            next_heartbeat: now,
            lease_end: now,
            active_requests: Vec::new(),
            sent: now,
            clock_lag,
            highest_fence: 0,
        }
    }

    pub(super) fn is_running(&self, now: Instant) -> bool {
        !self.stopped && self.frozen_until.is_none_or(|f| now >= f)
    }

    /// Drops what expired and builds the next heartbeat.
    pub(super) fn next_request(&mut self, now: Instant) -> LeaseRequest {
        if now >= self.lease_end {
            self.request.held_grants.clear();
            self.active_requests.retain(|_| !self.request.checks_fences);
        }
        self.active_requests.retain(|r| now < r.end);
        let held = &self.request.held_grants;
        let active = self.active_requests.iter().map(|r| r.grant);
        self.request.finishing_grants = active.filter(|g| !held.contains(g)).collect();
        self.request.sequence += 1;
        self.sent = now;
        self.request.clone()
    }

    /// Applies a response; returns the grants that are new.
    pub(super) fn apply_response(
        &mut self,
        now: Instant,
        sequence: u64,
        response: &LeaseResponse,
    ) -> Vec<Grant> {
        let end = self.sent + on_slow_clock(response.lease, self.clock_lag);
        if sequence != self.request.sequence || now >= end {
            return Vec::new();
        }
        if now >= self.lease_end {
            self.request.held_grants.clear();
            self.active_requests.retain(|_| !self.request.checks_fences);
        }
        self.lease_end = end;
        let (old, highest) = (self.request.held_grants.clone(), self.highest_fence);
        let accepted = |g: &&Grant| old.contains(g) || g.fence > highest;
        self.request.held_grants = response.grants.iter().filter(accepted).copied().collect();
        let new = |g: &&Grant| !old.contains(g);
        let fences = self.request.held_grants.iter().map(|g| g.fence);
        self.highest_fence = fences.fold(highest, Fence::max);
        self.request
            .held_grants
            .iter()
            .filter(new)
            .copied()
            .collect()
    }

    /// Processes a request; a server that checks fences refuses a wrong fence or an expired lease.
    pub(super) fn process(&mut self, now: Instant, route: &Route, time: Duration) {
        let grant = Grant {
            span: route.span,
            fence: route.fence,
        };
        let is_held = now < self.lease_end && self.request.held_grants.contains(&grant);
        let time = if self.request.checks_fences {
            time
        } else {
            on_slow_clock(time, self.clock_lag)
        };
        if is_held || !self.request.checks_fences {
            self.active_requests
                .retain(|r| r.grant != grant || r.end > now + time);
            let end = now + time;
            self.active_requests.push(ActiveRequest { grant, end });
        }
    }

    /// Spans that the server owns at `now`: it processes requests for them or would accept some.
    pub(super) fn owned_spans(&self, now: Instant) -> Vec<Span> {
        let live = now < self.lease_end || !self.request.checks_fences;
        let active = self.active_requests.iter().filter(|r| live && now < r.end);
        let mut owned_spans: Vec<_> = active.map(|r| r.grant.span).collect();
        if self.request.checks_fences && live {
            owned_spans.extend(self.request.held_grants.iter().map(|g| g.span));
        }
        owned_spans
    }
}

/// An entry VM as a subscriber.
#[derive(Clone, Debug)]
pub(super) struct EntryVm {
    pub(super) vm: String,
    pub(super) primary: usize,
    pub(super) frozen_until: Option<Instant>,
    pub(super) next_pull: Instant,
    pub(super) epoch: Epoch,
    pub(super) routes: BTreeMap<u64, Route>,
    pub(super) servers: BTreeMap<String, ServerInfo>,
    pub(super) map_expiry: Instant,
    pub(super) request_number: u64,
    /// Lowest epoch of which the entry VM accepts a map.
    pub(super) min_epoch: Epoch,
    version: MapVersion,
    last_response: u64,
    sent: Instant,
    clock_lag: u32,
}

impl EntryVm {
    pub(super) fn new(vm: &str, clock_lag: u32, now: Instant) -> Self {
        Self {
            vm: vm.into(),
            primary: 0,
            frozen_until: None,
            next_pull: now,
            epoch: 0,
            routes: BTreeMap::new(),
            servers: BTreeMap::new(),
            map_expiry: now,
            request_number: 0,
            min_epoch: 0,
            version: 0,
            last_response: 0,
            sent: now,
            clock_lag,
        }
    }

    pub(super) fn is_running(&self, now: Instant) -> bool {
        self.frozen_until.is_none_or(|f| now >= f)
    }

    /// When the last pull request was sent.
    pub(super) const fn last_sent(&self) -> Instant {
        self.sent
    }

    /// Builds the next pull request.
    pub(super) fn next_request(
        &mut self,
        now: Instant,
        epoch: Epoch,
        loads: Vec<SpanLoad>,
    ) -> PullRequest {
        self.request_number += 1;
        self.sent = now;
        PullRequest {
            epoch,
            map_epoch: self.epoch,
            version: self.version,
            last_response: self.last_response,
            loads,
            ..fixture::pull_request(&self.vm, None)
        }
    }

    /// Applies the response to the request with that number.
    pub(super) fn apply_response(&mut self, request_number: u64, response: &PullResponse) {
        if request_number != self.request_number {
            return;
        }
        self.last_response = response.number;
        if response.epoch == 0 || response.epoch < self.min_epoch.max(self.epoch) {
            return;
        }
        if response.is_full {
            self.routes.clear();
            self.servers.clear();
        }
        for span in &response.removed {
            self.routes.remove(&span.start);
        }
        for route in &response.routes {
            self.routes.insert(route.span.start, route.clone());
        }
        for info in &response.servers {
            self.servers.insert(info.server.to_string(), info.clone());
        }
        (self.epoch, self.version) = (response.epoch, response.version);
        self.map_expiry = self.sent + on_slow_clock(timing::ROUTE_LEASE, self.clock_lag);
    }

    /// Routes that the entry VM may use now.
    pub(super) fn usable_routes(&self, now: Instant) -> Vec<(Route, ServerInfo)> {
        let routes = self.routes.values().filter(|_| now < self.map_expiry);
        let known = |r: &Route| {
            let info = self.servers.get(r.server.as_deref()?)?;
            Some((r.clone(), info.clone()))
        };
        routes.filter_map(known).collect()
    }
}

/// Records granted fences and asserts that they grow.
#[derive(Debug, Default)]
pub(super) struct FenceLog {
    grants: Vec<Grant>,
}

impl FenceLog {
    /// Records a grant that a server accepted.
    pub(super) fn record(&mut self, grant: Grant) {
        let overlapping = |g: &&Grant| g.span.overlaps(&grant.span);
        let highest = self
            .grants
            .iter()
            .filter(overlapping)
            .map(|g| g.fence)
            .max();
        assert!(
            highest.is_none_or(|h| h < grant.fence),
            "fence {} of epoch {} for {} after {highest:?}",
            grant.fence,
            messages::epoch_of(grant.fence),
            grant.span
        );
        self.grants.push(grant);
    }
}
