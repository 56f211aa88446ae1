//! Startup, shared state, event loop and graceful shutdown of the agent process.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use config::AgentSettings;
use errors::{Error, ExitCode};
use execution::{Agent, AgentAction, AgentBuilder};
use model::{AgentEnvelope, AgentInfo, OwnerEnvelope, ProcessKey};
use monoio::net::TcpListener;
use protocol::{Connector, EntryPool, LinkCounters, ServerSettings, serve_agent};
use runtime::{StopSignal, monotonic_us, unix_ms};
use web::{ServerCounters, ServerLimits};

use crate::batching::OutgoingBatches;
use crate::directory::Directory;
use crate::metrics::AgentMetrics;
use crate::tasks::TargetClient;

/// Maximum time between two polls of the agent state machine, in milliseconds.
const MAX_POLL_INTERVAL_MS: u64 = 50;

/// Time for which the ports stay open after a planned stop was announced to the entries, in
/// microseconds.
///
/// A task that an entry sent before it received the announcement is refused instead of left
/// unanswered.
const DRAIN_GRACE_US: u64 = 250_000;

/// Timeout of closing the ports after a planned stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum body size of a target's announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;

/// State shared by the async tasks of the process.
pub struct Shared {
    pub settings: AgentSettings,
    pub key: ProcessKey,
    pub peer_address: String,
    pub agent: RefCell<Agent>,
    pub target_client: RefCell<TargetClient>,
    pub outgoing_batches: RefCell<OutgoingBatches>,
    pub directory: RefCell<Directory>,
    pub entries: EntryPool,
    pub is_draining: Cell<bool>,
    pub metrics: AgentMetrics,
    pub link_counters: LinkCounters,
    pub connector: Connector,
    pub web_counters: Rc<ServerCounters>,
}

/// An agent process with open ports.
pub struct AgentProcess {
    shared: Rc<Shared>,
    peer_listener: TcpListener,
    announce_listener: TcpListener,
    peer_address: std::net::SocketAddr,
    announce_address: std::net::SocketAddr,
}

impl AgentProcess {
    /// Opens the ports for entries and for the target.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be opened or a metric cannot be registered.
    pub fn bind(settings: AgentSettings) -> Result<Self, Error> {
        let (peer_listener, peer_address) =
            web::bind_port_with_address("peer_address", settings.peer_address)?;
        let (announce_listener, announce_address) =
            web::bind_port_with_address("announce_address", settings.announce_address)?;
        let key = runtime::generate_process_key();
        let agent = AgentBuilder::new(key)
            .max_queue_tasks(settings.limits.max_queue_tasks as usize)
            .max_result_bytes(settings.limits.max_held_bytes as usize)
            .build();
        let seeds = settings.entries.iter().map(ToString::to_string);
        let connector = Connector::new(key);
        let shared = Shared {
            key,
            peer_address: settings.advertised_peer_address(peer_address).to_string(),
            agent: RefCell::new(agent),
            target_client: RefCell::default(),
            outgoing_batches: RefCell::default(),
            directory: RefCell::new(Directory::new(seeds)),
            entries: EntryPool::new(connector.clone()),
            is_draining: Cell::new(false),
            metrics: AgentMetrics::new()
                .map_err(|error| Error::new(ExitCode::Failure, error.to_string()))?,
            link_counters: LinkCounters::default(),
            connector,
            web_counters: Rc::default(),
            settings,
        };
        Ok(Self {
            shared: Rc::new(shared),
            peer_listener,
            announce_listener,
            peer_address,
            announce_address,
        })
    }

    /// Returns the address that entries connect to.
    #[must_use]
    pub fn peer_address(&self) -> std::net::SocketAddr {
        self.peer_address
    }

    /// Returns the address that receives the target's announcements.
    #[must_use]
    pub fn announce_address(&self) -> std::net::SocketAddr {
        self.announce_address
    }

    /// Returns a closure that returns the process state as JSON, for state dumps on a signal.
    pub fn state_reporter(&self) -> impl Fn() -> serde_json::Value + use<> {
        let shared = Rc::clone(&self.shared);
        move || shared.state()
    }

