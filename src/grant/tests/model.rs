//! Backend servers and entry VMs that follow the rules, with clocks that run slow.

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

/// A duration as a clock measures it that runs slow by so many thousandths.
fn slow(time: Duration, thousandths: u32) -> Duration {
    time + time * thousandths / 1000
}

/// Work in flight, or the possibility of it.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) grant: Grant,
    pub(super) end: Instant,
}

/// A process of a backend server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) request: LeaseRequest,
    pub(super) frozen: Option<Instant>,
    pub(super) gone: bool,
    pub(super) carrier: usize,
    pub(super) next_beat: Instant,
    pub(super) lease_end: Instant,
    pub(super) work: Vec<Work>,
    sent: Instant,
    slowness: u32,
    highest: Fence,
}

impl Server {
    pub(super) fn new(name: &str, checks: bool, slowness: u32, now: Instant) -> Self {
        Self {
            request: fixture::beat(name, checks),
            frozen: None,
            gone: false,
            carrier: 0,
            next_beat: now,
            lease_end: now,
            work: Vec::new(),
            sent: now,
            slowness,
            highest: 0,
        }
    }

    pub(super) fn runs(&self, now: Instant) -> bool {
        !self.gone && self.frozen.is_none_or(|f| now >= f)
    }

    /// Drops what ran out and composes the next question.
    pub(super) fn ask(&mut self, now: Instant) -> LeaseRequest {
        if now >= self.lease_end {
            self.request.held_grants.clear();
            self.work.retain(|_| !self.request.checks_fences);
        }
        self.work.retain(|w| now < w.end);
        let holds = &self.request.held_grants;
        let ended = self.work.iter().map(|w| w.grant);
        self.request.finishing_grants = ended.filter(|g| !holds.contains(g)).collect();
        self.request.sequence += 1;
        self.sent = now;
        self.request.clone()
    }

    /// Takes an answer in; returns the grants that are new.
    pub(super) fn take(&mut self, now: Instant, beat: u64, answer: &LeaseResponse) -> Vec<Grant> {
        let end = self.sent + slow(answer.lease, self.slowness);
        if beat != self.request.sequence || now >= end {
            return Vec::new();
        }
        if now >= self.lease_end {
            self.request.held_grants.clear();
            self.work.retain(|_| !self.request.checks_fences);
        }
        self.lease_end = end;
        let (old, highest) = (self.request.held_grants.clone(), self.highest);
        let takes = |g: &&Grant| old.contains(g) || g.fence > highest;
        self.request.held_grants = answer.grants.iter().filter(takes).copied().collect();
        let new = |g: &&Grant| !old.contains(g);
        let fences = self.request.held_grants.iter().map(|g| g.fence);
        self.highest = fences.fold(highest, Fence::max);
        self.request
            .held_grants
            .iter()
            .filter(new)
            .copied()
            .collect()
    }

    /// A request arrives; a server that checks refuses a wrong fence or an ended lease.
    pub(super) fn work(&mut self, now: Instant, route: &Route, time: Duration) {
        let grant = Grant {
            span: route.span,
            fence: route.fence,
        };
        let holds = now < self.lease_end && self.request.held_grants.contains(&grant);
        let time = if self.request.checks_fences {
            time
        } else {
            slow(time, self.slowness)
        };
        if holds || !self.request.checks_fences {
            self.work.retain(|w| w.grant != grant || w.end > now + time);
            let end = now + time;
            self.work.push(Work { grant, end });
        }
    }

    /// Spans that this process owns at this instant, by what it would do.
    pub(super) fn claims(&self, now: Instant) -> Vec<Span> {
        let live = now < self.lease_end || !self.request.checks_fences;
        let work = self.work.iter().filter(|w| live && now < w.end);
        let mut claims: Vec<_> = work.map(|w| w.grant.span).collect();
        if self.request.checks_fences && live {
            claims.extend(self.request.held_grants.iter().map(|g| g.span));
        }
        claims
    }
}

/// An entry VM as a subscriber.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) vm: String,
    pub(super) carrier: usize,
    pub(super) frozen: Option<Instant>,
    pub(super) next_ask: Instant,
    pub(super) epoch: Epoch,
    pub(super) routes: BTreeMap<u64, Route>,
    pub(super) servers: BTreeMap<String, ServerInfo>,
    pub(super) expiry: Instant,
    pub(super) question: u64,
    /// Lowest epoch that it takes a map from.
    pub(super) least: Epoch,
    version: MapVersion,
    answered: u64,
    asked: Instant,
    slowness: u32,
}

impl Entry {
    pub(super) fn new(vm: &str, slowness: u32, now: Instant) -> Self {
        Self {
            vm: vm.into(),
            carrier: 0,
            frozen: None,
            next_ask: now,
            epoch: 0,
            routes: BTreeMap::new(),
            servers: BTreeMap::new(),
            expiry: now,
            question: 0,
            least: 0,
            version: 0,
            answered: 0,
            asked: now,
            slowness,
        }
    }

    pub(super) fn runs(&self, now: Instant) -> bool {
        self.frozen.is_none_or(|f| now >= f)
    }

    /// When it sent the last question.
    pub(super) const fn asked_at(&self) -> Instant {
        self.asked
    }

    /// Composes the next question.
    pub(super) fn ask(&mut self, now: Instant, epoch: Epoch, loads: Vec<SpanLoad>) -> PullRequest {
        self.question += 1;
        self.asked = now;
        PullRequest {
            epoch,
            map_epoch: self.epoch,
            version: self.version,
            last_response: self.answered,
            loads,
            ..fixture::pull(&self.vm, None)
        }
    }

    /// Takes the answer to a question in.
    pub(super) fn take(&mut self, question: u64, answer: &PullResponse) {
        if question != self.question {
            return;
        }
        self.answered = answer.number;
        if answer.epoch == 0 || answer.epoch < self.least.max(self.epoch) {
            return;
        }
        if answer.is_full {
            self.routes.clear();
            self.servers.clear();
        }
        for span in &answer.removed {
            self.routes.remove(&span.start);
        }
        for route in &answer.routes {
            self.routes.insert(route.span.start, route.clone());
        }
        for info in &answer.servers {
            self.servers.insert(info.server.to_string(), info.clone());
        }
        (self.epoch, self.version) = (answer.epoch, answer.version);
        self.expiry = self.asked + slow(timing::ROUTE_LEASE, self.slowness);
    }

    /// Routes that it may use now.
    pub(super) fn usable(&self, now: Instant) -> Vec<(Route, ServerInfo)> {
        let routes = self.routes.values().filter(|_| now < self.expiry);
        let known = |r: &Route| {
            let info = self.servers.get(r.server.as_deref()?)?;
            Some((r.clone(), info.clone()))
        };
        routes.filter_map(known).collect()
    }
}

/// The fences that were handed out, to see that they grow.
#[derive(Debug, Default)]
pub(super) struct Fences {
    taken: Vec<Grant>,
}

impl Fences {
    /// A server took a grant.
    pub(super) fn take(&mut self, grant: Grant) {
        let over = |g: &&Grant| g.span.overlaps(&grant.span);
        let highest = self.taken.iter().filter(over).map(|g| g.fence).max();
        assert!(
            highest.is_none_or(|h| h < grant.fence),
            "fence {} of epoch {} for {} after {highest:?}",
            grant.fence,
            messages::epoch_of(grant.fence),
            grant.span
        );
        self.taken.push(grant);
    }
}
