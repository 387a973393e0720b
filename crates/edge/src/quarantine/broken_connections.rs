//! Broken connections to replicas, kept until it is known whether the replica has crashed. A crash is confirmed by
//! a refused connection, by a row that is removed or names another instance, or by a peer's report.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_quarantine::{ContentId, Fingerprint, ReplicaInstance};
use harrierward_serving::{Replica, ReplicaView, WorkClass};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use super::QuarantineService;

/// Delays before the probes that follow a broken connection; the later ones catch a process that is slow to exit.
const PROBE_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(30),
    Duration::from_millis(120),
];

/// Longest wait of a request for the liveness of its replica.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// How long a broken connection is kept; longer than the time after which rows without heartbeats are removed.
const BROKEN_TTL: Duration = Duration::from_secs(6);

/// Time within which all connections of one crash break; shorter than a replica's restart.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Whether a replica to which a connection broke still accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Liveness {
    Unknown,
    Listening,
    Crashed,
}

/// Request whose connection broke.
#[derive(Debug, Clone)]
pub struct BrokenRequest {
    /// What of it may be the cause.
    pub fingerprint: Fingerprint,
    /// Its class.
    pub class: WorkClass,
    /// True if its response looked complete and ended with the connection.
    looked_complete: bool,
    /// Time when the connection broke.
    pub at: Instant,
}

struct BrokenReplica {
    replica: Arc<Replica>,
    since: Instant,
    /// True if a connection broke off, so that the replica is probed; false if responses only ended with theirs.
    is_probed: bool,
    /// Requests that were in progress, by content; emptied once the crash is confirmed.
    requests: BTreeMap<ContentId, BrokenRequest>,
    liveness: watch::Sender<Liveness>,
}

impl BrokenReplica {
    fn new(replica: &Arc<Replica>, since: Instant) -> Self {
        Self {
            replica: replica.clone(),
            since,
            is_probed: false,
            requests: BTreeMap::new(),
            liveness: watch::Sender::new(Liveness::Unknown),
        }
    }

    /// Adds a request; one that broke off counts, and takes the place of one with the same content that looked complete.
    fn add(&mut self, request: &Fingerprint, class: WorkClass, at: Instant, looked_complete: bool) {
        let known = self.requests.get(&request.content);
        if known.is_some_and(|known| !known.looked_complete) {
            return;
        }
        let added = BrokenRequest {
            fingerprint: request.clone(),
            class,
            looked_complete,
            at,
        };
        self.requests.insert(request.content, added);
    }
}

/// Replicas to which a connection broke within [`BROKEN_TTL`].
#[derive(Default)]
pub struct BrokenConnections {
    replicas: Mutex<HashMap<ReplicaInstance, BrokenReplica>>,
    /// Number of entries, readable without the lock.
    count: AtomicUsize,
}

impl BrokenConnections {
    fn lock(&self) -> MutexGuard<'_, HashMap<ReplicaInstance, BrokenReplica>> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// True if no connection has broken recently.
    pub fn is_empty(&self) -> bool {
        self.count.load(Ordering::Relaxed) == 0
    }

    /// Records a connection that broke with the request in progress; returns true if it is the first one to that
    /// replica.
    pub fn note(
        &self,
        instance: ReplicaInstance,
        replica: &Arc<Replica>,
        request: &Fingerprint,
        class: WorkClass,
    ) -> bool {
        let now = harrierward_clock::now();
        let mut replicas = self.lock();
        // Where instances share an id, a replica that crashed earlier may have restarted under the same one.
        replicas.retain(|known_instance, broken| {
            let is_over = *broken.liveness.borrow() == Liveness::Crashed
                && harrierward_clock::age(broken.since) > SAME_CRASH_WINDOW;
            *known_instance != instance || !is_over
        });
        let broken = replicas
            .entry(instance)
            .or_insert_with(|| BrokenReplica::new(replica, now));
        let is_first = !broken.is_probed;
        if is_first {
            broken.is_probed = true;
            broken.since = now;
        }
        broken.add(request, class, now, false);
        self.count.store(replicas.len(), Ordering::Relaxed);
        is_first
    }

    /// Records a response that looked complete and ended with its connection. It counts if its replica crashed then.
    pub fn note_closed(
        &self,
        instance: ReplicaInstance,
        replica: &Arc<Replica>,
        request: &Fingerprint,
        class: WorkClass,
    ) {
        let now = harrierward_clock::now();
        let mut replicas = self.lock();
        let broken = replicas
            .entry(instance)
            .or_insert_with(|| BrokenReplica::new(replica, now));
        broken.add(request, class, now, true);
        self.count.store(replicas.len(), Ordering::Relaxed);
    }

