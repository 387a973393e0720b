//! One chunk of a job in work.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use harrierward_wire::{ChunkRow, ResultObject};

use crate::item_set::ItemSet;

/// A result that waits for its commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedItem {
    /// Item number within the chunk.
    pub item: u32,
    /// Result line.
    pub line: String,
    /// The item failed for good.
    pub failed: bool,
}

/// An item that somebody holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct GrantState {
    pub attempt: String,
    pub member: String,
    pub expires_at: Duration,
}

/// One input line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct InputItem {
    pub line: String,
    pub at_most_once: bool,
}

/// Where the input lines are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Body {
    Wanted,
    Loading,
    Loaded(Vec<InputItem>),
}

/// A chunk with items left to run or to commit.
#[derive(Debug, Clone)]
pub(super) struct ActiveChunk {
    pub size: u32,
    /// Revision of the chunk row; `None` while it does not exist.
    pub revision: Option<u64>,
    /// Committed.
    pub done: ItemSet,
    /// Committed intents.
    pub intents: ItemSet,
    pub results: Vec<ResultObject>,
    pub completed: u32,
    pub failed: u32,
    pub body: Body,
    /// Ordinary items that may be granted.
    pub ready: VecDeque<u32>,
    /// Ordinary items whose runs broke off too often to be granted at once: until when they rest.
    pub resting: BTreeMap<u32, Duration>,
    /// How often runs of an item broke off.
    pub lost_runs: BTreeMap<u32, u32>,
    /// At-most-once items whose intent is yet to be committed.
    pub wants_intent: VecDeque<u32>,
    /// Intents in the commit that is in flight.
    pub intents_in_flight: ItemSet,
    /// At-most-once items that may be granted: intent committed by this owner, certainly not run.
    pub intent_ready: VecDeque<u32>,
    pub grants: BTreeMap<u32, GrantState>,
    /// Intents of an earlier owner, or of grants that ran out: a result may still come until this time.
    pub doubtful: BTreeMap<u32, Duration>,
    pub finished: Vec<FinishedItem>,
    pub finished_since: Option<Duration>,
    /// Id of the commit in flight. The outcome of any other commit, of an earlier ownership, must not be taken.
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
            body: Body::Wanted,
            ready: VecDeque::new(),
            resting: BTreeMap::new(),
            lost_runs: BTreeMap::new(),
            wants_intent: VecDeque::new(),
            intents_in_flight: ItemSet::default(),
            intent_ready: VecDeque::new(),
            grants: BTreeMap::new(),
            doubtful: BTreeMap::new(),
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

    /// Takes the input lines and sorts the items by what may be done with them.
    pub fn load_body(&mut self, items: Vec<InputItem>, doubtful_until: Duration) {
        for (number, item) in (0..self.size).zip(&items) {
            if self.is_finished(number) || self.grants.contains_key(&number) {
                continue;
            }
            if !item.at_most_once {
                self.ready.push_back(number);
            } else if self.intents.contains(number) {
                self.doubtful.insert(number, doubtful_until);
            } else {
                self.wants_intent.push_back(number);
            }
        }
        self.body = Body::Loaded(items);
    }

    pub fn item(&self, number: u32) -> Option<&InputItem> {
        match &self.body {
            Body::Loaded(items) => items.get(number as usize),
            Body::Wanted | Body::Loading => None,
        }
    }

    /// True if the item's result is committed or waits for its commit.
    pub fn is_finished(&self, number: u32) -> bool {
        self.done.contains(number) || self.finished.iter().any(|item| item.item == number)
    }

    pub fn all_done(&self) -> bool {
        self.done.len() == self.size
    }

    /// True if only commits are left.
    pub fn all_finished(&self) -> bool {
        self.done.len() as usize + self.finished.len() == self.size as usize
    }

