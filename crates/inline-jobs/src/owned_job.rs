//! One job that this daemon runs.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use harrierward_serving::ServingRequest;
use harrierward_wire::{ItemFailuresRow, ItemProgressRow};
use tokio::time::Instant;

use crate::item::{Item, ItemPhase, ItemProgress, SharedProgress, abort_run, lock};
use crate::store::ListedResult;
use crate::view::KnownHeader;

/// Most results listed as a job is handed over, and their text in bytes: half of a transaction, so that progress has room.
const MAX_HANDOVER_RESULTS: usize = 40;
const MAX_HANDOVER_BYTES: usize = 300_000;

/// True if an item is not listed, nor among the results that are to be listed.
fn is_unlisted(number: u32, item: &Item, to_list: &[ListedResult]) -> bool {
    let is_listed = matches!(item.phase, ItemPhase::Listed);
    !is_listed && !to_list.iter().any(|result| result.item == number)
}

/// What a later owner needs of an item; `None` if nothing has come of it.
fn progress_row(item: &Item) -> Option<ItemProgressRow> {
    let progress = lock(&item.progress);
    if progress.last_event.is_none() && item.failures == 0 {
        return None;
    }
    Some(ItemProgressRow {
        last_event: progress.last_event.unwrap_or_default(),
        texts: progress.texts.clone(),
        failures: item.failures,
    })
}

/// What is handed over of a job, beside its head.
#[derive(Debug, Default)]
pub struct HandoverState {
    /// Results that are done and not listed yet.
    pub results: Vec<ListedResult>,
    /// Progress of the other items that are not listed.
    pub progress: Vec<(u32, ItemProgressRow)>,
    /// Failures of items that are not listed.
    pub failures: Vec<ItemFailuresRow>,
}

/// One job that this daemon runs.
#[derive(Debug)]
pub struct OwnedJob {
    /// Its head.
    pub known: KnownHeader,
    /// Its items.
    pub items: Vec<Item>,
    /// A task lists results of the job.
    pub is_listing: bool,
    /// When progress of its items was last saved.
    pub checkpoint_at: Instant,
    /// When this daemon began to run it.
    pub registered_at: Instant,
    /// When a run of it last came to nothing at a replica.
    pub broken_run_at: Option<Instant>,
    /// When results of it were last seen to be listed.
    listed_at: Option<Instant>,
}

