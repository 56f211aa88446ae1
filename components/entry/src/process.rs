//! Startup, shared state and graceful shutdown of the entry process.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use config::{ActiveConfiguration, EntrySettings};
use dispatch::{Dispatcher, Policy, WaiterKey};
use errors::{Error, ExitCode};
use futures::channel::oneshot;
use model::{Answer, EntryInfo, ProcessKey};
use monoio::net::TcpListener;
use platform::PlatformClient;
use protocol::{AgentPool, Connector, EntryPool, LinkCounters, ServerSettings, serve_entry};
use runtime::{StopSignal, monotonic_us};
use web::{Notify, ServerCounters, ServerLimits};

use crate::metrics::EntryMetrics;

/// Timeout of a call to the platform, in milliseconds.
///
/// A healthy platform answers within a few milliseconds; the large margin keeps a slow platform
/// from being treated as lost.
const PLATFORM_TIMEOUT_MS: u64 = 2_000;

/// Time between reporting "not ready" and closing the caller port, in milliseconds.
///
/// Gives the load balancer time to stop routing requests to this entry.
const UNREADY_GRACE_MS: u64 = 1_000;

/// Maximum time, from the start of a planned stop, to wait for the handover of shards once no
/// work is left, in microseconds.
///
/// Covers a short outage of the platform. A shard that is not handed over in time is claimed by
/// another entry in a forced takeover.
const HANDOVER_TIMEOUT_US: u64 = 5_000_000;

/// Interval at which a planned stop checks whether it is complete, in milliseconds.
const DRAIN_POLL_INTERVAL_MS: u64 = 20;

/// Reply to a submission that waits for the answer of its job.
pub enum WaiterReply {
    /// The final answer.
    Answered(Answer),
    /// Another entry owns the shard; the submission has to be routed again.
    Reroute,
}

/// State shared by the async tasks of the process.
pub struct Shared {
    pub settings: EntrySettings,
    /// Registration of this entry, as configured at the start.
    pub own_info: EntryInfo,
    pub dispatcher: RefCell<Dispatcher>,
    pub config: RefCell<ActiveConfiguration>,
    pub waiters: RefCell<HashMap<WaiterKey, oneshot::Sender<WaiterReply>>>,
    pub next_waiter: Cell<u64>,
    /// Wakes the event loop.
    pub wakeup: Notify,
    pub is_wakeup_pending: Cell<bool>,
    /// Wakes submissions forwarded to another entry when a shard record changes.
    pub owners_changed: Notify,
    pub agents: AgentPool,
    pub entries: EntryPool,
    pub platform: PlatformClient,
    pub last_platform_response_us: Cell<u64>,
    pub known_entries: RefCell<BTreeMap<ProcessKey, EntryInfo>>,
    pub is_draining: Cell<bool>,
    /// Triggered by an operator's request for a planned stop.
    pub operator_drain: StopSignal,
    pub in_flight_submissions: Cell<u64>,
    pub metrics: EntryMetrics,
    pub link_counters: LinkCounters,
    pub connector: Connector,
    pub web_counters: Rc<ServerCounters>,
}

/// An entry process with open ports.
pub struct EntryProcess {
    shared: Rc<Shared>,
    caller_listener: TcpListener,
    peer_listener: TcpListener,
    listen_address: SocketAddr,
    peer_address: SocketAddr,
}

impl EntryProcess {
    /// Opens the ports for callers and for other processes.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be opened or a metric cannot be registered.
    pub fn bind(settings: EntrySettings) -> Result<Self, Error> {
        let (caller_listener, listen_address) =
            web::bind_port_with_address("listen_address", settings.listen_address)?;
        let (peer_listener, peer_address) =
            web::bind_port_with_address("peer_address", settings.peer_address)?;
        let key = runtime::generate_process_key();
        let own_info = EntryInfo {
            key,
            address: settings.advertised_peer_address(peer_address).to_string(),
            failure_domain: settings.failure_domain.clone(),
            firms: settings.firm_keys(),
        };
        let metrics = EntryMetrics::new()
            .map_err(|error| Error::new(ExitCode::Failure, error.to_string()))?;
        let connector = Connector::new(key);
        let shared = Shared {
            dispatcher: RefCell::new(Dispatcher::new(own_info.clone(), Policy::default(), key.0)),
            own_info,
            config: RefCell::default(),
            waiters: RefCell::default(),
            next_waiter: Cell::new(0),
            wakeup: Notify::default(),
            is_wakeup_pending: Cell::new(true),
            owners_changed: Notify::default(),
            agents: AgentPool::new(connector.clone()),
            entries: EntryPool::new(connector.clone()),
            platform: PlatformClient::new(settings.platform_addresses.clone(), PLATFORM_TIMEOUT_MS),
            last_platform_response_us: Cell::new(0),
            known_entries: RefCell::default(),
            is_draining: Cell::new(false),
            operator_drain: StopSignal::new(),
            in_flight_submissions: Cell::new(0),
            metrics,
            link_counters: LinkCounters::default(),
            connector,
            web_counters: Rc::default(),
            settings,
        };
        Ok(Self {
            shared: Rc::new(shared),
            caller_listener,
            peer_listener,
            listen_address,
            peer_address,
        })
    }

