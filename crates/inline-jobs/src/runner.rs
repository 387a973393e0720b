//! Places and runs items, and records the outcomes of runs.

use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_serving::{Asked, ContinuedStream, Placement, Replica, origin_of};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use crate::item::{Item, ItemPhase, RunLease, lock};
use crate::item_run::{self, RunOptions, RunOutcome};
use crate::no_capacity::ItemReplicas;
use crate::ready::ReadyItem;
use crate::registry::StartableItem;
use crate::service::InlineJobs;
use crate::starting::usable_replicas;

/// Poll interval of the runner when nothing wakes it.
const TICK: Duration = Duration::from_millis(25);

/// Pause before an item that was not run, or whose stream broke after an event, is started again.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Pause before an item that failed at a replica is started again.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Time limit of an item's placement request; no caller waits for it.
const PLACEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of replicas without room for an item that its placement request excludes.
const MAX_EXCLUDED: usize = 16;

impl InlineJobs {
    pub(crate) async fn run_items(self) {
        loop {
            self.preempt_for_online();
            if self.may_start_runs() {
                self.start_items();
            }
            self.start_listings();
            self.start_checkpoints();
            tokio::select! {
                () = self.inner.wake.notified() => {}
                () = sleep(TICK) => {}
            }
        }
    }

    /// Drops an item's events unless the replica at which it is placed can continue them.
    fn keep_continuable(&self, item: &mut StartableItem, replica: &Replica) {
        let mut progress = lock(&item.progress);
        let origin = progress.origin.as_ref().map(|known| known.origin);
        if origin.is_none_or(|origin| origin == origin_of(replica)) {
            return;
        }
        let dropped = std::mem::take(&mut *progress);
        drop(progress);
        item.started_fresh = true;
        item.resume_after = None;
        if let Some(entry) = self.registry().item(&item.job, item.number) {
            entry.saved_events = 0;
        }
        self.inner.forwarder.log_continued(&ContinuedStream {
            request: &item.request.id,
            stream: &item.request.id,
            step: "begun again",
            resume_after: dropped.last_event.unwrap_or_default(),
            service: &replica.record.service,
            known: dropped.origin.as_ref(),
            replica: Some(replica),
            asked: Asked::default(),
        });
    }

    /// Starts the placement and run of an item. A trial doesn't delay other starts.
    pub(crate) fn start_item(&self, ready: &ReadyItem, is_trial: bool) {
        let item = &ready.item;
        let mut registry = self.registry();
        // Its job may have been stopped, or its failures reported, since the item was selected.
        let entry = registry.item(&item.job, item.number);
        if self.is_stopping() || !entry.is_some_and(|entry| entry.is_startable(Instant::now())) {
            return;
        }
        let started_at = Instant::now();
        registry.starts.begin(&ready.pace, is_trial, started_at);
        let placement_guard = PlacementGuard {
            jobs: self.clone(),
            pace: ready.pace.clone(),
        };
        let jobs = self.clone();
        let started = ready.clone();
        let (release, released) = oneshot::channel();
        // A runtime that ends drops the task here, under the lock that the guard needs.
        let task = tokio::spawn(async move {
            if let Ok(placement_guard) = released.await {
                jobs.place_item(started, started_at, placement_guard).await;
            }
        });
        if let Some(entry) = registry.item(&item.job, item.number) {
            entry.phase = ItemPhase::Running {
                lease: None,
                task: task.abort_handle(),
                since: started_at,
            };
        }
        drop(registry);
        // The guard is dropped if the task is gone.
        let _ = release.send(placement_guard);
    }

