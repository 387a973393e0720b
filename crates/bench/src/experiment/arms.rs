//! The arms of an experiment and their figures.

use harrierward_routing::Strategy;
use serde::Serialize;

use super::definition::Experiment;

/// How batch items get onto replicas.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BatchMode {
    /// No batch at all.
    None,
    /// As many as the engine takes, with the same priority as online.
    NoYield,
    /// As many as the engine takes; the engine puts online first.
    PriorityOnly,
    /// Within the slot budget, with this step target in microseconds.
    Slots {
        /// Step target.
        step_target_micros: f64,
    },
}

/// One arm.
#[derive(Debug, Clone, PartialEq)]
pub struct Arm {
    /// Name.
    pub name: String,
    /// Online requests come.
    pub online: bool,
    /// How online requests are routed.
    pub routing: Strategy,
    /// Cache events come at once and without gaps; the bound for prefix hits.
    pub fresh_events: bool,
    /// Batch.
    pub batch: BatchMode,
}

/// Name of the arm that all harm is measured against.
pub const ONLINE_ALONE: &str = "online alone";
/// Name of the arm that all throughput is measured against.
pub const BATCH_ALONE: &str = "batch alone";
/// Name of the arm with the default slot budget.
pub const DEFAULT_SLOTS: &str = "slots (default)";

/// All arms of an experiment.
pub fn all_arms(experiment: &Experiment) -> Vec<Arm> {
    let arm = |name: &str, online, routing, batch| Arm {
        name: name.to_owned(),
        online,
        routing,
        fresh_events: false,
        batch,
    };
    let ours = Strategy::ExpectedWait;
    let default = harrierward_capacity::SlotSettings::default().step_target_micros;
    let slots = |step_target_micros| BatchMode::Slots { step_target_micros };
    let mut arms = vec![
        arm(ONLINE_ALONE, true, ours, BatchMode::None),
        arm(
            "online alone, round robin",
            true,
            Strategy::RoundRobin,
            BatchMode::None,
        ),
        arm(
            "online alone, least outstanding",
            true,
            Strategy::LeastOutstanding,
            BatchMode::None,
        ),
        arm(
            "online alone, fresh cache events",
            true,
            ours,
            BatchMode::None,
        ),
        arm(BATCH_ALONE, false, ours, BatchMode::PriorityOnly),
        arm("no yield", true, ours, BatchMode::NoYield),
        arm("priority only", true, ours, BatchMode::PriorityOnly),
        arm(DEFAULT_SLOTS, true, ours, slots(default)),
    ];
    arms[3].fresh_events = true;
    for target in &experiment.frontier_micros {
        let name = format!("slots, step target {:.1} ms", target / 1000.0);
        arms.push(arm(&name, true, ours, slots(*target)));
    }
    arms
}

/// Quantiles of a time, milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Half are below.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
    /// 999 in 1000 are below.
    pub p999: f64,
}

/// Figures of an arm.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ArmReport {
    /// Arm.
    pub name: String,
    /// Online requests answered.
    pub online_answered: u64,
    /// Time to the first token at the client.
    pub first_token_ms: Quantiles,
    /// Time between tokens.
    pub between_tokens_ms: Quantiles,
    /// p99 of the first token, divided by that of online alone.
    pub harm_p99: f64,
    /// p99.9 of the first token, divided by that of online alone.
    pub harm_p999: f64,
    /// Batch items finished a second.
    pub batch_items_per_second: f64,
    /// Batch tokens of finished items a second.
    pub batch_tokens_per_second: f64,
    /// Batch tokens a second divided by what online left idle.
    pub share_of_idle: f64,
    /// Batch items cancelled to yield.
    pub batch_cancelled: u64,
    /// Tokens thrown away by cancels, as a share of all batch tokens.
    pub wasted_share: f64,
    /// Longest time from a burst at a replica to its last batch step, milliseconds.
    pub longest_yield_ms: f64,
    /// Share of online prompt tokens found in caches.
    pub cache_hit_rate: f64,
    /// Mean online sequences a replica.
    pub mean_online: f64,
    /// Share of the time that prefills took.
    pub prefill_share: f64,
}

/// Fills in what relates an arm to others.
pub fn relate(reports: &mut [ArmReport]) {
    let find = |name: &str| reports.iter().find(|report| report.name == name).cloned();
    let (Some(online), Some(batch)) = (find(ONLINE_ALONE), find(BATCH_ALONE)) else {
        return;
    };
    let running =
        f64::from(harrierward_emulator::EngineParameters::default().maximum_running as u32);
    let idle = (1.0 - online.mean_online / running) * (1.0 - online.prefill_share);
    let bound = batch.batch_tokens_per_second * idle;
    for report in reports {
        if report.online_answered > 0 {
            report.harm_p99 = report.first_token_ms.p99 / online.first_token_ms.p99;
            report.harm_p999 = report.first_token_ms.p999 / online.first_token_ms.p999;
        }
        report.share_of_idle = report.batch_tokens_per_second / bound;
    }
}
