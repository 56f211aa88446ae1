//! Metrics of a process in the Prometheus text format.

use derive_more::{Display, Error, From};
use prometheus::core::Collector;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// A metric was refused by the registry or could not be encoded.
#[derive(Debug, Display, Error, From)]
#[display("metric refused: {_0}")]
pub struct MetricsError(prometheus::Error);

/// The metrics of one process.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// Creates an empty set of metrics.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a counter.
    ///
    /// # Errors
    ///
    /// Fails if the name is malformed or taken.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, MetricsError> {
        self.register(IntCounter::new(name, help)?)
    }

    /// Adds a counter with labels.
    ///
    /// # Errors
    ///
    /// Fails if the name or a label is malformed or taken.
    pub fn counter_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, MetricsError> {
        self.register(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    /// Adds a gauge.
    ///
    /// # Errors
    ///
    /// Fails if the name is malformed or taken.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, MetricsError> {
        self.register(IntGauge::new(name, help)?)
    }

    /// Adds a gauge with labels.
    ///
    /// # Errors
    ///
    /// Fails if the name or a label is malformed or taken.
    pub fn gauge_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, MetricsError> {
        self.register(IntGaugeVec::new(Opts::new(name, help), labels)?)
    }

    /// Adds a histogram with labels; `buckets` holds the upper bounds in rising order.
    ///
    /// # Errors
    ///
    /// Fails if the name, a label or the bounds are malformed, or the name is taken.
    pub fn histogram_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
        buckets: &[f64],
    ) -> Result<HistogramVec, MetricsError> {
        let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        self.register(HistogramVec::new(options, labels)?)
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn encode(&self) -> Result<String, MetricsError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }

    fn register<C: Collector + Clone + 'static>(&self, metric: C) -> Result<C, MetricsError> {
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}
