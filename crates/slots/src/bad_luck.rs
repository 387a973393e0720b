//! What failures at one replica tell beside those at the others.

use crate::outcome_window::{WindowSummary, median};

/// Failures in a row that no replica is ejected below.
const LEAST_IN_A_ROW: f64 = 3.0;

/// Chance of a row of failures, at the rate at which the others fail, below which it is not taken for bad luck.
const CHANCE_OF_A_ROW: f64 = 1e-6;

/// Outcomes in a window from which its share of failures is compared, and standard deviations that it must lie above
/// what the others' rate explains.
const LEAST_COMPARED: u32 = 8;
const COMPARED_DEVIATIONS: f64 = 5.0;

/// Least difference of the share of failures from the others'.
const LEAST_DIFFERENCE: f64 = 0.2;

/// Share of failures above which a replica does not count for what is usual, unless most are like it.
const MOSTLY_FAILING: f64 = 0.5;

/// True if the failures are more than bad luck explains at the rate at which the others fail.
pub fn stands_out(own: &WindowSummary, others: f64) -> bool {
    if f64::from(own.consecutive_failures) >= row_that_tells(others) {
        return true;
    }
    if own.outcomes < LEAST_COMPARED {
        return false;
    }
    let outcomes = f64::from(own.outcomes);
    let failures = f64::from(own.failures);
    let deviation = (outcomes * others * (1.0 - others)).sqrt().max(1.0);
    failures >= outcomes * others + COMPARED_DEVIATIONS * deviation
        && failures / outcomes >= others + LEAST_DIFFERENCE
}

/// The share of failures of all that do not fail most of their requests, or the middle one of the shares where more do.
/// Few outcomes without a failure do not show that none fails, so one more failure is assumed.
pub fn usual_rate(mut others: Vec<WindowSummary>) -> Option<f64> {
    others.retain(|one| one.outcomes > 0);
    let middle = median(others.iter().map(WindowSummary::rate).collect())?;
    others.retain(|one| one.rate() <= middle.max(MOSTLY_FAILING));
    let failures: u32 = others.iter().map(|one| one.failures).sum();
    let outcomes: u32 = others.iter().map(|one| one.outcomes).sum();
    let pooled = f64::from(failures + 1) / f64::from(outcomes + 1);
    Some(pooled.max(middle))
}

/// Failures in a row that are no bad luck where others fail at this rate; without bound where all fail.
fn row_that_tells(others: f64) -> f64 {
    if others >= 1.0 {
        return f64::INFINITY;
    }
    (CHANCE_OF_A_ROW.ln() / others.ln())
        .ceil()
        .max(LEAST_IN_A_ROW)
}
