//! Counters and histograms of the request path.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry};

/// Metrics of one gateway.
#[derive(Clone)]
pub struct GatewayMetrics {
    /// Requests by outcome code ("ok" or the error's code).
    pub requests: IntCounterVec,
    /// Time to the first token, seconds.
    pub first_token: Histogram,
    /// Tokens passed on.
    pub tokens: IntCounter,
    /// Events dropped because they were of another request or out of sequence.
    pub dropped_events: IntCounter,
    /// Attempts made again elsewhere.
    pub retries: IntCounter,
    /// Streams resumed after a cut.
    pub resumed: IntCounter,
    /// Resends of at-most-once requests by what they were told.
    pub resends: IntCounterVec,
}

impl GatewayMetrics {
    /// Registers the metrics.
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
