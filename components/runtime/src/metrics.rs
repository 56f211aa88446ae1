//! Metrics of the process in the Prometheus text format.

use derive_more::{Display, Error, From};
use prometheus::core::Collector;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// The registry rejected a metric, or a metric could not be encoded.
#[derive(Debug, Display, Error, From)]
#[display("metric refused: {_0}")]
pub struct MetricsError(prometheus::Error);

/// Metrics of one process.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// Creates an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a counter.
    ///
    /// # Errors
    ///
    /// Fails if the name is invalid or already registered.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, MetricsError> {
        self.register(IntCounter::new(name, help)?)
    }

    /// Registers a counter with labels.
    ///
    /// # Errors
    ///
    /// Fails if the name or a label is invalid, or the name is already registered.
    pub fn counter_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, MetricsError> {
        self.register(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    /// Registers a gauge.
    ///
    /// # Errors
    ///
    /// Fails if the name is invalid or already registered.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, MetricsError> {
        self.register(IntGauge::new(name, help)?)
    }

    /// Registers a gauge with labels.
    ///
    /// # Errors
    ///
    /// Fails if the name or a label is invalid, or the name is already registered.
    pub fn gauge_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, MetricsError> {
        self.register(IntGaugeVec::new(Opts::new(name, help), labels)?)
    }

    /// Registers a histogram with labels; `buckets` holds the upper bounds in ascending order.
    ///
    /// # Errors
    ///
    /// Fails if the name, a label or the bounds are invalid, or the name is already registered.
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
