//! Runs batch items on owned replicas within their slot budgets. No step waits for the store: items are pulled
//! from shard owners, and preemption is local.

mod pulls;
mod returns;
mod slots;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use harrierward_capacity::{RunningBatchItem, SlotBudget, SlotSettings};
use harrierward_external::EngineLoad;
use harrierward_gateway::Replica;
use harrierward_routing::CONFIRMATION_TTL_MICROS;
use harrierward_wire::{Grant, HandBack, ItemResult, ReplicaReport, RunningItem};
use tokio::sync::Notify;

use crate::batch_item::ItemOutcome;

pub(crate) use returns::{return_all, run_results};
pub(crate) use slots::run_slots;

/// Timeout of a call to a shard owner.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long cancelled jobs are remembered, so that a delayed grant of one is not started.
const CANCEL_RETENTION: Duration = Duration::from_secs(120);

/// Number of tokens generated so far for an item.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    tokens: AtomicU32,
}

impl Progress {
    pub fn add_token(&self) {
        self.tokens.fetch_add(1, Ordering::Relaxed);
    }
}

/// A granted item and the replica on which it runs.
#[derive(Clone)]
pub(crate) struct ItemTask {
    pub grant: Grant,
    pub request_id: String,
    pub model: String,
    pub epoch: u64,
    pub replica: Arc<Replica>,
    pub progress: Arc<Progress>,
    pub stop: Arc<Notify>,
}

/// Why a running item was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopReason {
    /// Online requests need the slot, the replica is lost, or the daemon drains: the item is returned to its shard
    /// owner.
    Preempt,
    /// The job is cancelled or the item is granted to another member: its outcome is discarded.
    Discard,
}

struct RunningTask {
    task: ItemTask,
    stopping: Option<StopReason>,
}

/// The last load report of a replica.
#[derive(Debug, Clone, Copy)]
struct LoadSnapshot {
    load: EngineLoad,
    unavailable: bool,
    as_of: Duration,
}

struct ReplicaWork {
    replica: Arc<Replica>,
    epoch: u64,
    budget: SlotBudget,
    removed: bool,
    report: Option<LoadSnapshot>,
    running: BTreeMap<String, RunningTask>,
}

struct QueuedGrant {
    grant: Grant,
    pulled_at: Duration,
}

#[derive(Default)]
struct PullState {
    in_flight: bool,
    paused_until: Duration,
}

/// Batch work on the replicas that this daemon owns.
pub(crate) struct Runner {
    slots: SlotSettings,
    replicas: BTreeMap<String, ReplicaWork>,
    queues: BTreeMap<String, VecDeque<QueuedGrant>>,
    pulls: BTreeMap<String, PullState>,
    results: Vec<ItemResult>,
    returned_items: Vec<HandBack>,
    cancelled: BTreeMap<String, Duration>,
    renewed_at: Duration,
}

fn running_item(grant: &Grant) -> RunningItem {
    RunningItem {
        job_id: grant.job_id.clone(),
        item: grant.item,
        attempt: grant.attempt.clone(),
    }
}

fn returned_item(grant: &Grant, may_have_run: bool) -> HandBack {
    HandBack {
        item: Some(running_item(grant)),
        shard: grant.shard,
        may_have_run,
    }
}

impl Runner {
    pub fn new(slots: SlotSettings) -> Self {
        Self {
            slots,
            replicas: BTreeMap::new(),
            queues: BTreeMap::new(),
            pulls: BTreeMap::new(),
            results: Vec::new(),
            returned_items: Vec::new(),
            cancelled: BTreeMap::new(),
            renewed_at: Duration::ZERO,
        }
    }

    pub fn add_replica(&mut self, replica: Arc<Replica>, epoch: u64) {
        let name = replica.machine.replica.0.clone();
        let work = self.replicas.entry(name).or_insert_with(|| ReplicaWork {
            replica,
            epoch,
            budget: SlotBudget::new(self.slots),
            removed: false,
            report: None,
            running: BTreeMap::new(),
        });
        work.epoch = epoch;
        work.removed = false;
    }

    /// Stops using a replica; its items are returned.
    pub fn remove_replica(&mut self, name: &str) {
        let Some(work) = self.replicas.get_mut(name) else {
            return;
        };
        for running in work.running.values_mut() {
            running.stop(StopReason::Preempt);
        }
        work.removed = true;
        if work.running.is_empty() {
            self.replicas.remove(name);
        }
    }

    /// Records the load of a replica, measured at `as_of`.
    pub fn set_report(&mut self, name: &str, load: EngineLoad, unavailable: bool, as_of: Duration) {
        if let Some(work) = self.replicas.get_mut(name) {
            work.report = Some(LoadSnapshot {
                load,
                unavailable,
                as_of,
            });
        }
    }

    /// Returns the load report of a replica for a gateway; `None` before the first load.
    pub fn report(&self, name: &str, now: Duration) -> Option<ReplicaReport> {
        let work = self.replicas.get(name)?;
        let report = work.report?;
        let load = report.load;
        let age = now.saturating_sub(report.as_of).as_millis();
        Some(ReplicaReport {
            replica: name.to_owned(),
            running_online: load.running_online,
            running_batch: u32::try_from(work.running.len()).unwrap_or(u32::MAX),
            waiting_online: load.waiting_online,
            waiting_prompt_tokens: load.waiting_prompt_tokens,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            unavailable: report.unavailable,
        })
    }

