//! Limit of the requests that all entry VMs together send to a cold backend server.
//!
//! A cold server crashes under a fraction of its later load. Each entry VM decides alone whether
//! it may send to one: the permitted senders follow from the log's list of entry VMs by rendezvous
//! hash, and each of them keeps an interval between its requests. Nothing is exchanged, so the
//! limit also holds on a VM that has lost the control VMs.
//!
//! [`may_send`] is asked before a server is selected and [`reserve`] before a request is sent to it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3;

use super::backend::Backend;
use crate::fleet::{Vm, VmRole};
use crate::table::Warmup;

/// Bounds of the requests per second of a cold server, so that intervals can be computed.
const RATE_BOUNDS: (f64, f64) = (0.001, 1e6);

/// Half of the bound of a cold server, `1.5 x rate + 8` in any second: two views of the list of entry
/// VMs that differ may permit twice the requests.
const DIFFERING_VIEWS_RATIO: f64 = 0.75;
const DIFFERING_VIEWS_EXTRA: f64 = 4.0;

/// Longest time for which a report makes a server cold, so that no report limits it for good.
const MAX_COLD: Duration = Duration::from_mins(1);

/// Ratio of the time between the probes of an unreachable server to that of a cold server's
/// requests: all VMs probe, permitted senders or not, and those that had no request while the server
/// was unreachable send on.
const PROBE_RATIO: f64 = 2.0;

/// This VM's part in the limited requests to one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Limit of the service.
    limit: Warmup,
    /// Whether the server owns keys, so that any VM may have to send to it.
    sharded: bool,
    /// Whether this VM is among those that the senders are chosen from.
    eligible: bool,
    /// Place of this VM by rendezvous hash: among those, or among all if it isn't one of them.
    place: usize,
    /// Number of VMs that it is placed among.
    vms: usize,
}

impl Share {
    /// The share of `local` in the requests to a server of a zone.
    ///
    /// Senders are chosen from the entry VMs of the server's zone, or from all if it has none. Any
    /// VM may have to send to an owner.
    pub fn new(limit: Warmup, sharded: bool, server: (&str, &str), local: &Vm, vms: &[Vm]) -> Self {
        let (name, zone) = server;
        let entry_vms = || vms.iter().filter(|v| v.role == VmRole::Entry);
        let any_zone = sharded || !entry_vms().any(|v| *v.zone == *zone);
        let in_zone = |v: &Vm| any_zone || *v.zone == *zone;
        let eligible = in_zone(local) && entry_vms().any(|v| v.name == local.name);
        let placed = || entry_vms().filter(|v| !eligible || in_zone(v));
        let own = hash(&local.name, name);
        let is_before = |v: &&Vm| (hash(&v.name, name), &v.name) > (own, &local.name);
        Self {
            limit,
            sharded,
            eligible,
            place: placed().filter(is_before).count(),
            vms: placed().count().max(1),
        }
    }

    /// Number of permitted senders.
    ///
    /// No second may hold more of a sender's requests than `per_sender`, whenever it begins. Hence
    /// rates are rounded up to whole senders, whose intervals are the longer.
    fn senders(&self) -> f64 {
        let per_sender = (self.rate() / to_f64(self.vms)).ceil().max(1.0);
        (self.rate() / per_sender).ceil().max(1.0)
    }

    fn rate(&self) -> f64 {
        let (least, most) = RATE_BOUNDS;
        let tolerated = self.limit.requests_per_sec;
        tolerated
            .min(tolerated * DIFFERING_VIEWS_RATIO + DIFFERING_VIEWS_EXTRA)
            .clamp(least, most)
    }

    /// Whether this VM is one of the permitted senders.
    fn is_sender(&self) -> bool {
        self.eligible && !self.sharded && to_f64(self.place) < self.senders()
    }

    /// Time in which the cold server handles `requests`.
    fn time_for(&self, requests: f64) -> Duration {
        Duration::from_secs_f64(requests.max(0.0) / self.rate())
    }

    /// Time between two requests of this VM.
    fn interval(&self) -> Duration {
        let vms = if self.sharded {
            to_f64(self.vms)
        } else {
            self.senders()
        };
        self.time_for(vms)
    }

