//! Connections to replicas that broke, until it is known whether the replica has ended.
//!
//! A reset, a lost answer, a link that is cut and a replica that ends look alike on one connection. A replica that has ended
//! lets nobody in, and its entry goes.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_quarantine::{ContentId, ReplicaInstance};
use harrierward_serving::{Replica, ReplicaView};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use super::QuarantineService;

/// When a replica is asked whether it still listens, after a connection to it broke. The first question finds a process that
/// is gone; the others one that takes a moment to go.
const PROBE_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(30),
    Duration::from_millis(120),
];

/// Longest wait of a request for the word on its replica. A dead port answers within the way there and back.
const LONGEST_WAIT: Duration = Duration::from_millis(50);

/// How long a break is remembered. Entries go after three heartbeats of silence: 3.6 s on the smallest sites.
const REMEMBERED_FOR: Duration = Duration::from_secs(6);

/// Time within which connections break that one end of a replica breaks. A replica that crashes is back after some seconds.
const SAME_END: Duration = Duration::from_secs(1);

/// What is known of a replica whose connections broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Word {
    Unknown,
    Listens,
    Ended,
}

struct Break {
    replica: Arc<Replica>,
    since: Instant,
    /// What was in progress there, with the moment of each break; taken out once the replica has ended.
    contents: BTreeMap<ContentId, Instant>,
    word: watch::Sender<Word>,
}

/// The breaks of the last seconds.
#[derive(Default)]
pub struct Breaks {
    known: Mutex<HashMap<ReplicaInstance, Break>>,
    /// How many are known, for a look without the lock.
    count: AtomicUsize,
}

impl Breaks {
    fn lock(&self) -> MutexGuard<'_, HashMap<ReplicaInstance, Break>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// True if no connection has broken lately.
    pub fn is_quiet(&self) -> bool {
        self.count.load(Ordering::Relaxed) == 0
    }

    /// A connection broke with the content in progress; true if it is the first to that replica.
    pub fn note(&self, start: ReplicaInstance, replica: &Arc<Replica>, content: ContentId) -> bool {
        let now = harrierward_clock::now();
        let mut known = self.lock();
        // Where starts are not told apart, the one that broke off then may be back under the same name.
        known.retain(|known_start, one| {
            let is_over =
                *one.word.borrow() == Word::Ended && harrierward_clock::age(one.since) > SAME_END;
            *known_start != start || !is_over
        });
        let is_first = !known.contains_key(&start);
        let one = known.entry(start).or_insert_with(|| Break {
            replica: replica.clone(),
            since: now,
            contents: BTreeMap::new(),
            word: watch::Sender::new(Word::Unknown),
        });
        one.contents.entry(content).or_insert(now);
        self.count.store(known.len(), Ordering::Relaxed);
        is_first
    }

    /// True if the replica is known to have ended.
    pub fn is_confirmed(&self, start: ReplicaInstance) -> bool {
        let known = self.lock();
        known
            .get(&start)
            .is_some_and(|one| *one.word.borrow() == Word::Ended)
    }

    /// The replica has ended: gives when its connections broke, and what was in progress there and was not given yet.
    pub fn confirm(
        &self,
        start: ReplicaInstance,
    ) -> Option<(Instant, BTreeMap<ContentId, Instant>)> {
        let mut known = self.lock();
        let one = known.get_mut(&start)?;
        one.word.send_replace(Word::Ended);
        let contents = std::mem::take(&mut one.contents);
        (!contents.is_empty()).then_some((one.since, contents))
    }

    fn note_listens(&self, start: ReplicaInstance) {
        if let Some(one) = self.lock().get(&start) {
            one.word.send_if_modified(|word| {
                let is_new = *word == Word::Unknown;
                if is_new {
                    *word = Word::Listens;
                }
                is_new
            });
        }
    }

    /// The content came to a whole answer elsewhere: it was not to blame for any of these breaks.
    pub fn forget(&self, content: ContentId) {
        for one in self.lock().values_mut() {
            one.contents.remove(&content);
        }
    }

    /// Replicas whose entries went, or name another start, after connections to them broke. Those that left in order are none.
    pub fn gone(&self, view: &ReplicaView, now: Instant) -> Vec<(ReplicaInstance, Arc<Replica>)> {
        if self.is_quiet() {
            return Vec::new();
        }
        let mut known = self.lock();
        known.retain(|_, one| now.saturating_duration_since(one.since) < REMEMBERED_FOR);
        self.count.store(known.len(), Ordering::Relaxed);
        let is_gone = |start: &ReplicaInstance, one: &Break| {
            let has_left = one.replica.is_draining();
            !one.contents.is_empty() && !has_left && view.by_hash(start.0).is_none()
        };
        let gone = known.iter().filter(|(start, one)| is_gone(start, one));
        gone.map(|(start, one)| (*start, one.replica.clone()))
            .collect()
    }

    /// Replicas known here that others say have ended.
    pub fn pending(&self, start: ReplicaInstance) -> Option<Arc<Replica>> {
        let known = self.lock();
        let one = known.get(&start)?;
        (!one.contents.is_empty()).then(|| one.replica.clone())
    }

    /// Waits a moment for the word on a replica; true if it has ended.
    pub async fn wait(&self, start: ReplicaInstance) -> bool {
        let mut word = match self.lock().get(&start) {
            Some(one) => one.word.subscribe(),
            None => return false,
        };
        let known = timeout(LONGEST_WAIT, word.wait_for(|word| *word != Word::Unknown)).await;
        matches!(known, Ok(Ok(word)) if *word == Word::Ended)
    }
}

impl QuarantineService {
    /// Asks a replica to which a connection broke whether it still listens.
    pub(super) async fn probe(self, start: ReplicaInstance, replica: Arc<Replica>) {
        for pause in PROBE_PAUSES {
            sleep(pause).await;
            if self.inner.pool.is_refused(&replica.record.address).await {
                self.confirm(start, &replica, "refused");
                return;
            }
            self.inner.breaks.note_listens(start);
        }
    }
}
