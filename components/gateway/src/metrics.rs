//! Metrics of an entry.

use std::cell::RefCell;

use model::{RunEvent, RunId};
use runtime::prometheus::{HistogramVec, IntCounterVec, IntGauge, IntGaugeVec};
use runtime::{Metrics, MetricsError, RepeatedLines, uptime_ms};
use scheduling::ForecastOutcome;

use crate::process::Shared;

/// Histogram bounds of response and waiting times, in seconds; tasks last 50 ms to several seconds.
const RESPONSE_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0,
];

/// Histogram bounds of actual over expected durations.
const FORECAST_RATIO_BUCKETS: [f64; 10] = [0.25, 0.5, 0.67, 0.8, 0.9, 1.1, 1.25, 1.5, 2.0, 4.0];

/// The metrics of an entry.
pub(crate) struct GatewayMetrics {
    metrics: Metrics,
    answers: IntCounterVec,
    response_s: HistogramVec,
    expected_wait_s: HistogramVec,
    forecast_ratio: HistogramVec,
    forecast_bands: IntCounterVec,
    run_time_ratio: HistogramVec,
    interfering_pairs: IntGauge,
    run_events: IntCounterVec,
    store_calls: IntCounterVec,
    link_events: IntCounterVec,
    peer_calls: IntCounterVec,
    web_events: IntCounterVec,
    peer_connections: IntGaugeVec,
    jobs: IntGauge,
    usable_hosts: IntGauge,
    known_hosts: IntGauge,
    oldest_view_ms: IntGauge,
    configuration_version: IntGauge,
    unconfirmed_configuration_ms: IntGauge,
    evacuated_failure_domains: IntGauge,
    dropped_log_lines: IntGauge,
    /// Runs that hosts turned back, by reason.
    turned_back: RefCell<RepeatedLines<&'static str>>,
}