    /// Returns the address that serves callers and operators.
    #[must_use]
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Returns the address that serves agents and other entries.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns a closure that returns the process state as JSON, for state dumps on a signal.
    pub fn state_reporter(&self) -> impl Fn() -> serde_json::Value + use<> {
        let shared = Rc::clone(&self.shared);
        move || shared.state(None)
    }

    /// Runs until a planned stop, requested through `drain` or by an operator, is complete.
    pub async fn run(self, drain: StopSignal) {
        let shared = self.shared;
        let stop = StopSignal::new();
        let web_stop = web::StopSignal::new();
        let settings = ServerSettings::builder(shared.own_info.key)
            .counters(shared.link_counters.clone())
            .connector(&shared.connector)
            .stop(stop.clone())
            .build();
        let Ok(handlers) = crate::peers::handlers(&shared) else {
            log::error!("A handler is missing.");
            return;
        };
        monoio::spawn(serve_entry(self.peer_listener, settings, handlers));
        let caller_server = monoio::spawn(crate::http::serve(
            Rc::clone(&shared),
            self.caller_listener,
            caller_limits(&shared.settings),
            web_stop.clone(),
        ));
        monoio::spawn(Rc::clone(&shared).run_event_loop());
        monoio::spawn(crate::platform_sync::watch(Rc::clone(&shared)));
        monoio::spawn(crate::platform_sync::register(Rc::clone(&shared)));
        monoio::spawn(crate::peers::ping_all(Rc::clone(&shared)));
        log::info!(
            "Entry {} serves callers on {} and processes on {}.",
            shared.own_info.key,
            self.listen_address,
            self.peer_address
        );
        futures::future::select(
            std::pin::pin!(drain.stopped()),
            std::pin::pin!(shared.operator_drain.stopped()),
        )
        .await;
        shared.stop_gracefully(&web_stop, caller_server).await;
        stop.stop();
        log::info!("Entry {} has stopped.", shared.own_info.key);
    }
}

fn caller_limits(settings: &EntrySettings) -> ServerLimits {
    let limits = &settings.limits;
    ServerLimits::builder()
        .max_body_bytes(limits.max_body_bytes as usize)
        .max_header_bytes(limits.max_header_bytes as usize)
        .max_connections(limits.max_connections as usize)
        .idle_timeout_ms(limits.idle_timeout_ms)
        .read_timeout_ms(limits.header_timeout_ms + limits.body_timeout_ms)
        .build()
}

impl Shared {
    /// Hands the shards over and returns once no request is in progress or the drain timeout has
    /// passed.
    async fn stop_gracefully(
        self: &Rc<Self>,
        web_stop: &web::StopSignal,
        caller_server: monoio::task::JoinHandle<()>,
    ) {
        log::info!("Entry {} drains.", self.own_info.key);
        let drain_started_us = monotonic_us();
        let drain_deadline_us = drain_started_us + self.settings.drain_timeout_ms * 1_000;
        let handover_deadline_us = drain_deadline_us.min(drain_started_us + HANDOVER_TIMEOUT_US);
        self.is_draining.set(true);
        // Pings announce the planned stop at once, so that no entry hands a shard over to this one.
        crate::peers::ping_known(self);
        self.dispatcher.borrow_mut().drain();
        self.wake();
        monoio::time::sleep(Duration::from_millis(UNREADY_GRACE_MS)).await;
        web_stop.stop();
        while !self.is_drained() && monotonic_us() < drain_deadline_us {
            monoio::time::sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
        }
        while self.has_shards_to_hand_over() && monotonic_us() < handover_deadline_us {
            monoio::time::sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
        }
        if !self.is_drained() {
            log::warn!("Entry {} stops with work in progress.", self.own_info.key);
            let mut actions = Vec::new();
            self.dispatcher.borrow_mut().fail_waiters(&mut actions);
            self.perform(actions);
        }
        let remaining_us = drain_deadline_us
            .saturating_sub(monotonic_us())
            .max(1_000_000);
        let _ = monoio::time::timeout(Duration::from_micros(remaining_us), caller_server).await;
    }

    fn has_shards_to_hand_over(&self) -> bool {
        let has_peers = !self.known_entries.borrow().is_empty();
        has_peers && !self.dispatcher.borrow().has_released_all()
    }

    fn is_drained(&self) -> bool {
        self.in_flight_submissions.get() == 0 && self.dispatcher.borrow().is_drained(monotonic_us())
    }
}
