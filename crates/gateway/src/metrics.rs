//! Prometheus metrics of the request path.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry};

/// Metrics of one gateway; clones share their values.
#[derive(Clone)]
pub struct GatewayMetrics {
    /// Requests by outcome: `ok` or [`crate::GatewayError::code`].
    pub requests: IntCounterVec,
    /// Time from admission to the first token, in seconds.
    pub first_token: Histogram,
    /// Tokens sent to callers.
    pub tokens: IntCounter,
    /// Engine events dropped because they belonged to another request or repeated a sequence number.
    pub dropped_events: IntCounter,
    /// Retries at another replica, resumed streams included.
    pub retries: IntCounter,
    /// Interrupted streams that were resumed.
    pub resumed: IntCounter,
    /// Resends of idempotent requests by outcome.
    pub resends: IntCounterVec,
}

impl GatewayMetrics {
    /// Builds the metrics and adds them to `registry`; fails if a name is already registered.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            requests: IntCounterVec::new(
                Opts::new("harrierward_gateway_requests_total", "Requests by outcome"),
                &["outcome"],
            )?,
            first_token: Histogram::with_opts(
                HistogramOpts::new(
                    "harrierward_gateway_first_token_seconds",
                    "Time to the first token",
                )
                .buckets(vec![0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2]),
            )?,
            tokens: IntCounter::new("harrierward_gateway_tokens_total", "Tokens passed on")?,
            dropped_events: IntCounter::new(
                "harrierward_gateway_dropped_events_total",
                "Events of another request or out of sequence",
            )?,
            retries: IntCounter::new(
                "harrierward_gateway_retries_total",
                "Attempts made again elsewhere",
            )?,
            resumed: IntCounter::new(
                "harrierward_gateway_resumed_total",
                "Streams resumed after a cut",
            )?,
            resends: IntCounterVec::new(
                Opts::new(
                    "harrierward_gateway_resends_total",
                    "Resends of at-most-once requests by outcome",
                ),
                &["outcome"],
            )?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.first_token.clone()))?;
        registry.register(Box::new(metrics.tokens.clone()))?;
        registry.register(Box::new(metrics.dropped_events.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.resumed.clone()))?;
        registry.register(Box::new(metrics.resends.clone()))?;
        Ok(metrics)
    }
}
