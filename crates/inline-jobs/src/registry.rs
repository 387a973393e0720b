//! The jobs that this daemon runs, and the state of each item: pure apart from the tasks' handles.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use harrierward_serving::ServingRequest;
use tokio::time::Instant;

use crate::item::{Item, ItemPhase, RunSlot, SharedProgress, abort_run, lock};
use crate::no_capacity::NoCapacity;
use crate::owned_job::OwnedJob;
use crate::pacing::RunLength;

/// An item that may be started.
#[derive(Debug, Clone)]
pub struct StartableItem {
    /// Job.
    pub job: String,
    /// Number of the item.
    pub number: u32,
    /// Route.
    pub route: String,
    /// When its job was accepted, on the store's clock, milliseconds.
    pub accepted_ms: u64,
    /// Nothing has come of it yet.
    pub started_fresh: bool,
    /// Hash of the replica's start at which it last ran.
    pub last_replica_instance: Option<u32>,
    /// Runs that a replica failed.
    pub failures: u32,
    /// The request that runs it.
    pub request: Arc<ServingRequest>,
    /// What has come so far.
    pub progress: SharedProgress,
}

/// All jobs of this daemon.
#[derive(Debug, Default)]
pub struct JobRegistry {
    /// When an item was last started.
    pub last_start: Option<Instant>,
    /// Items for which a place is being asked.
    pub placing: usize,
    /// Where there was no room a moment ago.
    pub no_capacity: NoCapacity,
    /// What items take.
    pub run_length: RunLength,
    /// Routes of jobs that the configuration does not hold, and since when this is known.
    pub missing_routes: BTreeMap<String, Instant>,
    /// When runs were last ended at a replica for online.
    pub preempted_at: BTreeMap<String, Instant>,
    /// The jobs by id.
    pub jobs: BTreeMap<String, OwnedJob>,
}

impl JobRegistry {
    /// Items that wait and may be started now: those of the oldest jobs first.
    pub fn startable(&self) -> Vec<StartableItem> {
        let now = Instant::now();
        let mut jobs: Vec<&OwnedJob> = self.jobs.values().collect();
        jobs.sort_by_key(|job| job.known.header.accepted_ms);
        let mut startable = Vec::new();
        for job in jobs {
            for (number, item) in (0..).zip(&job.items) {
                if item.is_startable(now) {
                    startable.push(StartableItem {
                        job: job.known.header.job_id.clone(),
                        number,
                        route: job.known.header.route.clone(),
                        accepted_ms: job.known.header.accepted_ms,
                        started_fresh: lock(&item.progress).last_event.is_none(),
                        last_replica_instance: item.last_replica_instance,
                        failures: item.failures,
                        request: item.request.clone(),
                        progress: item.progress.clone(),
                    });
                }
            }
        }
        startable
    }

    /// Notes which jobs' routes the configuration does not hold; items of one that has been missing for `grace_period`
    /// fail for good, since nothing may run them any more.
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

    /// An item.
    pub fn item(&mut self, job: &str, number: u32) -> Option<&mut Item> {
        self.jobs.get_mut(job)?.items.get_mut(number as usize)
    }

    /// Ends the `count` youngest runs at a replica; their items wait for `pause`. Returns the items.
    pub fn preempt_runs(
        &mut self,
        replica: &str,
        count: usize,
        pause: Duration,
    ) -> Vec<PreemptedItem> {
        let mut runs = self.runs_where(|at| at.replica == replica);
        runs.sort_by_key(|run| std::cmp::Reverse(run.since));
        let selected = runs.into_iter().take(count);
        selected.map(|run| run.preempt(pause)).collect()
    }

    /// Ends the run that holds a place; its item waits for `pause`. Returns the item.
    pub fn preempt_lease(&mut self, slot: u32, pause: Duration) -> Option<PreemptedItem> {
        let run = self.runs_where(|at| at.slot == slot).pop()?;
        Some(run.preempt(pause))
    }

    fn runs_where(&mut self, is_selected: impl Fn(&RunSlot) -> bool) -> Vec<RunInProgress<'_>> {
        let mut runs = Vec::new();
        for job in self.jobs.values_mut() {
            for item in &mut job.items {
                let ItemPhase::Running {
                    at: Some(at),
                    since,
                    ..
                } = &item.phase
                else {
                    continue;
                };
                if !is_selected(at) {
                    continue;
                }
                runs.push(RunInProgress {
                    since: *since,
                    preempted: PreemptedItem {
                        job: job.known.header.job_id.clone(),
                        item: item.request.id.clone(),
                        replica: at.replica.clone(),
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

/// An item whose run was ended for online.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreemptedItem {
    /// Job.
    pub job: String,
    /// Item id.
    pub item: String,
    /// Replica at which it ran.
    pub replica: String,
    /// Events received so far.
    pub events: u64,
}
