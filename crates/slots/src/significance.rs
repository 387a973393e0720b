//! Significance test for the failures of one replica against those of the others in its group.

use crate::outcome_window::{WindowSummary, median};

/// Minimum number of consecutive failures for an ejection.
const MIN_CONSECUTIVE_FAILURES: f64 = 3.0;

/// Probability of a run of failures, at the baseline rate, below which it is significant.
const RUN_SIGNIFICANCE_LEVEL: f64 = 1e-6;

/// Minimum number of outcomes for a comparison of rates, and the standard deviations above the expected failures that
/// are significant.
const MIN_COMPARED_OUTCOMES: u32 = 8;
const MIN_DEVIATIONS: f64 = 5.0;

/// Minimum difference from the baseline rate.
const MIN_RATE_DIFFERENCE: f64 = 0.2;

/// Failure rate above which a replica is excluded from the baseline, unless most replicas exceed it.
const MAX_BASELINE_RATE: f64 = 0.5;

/// True if the failures are significant at the baseline rate.
pub fn is_outlier(own: &WindowSummary, baseline: f64) -> bool {
    if f64::from(own.consecutive_failures) >= significant_run(baseline) {
        return true;
    }
    if own.outcomes < MIN_COMPARED_OUTCOMES {
        return false;
    }
    let outcomes = f64::from(own.outcomes);
    let failures = f64::from(own.failures);
    let deviation = (outcomes * baseline * (1.0 - baseline)).sqrt().max(1.0);
    failures >= outcomes * baseline + MIN_DEVIATIONS * deviation
        && failures / outcomes >= baseline + MIN_RATE_DIFFERENCE
}

/// Computes the pooled failure rate of the replicas that serve most of their requests, but at least the median rate.
/// One failure is added, as few outcomes without a failure don't prove a rate of zero.
pub fn baseline_rate(mut others: Vec<WindowSummary>) -> Option<f64> {
    others.retain(|summary| summary.outcomes > 0);
    let median_rate = median(others.iter().map(WindowSummary::rate).collect())?;
    others.retain(|summary| summary.rate() <= median_rate.max(MAX_BASELINE_RATE));
    let failures: u32 = others.iter().map(|summary| summary.failures).sum();
    let outcomes: u32 = others.iter().map(|summary| summary.outcomes).sum();
    let pooled = f64::from(failures + 1) / f64::from(outcomes + 1);
    Some(pooled.max(median_rate))
}

/// Returns the number of consecutive failures that is significant at the baseline rate; infinite if all requests
/// fail.
fn significant_run(baseline: f64) -> f64 {
    if baseline >= 1.0 {
        return f64::INFINITY;
    }
    (RUN_SIGNIFICANCE_LEVEL.ln() / baseline.ln())
        .ceil()
        .max(MIN_CONSECUTIVE_FAILURES)
}