impl OwnedJob {
    /// A job whose items were read; `progress` is what an earlier owner left.
    pub fn new(
        known: KnownHeader,
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
                recorded_failures: 0,
                saved_events: 0,
                last_replica_instance: None,
                phase: ItemPhase::Waiting { not_before: now },
            })
            .collect();
        for (number, row) in progress {
            if let Some(item) = items.get_mut(number as usize) {
                item.failures = row.failures;
                item.recorded_failures = row.failures;
                item.saved_events = row.texts.len();
                item.progress = Arc::new(Mutex::new(ItemProgress {
                    last_event: Some(row.last_event).filter(|_| !row.texts.is_empty()),
                    texts: row.texts,
                    last_event_at: None,
                }));
            }
        }
        let mut job = Self {
            known: known.clone(),
            items,
            is_listing: false,
            checkpoint_at: now,
            registered_at: now,
            broken_run_at: None,
            listed_at: None,
        };
        job.update_header(known);
        job
    }

    /// Takes a newer head of the same owner and epoch: what it lists, and the failures that it counts.
    pub fn update_header(&mut self, known: KnownHeader) {
        if known.header.listed.len() > self.known.header.listed.len() {
            self.listed_at = Some(Instant::now());
        }
        self.known = known;
        for row in &self.known.header.failures {
            if let Some(item) = self.items.get_mut(row.item as usize) {
                item.failures = item.failures.max(row.count);
                item.recorded_failures = item.recorded_failures.max(row.count);
            }
        }
        self.mark_listed();
    }

    /// Items that the head lists need nothing more.
    fn mark_listed(&mut self) {
        for number in &self.known.header.listed {
            if let Some(item) = self.items.get_mut(*number as usize) {
                abort_run(&item.phase);
                item.phase = ItemPhase::Listed;
                item.progress = SharedProgress::default();
            }
        }
    }

    /// Ends all runs; items go back to waiting.
    pub fn stop_runs(&mut self) {
        for item in &mut self.items {
            if matches!(item.phase, ItemPhase::Running { .. }) {
                abort_run(&item.phase);
                item.phase = ItemPhase::Waiting {
                    not_before: Instant::now(),
                };
            }
        }
    }

    /// Ends all runs; what another owner needs of the job.
    pub fn stop_for_handover(&mut self) -> HandoverState {
        self.stop_runs();
        let results = self.results_to_list(MAX_HANDOVER_RESULTS, MAX_HANDOVER_BYTES);
        HandoverState {
            progress: self.progress_rows(&results),
            failures: self.failures(&results),
            results,
        }
    }

    /// Progress of items that are not listed, nor among the results that are to be listed, for another owner.
    pub fn progress_rows(&self, to_list: &[ListedResult]) -> Vec<(u32, ItemProgressRow)> {
        let items = (0..).zip(&self.items);
        let rows = items.filter(|(number, item)| is_unlisted(*number, item, to_list));
        rows.filter_map(|(number, item)| Some((number, progress_row(item)?)))
            .collect()
    }

    /// Rows of items whose failures the head does not count yet. Builds that know of no failures in heads drop them when they rewrite one,
    /// and read them here.
    pub fn failed_progress_rows(&self, to_list: &[ListedResult]) -> Vec<(u32, ItemProgressRow)> {
        let items = (0..).zip(&self.items);
        let failed = items.filter(|(number, item)| {
            item.has_unrecorded_failures() && is_unlisted(*number, item, to_list)
        });
        let rows = failed.filter_map(|(number, item)| Some((number, progress_row(item)?)));
        rows.collect()
    }

    /// True if nothing has come of the job here for so long, though runs were tried. Items that wait for slots are not stuck.
    pub fn is_stuck(&self, timeout: Duration) -> bool {
        let is_recent = |at: Instant| at.elapsed() < timeout;
        let has_progressed = |item: &Item| {
            let is_young = match item.phase {
                ItemPhase::Running { since, .. } => is_recent(since),
                ItemPhase::Done { .. } => true,
                ItemPhase::Waiting { .. } | ItemPhase::Listed => false,
            };
            is_young || lock(&item.progress).last_event_at.is_some_and(is_recent)
        };
        let has_tried = self.broken_run_at.is_some_and(is_recent);
        let has_listed = self.listed_at.is_some_and(is_recent);
        let is_new = is_recent(self.registered_at);
        has_tried && !is_new && !has_listed && !self.items.iter().any(has_progressed)
    }

    /// Items that have failed as often as their route allows, under an earlier owner, do not run again.
    pub fn fail_exhausted_items(&mut self, attempts: u32) {
        for item in &mut self.items {
            if item.failures >= attempts && item.is_unfinished() {
                abort_run(&item.phase);
                item.phase = ItemPhase::Done { failed: true };
            }
        }
    }

    /// True if items have failed and the head does not count it yet.
    pub fn has_unrecorded_failures(&self) -> bool {
        self.items.iter().any(Item::has_unrecorded_failures)
    }

    /// Failures of items that are not listed, nor among the results that are to be listed, for the head.
    pub fn failures(&self, to_list: &[ListedResult]) -> Vec<ItemFailuresRow> {
        let items = (0..).zip(&self.items);
        let failed =
            items.filter(|(number, item)| item.failures > 0 && is_unlisted(*number, item, to_list));
        let rows = failed.map(|(number, item)| ItemFailuresRow {
            item: number,
            count: item.failures,
        });
        rows.collect()
    }

    /// Results that wait to be listed, within the bounds of one transaction.
    pub fn results_to_list(&self, max_results: usize, max_bytes: usize) -> Vec<ListedResult> {
        let mut results = Vec::new();
        let mut size = 0;
        for (number, item) in (0..).zip(&self.items) {
            let ItemPhase::Done { failed } = item.phase else {
                continue;
            };
            if self.known.header.listed.contains(&number) {
                continue;
            }
            let text = if failed {
                String::new()
            } else {
                lock(&item.progress).texts.join("\n")
            };
            size += text.len();
            if !results.is_empty() && (size > max_bytes || results.len() >= max_results) {
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
