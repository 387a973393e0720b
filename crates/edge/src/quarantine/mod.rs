//! Requests under which replicas end, as this daemon sees them and as others tell: what is held back here.
//!
//! Why told from daemon to daemon, and by the store only as well ([`stored`]): a request that ends replicas comes again within half a second at any
//! daemon, and whole fleets of replicas are gone before a store that is slow or away has answered. What is known is small,
//! any order will do, and each telling repeats the last, so that a lost datagram costs a tenth of a second.

mod breaks;
mod operating;
mod stored;
mod telling;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_quarantine::{
    ContentId, ContentStatus, ContentStatuses, CrashLedger, ReplicaInstance,
};
use harrierward_serving::{Quarantine, Replica, ReplicaSet};
use harrierward_wire::node_datagram;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::pool::ConnectionPool;
use crate::slots::CoordinatorCandidate;

use breaks::Breaks;
use stored::OwnRow;

pub use operating::HeldContents;

/// Ticks between two looks at what is too old to count.
const EXPIRE_TICKS: u64 = 10;

/// The quarantine of one daemon; cheap to clone.
#[derive(Clone)]
pub struct QuarantineService {
    inner: Arc<Inner>,
}

struct Inner {
    life: String,
    replicas: Arc<ReplicaSet>,
    pool: ConnectionPool,
    log: DecisionLog,
    ledger: Mutex<CrashLedger>,
    /// What the ledger comes to, for the request path.
    standings: ArcSwap<ContentStatuses>,
    breaks: Breaks,
    own_row: OwnRow,
    members: ArcSwap<Vec<SocketAddr>>,
    socket: OnceLock<Arc<UdpSocket>>,
    ticks: AtomicU64,
}

impl QuarantineService {
    /// Knows nothing against any content.
    pub fn new(
        life: String,
        replicas: Arc<ReplicaSet>,
        pool: ConnectionPool,
        log: DecisionLog,
    ) -> Self {
        let inner = Inner {
            life,
            replicas,
            pool,
            log,
            ledger: Mutex::default(),
            standings: ArcSwap::default(),
            breaks: Breaks::default(),
            own_row: OwnRow::default(),
            members: ArcSwap::default(),
            socket: OnceLock::new(),
            ticks: AtomicU64::new(0),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// The socket over which others are told.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // Set once, at the start.
        let _ = self.inner.socket.set(socket);
    }

    /// The living members; those that are new are told at once.
    pub fn set_members(&self, members: &[CoordinatorCandidate]) {
        let others = members.iter().filter(|member| member.id != self.inner.life);
        let addresses: Vec<SocketAddr> = others.filter_map(|member| member.address).collect();
        let before = self.inner.members.swap(Arc::new(addresses.clone()));
        let joined = addresses.into_iter().filter(|one| !before.contains(one));
        self.tell_joined(joined.collect());
    }

    /// Drives what is due; called each tenth of a second.
    pub fn tick(&self) {
        let tick = self.inner.ticks.fetch_add(1, Ordering::Relaxed);
        let now = harrierward_clock::now();
        for (start, replica) in self.inner.breaks.gone(&self.inner.replicas.view(), now) {
            self.confirm(start, &replica, "gone");
        }
        if tick.is_multiple_of(EXPIRE_TICKS) && self.ledger().expire(now) {
            self.judge();
        }
        self.tell_some(tick, now);
    }

    /// Takes a datagram that concerns the quarantine; gives back any other.
    pub fn receive(&self, kind: node_datagram::Kind) -> Option<node_datagram::Kind> {
        match kind {
            node_datagram::Kind::CrashNews(news) => {
                self.take_news(&news);
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

    /// The replica has ended: whatever of this daemon was in progress there may have done it.
    fn confirm(&self, start: ReplicaInstance, replica: &Arc<Replica>, known_by: &'static str) {
        replica.set_crashed();
        let Some((since, contents)) = self.inner.breaks.confirm(start) else {
            return;
        };
        self.inner.log.record(&Record::ReplicaEnded {
            replica: &replica.record.id,
            known_by,
            contents: contents.len(),
            after_ms: millis(harrierward_clock::age(since)),
        });
        let mut is_news = false;
        {
            let now = harrierward_clock::now();
            let mut ledger = self.ledger();
            for (content, at) in contents {
                is_news |= ledger.note_crash(content, start, at, now);
            }
        }
        if is_news {
            self.judge();
            self.make_known();
        }
    }

    /// Brings the standings up to date, and logs what is held back from now on, or no longer.
    fn judge(&self) {
        let now = harrierward_clock::now();
        // The ledger is held until the standings are in place: an older judgement must not replace a newer one.
        let ledger = self.ledger();
        let standings = Arc::new(ledger.statuses());
        let before = self.inner.standings.swap(standings.clone());
        drop(ledger);
        let held = standings.quarantined().count();
        for (content, hold) in standings.quarantined() {
            if !before.is_cause(content) {
                self.log_held(content, "held", hold, held, now);
            }
        }
        for (content, hold) in before.quarantined() {
            if !standings.is_cause(content) {
                self.log_held(content, "cleared", hold, held, now);
            }
        }
    }

    fn log_held(
        &self,
        content: ContentId,
        outcome: &str,
        hold: harrierward_quarantine::QuarantinePeriod,
        held: usize,
        now: Instant,
    ) {
        self.inner.log.record(&Record::ContentHeld {
            content: &content.to_string(),
            outcome,
            ends: hold.crashes,
            since_ms: millis(now.saturating_duration_since(hold.since)),
            hold_ms: millis(hold.until.saturating_duration_since(now)),
            held,
        });
    }
}

#[async_trait]
impl Quarantine for QuarantineService {
    fn has_quarantined(&self) -> bool {
        !self.inner.standings.load().is_empty()
    }

    fn status(&self, content: ContentId) -> ContentStatus {
        self.inner
            .standings
            .load()
            .of(content, harrierward_clock::now())
    }

    fn note_disconnect(&self, content: ContentId, replica: &Arc<Replica>) {
        let start = ReplicaInstance(replica.hash);
        if self.inner.breaks.note(start, replica, content) {
            tokio::spawn(self.clone().probe(start, replica.clone()));
        } else if self.inner.breaks.is_confirmed(start) {
            self.confirm(start, replica, "refused");
        }
    }

    fn note_complete(&self, content: ContentId) {
        if self.inner.breaks.is_quiet() && self.inner.standings.load().is_empty() {
            return;
        }
        self.inner.breaks.forget(content);
        let is_news = self
            .ledger()
            .clear(content, rand::random(), harrierward_clock::now());
        if is_news {
            self.judge();
            self.make_known();
        }
    }

    async fn has_crashed(&self, replica: &Arc<Replica>) -> bool {
        let start = ReplicaInstance(replica.hash);
        self.inner.breaks.wait(start).await || replica.has_crashed()
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
