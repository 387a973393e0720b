//! Quarantine of contents and prompt parts under which replicas crash.
//!
//! Crash reports spread by gossip: clients retry at other daemons within half a second, before a slow or unavailable
//! store could propagate them. The store ([`store_row`]) carries them to daemons that gossip doesn't reach. Reports
//! merge in any order and are repeated, so loss is tolerated.

mod broken_connections;
mod gossip;
mod operator_api;
mod store_row;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use harrierward_decisions::{DecisionLog, Record, RequestAtCrash};
use harrierward_quarantine::{
    ContentId, CrashLedger, Fingerprint, PartId, PartProofs, Quarantined, ReplicaInstance, Status,
    Statuses, Subject,
};
use harrierward_serving::{Quarantine, Replica, ReplicaSet, WorkClass};
use harrierward_wire::node_datagram;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::pool::ConnectionPool;
use crate::slots::CoordinatorCandidate;

use broken_connections::{BrokenConnections, BrokenRequest};
use store_row::OwnRow;

pub use operator_api::QuarantinedContents;

/// Time after which a replica that has sent something since a response ended with its connection counts as having
/// survived it.
const SURVIVAL_DELAY: Duration = Duration::from_millis(300);

/// Time after such an end within which bytes may still arrive that a crashed replica had sent before.
const LAST_BYTES_WINDOW: Duration = Duration::from_millis(50);

/// Maximum number of requests that a log line on a crash names.
const MAX_LOGGED_REQUESTS: usize = 24;

/// Maximum delay of a daemon's trials of a quarantined part: the first daemon's result is known to all others well
/// before most of theirs.
const MAX_PART_DELAY: Duration = Duration::from_secs(20);

/// Ticks between two removals of expired crash reports.
const EXPIRE_TICKS: u64 = 10;

/// Quarantined contents, as seen by one daemon; cheap to clone.
#[derive(Clone)]
pub struct QuarantineService {
    inner: Arc<Inner>,
}

struct Inner {
    instance_id: String,
    replicas: Arc<ReplicaSet>,
    pool: ConnectionPool,
    log: DecisionLog,
    ledger: Mutex<CrashLedger>,
    /// Derived from the ledger; read on the request path without a lock.
    statuses: ArcSwap<Statuses>,
    part_proofs: PartProofs,
    /// Delay of this daemon's trials of quarantined parts.
    part_delay: Duration,
    broken_connections: BrokenConnections,
    own_row: OwnRow,
    members: ArcSwap<Vec<SocketAddr>>,
    socket: OnceLock<Arc<UdpSocket>>,
    ticks: AtomicU64,
}