    async fn place_item(
        &self,
        ready: ReadyItem,
        started_at: Instant,
        placement_guard: PlacementGuard,
    ) {
        let ReadyItem {
            mut item,
            pace,
            service,
            item_slack,
            ..
        } = ready;
        let forwarder = &self.inner.forwarder;
        let excluded = self.excluded_replicas(&item, &service);
        let placement = match &excluded {
            Some(excluded) => {
                let slack = Some(item_slack);
                let request = &item.request;
                forwarder
                    .place(request, &service, excluded, PLACEMENT_TIMEOUT, slack)
                    .await
            }
            None => None,
        };
        drop(placement_guard);
        let Some(mut placement) = placement else {
            let may_use_all = excluded.is_some_and(|excluded| excluded.is_empty());
            if !may_use_all || self.note_no_capacity(&item, &service) {
                // Others may find a slot where this one doesn't.
                self.registry().starts.take_back(&pace, started_at);
                self.return_to_queue(&item, RETRY_PAUSE);
            }
            return;
        };
        if let Some(previous) = item.last_replica_instance {
            let view = forwarder.replicas().view();
            let policy = self.inner.forwarder.policy();
            placement.choice.copy_from_previous(&view, previous, policy);
        }
        self.keep_continuable(&mut item, &placement.choice.replica);
        let run_lease = RunLease {
            replica: placement.choice.replica.record.id.clone(),
            lease: placement.in_progress.lease().unwrap_or_default(),
        };
        let replica = placement.choice.replica.hash;
        if !self.note_placed(&item, replica, run_lease) {
            return;
        }
        let outcome = self.run_item(&item, placement).await;
        if outcome.is_refused_with_free_slots() {
            self.registry().starts.take_back(&pace, started_at);
        }
        self.inner.wake.notify_one();
    }

    /// Returns the size from which items find no free slot after this one found none: its own if replicas refuse this
    /// size, so that smaller items may find one.
    fn smallest_without_slot(&self, item: &StartableItem, service: &str) -> u64 {
        let view = self.inner.forwarder.replicas().view();
        let tokens = item.tokens();
        let usable = usable_replicas(&view, service, &item.request);
        let lacks_room = usable.iter().any(|replica| replica.lacks_room(tokens));
        if lacks_room { tokens } else { 0 }
    }

    /// Returns the replicas that are not to be asked for the item: those that refused it last, and those that refuse
    /// items of its size. `None` if that leaves none.
    fn excluded_replicas(&self, item: &StartableItem, service: &str) -> Option<Vec<String>> {
        let forwarder = &self.inner.forwarder;
        if item.fruitless.is_unrefused() && !forwarder.has_refusals() {
            return Some(Vec::new());
        }
        let tokens = item.tokens();
        let mut usable = usable_replicas(&forwarder.replicas().view(), service, &item.request);
        let without_room: Vec<Arc<Replica>> = usable
            .extract_if(.., |replica| replica.lacks_room(tokens))
            .collect();
        if usable.is_empty() {
            return None;
        }
        let mut excluded = item.fruitless.excluded(&usable);
        let without_room = without_room.iter().take(MAX_EXCLUDED);
        excluded.extend(without_room.map(|replica| replica.record.id.clone()));
        Some(excluded)
    }

    fn return_to_queue(&self, item: &StartableItem, pause: Duration) {
        if let Some(entry) = self.registry().item(&item.job, item.number)
            && matches!(entry.phase, ItemPhase::Running { .. })
        {
            entry.phase = ItemPhase::wait(pause);
        }
    }

    /// Records where an item runs; false if its placement was aborted meanwhile.
    fn note_placed(&self, item: &StartableItem, replica: u32, run_lease: RunLease) -> bool {
        let mut registry = self.registry();
        let Some(entry) = registry.item(&item.job, item.number) else {
            return false;
        };
        let ItemPhase::Running { lease, since, .. } = &mut entry.phase else {
            return false;
        };
        *lease = Some(run_lease);
        *since = Instant::now();
        entry.version_full_since = None;
        entry.last_replica_instance = Some(replica);
        true
    }

    /// Returns an item to the queue after no replica had capacity, and pauses placements of items like it. True if those
    /// are only items of its size and larger ones.
    fn note_no_capacity(&self, item: &StartableItem, service: &str) -> bool {
        let now = Instant::now();
        let replicas = ItemReplicas {
            service: service.to_owned(),
            regions: item.request.regions.clone(),
            version: item.request.version,
        };
        let is_bound = replicas.version.is_some();
        let min_tokens = self.smallest_without_slot(item, service);
        let mut registry = self.registry();
        self.inner.log.record(&Record::ItemNotPlaced {
            job: &item.job,
            item: &item.request.id,
            service,
            startable: registry.startable().len(),
        });
        registry.no_capacity.note(replicas, min_tokens, now);
        if let Some(entry) = registry.item(&item.job, item.number)
            && matches!(entry.phase, ItemPhase::Running { .. })
        {
            entry.phase = ItemPhase::Waiting { not_before: now };
            if is_bound {
                entry.version_full_since.get_or_insert(now);
            }
        }
        min_tokens > 0
    }

