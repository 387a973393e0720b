//! Starts items on free replica slots, records the outcomes of runs, and preempts runs when online requests need the
//! slots.

use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_serving::{
    AskedPeers, ContinuedStream, ItemSlack, Mechanism, Placement, Replica, ReplicaView, Route,
    RouteTable, WorkClass, origin_of, short_hash,
};
use harrierward_tenants::AllowedRegions;
use tokio::time::{Instant, sleep};

use crate::item::{ItemPhase, RunLease, lock};
use crate::item_run::{self, RunOutcome};
use crate::no_capacity::ItemReplicas;
use crate::pacing::{RunLength, Urgency, slack, urgency};
use crate::ready::{ReadyItem, restrict};
use crate::registry::{PreemptedItem, StartableItem};
use crate::service::InlineJobs;

/// Poll interval of the runner when nothing wakes it.
const TICK: Duration = Duration::from_millis(25);

/// How long an item waits for a free slot at the version that began it before it may begin again at another one.
const MAX_VERSION_WAIT: Duration = Duration::from_millis(1_000);

/// Pause before an item that was refused, or whose stream broke, is started again.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// How long a route must be missing before its items fail: it may be absent briefly between two configurations.
const ROUTE_GRACE_PERIOD: Duration = Duration::from_millis(3_000);

/// Pause before an item that failed at a replica is started again.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Pause before a preempted item is started again.
const PREEMPTION_PAUSE: Duration = Duration::from_millis(800);

/// Bound of the placement requests in flight at a daemon.
const MAX_PLACEMENTS: usize = 3;

