//! Stand-in for the platform's key-value service with the etcd v3 API in JSON encoding.

mod api;
mod faults;
mod limiter;
mod state;
mod stats;
mod store;
mod watchers;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use monoio::time::sleep;
use web::{Notify, Request, ServerCounters, ServerLimits, Stop, bind, serve};

use api::Api;
pub use faults::PlatformFaults;
pub use limiter::Overload;
pub use stats::PlatformStats;

const LEASE_EXPIRY_INTERVAL_MS: u64 = 20;
const DEFAULT_WRITES_PER_S: u32 = 500;
const DEFAULT_READS_PER_S: u32 = 2_000;
const DEFAULT_MAX_HISTORY: usize = 10_000;

/// Builder of a [`PlatformStandin`].
#[derive(Debug, Clone)]
pub struct PlatformStandinBuilder {
    listen: SocketAddr,
    writes_per_s: u32,
    reads_per_s: u32,
    overload: Overload,
    max_history: usize,
    seed: u64,
}

impl PlatformStandinBuilder {
    /// Sets the rate limit of writes; zero rejects all writes.
    #[must_use]
    pub fn writes_per_s(mut self, value: u32) -> Self {
        self.writes_per_s = value;
        self
    }

    /// Sets the rate limit of reads; zero rejects all reads.
    #[must_use]
    pub fn reads_per_s(mut self, value: u32) -> Self {
        self.reads_per_s = value;
        self
    }

    /// Sets how calls above the rate limits are handled.
    #[must_use]
    pub fn overload(mut self, value: Overload) -> Self {
        self.overload = value;
        self
    }

    /// Sets the number of changes retained for watches that start at a past revision.
    #[must_use]
    pub fn max_history(mut self, value: usize) -> Self {
        self.max_history = value;
        self
    }

    /// Sets the seed of random faults.
    #[must_use]
    pub fn seed(mut self, value: u64) -> Self {
        self.seed = value;
        self
    }

    /// Binds the listen address and starts the server.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(self) -> io::Result<PlatformStandin> {
        let listener = bind(self.listen)?;
        let standin = PlatformStandin {
            address: listener.local_addr()?,
            api: Rc::new(Api::new(&self)),
            stop: Stop::new(),
            shutdown: Rc::default(),
        };
        standin.spawn_server(listener);
        standin.spawn_lease_expiry();
        Ok(standin)
    }
}

/// Handle of a running stand-in for the platform.
#[derive(Clone)]
pub struct PlatformStandin {
    address: SocketAddr,
    api: Rc<Api>,
    stop: Stop,
    shutdown: Rc<ShutdownProgress>,
}

#[derive(Default)]
struct ShutdownProgress {
    is_ended: std::cell::Cell<bool>,
    notify: Notify,
}

impl PlatformStandin {
    /// Returns a builder for a stand-in that listens on `listen`; port 0 selects a free port.
    #[must_use]
    pub fn builder(listen: SocketAddr) -> PlatformStandinBuilder {
        PlatformStandinBuilder {
            listen,
            writes_per_s: DEFAULT_WRITES_PER_S,
            reads_per_s: DEFAULT_READS_PER_S,
            overload: Overload::Reject,
            max_history: DEFAULT_MAX_HISTORY,
            seed: 0,
        }
    }

    /// Returns the listen address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.api.set_faults(faults);
    }

    /// Returns the injected faults.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.api.faults()
    }

    /// Returns the call statistics so far.
    #[must_use]
    pub fn stats(&self) -> PlatformStats {
        self.api.stats()
    }

    /// Stops the server; later connections are refused.
    pub async fn stop(&self) {
        self.stop.stop();
        let shutdown = &self.shutdown;
        let is_ended = || shutdown.is_ended.get().then_some(());
        shutdown.notify.wait_until(is_ended).await;
    }

    fn spawn_server(&self, listener: TcpListener) {
        let api = self.api.clone();
        let stop = self.stop.clone();
        let shutdown = self.shutdown.clone();
        let handler = move |request: Request, _| {
            let api = api.clone();
            async move { api.handle(request).await }
        };
        monoio::spawn(async move {
            let counters = Rc::new(ServerCounters::default());
            serve(listener, ServerLimits::default(), counters, stop, handler).await;
            shutdown.is_ended.set(true);
            shutdown.notify.notify_all();
        });
    }

    fn spawn_lease_expiry(&self) {
        let api = self.api.clone();
        let stop = self.stop.clone();
        monoio::spawn(async move {
            while !stop.is_stopped() {
                sleep(Duration::from_millis(LEASE_EXPIRY_INTERVAL_MS)).await;
                api.expire_leases();
            }
        });
    }
}
