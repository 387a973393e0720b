//! Registry of the jobs that this daemon runs, with the state of each item. Pure apart from the task handles.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use harrierward_serving::ServingRequest;
use tokio::time::Instant;

use crate::fruitless::FruitlessAttempts;
use crate::item::{Item, ItemPhase, RunLease, SharedProgress, abort_run, lock};
use crate::no_capacity::NoCapacity;
use crate::owned_job::OwnedJob;
use crate::pacing::{RunLength, StartPacer};

/// A copy of an item that may be started.
#[derive(Debug, Clone)]
pub struct StartableItem {
    /// Stored id of the job.
    pub job: String,
    /// Number of the item in its job, from 0.
    pub number: u32,
    /// Name of the route.
    pub route: String,
    /// When its job was accepted, on the store's clock, in milliseconds.
    pub accepted_ms: u64,
    /// Number of the last event received before this run; `None` before the first.
    pub resume_after: Option<u64>,
    /// True if no output was received before this run.
    pub started_fresh: bool,
    /// Hash of the replica instance at which it last ran; `None` if it has not run at this daemon.
    pub last_replica_instance: Option<u32>,
    /// Since when no replica of the version that began it has had a free slot.
    pub version_full_since: Option<Instant>,
    /// Runs that a replica ended with a failure response.
    pub failures: u32,
    /// Attempts since it last received an event.
    pub fruitless: FruitlessAttempts,
    /// The request to send to a replica.
    pub request: Arc<ServingRequest>,
    /// Output received so far, shared with the item's task.
    pub progress: SharedProgress,
}

impl StartableItem {
    /// Returns its place in the order of starts: when it counts as accepted, in milliseconds of the store's clock.
    pub fn start_order_ms(&self) -> u64 {
        let demotion = self.fruitless.demotion().as_millis();
        let demotion = u64::try_from(demotion).unwrap_or(u64::MAX);
        self.accepted_ms.saturating_add(demotion)
    }

    /// Returns the tokens of its prompt and the most to be generated; 0 if not stated.
    pub fn tokens(&self) -> u64 {
        self.request.prompt.total_tokens()
    }
}

/// All jobs of this daemon, with the state of item scheduling.
#[derive(Debug, Default)]
pub struct JobRegistry {
    /// Recent starts, and placements in flight.
    pub starts: StartPacer,
    /// Where placements recently found no free slot.
    pub no_capacity: NoCapacity,
    /// Mean length of item runs, for the urgency of items.
    pub run_length: RunLength,
    /// Routes of jobs that are missing from the configuration, with the time since when.
    pub missing_routes: BTreeMap<String, Instant>,
    /// When runs were last preempted at replicas whose slots have no coordinator, by replica id.
    pub preempted_at: BTreeMap<String, Instant>,
    /// The jobs by stored id.
    pub jobs: BTreeMap<String, OwnedJob>,
}

impl JobRegistry {
    /// Returns the waiting items that may be started now, those of the oldest jobs first.
    pub fn startable(&self) -> Vec<StartableItem> {
        let now = Instant::now();
        let mut jobs: Vec<&OwnedJob> = self.jobs.values().collect();
        jobs.sort_by_key(|job| job.known.header.accepted_ms);
        let mut startable = Vec::new();
        for job in jobs {
            for (number, item) in (0..).zip(&job.items) {
                if item.is_startable(now) {
                    let resume_after = lock(&item.progress).last_event;
                    startable.push(StartableItem {
                        job: job.known.header.job_id.clone(),
                        number,
                        route: job.known.header.route.clone(),
                        accepted_ms: job.known.header.accepted_ms,
                        resume_after,
                        started_fresh: resume_after.is_none(),
                        last_replica_instance: item.last_replica_instance,
                        version_full_since: item.version_full_since,
                        failures: item.failures,
                        fruitless: item.fruitless.clone(),
                        request: item.request.clone(),
                        progress: item.progress.clone(),
                    });
                }
            }
        }
        startable
    }

