//! Runs batch items on owned replicas within their slot budgets: pulls, starts, yields, returns results.
//!
//! Nothing here waits for the store: pulls go to shard owners over the network, and a yield is local.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use harrierward_batch::shard_key;
use harrierward_capacity::{RunningBatchItem, SlotBudget, SlotSettings, select_victims};
use harrierward_gateway::Replica;
use harrierward_platform::EngineLoad;
use harrierward_routing::CONFIRMATION_LIFETIME_MICROS;
use harrierward_wire::{
    Grant, HandBack, ItemResult, PeerRequest, PullReply, PullRequest, ReplicaReport,
    ResultsRequest, RunningItem, peer_reply, peer_request,
};
use rand::Rng;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::batch_item::{ItemOutcome, run_item};
use crate::node::{Shared, lock};
use crate::ownership;

const PREFIX: &str = "batch:";

/// Items pulled ahead of free slots, for each service.
const PULL_AHEAD: usize = 8;

/// Most items of one pull.
const MOST_PULLED: usize = 64;

/// A granted item that was not started within this time is handed back.
const START_WITHIN: Duration = Duration::from_secs(8);

/// How often grants are renewed at their shard owners.
const RENEW_EVERY: Duration = Duration::from_secs(3);

/// Pause of pulls for a service after an empty one.
const EMPTY_PAUSE: Duration = Duration::from_millis(100);

/// Wait for a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// How often results are sent.
const RESULT_TICK: Duration = Duration::from_millis(50);

/// Most results in one message.
const RESULTS_A_MESSAGE: usize = 256;

/// Results waiting to be taken above which nothing more is pulled.
const MOST_WAITING_RESULTS: usize = 20_000;

/// How long a cancelled job is remembered, so that a late grant of it is not started.
const CANCEL_MEMORY: Duration = Duration::from_secs(120);

/// Time for running items to finish when the daemon leaves.
const LEAVE_WAIT: Duration = Duration::from_secs(10);

/// Characters that one token of a prompt covers, for estimates.
const CHARACTERS_A_TOKEN: usize = 4;

/// Tokens generated so far by an item.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    tokens: AtomicU32,
}

impl Progress {
    pub fn add_token(&self) {
        self.tokens.fetch_add(1, Ordering::Relaxed);
    }
}

/// An item being run.
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

/// What becomes of an item that was told to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopReason {
    /// Online needs the slot: hand back.
    Yield,
    /// Its job is cancelled, or somebody else has it: forget.
    Forget,
}

struct RunningTask {
    task: ItemTask,
    stopping: Option<StopReason>,
}

/// The last word of a replica.
#[derive(Debug, Clone, Copy)]
struct ReplicaWord {
    load: EngineLoad,
    unavailable: bool,
    as_of: Duration,
}