impl QuarantineService {
    /// Starts without any crash reports.
    pub fn new(
        instance_id: String,
        replicas: Arc<ReplicaSet>,
        pool: ConnectionPool,
        log: DecisionLog,
    ) -> Self {
        let inner = Inner {
            instance_id,
            replicas,
            pool,
            log,
            ledger: Mutex::default(),
            statuses: ArcSwap::default(),
            part_proofs: PartProofs::new(harrierward_clock::now()),
            part_delay: MAX_PART_DELAY.mul_f64(rand::random()),
            broken_connections: BrokenConnections::default(),
            own_row: OwnRow::default(),
            members: ArcSwap::default(),
            socket: OnceLock::new(),
            ticks: AtomicU64::new(0),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Sets the socket for gossip; nothing is sent before.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // Set once, during startup.
        let _ = self.inner.socket.set(socket);
    }

    /// Sets the live members; those that have just joined are sent the crash reports.
    pub fn set_members(&self, members: &[CoordinatorCandidate]) {
        let others = members
            .iter()
            .filter(|member| member.id != self.inner.instance_id);
        let addresses: Vec<SocketAddr> = others.filter_map(|member| member.address).collect();
        let before = self.inner.members.swap(Arc::new(addresses.clone()));
        let joined = addresses
            .into_iter()
            .filter(|address| !before.contains(address));
        self.send_to_joined(joined.collect());
    }

    /// Confirms crashes of removed replicas, expires reports and gossips; called every 100 ms.
    pub fn tick(&self) {
        let tick = self.inner.ticks.fetch_add(1, Ordering::Relaxed);
        let now = harrierward_clock::now();
        for (instance, replica) in self
            .inner
            .broken_connections
            .removed(&self.inner.replicas.view(), now)
        {
            self.confirm_crash(instance, &replica, "gone");
        }
        if tick.is_multiple_of(EXPIRE_TICKS) && self.ledger().expire(now) {
            self.update_statuses("expiry");
        }
        self.gossip(tick, now);
    }

    /// Handles crash reports; returns datagrams of other kinds.
    pub fn receive(&self, kind: node_datagram::Kind) -> Option<node_datagram::Kind> {
        match kind {
            node_datagram::Kind::CrashNews(reports) => {
                self.merge_reports(&reports, "peer");
                None
            }
            other => Some(other),
        }
    }

    fn ledger(&self) -> MutexGuard<'_, CrashLedger> {
        self.inner
            .ledger
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a crash of the replica against all contents of this daemon that were in progress there.
    fn confirm_crash(
        &self,
        instance: ReplicaInstance,
        replica: &Arc<Replica>,
        known_by: &'static str,
    ) {
        replica.set_crashed();
        let Some((since, requests)) = self.inner.broken_connections.confirm(instance) else {
            return;
        };
        let in_progress = requests.iter().take(MAX_LOGGED_REQUESTS);
        let in_progress: Vec<RequestAtCrash> = in_progress.map(request_at_crash).collect();
        self.inner.log.record(&Record::ReplicaEnded {
            replica: &replica.record.id,
            known_by,
            contents: requests.len(),
            in_progress: &in_progress,
            after_ms: millis(harrierward_clock::age(since)),
        });
        let mut is_new = false;
        {
            let now = harrierward_clock::now();
            let mut ledger = self.ledger();
            for request in requests.values() {
                is_new |=
                    ledger.note_request_crash(&evidence_of(request), instance, request.at, now);
            }
            let parts = requests
                .values()
                .flat_map(|one| one.fingerprint.parts.iter());
            is_new |= self.prove_parts(&mut ledger, parts.copied());
        }
        if is_new {
            self.update_statuses("crash");
            self.publish();
        }
    }

    /// Adds to the ledger when this daemon last received a complete response with these parts; true if that is news.
    fn prove_parts(
        &self,
        ledger: &mut CrashLedger,
        parts: impl IntoIterator<Item = PartId>,
    ) -> bool {
        let mut is_new = false;
        for part in parts {
            if let Some(at) = self.inner.part_proofs.latest(part) {
                is_new |= ledger.prove(part, rand::random(), at);
            }
        }
        is_new
    }

    /// Recomputes the statuses after news from `source`, and logs subjects that are newly quarantined or no longer are.
    fn update_statuses(&self, source: &'static str) {
        // Locked until the statuses are stored, so that older ones can't replace newer ones.
        let ledger = self.ledger();
        let statuses = Arc::new(ledger.statuses());
        let before = self.inner.statuses.swap(statuses.clone());
        drop(ledger);
        let held = statuses.quarantined().count();
        for quarantined in statuses.quarantined() {
            if !before.is_cause(quarantined.subject) {
                self.log_change(&quarantined, "held", source, held);
            }
        }
        for quarantined in before.quarantined() {
            if !statuses.is_cause(quarantined.subject) {
                self.log_change(&quarantined, "cleared", source, held);
            }
        }
    }

    fn log_change(&self, quarantined: &Quarantined, outcome: &str, source: &str, held: usize) {
        let now = harrierward_clock::now();
        let period = &quarantined.period;
        let since_ms = millis(now.saturating_duration_since(period.since));
        let hold_ms = millis(period.until.saturating_duration_since(now));
        match quarantined.subject {
            Subject::Content(content) => self.inner.log.record(&Record::ContentHeld {
                content: &content.to_string(),
                outcome,
                source,
                ends: period.crashes,
                since_ms,
                hold_ms,
                held,
            }),
            Subject::Part(part) => {
                let companions = quarantined.companions.iter().map(PartId::to_string);
                self.inner.log.record(&Record::PartHeld {
                    part: &part.to_string(),
                    outcome,
                    source,
                    ends: period.crashes,
                    own_ends: period.own_crashes,
                    companions: &companions.collect::<Vec<_>>(),
                    since_ms,
                    last_end_ms: millis(now.saturating_duration_since(period.last_crash)),
                    hold_ms,
                    held,
                });
            }
        }
    }
}

#[async_trait]
impl Quarantine for QuarantineService {
    fn has_quarantined(&self) -> bool {
        !self.inner.statuses.load().is_empty()
    }

