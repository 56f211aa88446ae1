//! Signals from the operators' tools.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};

/// Interval at which signals are looked for, in milliseconds.
pub const SIGNAL_POLL_MS: u64 = 200;

/// Signals that the process has received.
///
/// The handlers only set flags, so no extra thread is needed.
#[derive(Debug, Clone, Default)]
pub struct Signals {
    drain: Arc<AtomicBool>,
    dump: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Takes over `SIGTERM` and `SIGINT` as requests to drain, `SIGUSR1` as a request
    /// for a dump and `SIGHUP` as a request to read the settings again.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses a handler.
    pub fn install() -> io::Result<Self> {
        let signals = Self::default();
        signal_hook::flag::register(SIGTERM, Arc::clone(&signals.drain))?;
        signal_hook::flag::register(SIGINT, Arc::clone(&signals.drain))?;
        signal_hook::flag::register(SIGUSR1, Arc::clone(&signals.dump))?;
        signal_hook::flag::register(SIGHUP, Arc::clone(&signals.reload))?;
        Ok(signals)
    }

    /// Tells whether the settings are to be read again, since the last call.
    #[must_use]
    pub fn take_reload_request(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }

    /// Requests a drain as if by signal.
    pub fn request_drain(&self) {
        self.drain.store(true, Ordering::Relaxed);
    }

    /// Requests a dump as if by signal.
    pub fn request_dump(&self) {
        self.dump.store(true, Ordering::Relaxed);
    }

    /// Tells whether a drain has been requested.
    #[must_use]
    pub fn is_drain_requested(&self) -> bool {
        self.drain.load(Ordering::Relaxed)
    }

    /// Tells whether a dump has been requested since the last call.
    #[must_use]
    pub fn take_dump_request(&self) -> bool {
        self.dump.swap(false, Ordering::Relaxed)
    }

    /// Waits until a drain has been requested.
    pub async fn drain_requested(&self) {
        while !self.is_drain_requested() {
            poll_interval().await;
        }
    }

    /// Waits for a request for a dump and takes it.
    pub async fn dump_requested(&self) {
        while !self.take_dump_request() {
            poll_interval().await;
        }
    }
}

async fn poll_interval() {
    monoio::time::sleep(Duration::from_millis(SIGNAL_POLL_MS)).await;
}
