//! The agent process: ports, shared state, timer loop and graceful shutdown.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use config::SidecarSettings;
use errors::{Error, ExitCode};
use hosting::{Host, StartOutcome, TargetCall};
use model::{HostView, Opening, ProcessKey, Resources};
use monoio::net::TcpListener;
use peers::Announcer;
use platform::StoreClient;
use protocol::{Connector, LinkCounters, VERSION};
use runtime::{RepeatedLines, StopSignal, monotonic_us, unix_ms, uptime_ms};
use serde_json::{Value, json};
use web::{Client, Notify};

use crate::evacuation::EvacuationState;
use crate::metrics::SidecarMetrics;

/// Interval at which the host's timers are checked, in milliseconds; must be well below the duration
/// of the shortest tasks.
const TICK_INTERVAL_MS: u64 = 20;

/// Largest number of connections to the target; each start, stop and poll uses one.
const MAX_TARGET_CONNECTIONS: usize = 32;

/// Timeout of a call to the store, in milliseconds; must be well above the usual response time of
/// 4 ms.
const STORE_TIMEOUT_MS: u64 = 500;

/// State shared by the async tasks of the process.
pub(crate) struct Shared {
    settings: RefCell<Rc<SidecarSettings>>,
    pub(crate) key: ProcessKey,
    pub(crate) host: RefCell<Host>,
    pub(crate) target: Client,
    pub(crate) store: StoreClient,
    pub(crate) evacuations: EvacuationState,
    /// Notified after each event of the host, for entries that wait for events of their runs.
    pub(crate) host_changed: Notify,
    pub(crate) is_draining: Cell<bool>,
    pub(crate) metrics: SidecarMetrics,
    /// Starts that did not succeed, by their outcome.
    pub(crate) failed_starts: RefCell<RepeatedLines<StartOutcome>>,
    pub(crate) link_counters: LinkCounters,
    pub(crate) connector: Connector,
    /// Decides to which entries the host is announced.
    pub(crate) announcer: RefCell<Announcer>,
}

/// An agent that has opened its ports.
pub struct SidecarProcess {
    shared: Rc<Shared>,
    reports: TcpListener,
    entries: TcpListener,
    metrics: Option<TcpListener>,
}

impl SidecarProcess {
    /// Opens the ports.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be opened or a metric cannot be registered.
    pub fn bind(settings: SidecarSettings) -> Result<Self, Error> {
        let reports = web::bind_port("reports_address", settings.reports_address)?;
        let entries = web::bind_port("peer_address", settings.peer_address)?;
        let metrics = settings
            .metrics_address
            .map(|address| web::bind_port("metrics_address", address));
        let metrics = metrics.transpose()?;
        let key = runtime::generate_process_key();
        let mut announcer = Announcer::new(uptime_ms(), key.0);
        announcer.set_seeds(&settings.seed_peers);
        let shared = Shared {
            key,
            // The clock gives a fencing token above that of an earlier agent unless it was set
            // back; the target then refuses the token, and the agent raises it.
            host: RefCell::new(
                Host::new(key, unix_ms())
                    .separating_interfering_tasks(settings.separate_interfering_tasks)
                    .doubting_refusals(settings.may_refusals_be_foreign()),
            ),
            target: Client::new(settings.target_address, MAX_TARGET_CONNECTIONS),
            store: StoreClient::new(settings.store_address, STORE_TIMEOUT_MS),
            evacuations: EvacuationState::default(),
            host_changed: Notify::default(),
            is_draining: Cell::new(false),
            metrics: SidecarMetrics::new()
                .map_err(|error| Error::new(ExitCode::Failure, error.to_string()))?,
            failed_starts: RefCell::default(),
            link_counters: LinkCounters::default(),
            connector: Connector::new(key),
            announcer: RefCell::new(announcer),
            settings: RefCell::new(Rc::new(settings)),
        };
        Ok(Self {
            shared: Rc::new(shared),
            reports,
            entries,
            metrics,
        })
    }

    /// Returns a closure that returns the state as JSON, for the dump on a signal.
    pub fn state_reporter(&self) -> impl Fn() -> Value + use<> {
        let shared = Rc::clone(&self.shared);
        move || shared.state()
    }

