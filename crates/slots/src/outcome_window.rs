//! Sliding window over the recent outcomes at one replica.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Maximum number of outcomes, and how long each of them counts.
const MAX_OUTCOMES: usize = 32;
const OUTCOME_TTL: Duration = Duration::from_secs(10);

/// Maximum number of samples of the time to the first event.
const MAX_TIMINGS: usize = 16;

const COMPARISON_INTERVAL: Duration = Duration::from_millis(100);

/// Summary of the outcomes that haven't expired.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WindowSummary {
    /// Number of outcomes.
    pub outcomes: u32,
    /// Number of failures.
    pub failures: u32,
    /// Number of failures since the last success.
    pub consecutive_failures: u32,
    /// Age of the oldest outcome.
    pub age: Duration,
}

impl WindowSummary {
    /// Returns the failure rate; 0 without outcomes.
    pub fn rate(&self) -> f64 {
        f64::from(self.failures) / f64::from(self.outcomes.max(1))
    }
}

/// Recent outcomes and times to the first event of one replica.
#[derive(Debug, Default)]
pub struct OutcomeWindow {
    outcomes: VecDeque<(Instant, bool)>,
    timings: VecDeque<(Instant, Duration)>,
    compared_at: Option<Instant>,
}

impl OutcomeWindow {
    /// Records an outcome; drops the oldest one if the window is full.
    pub fn add(&mut self, is_failure: bool, now: Instant) {
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((now, is_failure));
    }

    /// Summarizes the outcomes that haven't expired.
    pub fn summary(&self, now: Instant) -> WindowSummary {
        let mut summary = WindowSummary::default();
        let mut in_run = true;
        for (at, is_failure) in self.outcomes.iter().rev() {
            let age = now.saturating_duration_since(*at);
            if age >= OUTCOME_TTL {
                break;
            }
            in_run &= is_failure;
            summary.outcomes += 1;
            summary.failures += u32::from(*is_failure);
            summary.consecutive_failures += u32::from(in_run);
            summary.age = age;
        }
        summary
    }

    /// Records a time to the first event. True if a comparison with the other replicas is due.
    pub fn add_timing(&mut self, first_event: Duration, now: Instant) -> bool {
        if self.timings.len() == MAX_TIMINGS {
            self.timings.pop_front();
        }
        self.timings.push_back((now, first_event));
        let is_due = self
            .compared_at
            .is_none_or(|at| now.saturating_duration_since(at) >= COMPARISON_INTERVAL);
        if is_due {
            self.compared_at = Some(now);
        }
        is_due
    }

    /// Returns the median time to the first event, milliseconds; `None` with fewer than `min` recent samples. The
    /// median isn't skewed by single requests that wait behind a long prompt.
    pub fn first_event_ms(&self, min: usize, now: Instant) -> Option<f64> {
        let timings = self.timings.iter();
        let recent = timings.filter(|(at, _)| now.saturating_duration_since(*at) < OUTCOME_TTL);
        let recent: Vec<f64> = recent
            .map(|(_, time)| time.as_secs_f64() * 1_000.0)
            .collect();
        (recent.len() >= min).then(|| median(recent)).flatten()
    }
}

/// Returns the median, the lower one of two; `None` without numbers.
pub fn median(mut numbers: Vec<f64>) -> Option<f64> {
    if numbers.is_empty() {
        return None;
    }
    let middle = (numbers.len() - 1) / 2;
    let (_, middle, _) = numbers.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*middle)
}
