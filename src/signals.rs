//! Signals that ask a daemon to stop, or to read its settings again.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Time between looks at whether a signal came.
const LOOK: Duration = Duration::from_millis(20);

/// What signals asked of this process; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Takes SIGTERM, SIGINT and SIGHUP for this process.
    ///
    /// # Errors
    ///
    /// The operating system's error if a handler cannot be set.
    pub fn install() -> io::Result<Self> {
        let signals = Self::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&signals.stop))?;
        }
        signal_hook::flag::register(SIGHUP, Arc::clone(&signals.reload))?;
        Ok(signals)
    }

    /// Whether a signal asked to stop.
    pub fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Whether a signal asked to read the settings again since this was last asked.
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }

    /// Waits for a signal.
    pub async fn wait_for_stop(&self) {
        while !self.stop_requested() {
            monoio::time::sleep(LOOK).await;
        }
    }
}
