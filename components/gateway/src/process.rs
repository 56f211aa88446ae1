//! The entry process: ports, shared state, timer loop and graceful shutdown.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use config::GatewaySettings;
use errors::{Error, ExitCode};
use futures::channel::oneshot;
use model::ProcessKey;
use monoio::net::TcpListener;
use monoio::time::timeout;
use peers::{Download, Exchange};
use platform::StoreClient;
use protocol::{Connector, LinkCounters, VERSION};
use runtime::{StopSignal, SuspensionWatch, uptime_ms};
use rustc_hash::FxHashMap;
use scheduling::{HostSlot, JobSlot, Scheduler, SchedulerAction, Verdict};
use serde_json::{Value, json};
use slotmap::SecondaryMap;
use web::{CurrentLimits, Notify, ServerCounters};

use crate::configuration::ActiveConfiguration;
use crate::evacuation::EvacuationState;
use crate::limits::caller_limits;
use crate::metrics::GatewayMetrics;

/// Interval at which the scheduler's timers are checked, in milliseconds; must be well below
/// the duration of the shortest tasks.
const TICK_INTERVAL_MS: u64 = 20;

/// Shortest gap between two readings of the clock for which the process counts as suspended, in
/// milliseconds; must be well below the 1,300 ms after which a caller sends its request again.
const SUSPENSION_GAP_MS: u64 = 400;

/// How long requests are refused after a suspension, in milliseconds: those in the socket buffers
/// may have been sent before it.
const RESUME_REFUSAL_MS: u64 = 100;

/// Time after the start in which requests wait for the configuration and the hosts, in milliseconds:
/// both are read within milliseconds, or from another entry if the store does not answer.
const START_GRACE_MS: u64 = 1_000;

/// Timeout of a call to the store, in milliseconds; must be well above the usual response time of
/// 4 ms.
pub(crate) const STORE_TIMEOUT_MS: u64 = 500;

/// How long a draining process still accepts requests, in milliseconds: the balancer checks
/// readiness once per second and takes the entry out of rotation after the second failure.
const BALANCER_DRAIN_MS: u64 = 2_500;

/// Time before the end of the drain timeout in which the jobs that are left are answered, in
/// milliseconds.
const CLOSING_MS: u64 = 250;

/// The part of [`CLOSING_MS`] in which agents confirm that the runs of unstarted jobs have not begun, in
/// milliseconds; the scheduler gives up waiting for that after 150 ms.
const WITHDRAWAL_MS: u64 = 200;

/// The answer to a job, for its callers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JobAnswer {
    pub(crate) verdict: Verdict,
    /// Whether the answer is later than the job's objective.
    pub(crate) is_late: bool,
}

/// State shared by the async tasks of the process.
pub(crate) struct Shared {
    settings: RefCell<Rc<GatewaySettings>>,
    pub(crate) limits: CurrentLimits,
    pub(crate) key: ProcessKey,
    pub(crate) scheduler: RefCell<Scheduler>,
    /// Callers that wait for the answer to each job.
    pub(crate) waiters: RefCell<FxHashMap<JobSlot, Vec<oneshot::Sender<JobAnswer>>>>,
    /// Wakes the connection of a host: orders are ready, the scheduler now needs the connection or no
    /// longer does, or the host was removed.
    pub(crate) link_notifiers: RefCell<SecondaryMap<HostSlot, Rc<Notify>>>,
    /// Number of times that each host was registered anew, as an agent does at its start.
    pub(crate) registrations: RefCell<SecondaryMap<HostSlot, u64>>,
    /// Known hosts by the address of their agent.
    pub(crate) addresses: RefCell<FxHashMap<String, HostSlot>>,
    pub(crate) active_configuration: RefCell<Option<Rc<ActiveConfiguration>>>,
    /// When the store last said that it has no newer configuration than the active one; the time of the
    /// start before that.
    pub(crate) configuration_confirmed_at_ms: Cell<u64>,
    /// Wakes the requests that wait for the first configuration.
    pub(crate) configuration_changed: Notify,
    /// End of the time in which requests wait for the configuration and the hosts.
    pub(crate) starting_until_ms: u64,
    pub(crate) evacuations: EvacuationState,
    pub(crate) store: StoreClient,
    pub(crate) is_draining: Cell<bool>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) link_counters: LinkCounters,
    pub(crate) connector: Connector,
    /// Decides which peers are asked for state.
    pub(crate) exchange: RefCell<Exchange>,
    /// The configuration that is being received from peers.
    pub(crate) download: RefCell<Download>,
    pub(crate) web: Rc<ServerCounters>,
    suspension_watch: SuspensionWatch,
}

