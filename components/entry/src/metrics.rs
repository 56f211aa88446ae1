//! Prometheus metrics of the entry process.

use model::{Answer, FirmKey};
use runtime::prometheus::{HistogramVec, IntCounterVec, IntGauge, IntGaugeVec};
use runtime::{Metrics, MetricsError, monotonic_us};

use crate::process::Shared;

/// Histogram buckets of response times, in seconds; most tasks take 50 ms to 1 s.
const RESPONSE_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0,
];

/// The metrics of an entry.
pub struct EntryMetrics {
    metrics: Metrics,
    answers: IntCounterVec,
    response_s: HistogramVec,
    events: IntCounterVec,
    link_events: IntCounterVec,
    web_events: IntCounterVec,
    traffic: IntCounterVec,
    peer_connections: IntGaugeVec,
    shard_tasks: IntGaugeVec,
    shard_jobs: IntGaugeVec,
    authority_ms: IntGaugeVec,
    requests: IntGauge,
    config_revision: IntGauge,
    config_age_ms: IntGauge,
    agents: IntGauge,
    platform_calls: IntGauge,
    platform_reachable: IntGauge,
}

impl EntryMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if a name is malformed or taken.
    pub fn new() -> Result<Self, MetricsError> {
        let metrics = Metrics::new();
        Ok(Self {
            answers: metrics.counter_vec(
                "shallotcross_entry_answers_total",
                "Answers to callers, by firm, outcome and reason.",
                &["firm", "outcome", "reason"],
            )?,
            response_s: metrics.histogram_vec(
                "shallotcross_entry_response_seconds",
                "Time from the request to the answer.",
                &["firm"],
                &RESPONSE_BUCKETS_S,
            )?,
            events: metrics.counter_vec(
                "shallotcross_entry_events_total",
                "Dispatcher events, by cause.",
                &["cause"],
            )?,
            link_events: metrics.counter_vec(
                "shallotcross_entry_link_events_total",
                "Events on connections from agents and other entries.",
                &["event"],
            )?,
            web_events: metrics.counter_vec(
                "shallotcross_entry_web_events_total",
                "Events on HTTP connections from callers.",
                &["event"],
            )?,
            peer_connections: metrics.gauge_vec(
                "shallotcross_entry_peer_connections",
                "Open connections with other processes by protocol version.",
                &["version"],
            )?,
            traffic: metrics.counter_vec(
                "shallotcross_entry_traffic_total",
                "Frames and bytes on connections with agents and other entries.",
                &["count"],
            )?,
            shard_tasks: metrics.gauge_vec(
                "shallotcross_entry_shard_tasks",
                "Tasks of a shard, by state.",
                &["shard", "state"],
            )?,
            shard_jobs: metrics.gauge_vec(
                "shallotcross_entry_shard_jobs",
                "Jobs in progress of a shard.",
                &["shard"],
            )?,
            authority_ms: metrics.gauge_vec(
                "shallotcross_entry_shard_authority_ms",
                "Remaining time for which the entry may act as the owner of a shard.",
                &["shard"],
            )?,
            requests: metrics.gauge("shallotcross_entry_requests", "Submissions in progress.")?,
            config_revision: metrics.gauge(
                "shallotcross_entry_config_revision",
                "Revision of the current configuration.",
            )?,
            config_age_ms: metrics.gauge(
                "shallotcross_entry_config_age_ms",
                "Time since the current configuration was last read from the platform.",
            )?,
            agents: metrics.gauge("shallotcross_entry_agents", "Agents known.")?,
            platform_calls: metrics.gauge(
                "shallotcross_entry_platform_calls",
                "Calls to the platform since the process started.",
            )?,
            platform_reachable: metrics.gauge(
                "shallotcross_entry_platform_reachable",
                "1 if the platform answered within the last 10 seconds, else 0.",
            )?,
            metrics,
        })
    }

    /// Counts an answer and records its response time.
    pub fn record_answer(&self, firm: FirmKey, answer: &Answer, elapsed_us: u64) {
        let firm = firm.to_string();
        let (outcome, reason): (&'static str, &'static str) = match answer {
            Answer::Complete(_) => ("complete", ""),
            Answer::Failed(failure) => (failure.kind.into(), failure.reason.into()),
        };
        self.answers
            .with_label_values(&[firm.as_str(), outcome, reason])
            .inc();
        self.response_s
            .with_label_values(&[firm.as_str()])
            .observe(elapsed_us as f64 / 1e6);
    }

    /// Returns the metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn render(&self, shared: &Shared) -> Result<String, MetricsError> {
        let state = shared.dispatcher.borrow().state(monotonic_us(), None);
        self.requests.set(shared.in_flight_submissions.get() as i64);
        self.agents.set(state.agents.len() as i64);
        self.platform_calls
            .set(shared.platform.counters().calls() as i64);
        self.platform_reachable
            .set(i64::from(shared.platform_is_reachable()));
        let config = shared.config.borrow();
        self.config_revision.set(config.revision() as i64);
        let age_ms = config.age_ms(runtime::unix_ms()).unwrap_or(0);
        self.config_age_ms.set(age_ms as i64);
        self.set_shards(&state);
        self.set_events(&state);
        for (event, count) in shared.link_counters.iter() {
            raise_to(&self.link_events, event, count);
        }
        for (event, count) in shared.web_counters.iter() {
            raise_to(&self.web_events, event, count);
        }
        for (version, count) in shared.connector.versions().open_connections() {
            self.peer_connections
                .with_label_values(&[&version.to_string()])
                .set(count as i64);
        }
        for (name, count) in shared.connector.traffic().iter() {
            raise_to(&self.traffic, name, count);
        }
        self.metrics.encode()
    }

    fn set_shards(&self, state: &dispatch::DispatcherState) {
        // Removes the values of shards that this entry no longer owns.
        self.shard_tasks.reset();
        self.shard_jobs.reset();
        self.authority_ms.reset();
        for shard in &state.shards {
            let name = shard.shard.as_str();
            self.shard_tasks
                .with_label_values(&[name, "waiting"])
                .set(i64::from(shard.waiting_tasks));
            self.shard_tasks
                .with_label_values(&[name, "in_progress"])
                .set(i64::from(shard.tasks_in_progress));
            self.shard_jobs
                .with_label_values(&[name])
                .set(shard.jobs.len() as i64);
            self.authority_ms
                .with_label_values(&[name])
                .set((shard.authority_left_us / 1_000) as i64);
        }
    }

    fn set_events(&self, state: &dispatch::DispatcherState) {
        let Some(counters) = &state.counters else {
            return;
        };
        let counts = [
            ("admitted", counters.admitted),
            ("completed", counters.completed),
            ("failed", counters.failed),
            ("refused", counters.refused),
            ("resubmitted", counters.resubmitted),
            ("conflict", counters.conflicts),
            ("task_sent", counters.tasks_sent),
            ("start_message", counters.start_messages),
            ("task_resent", counters.tasks_resent),
            ("task_refused", counters.tasks_refused),
            ("task_finished", counters.tasks_finished),
            ("outcome_stray", counters.outcomes_stray),
            ("message_stray", counters.messages_stray),
            ("takeover", counters.takeovers),
            ("deposed", counters.deposed),
            ("ejection", counters.ejections),
            ("envelope_sent", counters.envelopes_sent),
            ("envelope_received", counters.envelopes_received),
        ];
        for (name, count) in counts {
            raise_to(&self.events, name, count);
        }
    }
}

/// Raises a Prometheus counter to `count`, a total kept by another component.
fn raise_to(counters: &IntCounterVec, label: &str, count: u64) {
    let counter = counters.with_label_values(&[label]);
    counter.inc_by(count.saturating_sub(counter.get()));
}