impl GatewayMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if a name is malformed or taken.
    pub(crate) fn new() -> Result<Self, MetricsError> {
        let metrics = Metrics::new();
        Ok(Self {
            answers: metrics.counter_vec(
                "shallotcross_gateway_answers_total",
                "Answers to callers by outcome and reason.",
                &["outcome", "reason"],
            )?,
            response_s: metrics.histogram_vec(
                "shallotcross_gateway_response_seconds",
                "Time from the request to the answer by outcome.",
                &["outcome"],
                &RESPONSE_BUCKETS_S,
            )?,
            expected_wait_s: metrics.histogram_vec(
                "shallotcross_gateway_expected_wait_seconds",
                "Expected wait of tasks at the host chosen for them.",
                &[],
                &RESPONSE_BUCKETS_S,
            )?,
            forecast_ratio: metrics.histogram_vec(
                "shallotcross_gateway_forecast_ratio",
                "Actual over expected duration by stage.",
                &["stage"],
                &FORECAST_RATIO_BUCKETS,
            )?,
            forecast_bands: metrics.counter_vec(
                "shallotcross_gateway_forecast_bands_total",
                "Durations inside and outside the 10% to 90% band of their forecast by stage.",
                &["stage", "band"],
            )?,
            run_time_ratio: metrics.histogram_vec(
                "shallotcross_gateway_run_time_ratio",
                "Actual over expected run time by whether other runs used more than half of the host.",
                &["host"],
                &FORECAST_RATIO_BUCKETS,
            )?,
            interfering_pairs: metrics.gauge(
                "shallotcross_gateway_interfering_pairs",
                "Pairs of kinds of task that are kept apart.",
            )?,
            run_events: metrics.counter_vec(
                "shallotcross_gateway_run_events_total",
                "Events of runs on hosts by kind.",
                &["event"],
            )?,
            store_calls: metrics.counter_vec(
                "shallotcross_gateway_store_calls_total",
                "Calls of the platform's store by kind and result.",
                &["call", "result"],
            )?,
            link_events: metrics.counter_vec(
                "shallotcross_gateway_link_events_total",
                "Connections to agents that were made and lost.",
                &["event"],
            )?,
            peer_calls: metrics.counter_vec(
                "shallotcross_gateway_peer_calls_total",
                "Requests for state to other entries by result.",
                &["result"],
            )?,
            web_events: metrics.counter_vec(
                "shallotcross_gateway_web_events_total",
                "Events on HTTP connections of callers.",
                &["event"],
            )?,
            jobs: metrics.gauge("shallotcross_gateway_jobs", "Jobs in progress.")?,
            usable_hosts: metrics.gauge(
                "shallotcross_gateway_usable_hosts",
                "Hosts on which tasks may be placed.",
            )?,
            known_hosts: metrics.gauge("shallotcross_gateway_known_hosts", "Hosts known.")?,
            oldest_view_ms: metrics.gauge(
                "shallotcross_gateway_oldest_view_milliseconds",
                "Age of the oldest view among usable hosts.",
            )?,
            configuration_version: metrics.gauge(
                "shallotcross_gateway_configuration_version",
                "Version of the configuration in force.",
            )?,
            unconfirmed_configuration_ms: metrics.gauge(
                "shallotcross_gateway_unconfirmed_configuration_milliseconds",
                "Time since the store last confirmed the configuration in force.",
            )?,
            evacuated_failure_domains: metrics.gauge(
                "shallotcross_gateway_evacuated_failure_domains",
                "Failure domains that the operator has evacuated.",
            )?,
            peer_connections: metrics.gauge_vec(
                "shallotcross_gateway_peer_connections",
                "Open connections with other processes by protocol version.",
                &["version"],
            )?,
            dropped_log_lines: metrics.gauge(
                "shallotcross_gateway_log_lines_left_out",
                "Log lines dropped by the rate limit or because the log reader is slow.",
            )?,
            turned_back: RefCell::default(),
            metrics,
        })
    }

    /// Counts an answer and its response time.
    pub(crate) fn record_answer(&self, outcome: &str, reason: &str, took_ms: u64) {
        self.answers.with_label_values(&[outcome, reason]).inc();
        let response_s = self.response_s.with_label_values(&[outcome]);
        response_s.observe(took_ms as f64 / 1_000.0);
    }

    /// Counts a request for state to another entry by whether it was answered.
    pub(crate) fn record_peer_call(&self, is_answered: bool) {
        let result = if is_answered { "ok" } else { "failed" };
        self.peer_calls.with_label_values(&[result]).inc();
    }

    /// Counts the expected wait of a task that was placed.
    pub(crate) fn record_placement(&self, wait_ms: u64) {
        let no_labels: [&str; 0] = [];
        let expected_wait_s = self.expected_wait_s.with_label_values(&no_labels);
        expected_wait_s.observe(wait_ms as f64 / 1_000.0);
    }

    /// Counts how well a duration was forecast.
    pub(crate) fn record_forecast(&self, outcome: &ForecastOutcome) {
        let stage: &str = outcome.stage.into();
        let ratio = self.forecast_ratio.with_label_values(&[stage]);
        ratio.observe(outcome.ratio());
        if let Some(was_host_busy) = outcome.was_host_busy {
            let host = if was_host_busy { "busy" } else { "not_busy" };
            let ratio = self.run_time_ratio.with_label_values(&[host]);
            ratio.observe(outcome.ratio());
        }
        if let Some(is_in_band) = outcome.is_in_band {
            let band = if is_in_band { "inside" } else { "outside" };
            self.forecast_bands.with_label_values(&[stage, band]).inc();
        }
    }

    /// Counts an event of a run, and logs it; starts and successful ends at debug level only, and
    /// runs turned back for one reason once a second with their count.
    pub(crate) fn record_run_event(&self, run: RunId, host: &str, age_ms: u64, event: RunEvent) {
        let name = match event {
            RunEvent::Started => "started",
            RunEvent::Ended(end, _) => end.into(),
            RunEvent::NotStarted(reason) => reason.into(),
            RunEvent::Stalled => "stalled",
        };
        self.run_events.with_label_values(&[name]).inc();
        let mut count = 1;
        let level = match event {
            RunEvent::Started | RunEvent::Ended(model::RunEnd::Done, _) => log::Level::Debug,
            RunEvent::NotStarted(_) => {
                let due = self.turned_back.borrow_mut().record(uptime_ms(), name);
                count = due.unwrap_or(1);
                due.map_or(log::Level::Debug, |_| log::Level::Info)
            }
            _ => log::Level::Info,
        };
        log::log!(target: "gateway", level, event = "run", id = run.task.job.as_str(),
            step = run.task.step, task = run.task.index, attempt = run.attempt, host = host,
            age_ms = age_ms, outcome = name, count = count; "event of a run on a host");
    }

    /// Logs the runs that hosts turned back and that have been counted for a second.
    pub(crate) fn log_turned_back(&self) {
        for (reason, count) in self.turned_back.borrow_mut().take_due(uptime_ms()) {
            log::info!(target: "gateway", event = "runs", outcome = reason, count = count;
                "hosts turned back further runs; their tasks are placed again");
        }
    }

    /// Counts a call to the store.
    pub(crate) fn record_store_call(&self, call: &str, is_ok: bool) {
        let result = if is_ok { "ok" } else { "failed" };
        self.store_calls.with_label_values(&[call, result]).inc();
    }

    /// Counts an event of the connection to an agent, such as `connected` or `lost`.
    pub(crate) fn record_link_event(&self, event: &str) {
        self.link_events.with_label_values(&[event]).inc();
    }

    /// Updates the gauges and returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub(crate) fn encode(&self, shared: &Shared) -> Result<String, MetricsError> {
        let now_ms = uptime_ms();
        let scheduler = shared.scheduler.borrow();
        let hosts = scheduler.hosts(now_ms);
        let usable = hosts.iter().filter(|host| host.is_usable);
        let pairs = scheduler.interfering_pairs();
        self.interfering_pairs.set(pairs.len() as i64);
        self.jobs.set(scheduler.job_count() as i64);
        self.known_hosts.set(hosts.len() as i64);
        self.usable_hosts.set(usable.clone().count() as i64);
        let oldest_ms = usable.map(|host| host.view_age_ms).max().unwrap_or(0);
        self.oldest_view_ms.set(oldest_ms as i64);
        let version = shared
            .active_configuration
            .borrow()
            .as_ref()
            .map_or(0, |config| config.version);
        self.configuration_version.set(version as i64);
        let confirmed_at_ms = shared.configuration_confirmed_at_ms.get();
        let unconfirmed_ms = now_ms.saturating_sub(confirmed_at_ms);
        self.unconfirmed_configuration_ms.set(unconfirmed_ms as i64);
        let evacuations = shared.evacuations.newest();
        let evacuated = evacuations.map_or(0, |newest| newest.failure_domains().len());
        self.evacuated_failure_domains.set(evacuated as i64);
        let counts = runtime::log_counts();
        let dropped = counts.dropped_over_rate + counts.dropped_over_buffer;
        self.dropped_log_lines.set(dropped as i64);
        for (event, count) in shared.web.iter() {
            let counter = self.web_events.with_label_values(&[event]);
            counter.reset();
            counter.inc_by(count);
        }
        for (version, count) in shared.connector.versions().open_connections() {
            self.peer_connections
                .with_label_values(&[&version.to_string()])
                .set(count as i64);
        }
        self.metrics.encode()
    }
}