    /// Runs until a planned stop, requested through `drain`, is complete.
    pub async fn run(self, drain: StopSignal) {
        let shared = self.shared;
        let stop = StopSignal::new();
        let settings = ServerSettings::builder(shared.key)
            .counters(shared.link_counters.clone())
            .connector(&shared.connector)
            .stop(stop.clone())
            .build();
        let handler = Rc::clone(&shared);
        let peer_server =
            monoio::spawn(serve_agent(self.peer_listener, settings, move |envelope| {
                handler.handle_owner_envelope(envelope)
            }));
        let web_stop = web::StopSignal::new();
        let http_server = monoio::spawn(crate::http::serve(
            Rc::clone(&shared),
            self.announce_listener,
            announcement_limits(),
            web_stop.clone(),
        ));
        monoio::spawn(crate::announcements::run(Rc::clone(&shared)));
        log::info!(
            "Agent {} serves entries on {} and listens for targets on {}.",
            shared.key,
            self.peer_address,
            self.announce_address
        );
        shared.clone().run_event_loop(&drain).await;
        stop.stop();
        web_stop.stop();
        let closed = futures::future::join(peer_server, http_server);
        let _ = monoio::time::timeout(CLOSE_TIMEOUT, closed).await;
        log::info!("Agent {} has stopped.", shared.key);
    }
}

fn announcement_limits() -> ServerLimits {
    ServerLimits::builder()
        .max_body_bytes(MAX_ANNOUNCEMENT_BYTES)
        .max_connections(64)
        .build()
}

impl Shared {
    /// Polls the agent state machine until a planned stop is complete or times out.
    async fn run_event_loop(self: Rc<Self>, drain: &StopSignal) {
        while !drain.is_stopped() {
            self.tick();
            monoio::time::sleep(self.next_wait()).await;
        }
        let drain_deadline_us = self.begin_drain();
        let mut announced_us = None;
        loop {
            self.tick();
            if announced_us.is_none() && self.directory.borrow().has_tried_all() {
                announced_us = Some(monotonic_us());
            }
            if self.is_drain_over(announced_us, drain_deadline_us) {
                return;
            }
            monoio::time::sleep(self.next_wait()).await;
        }
    }

    fn tick(self: &Rc<Self>) {
        let mut actions = Vec::new();
        self.agent
            .borrow_mut()
            .tick(monotonic_us(), unix_ms(), &mut actions);
        self.perform(actions);
    }

    fn next_wait(&self) -> Duration {
        let longest_us = MAX_POLL_INTERVAL_MS * 1_000;
        let wake_us = self.agent.borrow().next_wake_us();
        let remaining_us = wake_us.map_or(longest_us, |at_us| at_us.saturating_sub(monotonic_us()));
        Duration::from_micros(remaining_us.clamp(1_000, longest_us))
    }

    fn begin_drain(self: &Rc<Self>) -> u64 {
        log::info!("Agent {} drains.", self.key);
        let now_us = monotonic_us();
        let mut actions = Vec::new();
        self.is_draining.set(true);
        self.agent.borrow_mut().drain(now_us, &mut actions);
        self.perform(actions);
        self.directory.borrow_mut().announce_change();
        now_us + self.settings.drain_timeout_ms * 1_000
    }

    fn is_drain_over(&self, announced_us: Option<u64>, drain_deadline_us: u64) -> bool {
        let is_grace_over = announced_us
            .is_some_and(|announced_us| monotonic_us() >= announced_us + DRAIN_GRACE_US);
        if is_grace_over && self.agent.borrow().is_drained() {
            return true;
        }
        let is_overdue = monotonic_us() >= drain_deadline_us;
        if is_overdue {
            log::warn!("Agent {} stops with work in progress.", self.key);
        }
        is_overdue
    }

    /// Returns the information that the agent announces to entries.
    pub fn info(&self) -> AgentInfo {
        AgentInfo {
            key: self.key,
            address: self.peer_address.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            target: self.target_client.borrow().target_info(),
            draining: self.is_draining.get(),
        }
    }

    /// Handles messages from a shard owner and returns the messages pending for it.
    pub fn handle_owner_envelope(self: &Rc<Self>, envelope: OwnerEnvelope) -> AgentEnvelope {
        let owner = envelope.from;
        self.directory
            .borrow_mut()
            .record_address(owner, &envelope.from_address);
        let mut actions = Vec::new();
        self.agent
            .borrow_mut()
            .handle(monotonic_us(), unix_ms(), envelope, &mut actions);
        let mut reply = AgentEnvelope {
            from: self.key,
            to: owner,
            load: model::Load::default(),
            messages: Vec::new(),
        };
        // The response carries the first envelope for the owner.
        let first = actions
            .iter()
            .position(|action| matches!(action, AgentAction::Send(sent) if sent.to == owner));
        if let Some(first) = first
            && let AgentAction::Send(sent) = actions.remove(first)
        {
            reply = sent;
        }
        self.attach_pending(&mut reply);
        self.perform(actions);
        reply
    }
}
