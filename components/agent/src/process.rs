//! The process: its ports, its loop, and its planned stop.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use config::AgentSettings;
use errors::{Error, ExitCode};
use execution::{Agent, AgentAction, AgentBuilder};
use model::{AgentEnvelope, AgentInfo, OwnerEnvelope, ProcessKey};
use monoio::net::TcpListener;
use protocol::{EntryPool, LinkCounters, ServerSettings, Traffic, serve_agent};
use runtime::{Stop, monotonic_us, unix_ms};
use web::{ServerCounters, ServerLimits};

use crate::directory::Directory;
use crate::metrics::AgentMetrics;
use crate::outgoing::Outgoing;
use crate::tasks::Calls;

/// Longest pause of the loop, in milliseconds.
const MAX_PAUSE_MS: u64 = 50;

/// Time after the entries were told of a planned stop for which the ports stay open, in
/// microseconds.
///
/// A task sent before is refused, rather than left without an answer.
const LEAVING_US: u64 = 250_000;

/// Longest time that the ports take to close after a planned stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest body of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;

/// What the tasks of the process share.
pub struct Shared {
    pub settings: AgentSettings,
    pub key: ProcessKey,
    pub peer_address: String,
    pub core: RefCell<Agent>,
    pub calls: RefCell<Calls>,
    pub outgoing: RefCell<Outgoing>,
    pub directory: RefCell<Directory>,
    pub entries: EntryPool,
    pub draining: Cell<bool>,
    pub metrics: AgentMetrics,
    pub links: LinkCounters,
    pub traffic: Traffic,
    pub web: Rc<ServerCounters>,
}

/// An agent whose ports are open.
pub struct AgentProcess {
    shared: Rc<Shared>,
    peers: TcpListener,
    announcements: TcpListener,
    peer_address: std::net::SocketAddr,
    announce_address: std::net::SocketAddr,
}

impl AgentProcess {
    /// Opens the ports.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be opened or a metric cannot be registered.
    pub fn bind(settings: AgentSettings) -> Result<Self, Error> {
        let (peers, peer_address) = web::open_any("peer_address", settings.peer_address)?;
        let (announcements, announce_address) =
            web::open_any("announce_address", settings.announce_address)?;
        let key = runtime::draw_process_key();
        let core = AgentBuilder::new(key)
            .max_queue_tasks(settings.limits.max_queue_tasks as usize)
            .max_result_bytes(settings.limits.max_held_bytes as usize)
            .build();
        let seeds = settings.entries.iter().map(ToString::to_string);
        let traffic = Traffic::default();
        let shared = Shared {
            key,
            peer_address: settings.advertised_peer_address(peer_address).to_string(),
            core: RefCell::new(core),
            calls: RefCell::default(),
            outgoing: RefCell::default(),
            directory: RefCell::new(Directory::new(seeds)),
            entries: EntryPool::new(key).with_traffic(traffic.clone()),
            draining: Cell::new(false),
            metrics: AgentMetrics::new()
                .map_err(|error| Error::new(ExitCode::Failure, error.to_string()))?,
            links: LinkCounters::default(),
            traffic,
            web: Rc::default(),
            settings,
        };
        Ok(Self {
            shared: Rc::new(shared),
            peers,
            announcements,
            peer_address,
            announce_address,
        })
    }

    /// Returns the address that entries connect to.
    #[must_use]
    pub fn peer_address(&self) -> std::net::SocketAddr {
        self.peer_address
    }

    /// Returns the address that the target announces itself to.
    #[must_use]
    pub fn announce_address(&self) -> std::net::SocketAddr {
        self.announce_address
    }

    /// Returns a closure that gives the state as JSON, for dumps on a signal.
    pub fn state(&self) -> impl Fn() -> serde_json::Value + use<> {
        let shared = Rc::clone(&self.shared);
        move || shared.state()
    }