/// Time limit of an item's placement request; no caller waits for it.
const PLACEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum time between two preemptions at a replica, so that the other daemons' counts arrive in between.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(250);

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

    fn start_items(&self) {
        let Some(routes) = self.inner.forwarder.routes() else {
            return;
        };
        self.registry().fail_items_without_route(
            |route| routes.configuration.route(route).is_some(),
            Instant::now(),
            ROUTE_GRACE_PERIOD,
        );
        let mut deferred = Vec::new();
        for (item, urgency, slack) in self.startable(&routes) {
            if is_exhausted(&routes, &item) {
                self.fail_item(&item);
                continue;
            }
            if !self.is_due(urgency) {
                return;
            }
            if let Some(quarantine) = self.inner.forwarder.item_quarantine(&item.request) {
                if quarantine.has_failed_trial() {
                    self.fail_expired_quarantined(&routes, &item);
                }
                continue;
            }
            let item_slack = ItemSlack { slack };
            let Some(ready) = self.ready(&routes, item, item_slack) else {
                // An item that cannot be placed must not block the others.
                continue;
            };
            if ready.is_deferred {
                deferred.push((ready, urgency));
            } else if !self.start_item(&ready) {
                return;
            }
        }
        for (ready, urgency) in deferred {
            if !self.is_due(urgency) || !self.start_item(&ready) {
                return;
            }
        }
    }

    /// Fails a quarantined item whose job is older than its route's limit. Until then the item waits, as the
    /// quarantine may end.
    fn fail_expired_quarantined(&self, routes: &RouteTable, item: &StartableItem) {
        let route = routes.configuration.route(&item.route);
        let bounds = route.and_then(|route| route.batch());
        let Some(limit) = bounds.map(|bounds| bounds.give_up_after) else {
            return;
        };
        let age_ms = self
            .inner
            .view
            .store_now_ms()
            .saturating_sub(item.accepted_ms);
        if limit.is_zero() || Duration::from_millis(age_ms) < limit {
            return;
        }
        self.fail_item(item);
        self.log_run(item, "", &RunOutcome::NotRun("held back".to_owned()));
    }

    /// Gives an item up without another run.
    fn fail_item(&self, item: &StartableItem) {
        if let Some(entry) = self.registry().item(&item.job, item.number) {
            entry.phase = ItemPhase::Done { failed: true };
        }
    }

    /// Returns the item as the current configuration allows it to run; `None` if no replica can take it now.
    fn ready(
        &self,
        routes: &RouteTable,
        item: StartableItem,
        item_slack: ItemSlack,
    ) -> Option<ReadyItem> {
        let route = routes.configuration.route(&item.route)?;
        let tenant = item.request.tenant.as_deref().unwrap_or_default();
        let regions = routes.configuration.allowed_regions(&item.route, tenant);
        let view = self.inner.forwarder.replicas().view();
        let replicas = match replicas_of_version(&view, route, &regions, &item) {
            Some(replicas) => replicas,
            None => {
                let entry = routes.find(&route.host, &route.prefix);
                let service = entry.and_then(|entry| entry.next_service())?;
                ItemReplicas {
                    service: service.to_owned(),
                    regions,
                    version: None,
                }
            }
        };
        let now = Instant::now();
        let registry = self.registry();
        let is_paused = registry.no_capacity.is_paused(&replicas, now);
        let is_deferred = registry.no_capacity.is_deferred(&replicas, now);
        drop(registry);
        if is_paused || !view.has_usable(&replicas.service, &replicas.regions, replicas.version) {
            return None;
        }
        Some(ReadyItem {
            service: replicas.service.clone(),
            item: restrict(item, replicas),
            item_slack,
            is_deferred,
        })
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
            peers: AskedPeers::default(),
        });
    }

    /// Returns the items that may be started, the oldest first, those that can no longer be in time last.
    fn startable(&self, routes: &RouteTable) -> Vec<(StartableItem, Urgency, Duration)> {
        let (items, run_length) = {
            let registry = self.registry();
            (registry.startable(), registry.run_length)
        };
        let mut startable: Vec<(StartableItem, Urgency, Duration)> = items
            .into_iter()
            .filter_map(|item| {
                let route = routes.configuration.route(&item.route)?;
                let (urgency, slack) = self.urgency_of(&item, route, run_length);
                Some((item, urgency, slack))
            })
            .collect();
        startable.sort_by_key(|(_, urgency, _)| *urgency == Urgency::Missed);
        startable
    }

    /// Returns an item's urgency, and its slack: the time for which it may wait and still be in time.
    fn urgency_of(
        &self,
        item: &StartableItem,
        route: &Route,
        run_length: RunLength,
    ) -> (Urgency, Duration) {
        let now = self.inner.view.store_now_ms();
        let age = Duration::from_millis(now.saturating_sub(item.accepted_ms));
        let target = route.batch().map_or(Duration::MAX, |bounds| bounds.target);
        let events = lock(&item.progress).texts.len();
        let remaining = run_length.remaining(events);
        (
            urgency(age, remaining, target),
            slack(age, remaining, target),
        )
    }

    /// True if the start interval of this urgency has passed.
    fn is_due(&self, urgency: Urgency) -> bool {
        if !self.inner.forwarder.policy().has(Mechanism::Pacing) {
            return true;
        }
        let last = self.registry().last_start;
        last.is_none_or(|last| last.elapsed() >= urgency.start_interval())
    }

    /// Starts the placement and run of an item; false if too many placements are in flight.
    fn start_item(&self, ready: &ReadyItem) -> bool {
        let item = &ready.item;
        let mut registry = self.registry();
        if registry.placements_in_flight >= MAX_PLACEMENTS {
            return false;
        }
        // Its job may have been stopped, or its failures reported, since the item was selected.
        let entry = registry.item(&item.job, item.number);
        if self.is_stopping() || !entry.is_some_and(|entry| entry.is_startable(Instant::now())) {
            return true;
        }
        registry.placements_in_flight += 1;
        registry.last_start = Some(Instant::now());
        let placement_guard = PlacementGuard { jobs: self.clone() };
        let jobs = self.clone();
        let started = ready.clone();
        // The task cannot finish before its phase is set: it needs the lock that is held here.
        let task = tokio::spawn(async move { jobs.place_item(started, placement_guard).await });
        if let Some(entry) = registry.item(&item.job, item.number) {
            entry.phase = ItemPhase::Running {
                lease: None,
                task: task.abort_handle(),
                since: Instant::now(),
            };
        }
        true
    }

    async fn place_item(&self, ready: ReadyItem, placement_guard: PlacementGuard) {
        let ReadyItem {
            mut item,
            service,
            item_slack,
            ..
        } = ready;
        let forwarder = &self.inner.forwarder;
        let placement = forwarder
            .place(
                &item.request,
                &service,
                &[],
                PLACEMENT_TIMEOUT,
                Some(item_slack),
            )
            .await;
        drop(placement_guard);
        let Some(mut placement) = placement else {
            self.note_no_capacity(&item, &service);
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
        if self.note_placed(&item, replica, run_lease) {
            self.run_item(item, placement).await;
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

    /// Returns an item to the queue after no replica had capacity, and pauses placements for its service and regions.
    fn note_no_capacity(&self, item: &StartableItem, service: &str) {
        let now = Instant::now();
        let replicas = ItemReplicas {
            service: service.to_owned(),
            regions: item.request.regions.clone(),
            version: item.request.version,
        };
        let is_bound = replicas.version.is_some();
        let mut registry = self.registry();
        self.inner.log.record(&Record::ItemNotPlaced {
            job: &item.job,
            item: &item.request.id,
            service,
            startable: registry.startable().len(),
        });
        registry.no_capacity.note(replicas, now);
        if let Some(entry) = registry.item(&item.job, item.number)
            && matches!(entry.phase, ItemPhase::Running { .. })
        {
            entry.phase = ItemPhase::Waiting { not_before: now };
            if is_bound {
                entry.version_full_since.get_or_insert(now);
            }
        }
    }

    async fn run_item(&self, item: StartableItem, placement: Placement) {
        let replica = placement.choice.replica.record.id.clone();
        let started = Instant::now();
        let outcome = item_run::run(
            &self.inner.forwarder,
            &item.request,
            &item.progress,
            placement,
            item.failures > 0,
        )
        .await;
        self.finish(&item, &replica, &outcome, started);
        self.inner.wake.notify_one();
    }

    fn finish(&self, item: &StartableItem, replica: &str, outcome: &RunOutcome, started: Instant) {
        self.log_run(item, replica, outcome);
        let attempts = self.attempts_of(&item.route);
        let mut registry = self.registry();
        if *outcome == RunOutcome::Finished && item.started_fresh {
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
        let wait = |pause| ItemPhase::Waiting {
            not_before: Instant::now() + pause,
        };
        entry.phase = match outcome {
            RunOutcome::Finished => ItemPhase::Done { failed: false },
            RunOutcome::Impossible => {
                // The count tells a later owner that no retry can succeed.
                entry.failures = entry.failures.max(attempts);
                ItemPhase::Done { failed: true }
            }
            RunOutcome::Failed => {
                entry.failures += 1;
                if entry.failures >= attempts {
                    ItemPhase::Done { failed: true }
                } else {
                    wait(FAILURE_PAUSE)
                }
            }
            RunOutcome::NotRun(_) | RunOutcome::Broken(_) => wait(RETRY_PAUSE),
        };
    }

    pub(crate) fn attempts_of(&self, route: &str) -> u32 {
        let routes = self.inner.forwarder.routes();
        routes
            .as_ref()
            .and_then(|routes| routes.configuration.route(route))
            .map_or(u32::MAX, |route| route.attempts)
    }

    fn log_run(&self, item: &StartableItem, replica: &str, outcome: &RunOutcome) {
        let outcome = match outcome {
            RunOutcome::Finished => "finished",
            RunOutcome::Failed => "failed",
            RunOutcome::Impossible => "impossible",
            RunOutcome::NotRun(cause) | RunOutcome::Broken(cause) => cause.as_str(),
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

    /// Preempts runs at overcommitted replicas whose slots have no coordinator.
    fn preempt_for_online(&self) {
        let view = self.inner.forwarder.replicas().view();
        let leases = self.inner.forwarder.leases();
        for replica in view.all() {
            let own = replica.own_in_progress(WorkClass::Batch);
            if own == 0 {
                continue;
            }
            let in_use = replica.online() + replica.batch();
            let slots = replica.slots();
            if in_use <= slots + slots / 2 || leases.is_coordinated(replica) {
                continue;
            }
            if !self.may_preempt_at(&replica.record.id) {
                continue;
            }
            // Each daemon preempts its share; further rounds follow while the excess lasts.
            let excess = in_use - slots;
            let share = f64::from(excess * own) / f64::from(replica.batch().max(1));
            self.preempt_runs_at(&replica.record.id, round_stochastically(share));
        }
    }

    /// Preempts `slots` of this daemon's runs at a replica.
    pub fn preempt_slots(&self, replica: &str, slots: u32) {
        self.preempt_runs_at(replica, slots as usize);
    }

    /// Preempts the run that holds a slot lease.
    pub fn preempt_lease(&self, lease: u32) {
        let preempted_items = self.registry().preempt_lease(lease, PREEMPTION_PAUSE);
        self.log_preempted(preempted_items);
    }

    fn preempt_runs_at(&self, replica: &str, count: usize) {
        let preempted_items = self
            .registry()
            .preempt_runs(replica, count, PREEMPTION_PAUSE);
        self.log_preempted(preempted_items);
    }

    fn log_preempted(&self, preempted_items: impl IntoIterator<Item = PreemptedItem>) {
        for preempted in preempted_items {
            self.inner.log.record(&Record::ItemRun {
                job: &preempted.job,
                item: &preempted.item,
                replica: &preempted.replica,
                outcome: "yielded to online",
                events: preempted.events,
            });
        }
    }

    /// True if the preemption interval has passed at the replica; if so, records a new preemption.
    fn may_preempt_at(&self, replica: &str) -> bool {
        let mut registry = self.registry();
        let last = registry.preempted_at.get(replica);
        let is_due = last.is_none_or(|last| last.elapsed() >= PREEMPTION_INTERVAL);
        if is_due {
            registry
                .preempted_at
                .insert(replica.to_owned(), Instant::now());
        }
        is_due
    }
}

/// Returns the replicas that may continue an item's events; `None` without events, if none of these replicas accepts
/// work, or if all have been full for [`MAX_VERSION_WAIT`].
fn replicas_of_version(
    view: &ReplicaView,
    route: &Route,
    regions: &AllowedRegions,
    item: &StartableItem,
) -> Option<ItemReplicas> {
    let origin = lock(&item.progress).origin.as_ref()?.origin;
    let mut services = route.services.iter();
    let service = services.find(|one| short_hash(&one.service) == origin.service)?;
    let version = Some(origin.version);
    let full_since = item.version_full_since;
    let is_full = full_since.is_some_and(|since| since.elapsed() >= MAX_VERSION_WAIT);
    if is_full || !view.has_usable(&service.service, regions, version) {
        return None;
    }
    Some(ItemReplicas {
        service: service.service.clone(),
        regions: regions.clone(),
        version,
    })
}

/// True if an item has used up its route's attempts. The route may have been missing when the job was loaded or the
/// failures were reported.
fn is_exhausted(routes: &RouteTable, item: &StartableItem) -> bool {
    let route = routes.configuration.route(&item.route);
    route.is_some_and(|route| item.failures >= route.attempts)
}

/// Rounds stochastically, so that the daemons' shares add up to the excess on average.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round_stochastically(share: f64) -> usize {
    let rounds_up = rand::random::<f64>() < share.fract();
    share.floor() as usize + usize::from(rounds_up)
}

/// Decrements the count of placements in flight when dropped.
struct PlacementGuard {
    jobs: InlineJobs,
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        self.jobs.registry().placements_in_flight -= 1;
    }
}