    /// Time after the start of the coldness at which this VM may send to an owner, so that the VMs
    /// begin one after another.
    fn owner_delay(&self) -> Duration {
        self.time_for(to_f64(self.place) - self.rate())
    }

    /// Time after a failure at which this VM sends again.
    fn probe_delay(&self) -> Duration {
        self.time_for((to_f64(self.place) + 1.0) * PROBE_RATIO)
    }

    /// Time between requests to a server that stays unreachable.
    fn probe_interval(&self) -> Duration {
        if self.is_sender() {
            self.time_for(self.senders() * PROBE_RATIO)
        } else {
            self.time_for(to_f64(self.vms) * PROBE_RATIO)
        }
    }
}

/// Rendezvous hash of an entry VM and a backend server; the VMs with the highest are chosen.
pub fn hash(vm: &str, server: &str) -> u64 {
    xxh3::xxh3_64_with_seed(server.as_bytes(), xxh3::xxh3_64(vm.as_bytes()))
}

/// Coldness of one backend server and the requests of this VM to it.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    /// Share of this VM; `None` if the service doesn't limit requests to cold servers.
    share: Option<Share>,
    /// Since when this VM is a permitted sender.
    sender_since: Option<Instant>,
    /// Start of the coldness that was reported or follows from the end of an evacuation.
    cold_since: Option<Instant>,
    /// End of that coldness.
    cold_until: Option<Instant>,
    /// End of the coldness after the server was unreachable.
    recovered_until: Option<Instant>,
    /// Whether the server was unreachable and hasn't answered since.
    unreachable: bool,
    /// When this VM sends again to the unreachable server.
    probe_at: Option<Instant>,
    last_sent: Option<Instant>,
    /// The request before the last one.
    previous_sent: Option<Instant>,
    /// Requests that are about to be sent.
    reserved: u32,
}

impl Limiter {
    /// Sets the share of this VM; `listed_since` is when its list of VMs last changed.
    ///
    /// A VM that becomes a permitted sender waits for an interval: the one whose place it takes, or
    /// this VM itself before a restart, may just have sent a request.
    pub fn set_share(&mut self, share: Option<Share>, listed_since: Instant, now: Instant) {
        let was_sender = self.share.is_some_and(|s| s.is_sender());
        if share.is_some_and(|s| s.is_sender()) && !was_sender {
            self.sender_since = Some(if self.share.is_some() {
                now
            } else {
                listed_since
            });
        }
        self.share = share;
    }

    /// Makes the server cold for `duration`, or longer if it already is.
    pub fn set_cold(&mut self, duration: Duration, now: Instant) {
        if duration.is_zero() {
            return;
        }
        if self.cold_until.is_none_or(|until| until <= now) {
            self.cold_since = Some(now);
        }
        let until = Some(now + duration.min(MAX_COLD));
        self.cold_until = self.cold_until.max(until);
    }

    /// Records that the server couldn't be reached, so that it may have restarted.
    pub fn record_unreachable(&mut self, now: Instant) {
        let Some(share) = self.share.filter(|s| !s.sharded) else {
            return;
        };
        if !self.unreachable {
            self.unreachable = true;
            self.probe_at = Some(now + share.probe_delay());
        }
    }

    /// Records a response; a server that was unreachable is cold from its first one.
    pub fn record_response(&mut self, now: Instant) {
        if std::mem::take(&mut self.unreachable) {
            let duration = self.share.map(|s| s.limit.duration.min(MAX_COLD));
            self.recovered_until = duration.map(|d| now + d);
        }
    }

