//! The jobs that this daemon runs, and the state of each item: pure apart from the tasks' handles.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use harrierward_serving::ServingRequest;
use harrierward_wire::{ItemFailuresRow, ItemProgressRow};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::no_room::NoRoom;
use crate::pacing::RunLength;
use crate::store::ListedResult;
use crate::view::KnownHead;

/// What has come of an item so far; shared with the task that runs it.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ItemProgress {
    /// Last event received.
    pub last_event: Option<u64>,
    /// Data of the events so far.
    pub texts: Vec<String>,
    /// When the last of them came to this daemon.
    pub moved_at: Option<Instant>,
}

/// Progress shared between book and task.
pub type SharedProgress = Arc<Mutex<ItemProgress>>;

/// Where an item stands.
#[derive(Debug)]
pub enum ItemPhase {
    /// Waits for a slot.
    Waiting {
        /// Not to be started earlier.
        not_before: Instant,
    },
    /// Runs at a replica, or is about to.
    Running {
        /// Where; `None` until a place is given.
        at: Option<RunPlace>,
        /// Ends the run.
        task: AbortHandle,
        /// When it began.
        since: Instant,
    },
    /// Its result waits to be listed.
    Done {
        /// The item failed for good.
        failed: bool,
    },
    /// Its result is listed.
    Listed,
}

/// Where an item runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunPlace {
    /// Replica.
    pub replica: String,
    /// Number of the place that it holds there.
    pub place: u32,
}

/// One item.
#[derive(Debug)]
pub struct Item {
    /// The request that runs it.
    pub request: Arc<ServingRequest>,
    /// What has come so far.
    pub progress: SharedProgress,
    /// Failed attempts.
    pub failures: u32,
    /// Those of them that the job's head counts. The item does not run again before it counts all, so that a later owner
    /// allows no more attempts than this one.
    pub failures_kept: u32,
    /// Events of it that are saved.
    pub saved_events: usize,
    /// Hash of the replica's start at which it last ran: that one may still keep its prompt.
    pub ran_at: Option<u32>,
    /// Where it stands.
    pub phase: ItemPhase,
}

impl Item {
    fn may_run_again(&self) -> bool {
        matches!(
            self.phase,
            ItemPhase::Waiting { .. } | ItemPhase::Running { .. }
        )
    }

    fn has_failures_to_keep(&self) -> bool {
        self.failures > self.failures_kept && self.may_run_again()
    }

    fn is_startable(&self, now: Instant) -> bool {
        let is_due = matches!(self.phase, ItemPhase::Waiting { not_before } if not_before <= now);
        is_due && !self.has_failures_to_keep()
    }
}

/// What is handed over of a job, beside its head.
#[derive(Debug, Default)]
pub struct LeftWork {
    /// Progress of unfinished items.
    pub progress: Vec<(u32, ItemProgressRow)>,
    /// Failures of items that are not listed.
    pub failures: Vec<ItemFailuresRow>,
}

/// One job that this daemon runs.
#[derive(Debug)]
pub struct OwnedJob {
    /// Its head.
    pub known: KnownHead,
    /// Its items.
    pub items: Vec<Item>,
    /// A task lists results of the job.
    pub listing: bool,
    /// When progress of its items was last saved.
    pub checkpoint_at: Instant,
    /// When this daemon began to run it.
    pub entered_at: Instant,
    /// When a run of it last came to nothing at a replica.
    pub broken_run_at: Option<Instant>,
}

impl OwnedJob {
    /// A job whose items were read; `progress` is what an earlier owner left.
    pub fn new(
        known: KnownHead,
        requests: Vec<ServingRequest>,
        progress: Vec<(u32, ItemProgressRow)>,
    ) -> Self {
        let now = Instant::now();
        let mut items: Vec<Item> = requests
            .into_iter()
            .map(|request| Item {
                request: Arc::new(request),
                progress: SharedProgress::default(),
                failures: 0,
                failures_kept: 0,
                saved_events: 0,
                ran_at: None,
                phase: ItemPhase::Waiting { not_before: now },
            })
            .collect();
        for (number, row) in progress {
            if let Some(item) = items.get_mut(number as usize) {
                item.failures = row.failures;
                item.failures_kept = row.failures;
                item.saved_events = row.texts.len();
                item.progress = Arc::new(Mutex::new(ItemProgress {
                    last_event: Some(row.last_event).filter(|_| !row.texts.is_empty()),
                    texts: row.texts,
                    moved_at: None,
                }));
            }
        }
        let mut job = Self {
            known: known.clone(),
            items,
            listing: false,
            checkpoint_at: now,
            entered_at: now,
            broken_run_at: None,
        };
        job.take_head(known);
        job
    }