    async fn run_item(&self, item: &StartableItem, placement: Placement) -> RunOutcome {
        let replica = placement.choice.replica.clone();
        let started = Instant::now();
        let options = RunOptions {
            failed_before: item.failures > 0,
            refused_elsewhere: item.fruitless.refusals_except(replica.hash),
        };
        let forwarder = &self.inner.forwarder;
        let outcome =
            item_run::run(forwarder, &item.request, &item.progress, placement, options).await;
        self.finish(item, &replica, &outcome, started);
        outcome
    }

    fn finish(
        &self,
        item: &StartableItem,
        replica: &Replica,
        outcome: &RunOutcome,
        started: Instant,
    ) {
        self.log_run(item, &replica.record.id, outcome);
        let attempts = self.attempts_of(&item.route);
        let mut registry = self.registry();
        let has_output = matches!(outcome, RunOutcome::Finished | RunOutcome::Unproven);
        if has_output && item.started_fresh {
            let events = lock(&item.progress).texts.len();
            registry.run_length.observe(started.elapsed(), events);
        }
        let Some(job) = registry.jobs.get_mut(&item.job) else {
            return;
        };
        if matches!(outcome, RunOutcome::NotRun(_) | RunOutcome::Broken(_)) {
            job.broken_run_at = Some(Instant::now());
        }
        let Some(entry) = job.items.get_mut(item.number as usize) else {
            return;
        };
        // A listing by this or an earlier owner, or a report of failures, may have arrived since the run ended.
        if matches!(entry.phase, ItemPhase::Listed | ItemPhase::Done { .. }) {
            return;
        }
        let has_progressed = lock(&item.progress).last_event > item.resume_after;
        if has_progressed {
            entry.fruitless.clear();
        }
        entry.phase = match outcome {
            RunOutcome::Broken(_) if has_progressed => ItemPhase::wait(RETRY_PAUSE),
            _ => phase_after(entry, outcome, attempts, replica),
        };
    }

    pub(crate) fn attempts_of(&self, route: &str) -> u32 {
        let routes = self.inner.forwarder.routes();
        routes
            .as_ref()
            .and_then(|routes| routes.configuration.route(route))
            .map_or(u32::MAX, |route| route.attempts)
    }

    pub(crate) fn log_run(&self, item: &StartableItem, replica: &str, outcome: &RunOutcome) {
        let outcome = match outcome {
            RunOutcome::Finished => "finished",
            RunOutcome::Unproven => "unproven end",
            RunOutcome::Failed => "failed",
            RunOutcome::Impossible => "impossible",
            RunOutcome::NotRun(cause)
            | RunOutcome::Refused { cause, .. }
            | RunOutcome::Broken(cause) => cause.as_str(),
        };
        let events = lock(&item.progress).last_event;
        self.inner.log.record(&Record::ItemRun {
            job: &item.job,
            item: &item.request.id,
            replica,
            outcome,
            events: events.unwrap_or_default(),
        });
    }
}

/// Returns the phase of an item after a run that brought no event, or has ended it.
fn phase_after(
    entry: &mut Item,
    outcome: &RunOutcome,
    attempts: u32,
    replica: &Replica,
) -> ItemPhase {
    match outcome {
        RunOutcome::Finished => ItemPhase::Done { failed: false },
        RunOutcome::Impossible => {
            // A later owner concludes from the count that no retry can succeed.
            entry.failures = entry.failures.max(attempts);
            ItemPhase::Done { failed: true }
        }
        RunOutcome::Failed => {
            entry.failures += 1;
            if entry.failures >= attempts {
                ItemPhase::Done { failed: true }
            } else {
                ItemPhase::wait(FAILURE_PAUSE)
            }
        }
        RunOutcome::Refused { refusal, .. } if outcome.is_refused_with_free_slots() => {
            entry.fruitless.note_refused(replica, *refusal);
            ItemPhase::wait(entry.fruitless.pause())
        }
        RunOutcome::Unproven | RunOutcome::NotRun(_) | RunOutcome::Refused { .. } => {
            ItemPhase::wait(RETRY_PAUSE)
        }
        RunOutcome::Broken(_) => {
            entry.fruitless.note_broken();
            ItemPhase::wait(entry.fruitless.pause())
        }
    }
}

/// Decrements the count of placements in flight when dropped.
struct PlacementGuard {
    jobs: InlineJobs,
    /// Name under which the placement is counted.
    pace: String,
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        self.jobs.registry().starts.end_placement(&self.pace);
    }
}
