//! Prometheus metrics of the agent process.

use runtime::prometheus::{IntCounterVec, IntGauge, IntGaugeVec};
use runtime::{Metrics, MetricsError};

use crate::process::Shared;

/// The metrics of an agent, updated when they are rendered.
pub struct AgentMetrics {
    metrics: Metrics,
    tasks: IntGaugeVec,
    unacknowledged: IntGauge,
    records: IntGauge,
    result_bytes: IntGauge,
    config_revision: IntGauge,
    ready: IntGauge,
    events: IntCounterVec,
    link_events: IntCounterVec,
    web_events: IntCounterVec,
    traffic: IntCounterVec,
    peer_connections: IntGaugeVec,
}

impl AgentMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if a name is malformed or taken.
    pub fn new() -> Result<Self, MetricsError> {
        let metrics = Metrics::new();
        Ok(Self {
            tasks: metrics.gauge_vec(
                "shallotcross_agent_tasks",
                "Tasks at the agent, by state.",
                &["state"],
            )?,
            unacknowledged: metrics.gauge(
                "shallotcross_agent_unacknowledged",
                "Outcomes and refusals that have not been acknowledged by an owner.",
            )?,
            records: metrics.gauge("shallotcross_agent_records", "Records of tasks.")?,
            result_bytes: metrics.gauge(
                "shallotcross_agent_result_bytes",
                "Total size of the stored results.",
            )?,
            config_revision: metrics.gauge(
                "shallotcross_agent_config_revision",
                "Revision of the current configuration.",
            )?,
            ready: metrics.gauge(
                "shallotcross_agent_ready",
                "1 if owners may send tasks, else 0.",
            )?,
            events: metrics.counter_vec(
                "shallotcross_agent_events_total",
                "Agent events, by cause.",
                &["cause"],
            )?,
            link_events: metrics.counter_vec(
                "shallotcross_agent_link_events_total",
                "Events on connections from entries.",
                &["event"],
            )?,
            web_events: metrics.counter_vec(
                "shallotcross_agent_web_events_total",
                "Events on HTTP connections from the target and operators.",
                &["event"],
            )?,
            peer_connections: metrics.gauge_vec(
                "shallotcross_agent_peer_connections",
                "Open connections with other processes by protocol version.",
                &["version"],
            )?,
            traffic: metrics.counter_vec(
                "shallotcross_agent_traffic_total",
                "Frames and bytes on connections with entries.",
                &["count"],
            )?,
            metrics,
        })
    }

    /// Returns the metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn render(&self, shared: &Shared) -> Result<String, MetricsError> {
        let state = shared.agent.borrow().state();
        self.tasks
            .with_label_values(&["running"])
            .set(state.running as i64);
        self.tasks
            .with_label_values(&["queued"])
            .set(state.queued as i64);
        self.unacknowledged.set(state.unacknowledged as i64);
        self.records.set(state.records as i64);
        self.result_bytes.set(state.result_bytes as i64);
        self.config_revision.set(state.config_revision as i64);
        self.ready.set(i64::from(state.ready));
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

    fn set_events(&self, state: &execution::AgentState) {
        let counters = state.process.iter().chain(state.firms.values());
        let mut totals = std::collections::BTreeMap::<String, u64>::new();
        for counter in counters {
            let counts = [
                ("invoked", counter.invoked),
                ("finished", counter.finished),
                ("not_started", counter.not_started),
                ("duplicate", counter.duplicates),
                ("stale", counter.stale),
                ("conflicting", counter.conflicting),
                ("late_outcome", counter.late_outcomes),
                ("misaddressed", counter.misaddressed),
                ("resent", counter.resent),
                ("result_dropped", counter.results_dropped),
            ];
            for (name, count) in counts {
                *totals.entry(name.to_owned()).or_default() += count;
            }
            for (reason, count) in &counter.refused {
                let name: &'static str = reason.into();
                *totals.entry(format!("refused_{name}")).or_default() += count;
            }
        }
        for (name, count) in totals {
            raise_to(&self.events, &name, count);
        }
    }
}

/// Raises a Prometheus counter to `count`, a total kept by another component.
fn raise_to(counters: &IntCounterVec, label: &str, count: u64) {
    let counter = counters.with_label_values(&[label]);
    counter.inc_by(count.saturating_sub(counter.get()));
}