/// An entry that has opened its ports.
pub struct GatewayProcess {
    shared: Rc<Shared>,
    callers: TcpListener,
    readiness: TcpListener,
    peers: TcpListener,
    metrics: Option<TcpListener>,
}

impl GatewayProcess {
    /// Opens the ports.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be opened or a metric cannot be registered.
    pub fn bind(settings: GatewaySettings) -> Result<Self, Error> {
        let callers = web::bind_port("callers_address", settings.callers_address)?;
        let readiness = web::bind_port("readiness_address", settings.readiness_address)?;
        let peers = web::bind_port("peer_address", settings.peer_address)?;
        let metrics = settings
            .metrics_address
            .map(|address| web::bind_port("metrics_address", address));
        let metrics = metrics.transpose()?;
        let key = runtime::generate_process_key();
        let far_factor = settings.far_factor_percent as f64 / 100.0;
        let starting_until_ms = uptime_ms() + START_GRACE_MS;
        let scheduler = Scheduler::new(key, &settings.failure_domain, far_factor)
            .with_hosts_expected_until(starting_until_ms)
            .separating_interfering_tasks(settings.separate_interfering_tasks);
        let own_address = settings.peer_address;
        let mut exchange = Exchange::new(uptime_ms(), Some(own_address), key.0);
        exchange.set_seeds(&settings.seed_peers);
        let shared = Shared {
            key,
            scheduler: RefCell::new(scheduler),
            waiters: RefCell::default(),
            link_notifiers: RefCell::default(),
            registrations: RefCell::default(),
            addresses: RefCell::default(),
            active_configuration: RefCell::default(),
            configuration_confirmed_at_ms: Cell::new(uptime_ms()),
            configuration_changed: Notify::default(),
            starting_until_ms,
            evacuations: EvacuationState::default(),
            store: StoreClient::new(settings.store_address, STORE_TIMEOUT_MS),
            is_draining: Cell::new(false),
            metrics: GatewayMetrics::new()
                .map_err(|error| Error::new(ExitCode::Failure, error.to_string()))?,
            link_counters: LinkCounters::default(),
            connector: Connector::new(key),
            exchange: RefCell::new(exchange),
            download: RefCell::default(),
            web: Rc::default(),
            suspension_watch: SuspensionWatch::new(
                uptime_ms(),
                SUSPENSION_GAP_MS,
                RESUME_REFUSAL_MS,
            ),
            limits: caller_limits(&settings.limits, None).into(),
            settings: RefCell::new(Rc::new(settings)),
        };
        Ok(Self {
            shared: Rc::new(shared),
            callers,
            readiness,
            peers,
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
    pub fn reload(&self) -> impl Fn(&GatewaySettings) -> Vec<&'static str> + use<> {
        let shared = Rc::clone(&self.shared);
        move |newer| shared.reload(newer)
    }

    /// Runs until `drain` is set and the in-flight requests are answered, or the drain timeout ends.
    pub async fn run(self, drain: StopSignal) {
        let shared = self.shared;
        let settings = shared.settings();
        log::info!(target: "gateway", event = "started", entry = shared.key.to_string(), protocol_version = VERSION,
            host = settings.name.as_str(),
            failure_domain = settings.failure_domain.as_str(); "entry started");
        let web_stop = web::StopSignal::new();
        let callers = monoio::spawn(crate::callers::serve(
            Rc::clone(&shared),
            self.callers,
            web_stop.clone(),
        ));
        monoio::spawn(crate::readiness::serve(Rc::clone(&shared), self.readiness));
        monoio::spawn(crate::bootstrap::serve(Rc::clone(&shared), self.peers));
        if let Some(listener) = self.metrics {
            let shared = Rc::clone(&shared);
            let encode = move || shared.metrics.encode(&shared);
            monoio::spawn(web::serve_metrics(listener, encode));
        }
        monoio::spawn(crate::configuration::follow(Rc::clone(&shared)));
        monoio::spawn(crate::directory::follow(Rc::clone(&shared)));
        monoio::spawn(crate::evacuation::follow(Rc::clone(&shared)));
        monoio::spawn(run_timers(Rc::clone(&shared)));
        drain.stopped().await;
        shared.is_draining.set(true);
        log::info!(target: "gateway", event = "draining",
            jobs = shared.scheduler.borrow().job_count(); "graceful shutdown started");
        monoio::time::sleep(Duration::from_millis(BALANCER_DRAIN_MS)).await;
        web_stop.stop();
        let left_ms = shared
            .settings()
            .drain_timeout_ms
            .saturating_sub(BALANCER_DRAIN_MS + CLOSING_MS);
        let is_complete = finish(&shared, callers, left_ms).await;
        log::info!(target: "gateway", event = "stopped", is_complete = is_complete,
            jobs = shared.scheduler.borrow().job_count(); "entry stopped");
        runtime::flush_log();
    }
}

/// Waits until all callers have their answers, for `left_ms`; then answers the jobs that are left: those
/// that have not started as not run, the others as lost. Returns whether all callers were answered.
async fn finish(shared: &Rc<Shared>, callers: impl Future, left_ms: u64) -> bool {
    let mut callers = pin!(callers);
    if timeout(Duration::from_millis(left_ms), &mut callers)
        .await
        .is_ok()
    {
        return true;
    }
    let jobs = shared.scheduler.borrow().job_count();
    log::warn!(target: "gateway", event = "closing", jobs = jobs;
        "drain timeout is over; jobs that have not started are answered as not run");
    shared.update_scheduler(Scheduler::withdraw_unstarted);
    if timeout(Duration::from_millis(WITHDRAWAL_MS), &mut callers)
        .await
        .is_ok()
    {
        return true;
    }
    shared.update_scheduler(Scheduler::abandon_jobs);
    let flush = Duration::from_millis(CLOSING_MS - WITHDRAWAL_MS);
    timeout(flush, callers).await.is_ok()
}

async fn run_timers(shared: Rc<Shared>) {
    loop {
        let now_ms = shared.advance_clock();
        let mut actions = Vec::new();
        shared.scheduler.borrow_mut().tick(now_ms, &mut actions);
        shared.perform(actions);
        shared.metrics.log_turned_back();
        crate::bootstrap::call_due_peers(&shared);
        runtime::flush_log();
        monoio::time::sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
    }
}

impl Shared {
    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Applies the limits of the settings and of the operators' configuration.
    pub(crate) fn refresh_limits(&self) {
        let active_configuration = self.active_configuration.borrow();
        let operator_limits = active_configuration.as_ref().map(|config| &config.limits);
        let limits = caller_limits(&self.settings.borrow().limits, operator_limits);
        self.limits.set(limits);
    }

    fn reload(&self, newer: &GatewaySettings) -> Vec<&'static str> {
        let mut settings = (*self.settings()).clone();
        let restart_required = settings.apply_reloadable(newer);
        self.exchange.borrow_mut().set_seeds(&settings.seed_peers);
        self.settings.replace(Rc::new(settings));
        self.refresh_limits();
        restart_required
    }

    /// Reads the clock and returns the time since the start, in milliseconds.
    ///
    /// If the process was suspended since the last reading, abandons every job in progress first:
    /// callers may have sent their requests to other entries by now.
    pub(crate) fn advance_clock(&self) -> u64 {
        let now_ms = uptime_ms();
        if let Some(gap_ms) = self.suspension_watch.record_reading(now_ms) {
            log::warn!(target: "gateway", event = "suspended", gap_ms = gap_ms;
                "process was suspended; jobs in progress are abandoned");
            let mut actions = Vec::new();
            self.scheduler
                .borrow_mut()
                .abandon_jobs(now_ms, &mut actions);
            self.perform(actions);
        }
        now_ms
    }

    /// Updates the scheduler and executes the actions that it returns.
    pub(crate) fn update_scheduler<T>(
        &self,
        update: impl FnOnce(&mut Scheduler, u64, &mut Vec<SchedulerAction>) -> T,
    ) -> T {
        let now_ms = self.advance_clock();
        let mut actions = Vec::new();
        let result = update(&mut self.scheduler.borrow_mut(), now_ms, &mut actions);
        self.perform(actions);
        result
    }

    /// Returns whether a request that was read at this time may have been sent before the end of a
    /// suspension.
    pub(crate) fn is_from_before_suspension(&self, read_ms: u64) -> bool {
        self.suspension_watch.is_from_before(read_ms)
    }

    /// Returns whether the balancer should send new connections to this entry; also if all hosts are
    /// evacuated, so that callers are told when to retry.
    pub(crate) fn is_ready(&self) -> bool {
        // Reading the clock may change the scheduler, which must not be borrowed then.
        let now_ms = self.advance_clock();
        let has_configuration = self.active_configuration.borrow().is_some();
        !self.is_draining.get() && has_configuration && self.has_host(now_ms)
    }

    fn has_host(&self, now_ms: u64) -> bool {
        let scheduler = self.scheduler.borrow();
        scheduler.has_usable_host(now_ms) || scheduler.has_evacuated_host(now_ms)
    }

    /// Executes the actions that the scheduler returned.
    pub(crate) fn perform(&self, actions: Vec<SchedulerAction>) {
        for action in actions {
            crate::actions::perform(self, action);
        }
    }

    fn state(&self) -> Value {
        let now_ms = uptime_ms();
        let scheduler = self.scheduler.borrow();
        let hosts: Vec<Value> = scheduler
            .hosts(now_ms)
            .into_iter()
            .map(|host| {
                json!({
                    "name": &*host.info.name,
                    "address": &*host.info.address,
                    "failure_domain": &*host.info.failure_domain,
                    "is_connected": host.is_connected,
                    "is_usable": host.is_usable,
                    "is_evacuated": host.is_evacuated,
                    "view_age_ms": host.view_age_ms,
                    "view": host.view,
                })
            })
            .collect();
        let pairs = scheduler.interfering_pairs().into_iter();
        let interfering_pairs: Vec<Value> = pairs
            .map(|(of, by, factor)| json!({ "kind": of, "beside": by, "factor": factor }))
            .collect();
        let quarantined_queues: Vec<String> = scheduler
            .quarantined_queues(now_ms)
            .iter()
            .map(ToString::to_string)
            .collect();
        let version = self
            .active_configuration
            .borrow()
            .as_ref()
            .map(|config| config.version);
        json!({
            "entry": self.key.to_string(),
            "is_draining": self.is_draining.get(),
            "traffic": self.connector.traffic().iter().collect::<BTreeMap<&str, u64>>(),
            "connections_by_version": self.connector.versions().open_connections(),
            "configuration_version": version,
            "evacuations": self.evacuations.newest(),
            "quarantined_queues": quarantined_queues,
            "jobs": scheduler.job_count(),
            "exchange": crate::bootstrap::state(self),
            "hosts": hosts,
            "interfering_pairs": interfering_pairs,
        })
    }
}