    /// Whether the requests to the server are limited now.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.share.is_some() && (self.unreachable || self.cold_end().is_some_and(|end| now < end))
    }

    fn cold_end(&self) -> Option<Instant> {
        self.cold_until.max(self.recovered_until)
    }

    /// Time until this VM may send a request to the server; zero if it may now.
    pub fn wait(&self, now: Instant) -> Duration {
        let Some(share) = self.share.filter(|_| self.is_cold(now)) else {
            return Duration::ZERO;
        };
        let next = match () {
            () if share.sharded => self.next_to_owner(share),
            () if share.is_sender() && self.unreachable => {
                self.probe_at.max(self.next_of_sender(share))
            }
            () if share.is_sender() => self.next_of_sender(share),
            () if self.unreachable => self.probe_at.max(self.cold_end()),
            () => self.cold_end(),
        };
        self.wait_until(next, share.interval(), now)
    }

    /// Least time between two requests of a VM through which all requests of an owner pass; zero
    /// unless the owner is cold.
    pub fn relay_interval(&self, now: Instant) -> Duration {
        let share = self.share.filter(|_| self.is_cold(now));
        share.map_or(Duration::ZERO, |share| share.time_for(1.0))
    }

    /// Time until a VM through which all requests of an owner pass may send one.
    pub fn relay_wait(&self, now: Instant) -> Duration {
        let Some(share) = self.share.filter(|_| self.is_cold(now)) else {
            return Duration::ZERO;
        };
        let interval = share.time_for(1.0);
        self.wait_until(self.last_sent.map(|at| at + interval), interval, now)
    }

    fn wait_until(&self, next: Option<Instant>, interval: Duration, now: Instant) -> Duration {
        let wait = match next {
            _ if self.reserved > 0 => interval,
            Some(next) => next.saturating_duration_since(now),
            None => Duration::ZERO,
        };
        match self.cold_end() {
            Some(end) if !self.unreachable => wait.min(end.saturating_duration_since(now)),
            _ => wait,
        }
    }

    fn next_of_sender(&self, share: Share) -> Option<Instant> {
        let last = self.last_sent.max(self.sender_since);
        last.map(|at| at + share.interval())
    }

    fn next_to_owner(&self, share: Share) -> Option<Instant> {
        let first = self.cold_since.map(|since| since + share.owner_delay());
        first.max(self.last_sent.map(|at| at + share.interval()))
    }

    /// Records an attempt to send a request, which may fail.
    pub fn record_attempt(&mut self, now: Instant) {
        if let Some(share) = self.share.filter(|_| self.unreachable) {
            self.probe_at = Some(now + share.probe_interval());
        }
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.previous_sent = self.last_sent;
        self.last_sent = Some(now);
    }

    /// Records that the server answered the last request with 421, which doesn't count.
    pub fn record_misdirected(&mut self) {
        self.last_sent = self.previous_sent;
    }
}

/// Whether this VM may send a request to a backend server now, as far as coldness matters.
pub fn may_send(backend: &Backend, now: Instant) -> bool {
    wait_to_send(backend, now).is_zero()
}

/// Time until this VM may send a request to a backend server.
pub fn wait_to_send(backend: &Backend, now: Instant) -> Duration {
    backend.limiter().borrow().wait(now)
}

/// Whether this VM may send a request to an owner now if all requests of that pass through it.
pub fn may_relay(backend: &Backend, now: Instant) -> bool {
    backend.limiter().borrow().relay_wait(now).is_zero()
}

/// Records that a request is sent to a backend server.
pub fn record_sent(backend: &Backend, now: Instant) {
    backend.limiter().borrow_mut().record_sent(now);
}

/// Reserves the next request to a backend server until the returned guard is dropped.
pub fn reserve(backend: &Rc<Backend>, now: Instant) -> Reservation {
    let mut limiter = backend.limiter().borrow_mut();
    limiter.record_attempt(now);
    limiter.reserved = limiter.reserved.saturating_add(1);
    drop(limiter);
    Reservation {
        backend: Rc::clone(backend),
    }
}

/// A request that is about to be sent.
#[derive(Debug)]
pub struct Reservation {
    backend: Rc<Backend>,
}

impl Reservation {
    /// Records that the request is sent.
    pub fn sent(self, now: Instant) {
        record_sent(&self.backend, now);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut limiter = self.backend.limiter().borrow_mut();
        limiter.reserved = limiter.reserved.saturating_sub(1);
    }
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
const fn to_f64(number: usize) -> f64 {
    number as f64
}