    /// Records which jobs' routes are missing from the configuration, and fails the items of a route that has been
    /// missing for `grace_period`.
    pub fn fail_items_without_route(
        &mut self,
        is_known: impl Fn(&str) -> bool,
        now: Instant,
        grace_period: Duration,
    ) {
        let routes = self
            .jobs
            .values()
            .map(|job| job.known.header.route.as_str());
        let missing: Vec<String> = routes
            .filter(|route| !is_known(route))
            .map(str::to_owned)
            .collect();
        self.missing_routes
            .retain(|route, _| missing.contains(route));
        for route in missing {
            self.missing_routes.entry(route).or_insert(now);
        }
        let missing_routes = &self.missing_routes;
        for job in self.jobs.values_mut() {
            let since = missing_routes.get(&job.known.header.route);
            if since.is_none_or(|since| now.saturating_duration_since(*since) < grace_period) {
                continue;
            }
            for item in &mut job.items {
                if matches!(
                    item.phase,
                    ItemPhase::Waiting { .. } | ItemPhase::Running { .. }
                ) {
                    abort_run(&item.phase);
                    item.phase = ItemPhase::Done { failed: true };
                }
            }
        }
    }

    /// Returns an item; `None` if its job is not owned here any more.
    pub fn item(&mut self, job: &str, number: u32) -> Option<&mut Item> {
        self.jobs.get_mut(job)?.items.get_mut(number as usize)
    }

    /// Aborts the `count` youngest runs at a replica; their items wait for `pause`. Returns the items.
    pub fn preempt_runs(
        &mut self,
        replica: &str,
        count: usize,
        pause: Duration,
    ) -> Vec<PreemptedItem> {
        let mut runs = self.runs_where(|lease| lease.replica == replica);
        runs.sort_by_key(|run| std::cmp::Reverse(run.since));
        let selected = runs.into_iter().take(count);
        selected.map(|run| run.preempt(pause)).collect()
    }

    /// Aborts the run that holds a lease; its item waits for `pause`. Returns the item.
    pub fn preempt_lease(&mut self, lease: u32, pause: Duration) -> Option<PreemptedItem> {
        let run = self
            .runs_where(|run_lease| run_lease.lease == lease)
            .pop()?;
        Some(run.preempt(pause))
    }

    fn runs_where(&mut self, is_selected: impl Fn(&RunLease) -> bool) -> Vec<RunInProgress<'_>> {
        let mut runs = Vec::new();
        for job in self.jobs.values_mut() {
            for item in &mut job.items {
                let ItemPhase::Running {
                    lease: Some(run_lease),
                    since,
                    ..
                } = &item.phase
                else {
                    continue;
                };
                if !is_selected(run_lease) {
                    continue;
                }
                runs.push(RunInProgress {
                    since: *since,
                    preempted: PreemptedItem {
                        job: job.known.header.job_id.clone(),
                        item: item.request.id.clone(),
                        replica: run_lease.replica.clone(),
                        events: lock(&item.progress).last_event.unwrap_or_default(),
                    },
                    phase: &mut item.phase,
                });
            }
        }
        runs
    }
}

struct RunInProgress<'a> {
    since: Instant,
    preempted: PreemptedItem,
    phase: &'a mut ItemPhase,
}

impl RunInProgress<'_> {
    fn preempt(self, pause: Duration) -> PreemptedItem {
        abort_run(self.phase);
        *self.phase = ItemPhase::Waiting {
            not_before: Instant::now() + pause,
        };
        self.preempted
    }
}

/// An item whose run was aborted in favour of an online request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreemptedItem {
    /// Stored id of the job.
    pub job: String,
    /// Item id as submitted.
    pub item: String,
    /// Id of the replica at which it ran.
    pub replica: String,
    /// Number of the last event received, 0 if none.
    pub events: u64,
}
