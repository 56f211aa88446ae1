//! Signals that request a drain, a state dump or a reload of the settings.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};

/// Interval at which received signals are polled, in milliseconds.
pub const SIGNAL_POLL_MS: u64 = 200;

/// Requests received by signal.
///
/// The signal handlers only set flags, so no extra thread is needed.
#[derive(Debug, Clone, Default)]
pub struct Signals {
    drain: Arc<AtomicBool>,
    dump: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Installs handlers: `SIGTERM` and `SIGINT` request a drain, `SIGUSR1` a state dump and
    /// `SIGHUP` a reload of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the operating system rejects a handler.
    pub fn install() -> io::Result<Self> {
        let signals = Self::default();
        signal_hook::flag::register(SIGTERM, Arc::clone(&signals.drain))?;
        signal_hook::flag::register(SIGINT, Arc::clone(&signals.drain))?;
        signal_hook::flag::register(SIGUSR1, Arc::clone(&signals.dump))?;
        signal_hook::flag::register(SIGHUP, Arc::clone(&signals.reload))?;
        Ok(signals)
    }

    /// Returns whether a reload has been requested since the last call.
    #[must_use]
    pub fn take_reload_request(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }

    /// Requests a drain, as `SIGTERM` does.
    pub fn request_drain(&self) {
        self.drain.store(true, Ordering::Relaxed);
    }

    /// Requests a dump, as `SIGUSR1` does.
    pub fn request_dump(&self) {
        self.dump.store(true, Ordering::Relaxed);
    }

    /// Returns whether a drain has been requested.
    #[must_use]
    pub fn is_drain_requested(&self) -> bool {
        self.drain.load(Ordering::Relaxed)
    }

    /// Returns whether a dump has been requested since the last call.
    #[must_use]
    pub fn take_dump_request(&self) -> bool {
        self.dump.swap(false, Ordering::Relaxed)
    }

    /// Waits until a drain has been requested.
    pub async fn drain_requested(&self) {
        while !self.is_drain_requested() {
            sleep_until_next_poll().await;
        }
    }

    /// Waits until a dump has been requested and clears the request.
    pub async fn dump_requested(&self) {
        while !self.take_dump_request() {
            sleep_until_next_poll().await;
        }
    }
}

async fn sleep_until_next_poll() {
    monoio::time::sleep(Duration::from_millis(SIGNAL_POLL_MS)).await;
}