    fn status(&self, request: &Fingerprint) -> Status {
        let statuses = self.inner.statuses.load();
        statuses.of(request, harrierward_clock::now(), self.inner.part_delay)
    }

    fn note_disconnect(&self, request: &Fingerprint, class: WorkClass, replica: &Arc<Replica>) {
        let instance = ReplicaInstance(replica.hash);
        if self
            .inner
            .broken_connections
            .note(instance, replica, request, class)
        {
            tokio::spawn(self.clone().probe(instance, replica.clone()));
        } else if self.inner.broken_connections.is_confirmed(instance) {
            self.confirm_crash(instance, replica, "refused");
        }
    }

    fn note_complete(&self, request: &Fingerprint) {
        let now = harrierward_clock::now();
        for part in request.parts.iter() {
            self.inner.part_proofs.note(*part, now);
        }
        if self.inner.broken_connections.is_empty() && self.inner.statuses.load().is_empty() {
            return;
        }
        let content = request.content;
        self.inner.broken_connections.remove_content(content);
        let mut is_new = false;
        {
            let mut ledger = self.ledger();
            is_new |= ledger.clear(content, rand::random(), now);
            for part in request.parts.iter() {
                is_new |= ledger.clear(*part, rand::random(), now);
            }
        }
        if is_new {
            self.update_statuses("response");
            self.publish();
        }
    }

    fn note_closed(&self, request: &Fingerprint, class: WorkClass, replica: &Arc<Replica>) {
        let instance = ReplicaInstance(replica.hash);
        let broken_connections = &self.inner.broken_connections;
        broken_connections.note_closed(instance, replica, request, class);
        let (service, request, replica) = (self.clone(), request.clone(), replica.clone());
        tokio::spawn(async move {
            sleep(SURVIVAL_DELAY).await;
            let has_sent = replica.time_since_progress() + LAST_BYTES_WINDOW < SURVIVAL_DELAY;
            if has_sent && !replica.has_crashed() {
                service.note_complete(&request);
            }
        });
    }

    async fn has_crashed(&self, replica: &Arc<Replica>) -> bool {
        let instance = ReplicaInstance(replica.hash);
        self.inner
            .broken_connections
            .wait_for_liveness(instance)
            .await
            || replica.has_crashed()
    }
}

fn request_at_crash((content, request): (&ContentId, &BrokenRequest)) -> RequestAtCrash {
    RequestAtCrash {
        content: content.to_string(),
        parts: request
            .fingerprint
            .parts
            .iter()
            .map(PartId::to_string)
            .collect(),
    }
}

/// What of a broken request counts as evidence. Items run for so long, and so many share their parts, that replicas which
/// crash for another reason would put the blame on these parts.
fn evidence_of(request: &BrokenRequest) -> Fingerprint {
    match request.class {
        WorkClass::Online => request.fingerprint.clone(),
        WorkClass::Batch => Fingerprint::from(request.fingerprint.content),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