    /// True if the replica's crash is confirmed.
    pub fn is_confirmed(&self, instance: ReplicaInstance) -> bool {
        let replicas = self.lock();
        replicas
            .get(&instance)
            .is_some_and(|broken| *broken.liveness.borrow() == Liveness::Crashed)
    }

    /// Marks the replica as crashed. Returns when its first connection broke and the requests that were in
    /// progress; `None` if there are none or they were returned before.
    pub fn confirm(
        &self,
        instance: ReplicaInstance,
    ) -> Option<(Instant, BTreeMap<ContentId, BrokenRequest>)> {
        let mut replicas = self.lock();
        let broken = replicas.get_mut(&instance)?;
        broken.liveness.send_replace(Liveness::Crashed);
        let crashed_at = if broken.is_probed {
            broken.since
        } else {
            harrierward_clock::now()
        };
        let mut requests = std::mem::take(&mut broken.requests);
        requests.retain(|_, request| {
            !request.looked_complete || request.at + SAME_CRASH_WINDOW >= crashed_at
        });
        (!requests.is_empty()).then_some((broken.since, requests))
    }

    fn note_listening(&self, instance: ReplicaInstance) {
        if let Some(broken) = self.lock().get(&instance) {
            broken.liveness.send_if_modified(|liveness| {
                let is_new = *liveness == Liveness::Unknown;
                if is_new {
                    *liveness = Liveness::Listening;
                }
                is_new
            });
        }
    }

    /// Removes a content that got a complete response elsewhere, and so didn't cause a crash.
    pub fn remove_content(&self, content: ContentId) {
        for broken in self.lock().values_mut() {
            broken.requests.remove(&content);
        }
    }

    /// Returns the replicas whose rows were removed, or now name another instance, after connections to them broke.
    /// Drained replicas are left out, and those of which only whole responses ended with their connections.
    pub fn removed(
        &self,
        view: &ReplicaView,
        now: Instant,
    ) -> Vec<(ReplicaInstance, Arc<Replica>)> {
        if self.is_empty() {
            return Vec::new();
        }
        let mut replicas = self.lock();
        replicas.retain(|_, broken| now.saturating_duration_since(broken.since) < BROKEN_TTL);
        self.count.store(replicas.len(), Ordering::Relaxed);
        let is_removed = |instance: &ReplicaInstance, broken: &BrokenReplica| {
            let is_drained = broken.replica.is_draining();
            let has_broken = broken.is_probed && !broken.requests.is_empty();
            has_broken && !is_drained && view.by_hash(instance.0).is_none()
        };
        let removed = replicas
            .iter()
            .filter(|(instance, broken)| is_removed(instance, broken));
        removed
            .map(|(instance, broken)| (*instance, broken.replica.clone()))
            .collect()
    }

    /// Returns the replica if requests were in progress on broken connections to it and its crash isn't confirmed yet.
    pub fn pending(&self, instance: ReplicaInstance) -> Option<Arc<Replica>> {
        let replicas = self.lock();
        let broken = replicas.get(&instance)?;
        (!broken.requests.is_empty()).then(|| broken.replica.clone())
    }

    /// Waits up to [`MAX_WAIT`] for the liveness of a replica; returns true if it has crashed.
    pub async fn wait_for_liveness(&self, instance: ReplicaInstance) -> bool {
        let mut liveness = match self.lock().get(&instance) {
            Some(broken) if broken.is_probed => broken.liveness.subscribe(),
            _ => return false,
        };
        let observed = timeout(
            MAX_WAIT,
            liveness.wait_for(|liveness| *liveness != Liveness::Unknown),
        )
        .await;
        matches!(observed, Ok(Ok(liveness)) if *liveness == Liveness::Crashed)
    }
}

impl QuarantineService {
    /// Probes whether a replica to which a connection broke still accepts connections.
    pub(super) async fn probe(self, instance: ReplicaInstance, replica: Arc<Replica>) {
        for delay in PROBE_DELAYS {
            sleep(delay).await;
            if self.inner.pool.is_refused(&replica.record.address).await {
                self.confirm_crash(instance, &replica, "refused");
                return;
            }
            self.inner.broken_connections.note_listening(instance);
        }
    }
}