    /// Takes a newer head of the same owner and epoch: what it lists, and the failures that it counts.
    pub fn take_head(&mut self, known: KnownHead) {
        self.known = known;
        for row in &self.known.head.failures {
            if let Some(item) = self.items.get_mut(row.item as usize) {
                item.failures = item.failures.max(row.count);
                item.failures_kept = item.failures_kept.max(row.count);
            }
        }
        self.mark_listed();
    }

    /// Items that the head lists need nothing more.
    fn mark_listed(&mut self) {
        for number in &self.known.head.listed {
            if let Some(item) = self.items.get_mut(*number as usize) {
                end_run(&item.phase);
                item.phase = ItemPhase::Listed;
                item.progress = SharedProgress::default();
            }
        }
    }

    /// Ends all runs; items go back to waiting.
    pub fn stop_runs(&mut self) {
        for item in &mut self.items {
            if matches!(item.phase, ItemPhase::Running { .. }) {
                end_run(&item.phase);
                item.phase = ItemPhase::Waiting {
                    not_before: Instant::now(),
                };
            }
        }
    }

    /// Ends all runs; what another owner needs of the job.
    pub fn left_work(&mut self) -> LeftWork {
        self.stop_runs();
        LeftWork {
            progress: self.progress_rows(),
            failures: self.failures(&[]),
        }
    }

    /// Progress of unfinished items, for another owner.
    pub fn progress_rows(&self) -> Vec<(u32, ItemProgressRow)> {
        let unfinished = (0..).zip(&self.items).filter(|(_, item)| {
            matches!(
                item.phase,
                ItemPhase::Waiting { .. } | ItemPhase::Running { .. } | ItemPhase::Done { .. }
            )
        });
        unfinished
            .filter_map(|(number, item)| {
                let progress = lock(&item.progress);
                let row = ItemProgressRow {
                    last_event: progress.last_event?,
                    texts: progress.texts.clone(),
                    failures: item.failures,
                };
                Some((number, row))
            })
            .collect()
    }

    /// True if nothing has come of the job here for so long, though runs were tried. Items that wait for slots are not stuck.
    pub fn is_stuck(&self, patience: Duration) -> bool {
        let is_recent = |at: Instant| at.elapsed() < patience;
        let has_moved = |item: &Item| {
            let is_young = match item.phase {
                ItemPhase::Running { since, .. } => is_recent(since),
                ItemPhase::Done { .. } => true,
                ItemPhase::Waiting { .. } | ItemPhase::Listed => false,
            };
            is_young || lock(&item.progress).moved_at.is_some_and(is_recent)
        };
        let has_tried = self.broken_run_at.is_some_and(is_recent);
        has_tried && !is_recent(self.entered_at) && !self.items.iter().any(has_moved)
    }

    /// Items that have failed as often as their route allows, under an earlier owner, do not run again.
    pub fn fail_spent_items(&mut self, attempts: u32) {
        for item in &mut self.items {
            if item.failures >= attempts && item.may_run_again() {
                end_run(&item.phase);
                item.phase = ItemPhase::Done { failed: true };
            }
        }
    }

    /// True if items have failed and the head does not count it yet.
    pub fn has_failures_to_keep(&self) -> bool {
        self.items.iter().any(Item::has_failures_to_keep)
    }

    /// Failures of items that are not listed, nor among the results that are to be listed, for the head.
    pub fn failures(&self, to_list: &[ListedResult]) -> Vec<ItemFailuresRow> {
        let items = (0..).zip(&self.items);
        let failed = items.filter(|(number, item)| {
            let is_open = !matches!(item.phase, ItemPhase::Listed);
            let is_listed_now = to_list.iter().any(|result| result.item == *number);
            item.failures > 0 && is_open && !is_listed_now
        });
        let rows = failed.map(|(number, item)| ItemFailuresRow {
            item: number,
            count: item.failures,
        });
        rows.collect()
    }

    /// Results that wait to be listed, within the bounds of one transaction.
    pub fn results_to_list(&self, most: usize, bytes: usize) -> Vec<ListedResult> {
        let mut results = Vec::new();
        let mut size = 0;
        for (number, item) in (0..).zip(&self.items) {
            let ItemPhase::Done { failed } = item.phase else {
                continue;
            };
            if self.known.head.listed.contains(&number) {
                continue;
            }
            let text = if failed {
                String::new()
            } else {
                lock(&item.progress).texts.join("\n")
            };
            size += text.len();
            if !results.is_empty() && (size > bytes || results.len() >= most) {
                break;
            }
            results.push(ListedResult {
                item: number,
                failed,
                text,
            });
        }
        results
    }
}

fn end_run(phase: &ItemPhase) {
    if let ItemPhase::Running { task, .. } = phase {
        task.abort();
    }
}

