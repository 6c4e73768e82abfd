//! Signals that make a daemon stop or reload its settings.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Flags that signals of this process set; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Installs handlers: SIGTERM and SIGINT request a stop, SIGHUP a reload.
    ///
    /// # Errors
    ///
    /// The error of the operating system if a handler cannot be installed.
    pub fn install() -> io::Result<Self> {
        let signals = Self::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&signals.stop))?;
        }
        signal_hook::flag::register(SIGHUP, Arc::clone(&signals.reload))?;
        Ok(signals)
    }

    /// Whether a signal has requested a stop.
    pub fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Whether a signal has requested a reload since the last call.
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }

    /// Waits until a signal requests a stop.
    pub async fn wait_for_stop(&self) {
        while !self.stop_requested() {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
