//! The batch slot budget of one replica, maintained by the replica's owner.
//!
//! Priority in the engine isn't enough: each running batch item lengthens every engine step, and each batch prefill
//! delays online prompts. So the budget limits batch items by step time, paces their prefills, and drops to zero
//! under online bursts.

use std::time::Duration;

/// Cost model of the replica's engine, and the limits of the budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotSettings {
    /// Fixed time of an engine step, in microseconds.
    pub step_base_micros: f64,
    /// Additional time of a step per running sequence, in microseconds.
    pub step_sequence_micros: f64,
    /// Time to prefill one token, in microseconds.
    pub prefill_token_micros: f64,
    /// Maximum number of concurrent sequences of the engine.
    pub max_running: u32,
    /// Number of slots that batch never uses.
    pub online_reserve: u32,
    /// Maximum step time while online requests run, in microseconds; trades online latency against batch throughput.
    pub step_target_micros: f64,
    /// Part of the time that batch prefills may take while online requests run.
    pub prefill_share: f64,
    /// Part of the time that batch prefills may take while no online request runs.
    pub idle_prefill_share: f64,
    /// Maximum accumulated prefill credit, in microseconds; bounds the delay by consecutive batch prefills.
    pub prefill_burst_micros: f64,
    /// Queued online prefill work, in microseconds, above which the batch limit drops to zero.
    pub burst_threshold_micros: f64,
    /// How long the batch limit stays at zero after a burst was last observed.
    pub burst_cooldown: Duration,
    /// Slots per second by which the limit grows.
    pub growth_per_second: f64,
}

impl Default for SlotSettings {
    fn default() -> Self {
        Self {
            step_base_micros: 12_000.0,
            step_sequence_micros: 60.0,
            prefill_token_micros: 40.0,
            max_running: 128,
            online_reserve: 4,
            step_target_micros: 17_000.0,
            prefill_share: 0.25,
            idle_prefill_share: 0.6,
            prefill_burst_micros: 4_000.0,
            burst_threshold_micros: 400_000.0,
            burst_cooldown: Duration::from_millis(60),
            growth_per_second: 2_000.0,
        }
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct OnlineLoad {
    running: u32,
    prefill_tokens: u32,
}

/// The batch limit and the prefill credit of one replica. Times are offsets on a clock of the caller.
#[derive(Debug, Clone)]
pub struct SlotBudget {
    settings: SlotSettings,
    online: OnlineLoad,
    limit: f64,
    limit_updated_at: Duration,
    zero_until: Duration,
    prefill_credit_micros: f64,
    credit_updated_at: Duration,
}

impl SlotBudget {
    /// Creates a budget with a limit of zero and full prefill credit.
    pub fn new(settings: SlotSettings) -> Self {
        Self {
            settings,
            online: OnlineLoad::default(),
            limit: 0.0,
            limit_updated_at: Duration::ZERO,
            zero_until: Duration::ZERO,
            prefill_credit_micros: settings.prefill_burst_micros,
            credit_updated_at: Duration::ZERO,
        }
    }

    /// Updates the number of online requests at the replica, and of their prompt tokens not yet prefilled.
    pub fn observe_online(&mut self, now: Duration, running: u32, prefill_tokens: u32) {
        self.online = OnlineLoad {
            running,
            prefill_tokens,
        };
        let prefill_micros = f64::from(prefill_tokens) * self.settings.prefill_token_micros;
        if prefill_micros > self.settings.burst_threshold_micros {
            self.limit = 0.0;
            self.zero_until = now + self.settings.burst_cooldown;
        }
    }

    /// Returns the maximum number of batch items under the current online load.
    fn ceiling(&self) -> f64 {
        let settings = &self.settings;
        let online = f64::from(self.online.running);
        let free_slots =
            f64::from(settings.max_running) - f64::from(settings.online_reserve) - online;
        if self.online.running == 0 {
            return free_slots.max(0.0);
        }
        let batch_time = settings.step_target_micros - settings.step_base_micros;
        let step_limit = batch_time / settings.step_sequence_micros - online;
        free_slots.min(step_limit).max(0.0)
    }

    /// Returns the number of batch items that may run at `now`.
    pub fn limit(&mut self, now: Duration) -> u32 {
        let elapsed = now.saturating_sub(self.limit_updated_at);
        self.limit_updated_at = now;
        if now >= self.zero_until {
            self.limit += elapsed.as_secs_f64() * self.settings.growth_per_second;
        }
        self.limit = self.limit.min(self.ceiling());
        self.limit as u32
    }

    /// Returns whether a batch item with `uncached_tokens` may start at `now`; if so, deducts its prefill time from the
    /// credit.
    pub fn may_start(&mut self, now: Duration, uncached_tokens: u32) -> bool {
        if now < self.zero_until {
            return false;
        }
        self.accrue_credit(now);
        let cost = f64::from(uncached_tokens) * self.settings.prefill_token_micros;
        if self.online.prefill_tokens > 0 || self.prefill_credit_micros <= 0.0 {
            return false;
        }
        self.prefill_credit_micros -= cost;
        true
    }

    fn accrue_credit(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.credit_updated_at);
        self.credit_updated_at = now;
        let share = if self.online.running == 0 {
            self.settings.idle_prefill_share
        } else {
            self.settings.prefill_share
        };
        let accrued = elapsed.as_secs_f64() * 1e6 * share;
        let credit = self.prefill_credit_micros + accrued;
        self.prefill_credit_micros = credit.min(self.settings.prefill_burst_micros);
    }
}

/// A running batch item, as a candidate for preemption.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningBatchItem {
    /// Request id at the engine.
    pub request_id: String,
    /// Number of tokens generated so far, which a preemption discards.
    pub generated: u32,
    /// Maximum number of tokens that it may still generate.
    pub max_remaining: u32,
    /// True if the item must not run again; it is then never preempted.
    pub at_most_once: bool,
}

/// Returns the items to preempt so that at most `limit` run: those with the most remaining tokens first, among equals
/// those with the fewest generated.
pub fn select_victims(running: &[RunningBatchItem], limit: usize) -> Vec<&RunningBatchItem> {
    let excess = running.len().saturating_sub(limit);
    let mut candidates: Vec<&RunningBatchItem> =
        running.iter().filter(|item| !item.at_most_once).collect();
    candidates.sort_by_key(|item| (std::cmp::Reverse(item.max_remaining), item.generated));
    candidates.truncate(excess);
    candidates
}