    /// Items that may be granted, or could be after an intent.
    pub fn open_items(&self) -> u32 {
        let waiting = self.ready.len() + self.intent_ready.len() + self.wants_intent.len();
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    pub fn finish(&mut self, item: FinishedItem, now: Duration) {
        self.grants.remove(&item.item);
        self.doubtful.remove(&item.item);
        self.ready.retain(|number| *number != item.item);
        self.resting.remove(&item.item);
        self.lost_runs.remove(&item.item);
        self.finished.push(item);
        self.finished_since.get_or_insert(now);
    }

    /// The row as it would be after committing `items` under `object`.
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

    /// Takes over what a committed row says, after this owner's own commit.
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

/// Runs of an item that may break off before it rests: engines end for other reasons too.
const RUNS_BEFORE_REST: u32 = 3;

/// How long an item then rests; twice as long after each further run, 11 minutes at the most. An item that ends the engine which
/// runs it costs 6 engines in the first minute and 6 an hour later on, where it was granted 200 times a minute.
const FIRST_REST: Duration = Duration::from_secs(5);
const MOST_DOUBLINGS: u32 = 7;

/// How much longer each further commit of an unfinished chunk waits.
const COMMIT_SPACING: u32 = 3;

/// Most commits that the spacing counts.
const MOST_SPACINGS: u32 = 4;

impl ActiveChunk {
    /// A run of an ordinary item broke off: it may be granted again, at once or after a rest.
    pub fn lose_run(&mut self, number: u32, now: Duration) {
        let lost = self.lost_runs.entry(number).or_default();
        *lost += 1;
        let Some(rests) = lost.checked_sub(RUNS_BEFORE_REST) else {
            self.ready.push_front(number);
            return;
        };
        let rest = FIRST_REST * (1 << rests.min(MOST_DOUBLINGS));
        self.resting.insert(number, now + rest);
    }

    /// Items that have rested may be granted again.
    pub fn end_rests(&mut self, now: Duration) {
        let rested: Vec<u32> = self
            .resting
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in rested {
            self.resting.remove(&number);
            self.ready.push_back(number);
        }
    }

    pub fn has_grantable(&self) -> bool {
        !self.ready.is_empty() || !self.intent_ready.is_empty()
    }

    /// True for an at-most-once item that certainly has not been granted: no true result of it can exist.
    pub fn is_unrun(&self, number: u32) -> bool {
        self.wants_intent.contains(&number)
            || self.intent_ready.contains(&number)
            || self.intents_in_flight.contains(number)
    }

    /// Takes over an item that an earlier owner granted and whose holder still works on it.
    pub fn adopt_grant(
        &mut self,
        number: u32,
        held: &harrierward_wire::RunningItem,
        member: &str,
        expires_at: Duration,
    ) {
        if number >= self.size || self.is_unrun(number) {
            return;
        }
        self.ready.retain(|ready| *ready != number);
        self.resting.remove(&number);
        self.doubtful.remove(&number);
        let grant = GrantState {
            attempt: held.attempt.clone(),
            member: member.to_owned(),
            expires_at,
        };
        self.grants.insert(number, grant);
    }

    /// Ends grants that ran out: ordinary items may be granted again, at-most-once items become doubtful.
    pub fn expire_grants(&mut self, now: Duration, doubtful_until: Duration) {
        let expired: Vec<u32> = self
            .grants
            .iter()
            .filter(|(_, grant)| grant.expires_at <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            self.grants.remove(&number);
            if self.item(number).is_some_and(|item| item.at_most_once) {
                self.doubtful.insert(number, doubtful_until);
            } else if matches!(self.body, Body::Loaded(_)) {
                self.ready.push_front(number);
            }
        }
    }

    /// Gives up on doubtful items whose time is up: they end as "unknown". Bytes of the lines added.
    pub fn expire_doubts(&mut self, now: Duration) -> usize {
        let over: Vec<u32> = self
            .doubtful
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(number, _)| *number)
            .collect();
        let mut bytes = 0;
        for number in over {
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

    /// True if the finished items should be committed now.
    pub fn results_due(
        &self,
        now: Duration,
        hurry: bool,
        settings: &super::owner::OwnerSettings,
    ) -> bool {
        let Some(since) = self.finished_since else {
            return false;
        };
        let spacing = COMMIT_SPACING.pow(self.commits.min(MOST_SPACINGS));
        let waited = now.saturating_sub(since) >= settings.commit_delay * spacing;
        hurry || waited || self.all_finished()
    }

    pub fn wants_intents(&self, settings: &super::owner::OwnerSettings) -> bool {
        !self.wants_intent.is_empty()
            && self.intent_ready.len() < settings.max_intents_ahead / 2 + 1
    }

    /// Moves the next items into the intents in flight.
    pub fn start_intents(&mut self, most: usize) -> ItemSet {
        for _ in 0..most {
            let Some(number) = self.wants_intent.pop_front() else {
                break;
            };
            self.intents_in_flight.insert(number);
        }
        self.intents_in_flight
    }

    /// The intents are committed: their items may be granted, once.
    pub fn intents_committed(&mut self) {
        let items: Vec<u32> = self.intents_in_flight.iter().collect();
        self.intent_ready.extend(items);
        self.intents_in_flight = ItemSet::default();
    }

    /// The write certainly did not happen.
    pub fn commit_failed(&mut self) {
        self.in_flight = None;
        let items: Vec<u32> = self.intents_in_flight.iter().collect();
        for number in items.into_iter().rev() {
            self.wants_intent.push_front(number);
        }
        self.intents_in_flight = ItemSet::default();
    }
}

/// Result line of an at-most-once item that may or may not have run.
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
