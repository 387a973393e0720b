//! Checks the service's guarantees against the client history and the engines' execution records.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use harrierward_emulator::{Execution, ExecutionOutcome, expected_response};
use harrierward_wire::{ChunkRow, JobRow, JobState, decode};
use serde_json::Value;

use super::history::{History, JobRecord, OnlineCall, OnlineOutcome};
use super::world::World;

/// Maximum time between an acknowledged cancellation and the last start of an item.
const CANCEL_BOUND: Duration = Duration::from_secs(2);

/// Maximum time between the announcement that an engine leaves and the last request sent to it.
const LEAVE_BOUND: Duration = Duration::from_secs(3);

/// Maximum time until an accepted change is in force or the daemon lends no capacity.
const CONFIG_BOUND: Duration = Duration::from_secs(8);

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Text of the guarantee.
    pub guarantee: &'static str,
    /// Request, job or daemon concerned, and what was found.
    pub detail: String,
}

/// Number of checked calls, jobs and changes, and the violations.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Checked {
    /// Online calls, resends included.
    pub online: usize,
    /// Distinct idempotent requests, each with its resends.
    pub idempotent: usize,
    /// Acknowledged jobs.
    pub jobs: usize,
    /// Items of the acknowledged jobs.
    pub items: usize,
    /// Executions recorded by the engines.
    pub executions: usize,
    /// Accepted configuration changes.
    pub changes: usize,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
}

impl Checked {
    fn report(&mut self, guarantee: &'static str, detail: impl Into<String>) {
        self.violations.push(Violation {
            guarantee,
            detail: detail.into(),
        });
    }
}

/// Checks all guarantees at the end of a run.
pub fn check(world: &World) -> Checked {
    let history = world.recorder.lock();
    let mut executions: BTreeMap<String, Vec<Execution>> = BTreeMap::new();
    for engine in world.engines.values() {
        for execution in engine.executions() {
            executions
                .entry(execution.prompt.clone())
                .or_default()
                .push(execution);
        }
    }
    let mut checked = Checked {
        online: history.online.len(),
        executions: executions.values().map(Vec::len).sum(),
        changes: history.accepted.len(),
        ..Checked::default()
    };
    check_responses(&history, &mut checked);
    check_not_run(&history, &executions, &mut checked);
    check_idempotent(&history, &executions, &mut checked);
    for (key, job) in &history.jobs {
        check_job(world, key, job, &executions, &mut checked);
    }
    check_leaving(world, &history, &mut checked);
    check_config(&history, &mut checked);
    for member in &history.interrupted_drains {
        checked.report("a planned stop cuts off nothing", member.clone());
    }
    checked
}

fn check_responses(history: &History, checked: &mut Checked) {
    const GUARANTEE: &str = "the whole answer to its own request, and only that";
    for call in &history.online {
        let expected = expected_response(&call.model, &call.prompt, call.maximum_tokens);
        let is_valid = match &call.outcome {
            OnlineOutcome::Answered { text } => *text == expected,
            OnlineOutcome::Refused { partial, .. } | OnlineOutcome::Lost { partial } => {
                expected.starts_with(partial)
            }
        };
        if !is_valid {
            checked.report(GUARANTEE, format!("{}: {:?}", call.prompt, call.outcome));
        }
    }
}

fn calls_by_prompt(history: &History) -> BTreeMap<&str, Vec<&OnlineCall>> {
    let mut calls: BTreeMap<&str, Vec<&OnlineCall>> = BTreeMap::new();
    for call in &history.online {
        calls.entry(&call.prompt).or_default().push(call);
    }
    calls
}

/// Checks that a request did not run if every call for it was refused as not run.
fn check_not_run(
    history: &History,
    executions: &BTreeMap<String, Vec<Execution>>,
    checked: &mut Checked,
) {
    for (prompt, calls) in calls_by_prompt(history) {
        let all_not_run = calls
            .iter()
            .all(|call| super::clients::never_dispatched(&call.outcome));
        if all_not_run && executions.contains_key(prompt) {
            checked.report("\"not run\" is true", prompt);
        }
    }
}

fn check_idempotent(
    history: &History,
    executions: &BTreeMap<String, Vec<Execution>>,
    checked: &mut Checked,
) {
    for (prompt, calls) in calls_by_prompt(history) {
        if !calls.iter().any(|call| call.idempotent) {
            continue;
        }
        checked.idempotent += 1;
        let runs = executions.get(prompt).map_or(0, Vec::len);
        if runs > 1 {
            checked.report(
                "at-most-once runs at most once",
                format!("{prompt}: {runs} runs"),
            );
        }
    }
}

fn check_job(
    world: &World,
    key: &str,
    job: &JobRecord,
    executions: &BTreeMap<String, Vec<Execution>>,
    checked: &mut Checked,
) {
    let ids: BTreeSet<&String> = job.acknowledged.iter().collect();
    if ids.len() > 1 {
        checked.report("a resent job gives the same id", format!("{key}: {ids:?}"));
    }
    for id in &job.at_most_once {
        let runs = executions.get(&job.prompts[id]).map_or(0, Vec::len);
        if runs > 1 {
            let detail = format!("{key} {id}: {:?}", executions[&job.prompts[id]]);
            checked.report("at-most-once runs at most once", detail);
        }
    }
    let Some(job_id) = job.acknowledged.first() else {
        return;
    };
    checked.jobs += 1;
    checked.items += job.prompts.len();
    let row = world.platform.peek(&format!("job/{}/{job_id}", job.tenant));
    let Some(row) = row.and_then(|row| decode::<JobRow>(&row.value)) else {
        checked.report("an accepted job is kept", key);
        return;
    };
    let state = JobState::try_from(row.state).unwrap_or(JobState::InProgress);
    if !matches!(state, JobState::Completed | JobState::Cancelled) {
        checked.report("an accepted job ends", format!("{key} {job_id}: {state:?}"));
        return;
    }
    check_results(world, key, job, job_id, &row, checked);
    if let Some(cancelled) = job.cancel_acknowledged
        && state == JobState::Cancelled
    {
        check_cancelled(key, job, cancelled, executions, checked);
    }
}

