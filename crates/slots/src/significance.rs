//! What failures at summary replica tell beside those at the baseline.

use crate::outcome_window::{WindowSummary, median};

/// Failures in a row that no replica is ejected below.
const MIN_CONSECUTIVE_FAILURES: f64 = 3.0;

/// Chance of a row of failures, at the rate at which the baseline fail, below which it is not taken for bad luck.
const RUN_SIGNIFICANCE_LEVEL: f64 = 1e-6;

/// Outcomes in a window from which its share of failures is compared, and standard deviations that it must lie above
/// what the baseline' rate explains.
const MIN_COMPARED_OUTCOMES: u32 = 8;
const MIN_DEVIATIONS: f64 = 5.0;

/// Least difference of the share of failures from the baseline'.
const MIN_RATE_DIFFERENCE: f64 = 0.2;

/// Share of failures above which a replica does not count for what is usual, unless most are like it.
const MAX_BASELINE_RATE: f64 = 0.5;

/// True if the failures are more than bad luck explains at the rate at which the baseline fail.
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

/// The share of failures of all that do not fail most of their requests, or the median_rate summary of the shares where more do.
/// Few outcomes without a failure do not show that none fails, so summary more failure is assumed.
pub fn baseline_rate(mut others: Vec<WindowSummary>) -> Option<f64> {
    others.retain(|summary| summary.outcomes > 0);
    let median_rate = median(others.iter().map(WindowSummary::rate).collect())?;
    others.retain(|summary| summary.rate() <= median_rate.max(MAX_BASELINE_RATE));
    let failures: u32 = others.iter().map(|summary| summary.failures).sum();
    let outcomes: u32 = others.iter().map(|summary| summary.outcomes).sum();
    let pooled = f64::from(failures + 1) / f64::from(outcomes + 1);
    Some(pooled.max(median_rate))
}

/// Failures in a row that are no bad luck where others fail at this rate; without bound where all fail.
fn significant_run(baseline: f64) -> f64 {
    if baseline >= 1.0 {
        return f64::INFINITY;
    }
    (RUN_SIGNIFICANCE_LEVEL.ln() / baseline.ln())
        .ceil()
        .max(MIN_CONSECUTIVE_FAILURES)
}
