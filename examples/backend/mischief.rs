//! Ways to misbehave, switched on by `POST /_stand-in`.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Path of the control request.
pub(crate) const PATH: &str = "/_stand-in";

/// Pause before a freeze, so that the control request is answered.
const FREEZE_PAUSE: Duration = Duration::from_millis(5);

/// A change of behaviour; what is left out stays as it is.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Change {
    /// Stops the whole process for a time.
    freeze_ms: Option<u64>,
    /// Adds to the time that each request takes.
    slow_ms: Option<u64>,
    /// Runs every second request and never answers it.
    lose_half: Option<bool>,
    /// Never answers again on the connections that are open now.
    silent: Option<bool>,
    /// Reports this load, whatever it is; 0 ends the lie.
    busy: Option<u32>,
    /// Sheds every request.
    shed: Option<bool>,
    /// Answers every request with status 500 after running it.
    fail: Option<bool>,
    /// Forgets the state of all keys.
    lose_state: Option<bool>,
    /// Sends no heartbeats.
    mute: Option<bool>,
}

/// Behaviour in force.
#[derive(Debug, Default)]
pub(crate) struct Mischief {
    pub(crate) slow: Cell<Duration>,
    pub(crate) busy: Cell<Option<u32>>,
    pub(crate) shed: Cell<bool>,
    pub(crate) fail: Cell<bool>,
    pub(crate) mute: Cell<bool>,
    lose_half: Cell<bool>,
    odd: Cell<bool>,
    seen: RefCell<HashSet<SocketAddr>>,
    silenced: RefCell<HashSet<SocketAddr>>,
}

impl Mischief {
    /// Takes over a change; whether the state of all keys is to be lost.
    pub(crate) fn change(&self, change: &Change) -> bool {
        let set = |cell: &Cell<bool>, value: Option<bool>| cell.set(value.unwrap_or(cell.get()));
        set(&self.lose_half, change.lose_half);
        set(&self.shed, change.shed);
        set(&self.fail, change.fail);
        set(&self.mute, change.mute);
        if let Some(slow) = change.slow_ms {
            self.slow.set(Duration::from_millis(slow));
        }
        if let Some(busy) = change.busy {
            self.busy.set(Some(busy).filter(|b| *b > 0));
        }
        match change.silent {
            Some(true) => self.silenced.borrow_mut().extend(self.seen.take()),
            Some(false) => self.silenced.borrow_mut().clear(),
            None => {}
        }
        if let Some(freeze) = change.freeze_ms {
            monoio::spawn(freeze_soon(Duration::from_millis(freeze)));
        }
        change.lose_state == Some(true)
    }

    /// Notes a connection; whether it is silenced.
    pub(crate) fn is_silenced(&self, caller: Option<SocketAddr>) -> bool {
        let Some(caller) = caller else { return false };
        self.seen.borrow_mut().insert(caller);
        self.silenced.borrow().contains(&caller)
    }

    /// Whether the answer that is due now is lost.
    pub(crate) fn loses_answer(&self) -> bool {
        self.odd.set(!self.odd.get());
        self.lose_half.get() && self.odd.get()
    }
}

async fn freeze_soon(length: Duration) {
    monoio::time::sleep(FREEZE_PAUSE).await;
    std::thread::sleep(length);
}
