//! One job that this daemon runs, with its items.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_memory::FairPermit;
use harrierward_serving::{
    EventsLeft, KnownOrigin, OriginSource, ServingRequest, SoftwareVersion, StreamOrigin,
};
use harrierward_wire::{ItemFailuresRow, ItemProgressRow, JobHeadRow};
use tokio::time::Instant;

use crate::fruitless::FruitlessAttempts;
use crate::item::{Item, ItemPhase, ItemProgress, SharedProgress, abort_run, lock};
use crate::store::ListedResult;
use crate::view::KnownHeader;

/// Limits of the results listed by a handover and of their text in bytes, which leave half of the transaction for
/// progress.
const MAX_HANDOVER_RESULTS: usize = 40;
const MAX_HANDOVER_BYTES: usize = 300_000;

/// True if an item is neither listed nor among the results to be listed.
fn is_unlisted(number: u32, item: &Item, to_list: &[ListedResult]) -> bool {
    let is_listed = matches!(item.phase, ItemPhase::Listed);
    !is_listed && !to_list.iter().any(|result| result.item == number)
}

/// Returns an item's progress for a later owner; `None` if it has no output and no failures.
fn progress_row(item: &Item) -> Option<ItemProgressRow> {
    let progress = lock(&item.progress);
    if progress.last_event.is_none() && item.failures == 0 {
        return None;
    }
    Some(encode_progress(&progress, item.failures))
}

/// Encodes an item's progress for the store.
pub fn encode_progress(progress: &ItemProgress, failures: u32) -> ItemProgressRow {
    let origin = progress.origin.as_ref().map(|known| known.origin);
    ItemProgressRow {
        last_event: progress.last_event.unwrap_or_default(),
        texts: progress.texts.clone(),
        failures,
        service: origin.map_or(0, |origin| origin.service),
        version: origin.map(|origin| origin.version.hash()),
    }
}

/// Returns the output that an earlier owner stored; `None` if there is none, or if what wrote it is unknown, so that
/// nothing can continue it.
fn decode_progress(row: ItemProgressRow) -> Option<ItemProgress> {
    let origin = StreamOrigin {
        service: row.service,
        version: SoftwareVersion::from_hash(row.version?),
    };
    if row.texts.is_empty() {
        return None;
    }
    Some(ItemProgress {
        last_event: Some(row.last_event),
        texts: row.texts,
        origin: Some(KnownOrigin {
            origin,
            source: OriginSource::Store,
            known_at: harrierward_clock::now(),
        }),
        events_left: EventsLeft::after(Some(row.last_event), u32::MAX),
        unproven_end: None,
        last_event_at: None,
        is_awaiting_response: false,
    })
}

/// State that a handover writes in addition to the job's header.
#[derive(Debug, Default)]
pub struct HandoverState {
    /// Results that are complete and not listed yet.
    pub results: Vec<ListedResult>,
    /// Progress of the other unlisted items, by item number.
    pub progress: Vec<(u32, ItemProgressRow)>,
    /// Failure counts of unlisted items, for the header.
    pub failures: Vec<ItemFailuresRow>,
}

/// Whether the stored failure counts of a job's items include all failed runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureHistory {
    /// Each earlier owner released the job with every failure stored: an item without a count has not failed.
    Complete,
    /// An earlier owner did not release the job, or runs a build that may not store a failure: each count is a lower
    /// bound.
    Incomplete,
}

impl FailureHistory {
    /// Returns the failure history of a job with this header.
    pub fn of(header: &JobHeadRow) -> Self {
        if header.failures_are_complete {
            Self::Complete
        } else {
            Self::Incomplete
        }
    }

    /// Returns its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Incomplete => "incomplete",
        }
    }
}

