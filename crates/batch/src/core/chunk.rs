//! State of a chunk that has items left to run or to commit.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use harrierward_wire::{ChunkRow, ResultObject};

use crate::item_set::ItemSet;

/// A result that is not committed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedItem {
    /// Item number within the chunk.
    pub item: u32,
    /// Result line, without the newline.
    pub line: String,
    /// True if the item failed and is not run again.
    pub failed: bool,
}

/// Grant of an item to the member that runs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct GrantState {
    pub attempt: String,
    pub member: String,
    pub expires_at: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct InputItem {
    pub line: String,
    pub at_most_once: bool,
}

/// Input lines of a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ChunkInput {
    NotRequested,
    Loading,
    Loaded(Vec<InputItem>),
}

#[derive(Debug, Clone)]
pub(super) struct ActiveChunk {
    pub size: u32,
    /// Revision of the chunk row; `None` while it does not exist.
    pub revision: Option<u64>,
    /// Items whose results are committed.
    pub done: ItemSet,
    /// At-most-once items whose intent is committed.
    pub intents: ItemSet,
    pub results: Vec<ResultObject>,
    pub completed: u32,
    pub failed: u32,
    pub input: ChunkInput,
    /// Items that may run repeatedly and are ready to be granted.
    pub ready: VecDeque<u32>,
    /// Items that were interrupted repeatedly, with the end of their cooldown.
    pub cooldowns: BTreeMap<u32, Duration>,
    /// Number of interrupted runs of each item.
    pub interrupted_runs: BTreeMap<u32, u32>,
    /// At-most-once items whose intent is neither committed nor in flight.
    pub awaiting_intent: VecDeque<u32>,
    /// At-most-once items whose intent is in the commit in flight.
    pub intents_in_flight: ItemSet,
    /// At-most-once items that may be granted: their intent was committed by this owner, and they have not run.
    pub intent_ready: VecDeque<u32>,
    pub grants: BTreeMap<u32, GrantState>,
    /// At-most-once items that may have run, with the time until which their result is awaited.
    pub indeterminate: BTreeMap<u32, Duration>,
    pub finished: Vec<FinishedItem>,
    pub finished_since: Option<Duration>,
    /// Id of the commit in flight. Outcomes of other commits are of an earlier ownership and are ignored.
    pub in_flight: Option<u64>,
    pub commits: u32,
}

impl ActiveChunk {
    pub fn new(size: u32) -> Self {
        Self {
            size,
            revision: None,
            done: ItemSet::default(),
            intents: ItemSet::default(),
            results: Vec::new(),
            completed: 0,
            failed: 0,
            input: ChunkInput::NotRequested,
            ready: VecDeque::new(),
            cooldowns: BTreeMap::new(),
            interrupted_runs: BTreeMap::new(),
            awaiting_intent: VecDeque::new(),
            intents_in_flight: ItemSet::default(),
            intent_ready: VecDeque::new(),
            grants: BTreeMap::new(),
            indeterminate: BTreeMap::new(),
            finished: Vec::new(),
            finished_since: None,
            in_flight: None,
            commits: 0,
        }
    }

    pub fn from_row(size: u32, row: &ChunkRow, revision: u64) -> Self {
        let mut chunk = Self::new(size);
        chunk.revision = Some(revision);
        chunk.done = ItemSet::from_bytes(&row.done);
        chunk.intents = ItemSet::from_bytes(&row.intents);
        chunk.results = row.results.clone();
        chunk.completed = row.completed;
        chunk.failed = row.failed;
        chunk
    }

    /// Sets the input lines and queues the unfinished items.
    pub fn load_input(&mut self, items: Vec<InputItem>, indeterminate_until: Duration) {
        for (number, item) in (0..self.size).zip(&items) {
            if self.is_finished(number) || self.grants.contains_key(&number) {
                continue;
            }
            if !item.at_most_once {
                self.ready.push_back(number);
            } else if self.intents.contains(number) {
                self.indeterminate.insert(number, indeterminate_until);
            } else {
                self.awaiting_intent.push_back(number);
            }
        }
        self.input = ChunkInput::Loaded(items);
    }

    pub fn item(&self, number: u32) -> Option<&InputItem> {
        match &self.input {
            ChunkInput::Loaded(items) => items.get(number as usize),
            ChunkInput::NotRequested | ChunkInput::Loading => None,
        }
    }

