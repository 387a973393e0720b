//! Creation of metrics that are registered at once.

use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

/// Upper bounds of the latency buckets, seconds.
const LATENCY_BUCKETS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/// Creates metrics in a registry. Each method fails if the name is already taken.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Registration<'a> {
    registry: &'a Registry,
}

impl<'a> Registration<'a> {
    /// Creates metrics in this registry.
    pub fn new(registry: &'a Registry) -> Self {
        Self { registry }
    }

    /// Returns a counter.
    pub fn counter(self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        self.register(IntCounter::new(name, help)?)
    }

    /// Returns counters by labels.
    pub fn counters(
        self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        self.register(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    /// Returns a gauge.
    pub fn gauge(self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        self.register(IntGauge::new(name, help)?)
    }

    /// Returns gauges by labels.
    pub fn gauges(
        self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, prometheus::Error> {
        self.register(IntGaugeVec::new(Opts::new(name, help), labels)?)
    }

    /// Returns a histogram of latencies in seconds.
    pub fn latencies(self, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
        self.register(Histogram::with_opts(options)?)
    }

    fn register<M: Collector + Clone + 'static>(self, metric: M) -> Result<M, prometheus::Error> {
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}
