//! Slots at each tick: yield first, then start what fits, then ask for more.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use harrierward_capacity::{RunningBatchItem, select_victims};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::pulls::{renew, start_pulls};
use super::{ItemTask, Progress, QueuedGrant, Runner, RunningTask, StopReason, hand_back};
use crate::batch_item::{ItemOutcome, run_item};
use crate::node::{Shared, lock};
use crate::ownership;

const PREFIX: &str = "batch:";

/// A granted item that was not started within this time is handed back.
const START_WITHIN: Duration = Duration::from_secs(8);

/// Characters that one token of a prompt covers, for estimates.
const CHARACTERS_A_TOKEN: usize = 4;

/// Decides slots at each tick, and at once when online load changes.
pub(crate) async fn run_slots(shared: Arc<Shared>) {
    loop {
        let _ = timeout(shared.settings.batch_tick, shared.runner_wake.notified()).await;
        yield_slots(&shared);
        let assured = lock(&shared.assurance).holds(shared.now());
        if shared.is_draining() || !assured {
            continue;
        }
        for task in start_items(&shared) {
            tokio::spawn(run_task(shared.clone(), task));
        }
        start_pulls(&shared);
        renew(&shared);
    }
}

fn yield_slots(shared: &Arc<Shared>) {
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
            .map(RunningTask::as_victim)
            .collect();
        let victims: Vec<String> = select_victims(&items, limit)
            .into_iter()
            .map(|item| item.request_id.clone())
            .collect();
        for victim in victims {
            if let Some(running) = work.running.get_mut(&victim) {
                running.stop(StopReason::Yield);
            }
        }
    }
    runner
        .replicas
        .retain(|_, work| !work.removed || !work.running.is_empty());
}

/// Running items of each tenant on a service's owned replicas.
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
    hand_back_stale(&mut runner, now);
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
        let limit_all = limit * runner.replicas.len().max(1);
        let service_plan = plan.services.get(&service);
        while let Some(queued) = next_start(&mut runner, &name, &service, limit, now) {
            let share = service_plan.map_or(0.0, |plan| plan.share_of(&queued.grant.tenant));
            let used = by_tenant
                .get(&queued.grant.tenant)
                .copied()
                .unwrap_or_default();
            if used as f64 >= share * limit_all as f64 {
                runner.hand_backs.push(hand_back(&queued.grant, false));
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

/// A grant whose lease may soon run out must not be started.
fn hand_back_stale(runner: &mut Runner, now: Duration) {
    let mut stale = Vec::new();
    for queue in runner.queues.values_mut() {
        while let Some(first) = queue.front() {
            if now.saturating_sub(first.pulled_at) < START_WITHIN {
                break;
            }
            stale.extend(queue.pop_front());
        }
    }
    let hand_backs = stale.iter().map(|queued| hand_back(&queued.grant, false));
    runner.hand_backs.extend(hand_backs);
}

/// The next queued item that may start on the replica now.
fn next_start(
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
        let tokens = first.grant.line.len() / CHARACTERS_A_TOKEN;
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
            "{PREFIX} {} obeys another owner",
            task.replica.machine.replica
        );
        ownership::replica_lost(&shared, &task.replica.machine.replica, task.epoch);
    }
    lock(&shared.runner).ended(&task, &outcome);
    shared.runner_wake.notify_one();
}