    /// True if the item has a result, committed or not.
    pub fn is_finished(&self, number: u32) -> bool {
        self.done.contains(number) || self.finished.iter().any(|item| item.item == number)
    }

    pub fn all_done(&self) -> bool {
        self.done.len() == self.size
    }

    /// True if every item has a result, committed or not.
    pub fn all_finished(&self) -> bool {
        self.done.len() as usize + self.finished.len() == self.size as usize
    }

    /// Returns the number of items that may be granted now or after their intent is committed.
    pub fn open_items(&self) -> u32 {
        let waiting = self.ready.len() + self.intent_ready.len() + self.awaiting_intent.len();
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    pub fn finish(&mut self, item: FinishedItem, now: Duration) {
        self.grants.remove(&item.item);
        self.indeterminate.remove(&item.item);
        self.ready.retain(|number| *number != item.item);
        self.cooldowns.remove(&item.item);
        self.interrupted_runs.remove(&item.item);
        self.finished.push(item);
        self.finished_since.get_or_insert(now);
    }

    /// Returns the chunk row with `intents` and with the results `items`, which are stored in `object`.
    pub fn row_with(
        &self,
        epoch: u64,
        items: &[FinishedItem],
        object: Option<&str>,
        intents: ItemSet,
    ) -> ChunkRow {
        let mut done = self.done;
        let mut results = self.results.clone();
        for item in items {
            done.insert(item.item);
        }
        if let Some(name) = object {
            results.push(ResultObject {
                name: name.to_owned(),
                lines: u32::try_from(items.len()).unwrap_or(u32::MAX),
            });
        }
        let failed = items.iter().filter(|item| item.failed).count();
        let failed = u32::try_from(failed).unwrap_or(u32::MAX);
        let total = u32::try_from(items.len()).unwrap_or(u32::MAX);
        ChunkRow {
            epoch,
            done: done.to_bytes(),
            intents: self.intents.union(intents).to_bytes(),
            results,
            completed: self.completed + total - failed,
            failed: self.failed + failed,
        }
    }

    /// Updates the state from a row that this owner committed.
    pub fn apply_row(&mut self, row: &ChunkRow, revision: u64) {
        self.revision = Some(revision);
        self.done = ItemSet::from_bytes(&row.done);
        self.intents = ItemSet::from_bytes(&row.intents);
        self.results = row.results.clone();
        self.completed = row.completed;
        self.failed = row.failed;
        self.in_flight = None;
        let done = self.done;
        self.finished.retain(|item| !done.contains(item.item));
        if self.finished.is_empty() {
            self.finished_since = None;
        }
    }
}

/// Number of interrupted runs from which an item gets a cooldown. Fewer may have another cause than the item.
const INTERRUPTED_RUNS_BEFORE_COOLDOWN: u32 = 3;

/// First cooldown; doubles after each further interrupted run, up to about 11 minutes, so that an item which crashes
/// its engine is granted ever less often.
const MIN_COOLDOWN: Duration = Duration::from_secs(5);
const MAX_DOUBLINGS: u32 = 7;

/// Factor by which the commit delay of an unfinished chunk grows with each commit.
const COMMIT_DELAY_FACTOR: u32 = 3;

/// Number of commits after which the delay stops growing.
const MAX_DELAY_STEPS: u32 = 4;

impl ActiveChunk {
    /// Notes an interrupted run of an item that may run again: makes it ready, or starts its cooldown.
    pub fn note_interrupted_run(&mut self, number: u32, now: Duration) {
        let interrupted = self.interrupted_runs.entry(number).or_default();
        *interrupted += 1;
        let Some(doublings) = interrupted.checked_sub(INTERRUPTED_RUNS_BEFORE_COOLDOWN) else {
            self.ready.push_front(number);
            return;
        };
        let cooldown = MIN_COOLDOWN * (1 << doublings.min(MAX_DOUBLINGS));
        self.cooldowns.insert(number, now + cooldown);
    }

    /// Returns items to the ready queue after their cooldown.
    pub fn end_cooldowns(&mut self, now: Duration) {
        let expired: Vec<u32> = self
            .cooldowns
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            self.cooldowns.remove(&number);
            self.ready.push_back(number);
        }
    }

    pub fn has_grantable(&self) -> bool {
        !self.ready.is_empty() || !self.intent_ready.is_empty()
    }

