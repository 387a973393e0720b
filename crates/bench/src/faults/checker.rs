//! Checks the promises from the history and from what the engines really ran.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use harrierward_emulator::{Execution, ExecutionOutcome, expected_response};
use harrierward_wire::{ChunkRow, JobRow, JobState, decode};
use serde_json::Value;

use super::history::{History, JobRecord, OnlineCall, OnlineOutcome};
use super::world::World;

/// Time after an acknowledged cancel within which the job stops.
const CANCEL_BOUND: Duration = Duration::from_secs(2);

/// Time after an engine says that it leaves within which new work stops coming.
const LEAVE_BOUND: Duration = Duration::from_secs(3);

/// Time within which an accepted change is in force or the daemon is on the safe plan.
const CONFIG_BOUND: Duration = Duration::from_secs(8);

/// A promise that was broken, with where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was found.
    pub detail: String,
}

/// What was checked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Checked {
    /// Online invocations.
    pub online: usize,
    /// Marked requests (not invocations).
    pub marked: usize,
    /// Acknowledged jobs.
    pub jobs: usize,
    /// Their items.
    pub items: usize,
    /// Executions at engines.
    pub executions: usize,
    /// Accepted changes of configuration.
    pub changes: usize,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

impl Checked {
    fn report(&mut self, promise: &'static str, detail: impl Into<String>) {
        self.violations.push(Violation {
            promise,
            detail: detail.into(),
        });
    }
}

/// Checks everything.
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
    check_answers(&history, &mut checked);
    check_not_run(&history, &executions, &mut checked);
    check_marked(&history, &executions, &mut checked);
    for (key, job) in &history.jobs {
        check_job(world, key, job, &executions, &mut checked);
    }
    check_leaving(world, &history, &mut checked);
    check_config(&history, &mut checked);
    for member in &history.cut_stops {
        checked.report("a planned stop cuts off nothing", member.clone());
    }
    checked
}

fn check_answers(history: &History, checked: &mut Checked) {
    const PROMISE: &str = "the whole answer to its own request, and only that";
    for call in &history.online {
        let expected = expected_response(&call.model, &call.prompt, call.maximum_tokens);
        let good = match &call.outcome {
            OnlineOutcome::Answered { text } => *text == expected,
            OnlineOutcome::Refused { partial, .. } | OnlineOutcome::Lost { partial } => {
                expected.starts_with(partial)
            }
        };
        if !good {
            checked.report(PROMISE, format!("{}: {:?}", call.prompt, call.outcome));
        }
    }
}

fn by_prompt(history: &History) -> BTreeMap<&str, Vec<&OnlineCall>> {
    let mut calls: BTreeMap<&str, Vec<&OnlineCall>> = BTreeMap::new();
    for call in &history.online {
        calls.entry(&call.prompt).or_default().push(call);
    }
    calls
}

/// If every invocation of a request was told "not run", it must not have run.
fn check_not_run(
    history: &History,
    executions: &BTreeMap<String, Vec<Execution>>,
    checked: &mut Checked,
) {
    for (prompt, calls) in by_prompt(history) {
        let never = calls
            .iter()
            .all(|call| super::clients::never_dispatched(&call.outcome));
        if never && executions.contains_key(prompt) {
            checked.report("\"not run\" is true", prompt);
        }
    }
}

fn check_marked(
    history: &History,
    executions: &BTreeMap<String, Vec<Execution>>,
    checked: &mut Checked,
) {
    for (prompt, calls) in by_prompt(history) {
        if !calls.iter().any(|call| call.marked) {
            continue;
        }
        checked.marked += 1;
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

/// Result lines by custom id, with how often each occurs.
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
        let once = job.at_most_once.contains(id);
        if *text != expected && !(unknown && once) {
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
    for (name, left) in &history.left {
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
    for seen in &history.seen {
        let previous = last.insert(&seen.member, seen.revision).unwrap_or_default();
        if seen.revision < previous {
            let detail = format!("{}: from {previous} to {}", seen.member, seen.revision);
            checked.report("configuration never reverts", detail);
        }
        let started = *first_seen.entry(&seen.member).or_insert(seen.at);
        let must_have = history
            .accepted
            .iter()
            .filter(|accepted| accepted.at + CONFIG_BOUND < seen.at)
            .map(|accepted| accepted.revision)
            .max()
            .unwrap_or_default();
        let settled = seen.at > started + CONFIG_BOUND;
        if seen.revision < must_have && seen.fresh && settled {
            let detail = format!(
                "{} at {:?}: {} in force and called fresh, {must_have} accepted",
                seen.member, seen.at, seen.revision
            );
            checked.report("accepted configuration is in force", detail);
        }
    }
}
