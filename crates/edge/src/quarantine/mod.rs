//! Quarantine of request contents under which replicas crash.
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
    ContentId, ContentStatus, ContentStatuses, CrashLedger, Fingerprint, ReplicaInstance,
};
use harrierward_serving::{Quarantine, Replica, ReplicaSet};
use harrierward_wire::node_datagram;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::pool::ConnectionPool;
use crate::slots::CoordinatorCandidate;

use broken_connections::{BrokenConnections, BrokenRequest};
use store_row::OwnRow;

pub use operator_api::QuarantinedContents;

/// Maximum number of requests that a log line on a crash names.
const MAX_LOGGED_REQUESTS: usize = 24;

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
    /// Status by content, derived from the ledger; read on the request path without a lock.
    statuses: ArcSwap<ContentStatuses>,
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
            for (content, request) in requests {
                is_new |= ledger.note_crash(content, instance, request.at, now);
            }
        }
        if is_new {
            self.update_statuses("crash");
            self.publish();
        }
    }

    /// Recomputes the statuses after news from `source`, and logs contents that are newly quarantined or no longer are.
    fn update_statuses(&self, source: &'static str) {
        let now = harrierward_clock::now();
        // Locked until the statuses are stored, so that older ones can't replace newer ones.
        let ledger = self.ledger();
        let statuses = Arc::new(ledger.statuses());
        let before = self.inner.statuses.swap(statuses.clone());
        drop(ledger);
        let quarantined = statuses.quarantined().count();
        for (content, quarantine) in statuses.quarantined() {
            if !before.is_cause(content) {
                self.log_change(content, "held", source, quarantine, quarantined, now);
            }
        }
        for (content, quarantine) in before.quarantined() {
            if !statuses.is_cause(content) {
                self.log_change(content, "cleared", source, quarantine, quarantined, now);
            }
        }
    }

    fn log_change(
        &self,
        content: ContentId,
        outcome: &str,
        source: &str,
        quarantine: harrierward_quarantine::QuarantinePeriod,
        quarantined: usize,
        now: Instant,
    ) {
        self.inner.log.record(&Record::ContentHeld {
            content: &content.to_string(),
            outcome,
            source,
            ends: quarantine.crashes,
            since_ms: millis(now.saturating_duration_since(quarantine.since)),
            hold_ms: millis(quarantine.until.saturating_duration_since(now)),
            held: quarantined,
        });
    }
}

#[async_trait]
impl Quarantine for QuarantineService {
    fn has_quarantined(&self) -> bool {
        !self.inner.statuses.load().is_empty()
    }

    fn status(&self, content: ContentId) -> ContentStatus {
        self.inner
            .statuses
            .load()
            .of(content, harrierward_clock::now())
    }

    fn note_disconnect(&self, request: &Fingerprint, replica: &Arc<Replica>) {
        let instance = ReplicaInstance(replica.hash);
        if self
            .inner
            .broken_connections
            .note(instance, replica, request)
        {
            tokio::spawn(self.clone().probe(instance, replica.clone()));
        } else if self.inner.broken_connections.is_confirmed(instance) {
            self.confirm_crash(instance, replica, "refused");
        }
    }

    fn note_complete(&self, request: &Fingerprint) {
        if self.inner.broken_connections.is_empty() && self.inner.statuses.load().is_empty() {
            return;
        }
        let content = request.content;
        self.inner.broken_connections.remove_content(content);
        let is_new = self
            .ledger()
            .clear(content, rand::random(), harrierward_clock::now());
        if is_new {
            self.update_statuses("response");
            self.publish();
        }
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
        parts: request.parts.iter().map(ToString::to_string).collect(),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
