//! Metrics of an agent.

use hosting::{CheckOutcome, StartOutcome, TargetPollOutcome};
use runtime::prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec};
use runtime::{Metrics, MetricsError, uptime_ms};

use crate::process::Shared;

/// The metrics of an agent.
pub(crate) struct SidecarMetrics {
    metrics: Metrics,
    target_calls: IntCounterVec,
    announcements: IntCounterVec,
    peer_connections: IntGaugeVec,
    waiting: IntGauge,
    running: IntGauge,
    evacuated_failure_domains: IntGauge,
    evacuated_tasks: IntCounter,
    estimated_pairs: IntGauge,
    dropped_log_lines: IntGauge,
}

impl SidecarMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if a name is malformed or taken.
    pub(crate) fn new() -> Result<Self, MetricsError> {
        let metrics = Metrics::new();
        Ok(Self {
            target_calls: metrics.counter_vec(
                "shallotcross_sidecar_target_calls_total",
                "Calls to the target by kind and result.",
                &["call", "result"],
            )?,
            announcements: metrics.counter_vec(
                "shallotcross_sidecar_announcements_total",
                "Announcements of the host to entries by result.",
                &["result"],
            )?,
            waiting: metrics.gauge(
                "shallotcross_sidecar_waiting_tasks",
                "Tasks waiting to start.",
            )?,
            running: metrics.gauge("shallotcross_sidecar_running_tasks", "Tasks running.")?,
            evacuated_failure_domains: metrics.gauge(
                "shallotcross_sidecar_evacuated_failure_domains",
                "Failure domains that the operator has evacuated.",
            )?,
            evacuated_tasks: metrics.counter(
                "shallotcross_sidecar_evacuated_tasks_total",
                "Tasks rejected because the failure domain of the host is evacuated.",
            )?,
            estimated_pairs: metrics.gauge(
                "shallotcross_sidecar_estimated_pairs",
                "Pairs of kinds of task whose effect on each other is estimated.",
            )?,
            peer_connections: metrics.gauge_vec(
                "shallotcross_sidecar_peer_connections",
                "Open connections with other processes by protocol version.",
                &["version"],
            )?,
            dropped_log_lines: metrics.gauge(
                "shallotcross_sidecar_log_lines_left_out",
                "Log lines dropped by the rate limit or because the log reader is slow.",
            )?,
            metrics,
        })
    }

    /// Counts a start order by its result.
    pub(crate) fn record_start(&self, outcome: StartOutcome) {
        let result = match outcome {
            StartOutcome::Started => "ok",
            StartOutcome::Refused(reason) => reason.into(),
            StartOutcome::NobodyListens => "nobody_listens",
            StartOutcome::Inconclusive => "inconclusive",
            StartOutcome::Unanswered => "unanswered",
        };
        self.target_calls
            .with_label_values(&["start", result])
            .inc();
    }

    /// Counts an announcement to an entry by whether it was answered.
    pub(crate) fn record_announcement(&self, is_answered: bool) {
        let result = if is_answered { "ok" } else { "failed" };
        self.announcements.with_label_values(&[result]).inc();
    }

    /// Counts a stop order by whether the target accepted it.
    pub(crate) fn record_stop(&self, is_accepted: bool) {
        let result = if is_accepted { "ok" } else { "unanswered" };
        self.target_calls.with_label_values(&["stop", result]).inc();
    }

    /// Counts a poll of the target's runs by its result; its label is `hold`, the platform's name.
    pub(crate) fn record_poll(&self, outcome: &TargetPollOutcome) {
        let result = match outcome {
            TargetPollOutcome::Answered(_) => "ok",
            TargetPollOutcome::StaleToken => "stale_token",
            TargetPollOutcome::OtherIncarnation => "other_incarnation",
            TargetPollOutcome::NobodyListens => "nobody_listens",
            TargetPollOutcome::Inconclusive => "inconclusive",
            TargetPollOutcome::Unanswered => "unanswered",
        };
        self.target_calls.with_label_values(&["hold", result]).inc();
    }

    /// Counts a question about an incarnation that a report names, by what the target has answered.
    pub(crate) fn record_check(&self, outcome: CheckOutcome) {
        self.target_calls
            .with_label_values(&["check", outcome.into()])
            .inc();
    }

    /// Updates the gauges and returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub(crate) fn encode(&self, shared: &Shared) -> Result<String, MetricsError> {
        let (waiting, running) = shared.host.borrow().run_counts();
        self.waiting.set(waiting as i64);
        self.running.set(running as i64);
        let evacuations = shared.evacuations.newest();
        let evacuated = evacuations.map_or(0, |newest| newest.failure_domains().len());
        self.evacuated_failure_domains.set(evacuated as i64);
        self.evacuated_tasks.reset();
        self.evacuated_tasks
            .inc_by(shared.host.borrow().evacuated_task_count());
        let pairs = shared.host.borrow_mut().pair_effects(uptime_ms());
        self.estimated_pairs.set(pairs.len() as i64);
        let counts = runtime::log_counts();
        let dropped = counts.dropped_over_rate + counts.dropped_over_buffer;
        self.dropped_log_lines.set(dropped as i64);
        for (version, count) in shared.connector.versions().open_connections() {
            self.peer_connections
                .with_label_values(&[&version.to_string()])
                .set(count as i64);
        }
        self.metrics.encode()
    }
}
