//! Fault injection, controlled by `POST /_stand-in`.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agateyoke::clock;
use serde::{Deserialize, Serialize};

/// Path of the control requests.
pub(crate) const PATH: &str = "/_stand-in";

/// Delay before a freeze, so that the control request gets its response.
const FREEZE_DELAY: Duration = Duration::from_millis(5);

/// Change of the injected faults; an absent field leaves its fault as it is.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(expecting = "struct Change", deny_unknown_fields, default)]
pub(crate) struct FaultChange {
    /// Freezes the process for this time.
    freeze_ms: Option<u64>,
    /// Adds this time to each request.
    slow_ms: Option<u64>,
    /// Runs every second request without a response.
    lose_half: Option<bool>,
    /// Sends no more responses on connections that have carried a request so far.
    silent: Option<bool>,
    /// Reports this number of outstanding requests in heartbeats; 0 restores the true number.
    busy: Option<u32>,
    /// Sheds every request.
    shed: Option<bool>,
    /// Runs every request and responds with status 500.
    fail: Option<bool>,
    /// Clears the state of all keys.
    lose_state: Option<bool>,
    /// Sends no heartbeats.
    mute: Option<bool>,
    /// Says in each response that the server leaves; heartbeats don't tell.
    leaving: Option<bool>,
    /// Sheds every request for this number of seconds, and asks for no requests until then.
    quiet_s: Option<u64>,
}

/// Active faults.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    pub(crate) delay: Cell<Duration>,
    pub(crate) reported_load: Cell<Option<u32>>,
    pub(crate) shed: Cell<bool>,
    pub(crate) fail: Cell<bool>,
    pub(crate) mute: Cell<bool>,
    pub(crate) leaving: Cell<bool>,
    quiet_until: Cell<Option<Instant>>,
    lose_half: Cell<bool>,
    is_odd_request: Cell<bool>,
    connections: RefCell<HashSet<SocketAddr>>,
    silenced: RefCell<HashSet<SocketAddr>>,
}

impl Faults {
    /// Applies a change; returns whether the state of all keys must be cleared.
    pub(crate) fn apply(&self, change: &FaultChange) -> bool {
        let set = |cell: &Cell<bool>, value: Option<bool>| cell.set(value.unwrap_or(cell.get()));
        set(&self.lose_half, change.lose_half);
        set(&self.shed, change.shed);
        set(&self.fail, change.fail);
        set(&self.mute, change.mute);
        set(&self.leaving, change.leaving);
        if let Some(seconds) = change.quiet_s {
            let until = clock::now() + Duration::from_secs(seconds);
            self.quiet_until.set(Some(until));
        }
        if let Some(delay_ms) = change.slow_ms {
            self.delay.set(Duration::from_millis(delay_ms));
        }
        if let Some(load) = change.busy {
            self.reported_load.set(Some(load).filter(|b| *b > 0));
        }
        match change.silent {
            Some(true) => self.silenced.borrow_mut().extend(self.connections.take()),
            Some(false) => self.silenced.borrow_mut().clear(),
            None => {}
        }
        if let Some(freeze_ms) = change.freeze_ms {
            monoio::spawn(freeze(Duration::from_millis(freeze_ms)));
        }
        change.lose_state == Some(true)
    }

    /// Time for which the server wants no requests, if any.
    pub(crate) fn quiet_for(&self) -> Option<Duration> {
        let until = self.quiet_until.get()?;
        let left = until.saturating_duration_since(clock::now());
        (!left.is_zero()).then_some(left)
    }

    /// Records a connection; returns whether it is silenced.
    pub(crate) fn is_silenced(&self, caller: Option<SocketAddr>) -> bool {
        let Some(caller) = caller else { return false };
        self.connections.borrow_mut().insert(caller);
        self.silenced.borrow().contains(&caller)
    }

    /// Whether the response to this request is dropped: true for every second call if
    /// `lose_half` is set.
    pub(crate) fn drops_response(&self) -> bool {
        self.is_odd_request.set(!self.is_odd_request.get());
        self.lose_half.get() && self.is_odd_request.get()
    }
}

async fn freeze(duration: Duration) {
    monoio::time::sleep(FREEZE_DELAY).await;
    std::thread::sleep(duration);
}