struct ReplicaWork {
    replica: Arc<Replica>,
    epoch: u64,
    budget: SlotBudget,
    removed: bool,
    report: Option<ReplicaWord>,
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

/// Batch work of one daemon's replicas.
pub(crate) struct Runner {
    slots: SlotSettings,
    replicas: BTreeMap<String, ReplicaWork>,
    queues: BTreeMap<String, VecDeque<QueuedGrant>>,
    pulls: BTreeMap<String, PullState>,
    results: Vec<ItemResult>,
    hand_backs: Vec<HandBack>,
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

fn hand_back(grant: &Grant, may_have_run: bool) -> HandBack {
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
            hand_backs: Vec::new(),
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

    /// Stops using a replica; its items are handed back.
    pub fn remove_replica(&mut self, name: &str) {
        let Some(work) = self.replicas.get_mut(name) else {
            return;
        };
        for running in work.running.values_mut() {
            running.stop(StopReason::Yield);
        }
        work.removed = true;
        if work.running.is_empty() {
            self.replicas.remove(name);
        }
    }

    /// Takes a replica's load, true at `as_of`.
    pub fn set_report(&mut self, name: &str, load: EngineLoad, unavailable: bool, as_of: Duration) {
        if let Some(work) = self.replicas.get_mut(name) {
            work.report = Some(ReplicaWord {
                load,
                unavailable,
                as_of,
            });
        }
    }

    /// Report of a replica for a gateway.
    pub fn report(&self, name: &str, now: Duration) -> Option<ReplicaReport> {
        let work = self.replicas.get(name)?;
        let word = work.report?;
        let load = word.load;
        let age = now.saturating_sub(word.as_of).as_millis();
        Some(ReplicaReport {
            replica: name.to_owned(),
            running_online: load.running_online,
            running_batch: u32::try_from(work.running.len()).unwrap_or(u32::MAX),
            waiting_online: load.waiting_online,
            waiting_prompt_tokens: load.waiting_prompt_tokens,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            unavailable: word.unavailable,
        })
    }

    pub fn replica_count(&self) -> usize {
        self.replicas.len()
    }

    pub fn running_count(&self) -> usize {
        self.replicas.values().map(|work| work.running.len()).sum()
    }

    /// True if no result and no handed back item waits to be taken.
    fn has_returned_all(&self) -> bool {
        self.results.is_empty() && self.hand_backs.is_empty()
    }

    /// Stops everything of a cancelled job; how many items ran.
    pub fn cancel_job(&mut self, job_id: &str, now: Duration) -> usize {
        self.cancelled.insert(job_id.to_owned(), now);
        self.cancelled
            .retain(|_, at| now.saturating_sub(*at) < CANCEL_MEMORY);
        for queue in self.queues.values_mut() {
            queue.retain(|queued| queued.grant.job_id != job_id);
        }
        self.results.retain(|result| result.job_id != job_id);
        let mut stopped = 0;
        for running in self.running_mut() {
            if running.task.grant.job_id == job_id {
                running.stop(StopReason::Forget);
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

    /// Stops items that their shard owner no longer wants run here.
    fn stop_items(&mut self, items: &[RunningItem]) {
        for queue in self.queues.values_mut() {
            queue.retain(|queued| !items.contains(&running_item(&queued.grant)));
        }
        for running in self.running_mut() {
            if items.contains(&running_item(&running.task.grant)) {
                running.stop(StopReason::Forget);
            }
        }
    }

    /// Tenants of the jobs of which items are held.
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

    /// Items held, by shard.
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

    /// Takes an item's end.
    fn ended(&mut self, task: &ItemTask, outcome: &ItemOutcome) {
        let name = &task.replica.machine.replica.0;
        let mut stopping = None;
        if let Some(work) = self.replicas.get_mut(name) {
            let running = work.running.remove(&task.request_id);
            stopping = running.and_then(|running| running.stopping);
        }
        if stopping == Some(StopReason::Forget) {
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
            ItemOutcome::HandBack { may_have_run } => {
                self.hand_backs.push(hand_back(&task.grant, *may_have_run));
            }
            ItemOutcome::Fenced => self.hand_backs.push(hand_back(&task.grant, false)),
            ItemOutcome::Stopped => self.hand_backs.push(hand_back(&task.grant, true)),
        }
    }
}

/// A replica whose availability was not confirmed for this long gets nothing new.
const CONFIRMATION_LIFETIME: Duration = Duration::from_micros(CONFIRMATION_LIFETIME_MICROS);

impl ReplicaWork {
    /// True if new items may be started on the replica.
    fn is_usable(&self, now: Duration) -> bool {
        let confirmed = self.report.is_some_and(|word| {
            !word.unavailable && now.saturating_sub(word.as_of) <= CONFIRMATION_LIFETIME
        });
        confirmed && !self.removed
    }
}

impl RunningTask {
    fn stop(&mut self, reason: StopReason) {
        if self.stopping.is_none() || reason == StopReason::Forget {
            self.stopping = Some(reason);
            self.task.stop.notify_one();
        }
    }

    fn as_victim(&self) -> RunningBatchItem {
        let generated = self.task.progress.tokens.load(Ordering::Relaxed);
        RunningBatchItem {
            request_id: self.task.request_id.clone(),
            generated,
            left: u32::MAX - generated,
            at_most_once: self.task.grant.at_most_once,
        }
    }
}

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
        ownership::replica_lost(&shared, &task.replica.machine.replica);
    }
    lock(&shared.runner).ended(&task, &outcome);
    shared.runner_wake.notify_one();
}

/// Starts a pull for each service with room.
fn start_pulls(shared: &Arc<Shared>) {
    let now = shared.now();
    let plan = shared.plan.load();
    let mut wanted: Vec<(String, usize)> = Vec::new();
    {
        let mut runner = lock(&shared.runner);
        if runner.results.len() > MOST_WAITING_RESULTS {
            return;
        }
        let mut room: BTreeMap<String, usize> = BTreeMap::new();
        for work in runner.replicas.values_mut() {
            let service = work.replica.machine.service.clone();
            let limit = work.budget.limit(now) as usize;
            let free = limit.saturating_sub(work.running.len());
            if work.is_usable(now) {
                *room.entry(service).or_default() += free;
            }
        }
        for (service, free) in room {
            let queued = runner.queues.get(&service).map_or(0, VecDeque::len);
            let target = if free > 0 { free + PULL_AHEAD } else { 0 };
            let slots = target.saturating_sub(queued).min(MOST_PULLED);
            let pull = runner.pulls.entry(service.clone()).or_default();
            if slots == 0 || pull.in_flight || now < pull.paused_until {
                continue;
            }
            pull.in_flight = true;
            wanted.push((service, slots));
        }
    }
    for (service, slots) in wanted {
        let tenants = plan
            .services
            .get(&service)
            .map(|plan| plan.tenants())
            .unwrap_or_default();
        let shared = shared.clone();
        tokio::spawn(async move { pull(&shared, &service, slots, tenants).await });
    }
}

/// The member to pull from: this one if it has work, else one that advertises some.
fn choose_source(shared: &Arc<Shared>, service: &str) -> Option<String> {
    if shared.owner.backlog().contains_key(service) {
        return Some(shared.identity.member.clone());
    }
    let view = shared.view.load();
    let offering: Vec<&str> = view
        .members
        .iter()
        .filter(|member| member.id != shared.identity.member)
        .filter(|member| {
            member
                .backlog
                .iter()
                .any(|backlog| backlog.service == service)
        })
        .map(|member| member.id.as_str())
        .collect();
    if offering.is_empty() {
        return None;
    }
    let index = shared.with_random(|random| random.random_range(0..offering.len()));
    Some(offering[index].to_owned())
}

async fn pull(shared: &Arc<Shared>, service: &str, slots: usize, tenants: Vec<String>) {
    let reply = match choose_source(shared, service) {
        // Without a plan nobody's items may run.
        Some(source) if !tenants.is_empty() => {
            let request = PullRequest {
                member: shared.identity.member.clone(),
                service: service.to_owned(),
                slots: u32::try_from(slots).unwrap_or(u32::MAX),
                held: Vec::new(),
                tenants,
            };
            pull_from(shared, &source, request).await
        }
        _ => None,
    };
    let now = shared.now();
    let mut runner = lock(&shared.runner);
    let grants = reply.map(|reply| reply.grants).unwrap_or_default();
    let pull = runner.pulls.entry(service.to_owned()).or_default();
    pull.in_flight = false;
    if grants.is_empty() {
        pull.paused_until = now + EMPTY_PAUSE;
    }
    let queue = runner.queues.entry(service.to_owned()).or_default();
    queue.extend(grants.into_iter().map(|grant| QueuedGrant {
        grant,
        pulled_at: now,
    }));
    drop(runner);
    shared.runner_wake.notify_one();
}

async fn pull_from(shared: &Arc<Shared>, source: &str, request: PullRequest) -> Option<PullReply> {
    if source == shared.identity.member {
        return Some(shared.owner.pull(&request));
    }
    let address = shared.peer_address(source)?;
    let request = PeerRequest {
        kind: Some(peer_request::Kind::Pull(request)),
    };
    let reply = timeout(PEER_TIMEOUT, shared.network.call(&address, request)).await;
    match reply.ok()?.ok()?.kind? {
        peer_reply::Kind::Pull(reply) => Some(reply),
        _ => None,
    }
}

/// Renews held grants at the owners of their shards.
fn renew(shared: &Arc<Shared>) {
    let now = shared.now();
    let held = {
        let mut runner = lock(&shared.runner);
        if now.saturating_sub(runner.renewed_at) < RENEW_EVERY {
            return;
        }
        runner.renewed_at = now;
        runner.held()
    };
    let mut by_owner: BTreeMap<String, Vec<RunningItem>> = BTreeMap::new();
    for (shard, items) in held {
        if let Some(owner) = shared.owner_of(&shard_key(shard)) {
            by_owner.entry(owner).or_default().extend(items);
        }
    }
    for (owner, held) in by_owner {
        let shared = shared.clone();
        tokio::spawn(async move {
            let request = PullRequest {
                member: shared.identity.member.clone(),
                held,
                ..PullRequest::default()
            };
            if let Some(reply) = pull_from(&shared, &owner, request).await {
                lock(&shared.runner).stop_items(&reply.stop);
            }
        });
    }
}

/// Returns results and hands items back, until their shards' owners have taken them.
pub(crate) async fn run_results(shared: Arc<Shared>) {
    loop {
        send_results(&shared).await;
        sleep(RESULT_TICK).await;
    }
}

async fn send_results(shared: &Arc<Shared>) {
    let (results, hand_backs) = {
        let mut runner = lock(&shared.runner);
        let count = runner.results.len().min(RESULTS_A_MESSAGE * 8);
        let results: Vec<ItemResult> = runner.results.drain(..count).collect();
        (results, std::mem::take(&mut runner.hand_backs))
    };
    let mut by_owner: BTreeMap<String, ResultsRequest> = BTreeMap::new();
    let mut homeless = Vec::new();
    for result in results {
        match shared.owner_of(&shard_key(result.shard)) {
            Some(owner) => by_owner.entry(owner).or_default().results.push(result),
            None => homeless.push(result),
        }
    }
    for hand_back in hand_backs {
        if let Some(owner) = shared.owner_of(&shard_key(hand_back.shard)) {
            by_owner
                .entry(owner)
                .or_default()
                .handed_back
                .push(hand_back);
        }
    }
    let sends = by_owner
        .into_iter()
        .map(|(owner, request)| send_to_owner(shared, owner, request));
    let back: Vec<ItemResult> = futures::future::join_all(sends).await.concat();
    lock(&shared.runner)
        .results
        .extend(homeless.into_iter().chain(back));
}

/// Sends results to a shard owner; those that it did not take.
async fn send_to_owner(
    shared: &Arc<Shared>,
    owner: String,
    request: ResultsRequest,
) -> Vec<ItemResult> {
    let reply = if owner == shared.identity.member {
        Some(shared.owner.results(&request))
    } else {
        match shared.peer_address(&owner) {
            Some(address) => {
                let request = PeerRequest {
                    kind: Some(peer_request::Kind::Results(request.clone())),
                };
                let call = timeout(PEER_TIMEOUT, shared.network.call(&address, request)).await;
                match call {
                    Ok(Ok(reply)) => match reply.kind {
                        Some(peer_reply::Kind::Results(reply)) => Some(reply),
                        _ => None,
                    },
                    _ => None,
                }
            }
            None => None,
        }
    };
    match reply {
        None => request.results,
        Some(reply) => request
            .results
            .into_iter()
            .filter(|result| reply.refused_shards.contains(&result.shard))
            .collect(),
    }
}

/// Prepares to leave: what was not started is handed back at once, what runs may finish for a while.
pub(crate) async fn hand_back_all(shared: &Arc<Shared>) {
    {
        let mut runner = lock(&shared.runner);
        let queues = std::mem::take(&mut runner.queues);
        let queued: Vec<QueuedGrant> = queues.into_values().flatten().collect();
        let hand_backs = queued.iter().map(|queued| hand_back(&queued.grant, false));
        runner.hand_backs.extend(hand_backs);
    }
    let deadline = shared.now() + LEAVE_WAIT;
    while shared.now() < deadline && lock(&shared.runner).running_count() > 0 {
        sleep(RESULT_TICK).await;
    }
    for running in lock(&shared.runner).running_mut() {
        running.stop(StopReason::Yield);
    }
    sleep(RESULT_TICK).await;
    let limit = shared.now() + PEER_TIMEOUT;
    while shared.now() < limit {
        send_results(shared).await;
        if lock(&shared.runner).has_returned_all() {
            return;
        }
        sleep(RESULT_TICK).await;
    }
}