    pub fn replica_count(&self) -> usize {
        self.replicas.len()
    }

    pub fn running_count(&self) -> usize {
        self.replicas.values().map(|work| work.running.len()).sum()
    }

    /// True if no results or returned items remain to be sent.
    fn is_all_sent(&self) -> bool {
        self.results.is_empty() && self.returned_items.is_empty()
    }

    /// Stops all items of a cancelled job and returns how many were running.
    pub fn cancel_job(&mut self, job_id: &str, now: Duration) -> usize {
        self.cancelled.insert(job_id.to_owned(), now);
        self.cancelled
            .retain(|_, at| now.saturating_sub(*at) < CANCEL_RETENTION);
        for queue in self.queues.values_mut() {
            queue.retain(|queued| queued.grant.job_id != job_id);
        }
        self.results.retain(|result| result.job_id != job_id);
        let mut stopped = 0;
        for running in self.running_mut() {
            if running.task.grant.job_id == job_id {
                running.stop(StopReason::Discard);
                stopped += 1;
            }
        }
        stopped
    }

    fn running_mut(&mut self) -> impl Iterator<Item = &mut RunningTask> {
        self.replicas
            .values_mut()
            .flat_map(|work| work.running.values_mut())
    }

    /// Stops items whose grants the shard owner has revoked.
    fn stop_items(&mut self, items: &[RunningItem]) {
        for queue in self.queues.values_mut() {
            queue.retain(|queued| !items.contains(&running_item(&queued.grant)));
        }
        for running in self.running_mut() {
            if items.contains(&running_item(&running.task.grant)) {
                running.stop(StopReason::Discard);
            }
        }
    }

    /// Maps each job with queued or running items to its tenant.
    pub fn job_tenants(&self) -> BTreeMap<String, String> {
        let queued = self.queues.values().flatten().map(|queued| &queued.grant);
        let works = self.replicas.values();
        let running =
            works.flat_map(|work| work.running.values().map(|running| &running.task.grant));
        queued
            .chain(running)
            .map(|grant| (grant.job_id.clone(), grant.tenant.clone()))
            .collect()
    }

    /// Returns the items to renew, by shard: queued, running, and finished with an unsent result.
    fn held(&self) -> BTreeMap<u32, Vec<RunningItem>> {
        let mut held: BTreeMap<u32, Vec<RunningItem>> = BTreeMap::new();
        let queued = self.queues.values().flatten().map(|queued| &queued.grant);
        let running = self
            .replicas
            .values()
            .flat_map(|work| work.running.values())
            .map(|running| &running.task.grant);
        for grant in queued.chain(running) {
            held.entry(grant.shard)
                .or_default()
                .push(running_item(grant));
        }
        let finished = self.results.iter().map(|result| {
            let item = RunningItem {
                job_id: result.job_id.clone(),
                item: result.item,
                attempt: result.attempt.clone(),
            };
            (result.shard, item)
        });
        for (shard, item) in finished {
            held.entry(shard).or_default().push(item);
        }
        held
    }

    /// Records the outcome of an item and frees its slot.
    fn note_outcome(&mut self, task: &ItemTask, outcome: &ItemOutcome) {
        let name = &task.replica.machine.replica.0;
        let mut stopping = None;
        if let Some(work) = self.replicas.get_mut(name) {
            let running = work.running.remove(&task.request_id);
            stopping = running.and_then(|running| running.stopping);
        }
        if stopping == Some(StopReason::Discard) {
            return;
        }
        match outcome {
            ItemOutcome::Done { line, failed } => self.results.push(ItemResult {
                job_id: task.grant.job_id.clone(),
                item: task.grant.item,
                attempt: task.grant.attempt.clone(),
                shard: task.grant.shard,
                line: line.clone(),
                failed: *failed,
            }),
            ItemOutcome::Returned { may_have_run } => {
                self.returned_items
                    .push(returned_item(&task.grant, *may_have_run));
            }
            ItemOutcome::Fenced => self.returned_items.push(returned_item(&task.grant, false)),
            ItemOutcome::Stopped => self.returned_items.push(returned_item(&task.grant, true)),
        }
    }
}

/// A replica without a load report for this long gets no new items.
const CONFIRMATION_TTL: Duration = Duration::from_micros(CONFIRMATION_TTL_MICROS);

impl ReplicaWork {
    /// True if new items may be started on the replica.
    fn is_usable(&self, now: Duration) -> bool {
        let confirmed = self.report.is_some_and(|report| {
            !report.unavailable && now.saturating_sub(report.as_of) <= CONFIRMATION_TTL
        });
        confirmed && !self.removed
    }
}

impl RunningTask {
    fn stop(&mut self, reason: StopReason) {
        if self.stopping.is_none() || reason == StopReason::Discard {
            self.stopping = Some(reason);
            self.task.stop.notify_one();
        }
    }

    fn to_candidate(&self) -> RunningBatchItem {
        let generated = self.task.progress.tokens.load(Ordering::Relaxed);
        RunningBatchItem {
            request_id: self.task.request_id.clone(),
            generated,
            max_remaining: u32::MAX - generated,
            at_most_once: self.task.grant.at_most_once,
        }
    }
}