/// Returns the result lines by custom id; `None` if a row or object is missing or malformed.
fn result_lines(world: &World, job_id: &str) -> Option<BTreeMap<String, Vec<Value>>> {
    let mut lines: BTreeMap<String, Vec<Value>> = BTreeMap::new();
    for row in world.platform.peek_prefix(&format!("chunk/{job_id}/")) {
        let chunk: ChunkRow = decode(&row.value)?;
        for result in chunk.results {
            let body = world.platform.peek_object(&result.name)?;
            for line in String::from_utf8_lossy(&body).lines() {
                let value: Value = serde_json::from_str(line).ok()?;
                let id = value["custom_id"].as_str()?.to_owned();
                lines.entry(id).or_default().push(value);
            }
        }
    }
    Some(lines)
}

fn check_results(
    world: &World,
    key: &str,
    job: &JobRecord,
    job_id: &str,
    row: &JobRow,
    checked: &mut Checked,
) {
    const ONCE: &str = "an accepted item completes exactly once";
    let Some(lines) = result_lines(world, job_id) else {
        checked.report("results stay readable", key);
        return;
    };
    let complete = row.state == JobState::Completed as i32;
    if complete && lines.len() != job.prompts.len() {
        let detail = format!("{key}: {} of {}", lines.len(), job.prompts.len());
        checked.report(ONCE, detail);
    }
    let counted = (row.completed + row.failed) as usize;
    let total: usize = lines.values().map(Vec::len).sum();
    if counted != total {
        let detail = format!("{key}: counts say {counted}, {total} lines");
        checked.report(ONCE, detail);
    }
    for (id, values) in &lines {
        if values.len() != 1 {
            checked.report(ONCE, format!("{key} {id}: {} results", values.len()));
        }
        let Some(prompt) = job.prompts.get(id) else {
            checked.report(ONCE, format!("{key} {id}: not an item of the job"));
            continue;
        };
        let expected = expected_response(&job.model, prompt, job.maximum_tokens);
        let text = &values[0]["response"]["body"]["choices"][0]["text"];
        let unknown = values[0]["error"]["code"] == "unknown_execution";
        let at_most_once = job.at_most_once.contains(id);
        if *text != expected && !(unknown && at_most_once) {
            let detail = format!("{key} {id}: {}", values[0]);
            checked.report("the whole answer to its own request, and only that", detail);
        }
    }
}

fn check_cancelled(
    key: &str,
    job: &JobRecord,
    cancelled: Duration,
    executions: &BTreeMap<String, Vec<Execution>>,
    checked: &mut Checked,
) {
    let late = cancelled + CANCEL_BOUND;
    for (id, prompt) in &job.prompts {
        for execution in executions.get(prompt).into_iter().flatten() {
            let running = execution.outcome == ExecutionOutcome::Running;
            if execution.started > late || running {
                let detail = format!(
                    "{key} {id}: started {:?}, cancel at {cancelled:?}, {:?}",
                    execution.started, execution.outcome
                );
                checked.report("a cancelled job stops", detail);
            }
        }
    }
}

fn check_leaving(world: &World, history: &History, checked: &mut Checked) {
    for (name, left) in &history.leaving_since {
        let Some(engine) = world.engines.get(name) else {
            continue;
        };
        let refused = engine.refused_while_leaving().into_iter();
        for late in refused.filter(|refused| refused.at > *left + LEAVE_BOUND) {
            let detail = format!(
                "{name} left at {left:?}: {} at {:?}",
                late.request_id, late.at
            );
            checked.report("a leaving back end gets no new work", detail);
        }
    }
}

fn check_config(history: &History, checked: &mut Checked) {
    let mut last: BTreeMap<&str, u64> = BTreeMap::new();
    let mut first_seen: BTreeMap<&str, Duration> = BTreeMap::new();
    for observed in &history.observed {
        let previous = last
            .insert(&observed.member, observed.revision)
            .unwrap_or_default();
        if observed.revision < previous {
            let detail = format!(
                "{}: from {previous} to {}",
                observed.member, observed.revision
            );
            checked.report("configuration never reverts", detail);
        }
        let started = *first_seen.entry(&observed.member).or_insert(observed.at);
        let required = history
            .accepted
            .iter()
            .filter(|accepted| accepted.at + CONFIG_BOUND < observed.at)
            .map(|accepted| accepted.revision)
            .max()
            .unwrap_or_default();
        let settled = observed.at > started + CONFIG_BOUND;
        if observed.revision < required && observed.fresh && settled {
            let detail = format!(
                "{} at {:?}: {} in force and called fresh, {required} accepted",
                observed.member, observed.at, observed.revision
            );
            checked.report("accepted configuration is in force", detail);
        }
    }
}