    /// Returns a closure that applies changed settings and returns the names of those that need a
    /// restart.
    pub fn reload(&self) -> impl Fn(&SidecarSettings) -> Vec<&'static str> + use<> {
        let shared = Rc::clone(&self.shared);
        move |newer| {
            let mut settings = (*shared.settings()).clone();
            let restart_required = settings.apply_reloadable(newer);
            let mut announcer = shared.announcer.borrow_mut();
            announcer.set_seeds(&settings.seed_peers);
            shared.settings.replace(Rc::new(settings));
            restart_required
        }
    }

    /// Runs until `drain` is set and the runs have ended or the drain timeout passes.
    pub async fn run(self, drain: StopSignal) {
        let shared = self.shared;
        let settings = shared.settings();
        log::info!(target: "sidecar", event = "started", agent = shared.key.to_string(), protocol_version = VERSION,
            host = settings.name.as_str(),
            failure_domain = settings.failure_domain.as_str(); "agent started");
        monoio::spawn(crate::reports::serve(Rc::clone(&shared), self.reports));
        monoio::spawn(crate::entries::serve(Rc::clone(&shared), self.entries));
        if let Some(listener) = self.metrics {
            let shared = Rc::clone(&shared);
            let encode = move || shared.metrics.encode(&shared);
            monoio::spawn(web::serve_metrics(listener, encode));
        }
        monoio::spawn(crate::registration::maintain(Rc::clone(&shared)));
        monoio::spawn(crate::evacuation::follow(Rc::clone(&shared)));
        monoio::spawn(crate::calls::poll_target(Rc::clone(&shared)));
        for number in 1..hosting::MAX_PARALLEL_POLLS {
            monoio::spawn(crate::calls::poll_in_parallel(Rc::clone(&shared), number));
        }
        monoio::spawn(run_timers(Rc::clone(&shared)));
        drain.stopped().await;
        shared.is_draining.set(true);
        let (waiting, running) = shared.host.borrow().run_counts();
        log::info!(target: "sidecar", event = "draining", waiting = waiting, running = running;
            "graceful shutdown started");
        shared.update(|host, now_ms, actions| host.drain(now_ms, actions));
        let until_us = monotonic_us() + shared.settings().drain_timeout_ms * 1_000;
        while !shared.close_if_idle() && monotonic_us() < until_us {
            monoio::time::sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
        }
        // Gives the entries time to fetch the last ends of runs.
        monoio::time::sleep(Duration::from_millis(2 * TICK_INTERVAL_MS)).await;
        let is_idle = shared.host.borrow().is_idle();
        log::info!(target: "sidecar", event = "stopped", is_complete = is_idle; "agent stopped");
        runtime::flush_log();
    }
}

async fn run_timers(shared: Rc<Shared>) {
    loop {
        shared.update(|host, now_ms, actions| host.tick(now_ms, actions));
        crate::calls::log_failed_starts(&shared);
        crate::announcements::call_due_entries(&shared);
        runtime::flush_log();
        monoio::time::sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
    }
}

impl Shared {
    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Rc<SidecarSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Updates the host's state with an event, makes the calls that result, and notifies waiting
    /// entries.
    pub(crate) fn update<T>(
        self: &Rc<Self>,
        event: impl FnOnce(&mut Host, u64, &mut Vec<TargetCall>) -> T,
    ) -> T {
        let mut calls = Vec::new();
        let result = event(&mut self.host.borrow_mut(), uptime_ms(), &mut calls);
        for call in calls {
            crate::calls::perform(self, call);
        }
        self.host_changed.notify_all();
        result
    }

    fn close_if_idle(self: &Rc<Self>) -> bool {
        self.update(|host, now_ms, _| host.close_if_idle(now_ms))
    }

    fn state(&self) -> Value {
        let mut host = self.host.borrow_mut();
        let pair_effects = host.pair_effects(uptime_ms());
        let (waiting, running) = host.run_counts();
        json!({
            "agent": self.key.to_string(),
            "is_draining": self.is_draining.get(),
            "traffic": self.connector.traffic().iter().collect::<BTreeMap<&str, u64>>(),
            "connections_by_version": self.connector.versions().open_connections(),
            "is_evacuated": host.is_evacuated(),
            "evacuations": self.evacuations.newest(),
            "target": host.target().map(|target| target.instance.to_string()),
            "token": host.token(),
            "waiting": waiting,
            "running": running,
            "view": view_state(&host.view(uptime_ms())),
            "pair_effects": pair_effects,
        })
    }
}

/// Returns a view for state dumps.
fn view_state(view: &HostView) -> Value {
    let opening = |opening: &Opening| {
        let Resources {
            cpu_millis,
            memory_mib,
            gpus,
        } = opening.free;
        json!({
            "in_ms": opening.in_ms, "cpu_millis": cpu_millis, "memory_mib": memory_mib, "gpus": gpus,
        })
    };
    let openings = |openings: &[Opening]| openings.iter().map(opening).collect::<Vec<Value>>();
    json!({
        "is_open": view.is_open,
        "closes_in_ms": view.closes_in_ms,
        "target_number": view.target_number,
        "group": view.group,
        "labels": view.labels,
        "capacity": view.capacity,
        "free": view.free,
        "backlog_core_ms": view.backlog_core_ms,
        "waiting_core_ms": view.waiting_core_ms,
        "urgent_core_ms": view.urgent_core_ms,
        "speed_permille": view.speed_permille,
        "speed_log_deviation_permille": view.speed_log_deviation_permille,
        "openings": openings(&view.openings),
        "urgent_openings": openings(&view.urgent_openings),
    })
}
