//! The batch slot budget of one replica, run by its owner.
//!
//! Why a budget and not only engine priority: every running sequence lengthens each step of the engine, and
//! every batch prefill holds up a step in which an online prompt could have started. Priority decides who goes
//! first, not how long the step takes. The budget therefore bounds the running batch items by the step time it
//! allows, paces their prefills, and falls to zero at once when online requests pile up.

use std::time::Duration;

/// Prices of work at the replica, and the bounds of the budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotSettings {
    /// Fixed time of an engine step, microseconds.
    pub step_base_micros: f64,
    /// Additional time of a step for each running sequence, microseconds.
    pub step_sequence_micros: f64,
    /// Time to prefill a token, microseconds.
    pub prefill_token_micros: f64,
    /// Most sequences that the engine runs.
    pub maximum_running: u32,
    /// Slots always left to online.
    pub online_reserve: u32,
    /// Step time allowed while online requests run, microseconds. This is the setting that moves along the
    /// frontier between harm and throughput.
    pub step_target_micros: f64,
    /// Share of time that batch prefills may take while online requests run.
    pub prefill_share: f64,
    /// Share of time that batch prefills may take while no online request runs.
    pub idle_prefill_share: f64,
    /// Longest pause that batch prefills may cause in one step, microseconds.
    pub prefill_burst_micros: f64,
    /// Online prefill work in flight, in microseconds, above which batch falls to zero.
    pub burst_micros: f64,
    /// How long batch stays at zero after the last sign of a burst.
    pub calm: Duration,
    /// Slots gained a second after a burst.
    pub growth_per_second: f64,
}

impl Default for SlotSettings {
    fn default() -> Self {
        Self {
            step_base_micros: 12_000.0,
            step_sequence_micros: 60.0,
            prefill_token_micros: 40.0,
            maximum_running: 128,
            online_reserve: 4,
            step_target_micros: 17_000.0,
            prefill_share: 0.25,
            idle_prefill_share: 0.6,
            prefill_burst_micros: 4_000.0,
            burst_micros: 400_000.0,
            calm: Duration::from_millis(60),
            growth_per_second: 2_000.0,
        }
    }
}

/// What the owner knows of the replica's online requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct OnlineState {
    running: u32,
    prefill_tokens: u32,
}

/// The budget of one replica.
#[derive(Debug, Clone)]
pub struct SlotBudget {
    settings: SlotSettings,
    online: OnlineState,
    limit: f64,
    grown_at: Duration,
    zero_until: Duration,
    prefill_credit_micros: f64,
    credited_at: Duration,
}

impl SlotBudget {
    /// A budget that starts at zero and grows.
    pub fn new(settings: SlotSettings) -> Self {
        Self {
            settings,
            online: OnlineState::default(),
            limit: 0.0,
            grown_at: Duration::ZERO,
            zero_until: Duration::ZERO,
            prefill_credit_micros: settings.prefill_burst_micros,
            credited_at: Duration::ZERO,
        }
    }

    /// Takes the online requests in flight at the replica and their prompt tokens not yet prefilled.
    pub fn observe_online(&mut self, now: Duration, running: u32, prefill_tokens: u32) {
        self.online = OnlineState {
            running,
            prefill_tokens,
        };
        let waiting = f64::from(prefill_tokens) * self.settings.prefill_token_micros;
        if waiting > self.settings.burst_micros {
            self.limit = 0.0;
            self.zero_until = now + self.settings.calm;
        }
    }

    /// The most batch items that the present online load allows.
    fn ceiling(&self) -> f64 {
        let settings = &self.settings;
        let online = f64::from(self.online.running);
        let places =
            f64::from(settings.maximum_running) - f64::from(settings.online_reserve) - online;
        if self.online.running == 0 {
            return places.max(0.0);
        }
        let spare = settings.step_target_micros - settings.step_base_micros;
        let within_step = spare / settings.step_sequence_micros - online;
        places.min(within_step).max(0.0)
    }

    /// Batch items that may run now.
    pub fn limit(&mut self, now: Duration) -> u32 {
        let elapsed = now.saturating_sub(self.grown_at);
        self.grown_at = now;
        if now >= self.zero_until {
            self.limit += elapsed.as_secs_f64() * self.settings.growth_per_second;
        }
        self.limit = self.limit.min(self.ceiling());
        self.limit as u32
    }

    /// True if a batch item with `uncached_tokens` may start now; takes its prefill from the pace.
    pub fn may_start(&mut self, now: Duration, uncached_tokens: u32) -> bool {
        if now < self.zero_until {
            return false;
        }
        self.credit(now);
        let cost = f64::from(uncached_tokens) * self.settings.prefill_token_micros;
        if self.online.prefill_tokens > 0 || self.prefill_credit_micros <= 0.0 {
            return false;
        }
        self.prefill_credit_micros -= cost;
        true
    }

    fn credit(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.credited_at);
        self.credited_at = now;
        let share = if self.online.running == 0 {
            self.settings.idle_prefill_share
        } else {
            self.settings.prefill_share
        };
        let earned = elapsed.as_secs_f64() * 1e6 * share;
        let credit = self.prefill_credit_micros + earned;
        self.prefill_credit_micros = credit.min(self.settings.prefill_burst_micros);
    }
}

/// A running batch item that may have to yield.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningBatchItem {
    /// Engine request id.
    pub request_id: String,
    /// Tokens generated so far: what a cancel throws away.
    pub generated: u32,
    /// Most tokens it may still generate.
    pub left: u32,
    /// An at-most-once item cannot be run again, so it is never cancelled to yield.
    pub at_most_once: bool,
}

/// Items to cancel so that at most `limit` run: those with most left, then least done.
pub fn select_victims(running: &[RunningBatchItem], limit: usize) -> Vec<&RunningBatchItem> {
    let excess = running.len().saturating_sub(limit);
    let mut candidates: Vec<&RunningBatchItem> =
        running.iter().filter(|item| !item.at_most_once).collect();
    candidates.sort_by_key(|item| (std::cmp::Reverse(item.left), item.generated));
    candidates.truncate(excess);
    candidates
}
