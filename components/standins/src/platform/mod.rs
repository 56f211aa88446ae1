//! Stand-in for the platform's key-value service.

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

const EXPIRY_INTERVAL_MS: u64 = 20;
const DEFAULT_WRITES_PER_S: u32 = 500;
const DEFAULT_READS_PER_S: u32 = 2_000;
const DEFAULT_MAX_HISTORY: usize = 10_000;

/// Settings of a [`PlatformStandin`].
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
    /// Sets the rate of writes.
    #[must_use]
    pub fn writes_per_s(mut self, value: u32) -> Self {
        self.writes_per_s = value;
        self
    }

    /// Sets the rate of reads.
    #[must_use]
    pub fn reads_per_s(mut self, value: u32) -> Self {
        self.reads_per_s = value;
        self
    }

    /// Sets what happens to calls above the rates.
    #[must_use]
    pub fn overload(mut self, value: Overload) -> Self {
        self.overload = value;
        self
    }

    /// Sets the number of revisions kept for watches that start in the past.
    #[must_use]
    pub fn max_history(mut self, value: usize) -> Self {
        self.max_history = value;
        self
    }

    /// Sets the seed of faults that strike with a probability.
    #[must_use]
    pub fn seed(mut self, value: u64) -> Self {
        self.seed = value;
        self
    }

    /// Binds the address and starts to serve.
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
            ended: Rc::default(),
        };
        standin.spawn_server(listener);
        standin.spawn_expiry();
        Ok(standin)
    }
}

/// Handle of a running stand-in for the platform.
#[derive(Clone)]
pub struct PlatformStandin {
    address: SocketAddr,
    api: Rc<Api>,
    stop: Stop,
    ended: Rc<Ended>,
}

#[derive(Default)]
struct Ended {
    done: std::cell::Cell<bool>,
    notify: Notify,
}

impl PlatformStandin {
    /// Prepares a stand-in that listens on `listen`; port 0 picks a free one.
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

    /// Returns the address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.api.set_faults(faults);
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.api.faults()
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub fn stats(&self) -> PlatformStats {
        self.api.stats()
    }

    /// Stops; connections are refused from then on.
    pub async fn stop(&self) {
        self.stop.stop();
        let ended = &self.ended;
        let done = || ended.done.get().then_some(());
        ended.notify.wait_until(done).await;
    }

    fn spawn_server(&self, listener: TcpListener) {
        let api = self.api.clone();
        let stop = self.stop.clone();
        let ended = self.ended.clone();
        let handler = move |request: Request, _| {
            let api = api.clone();
            async move { api.handle(request).await }
        };
        monoio::spawn(async move {
            let counters = Rc::new(ServerCounters::default());
            serve(listener, ServerLimits::default(), counters, stop, handler).await;
            ended.done.set(true);
            ended.notify.notify_all();
        });
    }

    fn spawn_expiry(&self) {
        let api = self.api.clone();
        let stop = self.stop.clone();
        monoio::spawn(async move {
            while !stop.is_stopped() {
                sleep(Duration::from_millis(EXPIRY_INTERVAL_MS)).await;
                api.expire_leases();
            }
        });
    }
}