/// A job that this daemon owns.
#[derive(Debug)]
pub struct OwnedJob {
    /// Newest known header of the same owner and epoch.
    pub known: KnownHeader,
    /// The items in submitted order.
    pub items: Vec<Item>,
    /// True while a task lists results of the job.
    pub is_listing: bool,
    /// Time of the last checkpoint, or of the registration.
    pub checkpoint_at: Instant,
    /// When this daemon began to run it.
    pub registered_at: Instant,
    /// When a run of it last broke or could not be sent; `None` if none did.
    pub broken_run_at: Option<Instant>,
    /// Items that begin again although the store holds events, since it doesn't hold the version that wrote them.
    unknown_versions: usize,
    /// When the number of listed results last grew; `None` if it has not grown here.
    listed_at: Option<Instant>,
    /// Memory that the items take; `None` in tests.
    memory: Option<FairPermit>,
}

impl OwnedJob {
    /// Creates a job from its items; `progress` is what an earlier owner stored.
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
                version_full_since: None,
                fruitless: FruitlessAttempts::default(),
                phase: ItemPhase::Waiting { not_before: now },
            })
            .collect();
        let mut unknown_versions = 0;
        for (number, row) in progress {
            if let Some(item) = items.get_mut(number as usize) {
                item.failures = row.failures;
                item.recorded_failures = row.failures;
                if !row.texts.is_empty() && row.version.is_none() {
                    unknown_versions += 1;
                }
                if let Some(progress) = decode_progress(row) {
                    item.saved_events = progress.texts.len();
                    item.progress = Arc::new(Mutex::new(progress));
                }
            }
        }
        let mut job = Self {
            known: known.clone(),
            items,
            is_listing: false,
            checkpoint_at: now,
            registered_at: now,
            broken_run_at: None,
            unknown_versions,
            listed_at: None,
            memory: None,
        };
        job.update_header(known);
        job
    }

    /// Holds the memory that the items take until the job is dropped.
    pub fn with_memory(mut self, memory: FairPermit) -> Self {
        self.memory = Some(memory);
        self
    }

    /// Applies a newer header of the same owner and epoch: its listed results and failure counts.
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

    /// Aborts the runs of listed items and drops their progress.
    fn mark_listed(&mut self) {
        for number in &self.known.header.listed {
            if let Some(item) = self.items.get_mut(*number as usize) {
                abort_run(&item.phase);
                item.phase = ItemPhase::Listed;
                item.progress = SharedProgress::default();
            }
        }
    }

    /// Aborts all runs; their items wait again.
    pub fn stop_runs(&mut self) {
        self.stop_where(|phase| matches!(phase, ItemPhase::Running { .. }));
    }

    /// Aborts the placements of items that no replica has received yet; the items wait again.
    pub fn stop_placements(&mut self) {
        self.stop_where(|phase| matches!(phase, ItemPhase::Running { lease: None, .. }));
    }

    fn stop_where(&mut self, is_selected: impl Fn(&ItemPhase) -> bool) {
        for item in &mut self.items {
            if is_selected(&item.phase) {
                abort_run(&item.phase);
                item.phase = ItemPhase::Waiting {
                    not_before: Instant::now(),
                };
            }
        }
    }

    /// True if a replica has received an item and has not begun its response.
    pub fn awaits_response(&self) -> bool {
        self.items.iter().any(|item| {
            let is_running = matches!(item.phase, ItemPhase::Running { lease: Some(_), .. });
            is_running && lock(&item.progress).is_awaiting_response
        })
    }

    /// Aborts all runs and returns the state for the next owner.
    pub fn stop_for_handover(&mut self) -> HandoverState {
        self.stop_runs();
        let results = self.results_to_list(MAX_HANDOVER_RESULTS, MAX_HANDOVER_BYTES);
        HandoverState {
            progress: self.progress_rows(&results),
            failures: self.failures(&results),
            results,
        }
    }

    /// Returns the progress of items that are neither listed nor in `to_list`.
    pub fn progress_rows(&self, to_list: &[ListedResult]) -> Vec<(u32, ItemProgressRow)> {
        let items = (0..).zip(&self.items);
        let rows = items.filter(|(number, item)| is_unlisted(*number, item, to_list));
        rows.filter_map(|(number, item)| Some((number, progress_row(item)?)))
            .collect()
    }

    /// Returns the progress of items whose failures the header does not count yet. Builds without failure counts in
    /// headers drop these counts when they rewrite a header, and read these rows instead.
    pub fn failed_progress_rows(&self, to_list: &[ListedResult]) -> Vec<(u32, ItemProgressRow)> {
        let items = (0..).zip(&self.items);
        let failed = items.filter(|(number, item)| {
            item.has_unrecorded_failures() && is_unlisted(*number, item, to_list)
        });
        let rows = failed.filter_map(|(number, item)| Some((number, progress_row(item)?)));
        rows.collect()
    }

    /// True if a run broke or could not be sent within `timeout`, and in that time no run that is still in progress
    /// started, no item received an event and no result was listed. A newly registered job is not stuck, nor is one with
    /// a result to list or one whose items replicas refuse, as they would refuse them of any owner.
    pub fn is_stuck(&self, timeout: Duration) -> bool {
        let is_recent = |at: Instant| at.elapsed() < timeout;
        let has_progressed = |item: &Item| {
            let is_active = match item.phase {
                ItemPhase::Running { since, .. } => is_recent(since),
                ItemPhase::Done { .. } => true,
                ItemPhase::Waiting { .. } | ItemPhase::Listed => false,
            };
            is_active || lock(&item.progress).last_event_at.is_some_and(is_recent)
        };
        let has_tried = self.broken_run_at.is_some_and(is_recent);
        let has_listed = self.listed_at.is_some_and(is_recent);
        let is_new = is_recent(self.registered_at);
        has_tried && !is_new && !has_listed && !self.items.iter().any(has_progressed)
    }

    /// Returns the record of the job's load from the store.
    pub fn load_record(&self) -> Record<'_> {
        let header = &self.known.header;
        let unlisted = self.items.iter();
        let unlisted = unlisted.filter(|item| !matches!(item.phase, ItemPhase::Listed));
        let has_events = |item: &&Item| lock(&item.progress).last_event.is_some();
        Record::JobLoaded {
            job: &header.job_id,
            epoch: header.epoch,
            unlisted: unlisted.clone().count(),
            unknown_versions: self.unknown_versions,
            with_events: unlisted.clone().filter(has_events).count(),
            failures: unlisted.map(|item| u64::from(item.failures)).sum(),
            failure_history: FailureHistory::of(header).name(),
        }
    }

    /// Fails items that have used up their route's attempts, possibly under an earlier owner.
    pub fn fail_exhausted_items(&mut self, attempts: u32) {
        for item in &mut self.items {
            if item.failures >= attempts && item.is_unfinished() {
                abort_run(&item.phase);
                item.phase = ItemPhase::Done { failed: true };
            }
        }
    }

    /// True if the header does not count all failures of the items yet.
    pub fn has_unrecorded_failures(&self) -> bool {
        self.items.iter().any(Item::has_unrecorded_failures)
    }

    /// Returns the failure counts of unlisted items that the header does not hold yet. Unlike
    /// [`Self::has_unrecorded_failures`] also those of finished items, which another owner would run again.
    pub fn unrecorded_failures(&self) -> Vec<ItemFailuresRow> {
        let items = (0..).zip(&self.items);
        let unrecorded = items.filter(|(_, item)| {
            let is_listed = matches!(item.phase, ItemPhase::Listed);
            item.failures > item.recorded_failures && !is_listed
        });
        let rows = unrecorded.map(|(number, item)| ItemFailuresRow {
            item: number,
            count: item.failures,
        });
        rows.collect()
    }

    /// Raises the failure counts of items to what an earlier owner reported. They count as not stored yet.
    pub fn raise_failures(&mut self, reported: &[ItemFailuresRow]) {
        for row in reported {
            if let Some(item) = self.items.get_mut(row.item as usize) {
                item.failures = item.failures.max(row.count);
            }
        }
    }

    /// Returns the failure counts of items that are neither listed nor in `to_list`.
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

    /// Returns complete results that are not listed yet: at most `max_results`, with `max_bytes` of text, but the first
    /// one whatever its size.
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