    /// Runs until `drain` is stopped and the work in progress is done.
    pub async fn run(self, drain: Stop) {
        let shared = self.shared;
        let stop = Stop::new();
        let settings = ServerSettings::builder(shared.key)
            .counters(shared.links.clone())
            .traffic(shared.traffic.clone())
            .stop(stop.clone())
            .build();
        let owner = Rc::clone(&shared);
        let peers = monoio::spawn(serve_agent(self.peers, settings, move |envelope| {
            owner.owner_envelope(envelope)
        }));
        let web_stop = web::Stop::new();
        let local = monoio::spawn(crate::local::serve(
            Rc::clone(&shared),
            self.announcements,
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
        shared.clone().turn(&drain).await;
        stop.stop();
        web_stop.stop();
        let closed = futures::future::join(peers, local);
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
    /// Runs the timers of the decisions until a planned stop is over.
    async fn turn(self: Rc<Self>, drain: &Stop) {
        while !drain.is_stopped() {
            self.tick();
            monoio::time::sleep(self.pause()).await;
        }
        let until_us = self.begin_drain();
        let mut told_us = None;
        loop {
            self.tick();
            if told_us.is_none() && self.directory.borrow().is_told() {
                told_us = Some(monotonic_us());
            }
            if self.drained(told_us, until_us) {
                return;
            }
            monoio::time::sleep(self.pause()).await;
        }
    }

    fn tick(self: &Rc<Self>) {
        let mut actions = Vec::new();
        self.core
            .borrow_mut()
            .tick(monotonic_us(), unix_ms(), &mut actions);
        self.perform(actions);
    }

    fn pause(&self) -> Duration {
        let longest_us = MAX_PAUSE_MS * 1_000;
        let wake_us = self.core.borrow().next_wake_us();
        let left_us = wake_us.map_or(longest_us, |at_us| at_us.saturating_sub(monotonic_us()));
        Duration::from_micros(left_us.clamp(1_000, longest_us))
    }

    fn begin_drain(self: &Rc<Self>) -> u64 {
        log::info!("Agent {} drains.", self.key);
        let now_us = monotonic_us();
        let mut actions = Vec::new();
        self.draining.set(true);
        self.core.borrow_mut().drain(now_us, &mut actions);
        self.perform(actions);
        self.directory.borrow_mut().hasten();
        now_us + self.settings.drain_timeout_ms * 1_000
    }

    fn drained(&self, told_us: Option<u64>, until_us: u64) -> bool {
        let left = told_us.is_some_and(|told_us| monotonic_us() >= told_us + LEAVING_US);
        if left && self.core.borrow().is_idle() {
            return true;
        }
        let late = monotonic_us() >= until_us;
        if late {
            log::warn!("Agent {} stops with work in progress.", self.key);
        }
        late
    }

    /// Returns what the agent announces of itself.
    pub fn info(&self) -> AgentInfo {
        AgentInfo {
            key: self.key,
            address: self.peer_address.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            target: self.calls.borrow().target_info(),
            draining: self.draining.get(),
        }
    }

    /// Handles the messages of an owner and returns the answers to it.
    pub fn owner_envelope(self: &Rc<Self>, envelope: OwnerEnvelope) -> AgentEnvelope {
        let owner = envelope.from;
        self.directory
            .borrow_mut()
            .note(owner, &envelope.from_address);
        let mut actions = Vec::new();
        self.core
            .borrow_mut()
            .handle(monotonic_us(), unix_ms(), envelope, &mut actions);
        let mut reply = AgentEnvelope {
            from: self.key,
            to: owner,
            load: model::Load::default(),
            messages: Vec::new(),
        };
        // The first envelope for the owner rides on the response.
        let first = actions
            .iter()
            .position(|action| matches!(action, AgentAction::Send(sent) if sent.to == owner));
        if let Some(first) = first
            && let AgentAction::Send(sent) = actions.remove(first)
        {
            reply = sent;
        }
        self.add_posted(&mut reply);
        self.perform(actions);
        reply
    }
}
