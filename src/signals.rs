//! Signals that ask a daemon to stop.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};

/// Time between looks at whether a signal came.
const LOOK: Duration = Duration::from_millis(20);

/// Whether a signal asked this process to stop; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
}

impl Signals {
    /// Takes SIGTERM and SIGINT for this process.
    ///
    /// # Errors
    ///
    /// The operating system's error if a handler cannot be set.
    pub fn take() -> io::Result<Self> {
        let signals = Self::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&signals.stop))?;
        }
        Ok(signals)
    }

    /// Waits for a signal.
    pub async fn stopped(&self) {
        while !self.stop.load(Ordering::Relaxed) {
            monoio::time::sleep(LOOK).await;
        }
    }
}