/// Locks shared progress.
pub fn lock(progress: &SharedProgress) -> std::sync::MutexGuard<'_, ItemProgress> {
    progress.lock().unwrap_or_else(PoisonError::into_inner)
}

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
    pub began_anew: bool,
    /// Hash of the replica's start at which it last ran.
    pub ran_at: Option<u32>,
    /// Runs that a replica failed.
    pub failures: u32,
    /// The request that runs it.
    pub request: Arc<ServingRequest>,
    /// What has come so far.
    pub progress: SharedProgress,
}

/// All jobs of this daemon.
#[derive(Debug, Default)]
pub struct JobBook {
    /// When an item was last started.
    pub last_start: Option<Instant>,
    /// Items for which a place is being asked.
    pub placing: usize,
    /// Where there was no room a moment ago.
    pub no_room: NoRoom,
    /// What items take.
    pub run_length: RunLength,
    /// Routes of jobs that the configuration does not hold, and since when this is known.
    pub routes_missing: BTreeMap<String, Instant>,
    /// When runs were last ended at a replica for online.
    pub yielded_at: BTreeMap<String, Instant>,
    /// The jobs by id.
    pub jobs: BTreeMap<String, OwnedJob>,
}

impl JobBook {
    /// Items that wait and may be started now: those of the oldest jobs first.
    pub fn startable(&self) -> Vec<StartableItem> {
        let now = Instant::now();
        let mut jobs: Vec<&OwnedJob> = self.jobs.values().collect();
        jobs.sort_by_key(|job| job.known.head.accepted_ms);
        let mut startable = Vec::new();
        for job in jobs {
            for (number, item) in (0..).zip(&job.items) {
                if item.is_startable(now) {
                    startable.push(StartableItem {
                        job: job.known.head.job_id.clone(),
                        number,
                        route: job.known.head.route.clone(),
                        accepted_ms: job.known.head.accepted_ms,
                        began_anew: lock(&item.progress).last_event.is_none(),
                        ran_at: item.ran_at,
                        failures: item.failures,
                        request: item.request.clone(),
                        progress: item.progress.clone(),
                    });
                }
            }
        }
        startable
    }

    /// Notes which jobs' routes the configuration does not hold; items of one that has been missing for `patience`
    /// fail for good, since nothing may run them any more.
    pub fn fail_items_without_route(
        &mut self,
        is_known: impl Fn(&str) -> bool,
        now: Instant,
        patience: Duration,
    ) {
        let routes = self.jobs.values().map(|job| job.known.head.route.as_str());
        let missing: Vec<String> = routes
            .filter(|route| !is_known(route))
            .map(str::to_owned)
            .collect();
        self.routes_missing
            .retain(|route, _| missing.contains(route));
        for route in missing {
            self.routes_missing.entry(route).or_insert(now);
        }
        let routes_missing = &self.routes_missing;
        for job in self.jobs.values_mut() {
            let since = routes_missing.get(&job.known.head.route);
            if since.is_none_or(|since| now.saturating_duration_since(*since) < patience) {
                continue;
            }
            for item in &mut job.items {
                if matches!(
                    item.phase,
                    ItemPhase::Waiting { .. } | ItemPhase::Running { .. }
                ) {
                    end_run(&item.phase);
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
    pub fn yield_runs(&mut self, replica: &str, count: usize, pause: Duration) -> Vec<YieldedItem> {
        let mut runs = self.runs_where(|at| at.replica == replica);
        runs.sort_by_key(|run| std::cmp::Reverse(run.since));
        let ended = runs.into_iter().take(count);
        ended.map(|run| run.yield_for(pause)).collect()
    }

    /// Ends the run that holds a place; its item waits for `pause`. Returns the item.
    pub fn yield_lease(&mut self, place: u32, pause: Duration) -> Option<YieldedItem> {
        let run = self.runs_where(|at| at.place == place).pop()?;
        Some(run.yield_for(pause))
    }

    fn runs_where(&mut self, is_meant: impl Fn(&RunPlace) -> bool) -> Vec<RunInProgress<'_>> {
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
                if !is_meant(at) {
                    continue;
                }
                runs.push(RunInProgress {
                    since: *since,
                    yielded: YieldedItem {
                        job: job.known.head.job_id.clone(),
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
    yielded: YieldedItem,
    phase: &'a mut ItemPhase,
}

impl RunInProgress<'_> {
    fn yield_for(self, pause: Duration) -> YieldedItem {
        end_run(self.phase);
        *self.phase = ItemPhase::Waiting {
            not_before: Instant::now() + pause,
        };
        self.yielded
    }
}

/// An item whose run was ended for online.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct YieldedItem {
    /// Job.
    pub job: String,
    /// Item id.
    pub item: String,
    /// Replica at which it ran.
    pub replica: String,
    /// Events received so far.
    pub events: u64,
}
