//! The last outcomes at one replica.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Outcomes kept, and how long they count.
const MAX_OUTCOMES: usize = 32;
const OUTCOME_TTL: Duration = Duration::from_secs(10);

/// Times to a first event kept.
const MAX_TIMINGS: usize = 16;

/// Least time between two comparisons of times.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(100);

/// What a window holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WindowSummary {
    /// Outcomes that count.
    pub outcomes: u32,
    /// Failures among them.
    pub failures: u32,
    /// Failures among the newest, without one served in between.
    pub consecutive_failures: u32,
    /// Age of the oldest that counts.
    pub age: Duration,
}

impl WindowSummary {
    /// Share of failures; 0 without outcomes.
    pub fn rate(&self) -> f64 {
        f64::from(self.failures) / f64::from(self.outcomes.max(1))
    }
}

/// The last outcomes at one replica, and how late its first events came.
#[derive(Debug, Default)]
pub struct OutcomeWindow {
    outcomes: VecDeque<(Instant, bool)>,
    timings: VecDeque<(Instant, Duration)>,
    compared_at: Option<Instant>,
}

impl OutcomeWindow {
    /// Adds an outcome.
    pub fn add(&mut self, is_failure: bool, now: Instant) {
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((now, is_failure));
    }

    /// What counts now.
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

    /// Takes the time to a first event. True if times are to be compared again.
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

    /// The middle one of the times to the first event, milliseconds, if at least `least` were taken lately. Not their
    /// mean: a request that waits while a long prompt is read raises that for long.
    pub fn first_event_ms(&self, min: usize, now: Instant) -> Option<f64> {
        let timings = self.timings.iter();
        let recent = timings.filter(|(at, _)| now.saturating_duration_since(*at) < OUTCOME_TTL);
        let recent: Vec<f64> = recent
            .map(|(_, time)| time.as_secs_f64() * 1_000.0)
            .collect();
        (recent.len() >= min).then(|| median(recent)).flatten()
    }
}

/// The middle one of some numbers, the lower of two; `None` without any.
pub fn median(mut numbers: Vec<f64>) -> Option<f64> {
    if numbers.is_empty() {
        return None;
    }
    let middle = (numbers.len() - 1) / 2;
    let (_, middle, _) = numbers.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*middle)
}
