//! Slot scheduling: each tick preempts items over the limit, starts queued ones and pulls more.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use harrierward_capacity::{RunningBatchItem, select_victims};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::pulls::{renew, start_pulls};
use super::{ItemTask, Progress, QueuedGrant, Runner, RunningTask, StopReason, returned_item};
use crate::batch_item::{ItemOutcome, run_item};
use crate::node::{Shared, lock};
use crate::ownership;

const PREFIX: &str = "batch:";

/// A granted item that was not started within this time is returned.
const START_TIMEOUT: Duration = Duration::from_secs(8);

/// Bytes of an input line per estimated prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// Runs the scheduler at each tick, and immediately after a change of the online load, a pull or the end of an item.
pub(crate) async fn run_slots(shared: Arc<Shared>) {
    loop {
        let _ = timeout(shared.settings.batch_tick, shared.runner_wake.notified()).await;
        preempt_items(&shared);
        let is_fresh = lock(&shared.cancel_freshness).is_fresh(shared.now());
        if shared.is_draining() || !is_fresh {
            continue;
        }
        for task in start_items(&shared) {
            tokio::spawn(run_task(shared.clone(), task));
        }
        start_pulls(&shared);
        renew(&shared);
    }
}

fn preempt_items(shared: &Arc<Shared>) {
    let now = shared.now();
    let mut runner = lock(&shared.runner);
    for (name, work) in &mut runner.replicas {
        let online = shared.online.load(name, now);
        work.budget
            .observe_online(now, online.running, online.prefill_tokens);
        let limit = work.budget.limit(now) as usize;
        let items: Vec<RunningBatchItem> = work
            .running
            .values()
            .filter(|running| running.stopping.is_none())
            .map(RunningTask::to_candidate)
            .collect();
        let victims: Vec<String> = select_victims(&items, limit)
            .into_iter()
            .map(|item| item.request_id.clone())
            .collect();
        for victim in victims {
            if let Some(running) = work.running.get_mut(&victim) {
                running.stop(StopReason::Preempt);
            }
        }
    }
    runner
        .replicas
        .retain(|_, work| !work.removed || !work.running.is_empty());
}

/// Counts the running items of each tenant on the owned replicas of a service.
fn running_by_tenant(runner: &Runner, service: &str) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    let works = runner.replicas.values();
    for work in works.filter(|work| work.replica.machine.service == service) {
        for running in work.running.values() {
            *counts.entry(running.task.grant.tenant.clone()).or_default() += 1;
        }
    }
    counts
}

fn start_items(shared: &Arc<Shared>) -> Vec<ItemTask> {
    let now = shared.now();
    let plan = shared.plan.load();
    let config = shared.config.load();
    let mut runner = lock(&shared.runner);
    let mut tasks = Vec::new();
    return_stale(&mut runner, now);
    let names: Vec<String> = runner.replicas.keys().cloned().collect();
    for name in names {
        let Some(service) = runner
            .replicas
            .get(&name)
            .map(|work| work.replica.machine.service.clone())
        else {
            continue;
        };
        let Some((_, spec)) = config.service(&service) else {
            continue;
        };
        let by_tenant = running_by_tenant(&runner, &service);
        let limit = runner
            .replicas
            .get_mut(&name)
            .map_or(0, |work| work.budget.limit(now) as usize);
        let total_limit = limit * runner.replicas.len().max(1);
        let service_plan = plan.services.get(&service);
        while let Some(queued) = next_startable(&mut runner, &name, &service, limit, now) {
            let share = service_plan.map_or(0.0, |plan| plan.share_of(&queued.grant.tenant));
            let used = by_tenant
                .get(&queued.grant.tenant)
                .copied()
                .unwrap_or_default();
            if used as f64 >= share * total_limit as f64 {
                runner
                    .returned_items
                    .push(returned_item(&queued.grant, false));
                continue;
            }
            let number = shared.next_number();
            let request_id = format!("{}-batch-{number:x}", shared.identity.member);
            let Some(work) = runner.replicas.get_mut(&name) else {
                break;
            };
            let task = ItemTask {
                grant: queued.grant,
                request_id: request_id.clone(),
                model: spec.model.clone(),
                epoch: work.epoch,
                replica: work.replica.clone(),
                progress: Arc::new(Progress::default()),
                stop: Arc::new(Notify::new()),
            };
            let running = RunningTask {
                task: task.clone(),
                stopping: None,
            };
            work.running.insert(request_id, running);
            tasks.push(task);
        }
    }
    tasks
}

/// Moves queued grants that may expire soon to the items to be returned.
fn return_stale(runner: &mut Runner, now: Duration) {
    let mut stale = Vec::new();
    for queue in runner.queues.values_mut() {
        while let Some(first) = queue.front() {
            if now.saturating_sub(first.pulled_at) < START_TIMEOUT {
                break;
            }
            stale.extend(queue.pop_front());
        }
    }
    let returned_items = stale
        .iter()
        .map(|queued| returned_item(&queued.grant, false));
    runner.returned_items.extend(returned_items);
}

/// Dequeues the next item that may start on the replica now.
fn next_startable(
    runner: &mut Runner,
    name: &str,
    service: &str,
    limit: usize,
    now: Duration,
) -> Option<QueuedGrant> {
    let work = runner.replicas.get_mut(name)?;
    if !work.is_usable(now) || work.running.len() >= limit {
        return None;
    }
    let queue = runner.queues.get_mut(service)?;
    loop {
        let first = queue.front()?;
        if runner.cancelled.contains_key(&first.grant.job_id) {
            queue.pop_front();
            continue;
        }
        let tokens = first.grant.line.len() / BYTES_PER_TOKEN;
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        if !work.budget.may_start(now, tokens) {
            return None;
        }
        return queue.pop_front();
    }
}

async fn run_task(shared: Arc<Shared>, task: ItemTask) {
    let outcome = run_item(&task).await;
    if matches!(outcome, ItemOutcome::Fenced) {
        log::info!(
            "{PREFIX} {} rejected the epoch of this daemon; another member owns it",
            task.replica.machine.replica
        );
        ownership::replica_lost(&shared, &task.replica.machine.replica, task.epoch);
    }
    lock(&shared.runner).note_outcome(&task, &outcome);
    shared.runner_wake.notify_one();
}