    /// True for an at-most-once item that has certainly not run: a result of it is invalid.
    pub fn is_unrun(&self, number: u32) -> bool {
        self.awaiting_intent.contains(&number)
            || self.intent_ready.contains(&number)
            || self.intents_in_flight.contains(number)
    }

    /// Adds a grant that an earlier owner made, or that expired here, and that its member still holds. False if the
    /// member must stop: nobody can have been granted this item.
    pub fn adopt_grant(
        &mut self,
        number: u32,
        held: &harrierward_wire::RunningItem,
        member: &str,
        expires_at: Duration,
    ) -> bool {
        if number >= self.size || self.is_unrun(number) {
            return false;
        }
        self.ready.retain(|ready| *ready != number);
        self.cooldowns.remove(&number);
        self.indeterminate.remove(&number);
        let grant = GrantState {
            attempt: held.attempt.clone(),
            member: member.to_owned(),
            expires_at,
        };
        self.grants.insert(number, grant);
        true
    }

    /// Expires grants: at-most-once items become indeterminate, the others ready. Without the input lines, loading them
    /// decides.
    pub fn expire_grants(&mut self, now: Duration, indeterminate_until: Duration) {
        let expired: Vec<u32> = self
            .grants
            .iter()
            .filter(|(_, grant)| grant.expires_at <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            self.grants.remove(&number);
            if self.item(number).is_some_and(|item| item.at_most_once) {
                self.indeterminate.insert(number, indeterminate_until);
            } else if matches!(self.input, ChunkInput::Loaded(_)) {
                self.ready.push_front(number);
            }
        }
    }

    /// Fails the indeterminate items whose result did not arrive in time; returns the bytes of their result lines.
    pub fn expire_indeterminate(&mut self, now: Duration) -> usize {
        let expired: Vec<u32> = self
            .indeterminate
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(number, _)| *number)
            .collect();
        let mut bytes = 0;
        for number in expired {
            let line = self
                .item(number)
                .map(|item| unknown_line(&item.line))
                .unwrap_or_default();
            bytes += line.len();
            let item = FinishedItem {
                item: number,
                line,
                failed: true,
            };
            self.finish(item, now);
        }
        bytes
    }

    /// True if the finished items must be committed now; `flush` skips the commit delay.
    pub fn results_due(
        &self,
        now: Duration,
        flush: bool,
        settings: &super::owner::OwnerSettings,
    ) -> bool {
        let Some(since) = self.finished_since else {
            return false;
        };
        let factor = COMMIT_DELAY_FACTOR.pow(self.commits.min(MAX_DELAY_STEPS));
        let waited = now.saturating_sub(since) >= settings.commit_delay * factor;
        flush || waited || self.all_finished()
    }

    pub fn needs_intents(&self, settings: &super::owner::OwnerSettings) -> bool {
        !self.awaiting_intent.is_empty()
            && self.intent_ready.len() < settings.max_intents_ahead / 2 + 1
    }

    /// Moves up to `max` items into the intents in flight.
    pub fn start_intents(&mut self, max: usize) -> ItemSet {
        for _ in 0..max {
            let Some(number) = self.awaiting_intent.pop_front() else {
                break;
            };
            self.intents_in_flight.insert(number);
        }
        self.intents_in_flight
    }

    /// Makes the items whose intents were committed ready.
    pub fn intents_committed(&mut self) {
        let items: Vec<u32> = self.intents_in_flight.iter().collect();
        self.intent_ready.extend(items);
        self.intents_in_flight = ItemSet::default();
    }

    /// Ends a commit that was not executed; its intents are queued again.
    pub fn commit_failed(&mut self) {
        self.in_flight = None;
        let items: Vec<u32> = self.intents_in_flight.iter().collect();
        for number in items.into_iter().rev() {
            self.awaiting_intent.push_front(number);
        }
        self.intents_in_flight = ItemSet::default();
    }
}

/// Returns the result line of an at-most-once item that may have run.
fn unknown_line(input: &str) -> String {
    let custom_id = serde_json::from_str::<serde_json::Value>(input)
        .ok()
        .and_then(|value| value.get("custom_id").cloned())
        .unwrap_or_default();
    serde_json::json!({
        "custom_id": custom_id,
        "response": null,
        "error": {
            "code": "unknown_execution",
            "message": "the item may have run; it is not run again",
            "execution": "unknown",
        },
    })
    .to_string()
}
