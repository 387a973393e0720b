//! Audits of this daemon's copies of the store's spaces.
//!
//! One daemon at a time compares its copy with the store's current state and announces the result to all; each other
//! one compares its own copy, and requests what it lacks. So a change that all feeds omitted, that reads don't show yet,
//! or that the store keeps from this daemon is known in about a second.

mod repair;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{RowVersion, WatchedTable};
use harrierward_relay::{
    AuditComparison, AuditState, AuditStatement, Auditor, PeerCopies, Reading, RelayPeer,
    SpacePublisher, UpdateSource, WatchPace, audit_interval, audit_rank, is_audit_due,
};
use harrierward_wire::{NodeDatagram, SpaceAudit, encode, node_datagram};
use tokio::net::UdpSocket;
use tokio::time::Instant;

use repair::RepairOrder;

/// Maximum time after the start in which other members become known, and in which this daemon audits nothing.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(2);

/// That time in intervals between two audits. With the interval that follows, and a repair, it has to pass within the
/// shortest bound on the use of a replica that leaves.
const SETTLE_INTERVALS: u32 = 2;

/// Another member, as audits use it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuditMember {
    /// Member id and control address, for repairs.
    pub peer: RelayPeer,
    /// Address for datagrams; `None` if it is unknown.
    pub address: Option<SocketAddr>,
    /// True if it may audit: it has contact to the store.
    pub is_attached: bool,
    /// True if it leaves the membership; until its end it still serves callers, and compares its copies.
    pub is_leaving: bool,
}

/// A space whose copy is audited.
pub struct AuditedSpace {
    /// Name of the space.
    pub name: &'static str,
    /// Copy of the space.
    pub publisher: Arc<SpacePublisher>,
    /// Keys of rows that may be written at any time, audited also while they are absent.
    pub expected_keys: Vec<String>,
    /// Time for which changes are coalesced before the feed delivers them.
    pub coalescing: WatchPace,
    /// Receives the time of each audit to which the copy was equal.
    pub on_confirmed: Box<dyn Fn(Instant) + Send + Sync>,
}

struct SpaceState {
    /// Position among the members that audit the space, 0 without known members; `None` if this daemon only compares.
    rank: Option<usize>,
    audits: AuditState,
    /// Time of the latest audit that this daemon knows of; at first of its start.
    last_audit: Instant,
    /// Time of this daemon's last attempt.
    last_attempt: Instant,
    /// True while the latest audit is this daemon's own.
    is_own_turn: bool,
    is_failing: bool,
    is_auditing: bool,
    is_repairing: bool,
}

struct Audited {
    space: AuditedSpace,
    state: Mutex<SpaceState>,
}

impl Audited {
    fn lock(&self) -> MutexGuard<'_, SpaceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the rows to be checked in the store.
    fn own_versions(&self) -> Vec<RowVersion> {
        let copy = self.space.publisher.space().copy();
        copy.versions(&self.space.expected_keys)
    }

    /// Compares the copy with a statement; `None` before the first read, or if the statement is too old.
    fn comparison(&self, statement: &AuditStatement) -> Option<AuditComparison> {
        let copy = self.space.publisher.space().copy();
        copy.as_of().and_then(|_| copy.compare(statement))
    }
}

/// Audits the copies of this daemon and compares them with those of others.
pub struct AuditService {
    instance_id: String,
    spaces: Vec<Arc<Audited>>,
    started_at: Instant,
    store: Arc<dyn WatchedTable>,
    peers: Arc<dyn PeerCopies>,
    members: ArcSwap<Vec<AuditMember>>,
    socket: OnceLock<Arc<UdpSocket>>,
    log: DecisionLog,
}

/// Returns the time after the start in which this daemon audits nothing, given the interval between two audits and the
/// number of other members. Without any it would be the first of all that start at once.
fn settle_time(interval: Duration, members: usize) -> Duration {
    if members == 0 {
        return MAX_SETTLE_TIME;
    }
    interval
        .saturating_mul(SETTLE_INTERVALS)
        .min(MAX_SETTLE_TIME)
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl AuditService {
    /// Creates the service without known members.
    pub fn new(
        instance_id: String,
        spaces: Vec<AuditedSpace>,
        store: Arc<dyn WatchedTable>,
        peers: Arc<dyn PeerCopies>,
        log: DecisionLog,
    ) -> Self {
        let now = harrierward_clock::now();
        let spaces = spaces.into_iter().map(|space| {
            let state = SpaceState {
                rank: Some(0),
                audits: AuditState::default(),
                last_audit: now,
                last_attempt: now,
                is_own_turn: false,
                is_failing: false,
                is_auditing: false,
                is_repairing: false,
            };
            Arc::new(Audited {
                space,
                state: Mutex::new(state),
            })
        });
        Self {
            instance_id,
            spaces: spaces.collect(),
            started_at: now,
            store,
            peers,
            members: ArcSwap::default(),
            socket: OnceLock::new(),
            log,
        }
    }

    /// Sets the socket for announcements; effective once.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        let _ = self.socket.set(socket);
    }

    /// Sets the other live members, and whether this daemon leaves the membership.
    pub fn set_members(&self, others: Vec<AuditMember>, is_leaving: bool) {
        let own = Auditor {
            id: &self.instance_id,
            is_leaving,
        };
        let attached = others.iter().filter(|member| member.is_attached);
        let attached = attached.map(|member| Auditor {
            id: &member.peer.id,
            is_leaving: member.is_leaving,
        });
        for audited in &self.spaces {
            let rank = audit_rank(audited.space.name, own, attached.clone());
            audited.lock().rank = rank;
        }
        self.members.store(Arc::new(others));
    }

    /// Starts the audits that are due; called every 100 ms.
    pub fn tick(self: &Arc<Self>) {
        for audited in &self.spaces {
            if self.begins(audited) {
                tokio::spawn(self.clone().audit(audited.clone()));
            }
        }
    }

    /// True if this daemon audits the space now; the audit counts as begun.
    fn begins(&self, audited: &Audited) -> bool {
        let space = &audited.space;
        let rows = {
            let copy = space.publisher.space().copy();
            if copy.as_of().is_none() {
                return false;
            }
            copy.rows()
        };
        let members = self.members.load().len();
        let interval = audit_interval(rows, members);
        let now = harrierward_clock::now();
        let mut state = audited.lock();
        let Some(rank) = state.rank else {
            return false;
        };
        let settled_at = self.started_at + settle_time(interval, members);
        let last = state.last_audit.max(state.last_attempt).max(settled_at);
        if state.is_auditing || !is_audit_due(rank, interval, last, now) {
            return false;
        }
        state.is_auditing = true;
        state.last_attempt = now;
        true
    }

    async fn audit(self: Arc<Self>, audited: Arc<Audited>) {
        let space = &audited.space;
        let (versions, statement) = {
            let copy = space.publisher.space().copy();
            (copy.versions(&space.expected_keys), copy.statement())
        };
        let sent_at = harrierward_clock::now();
        let result = self.store.check_rows(&versions).await;
        audited.lock().is_auditing = false;
        let changes = match result {
            Ok(check) => check.changes,
            Err(error) => {
                self.note_failed(&audited, versions.len(), sent_at, error.to_string());
                return;
            }
        };
        let found = changes.len();
        let statement = if changes.is_empty() {
            statement
        } else {
            let reading = Reading::Audit;
            space
                .publisher
                .publish(|copy| Some(copy.apply_missing(changes, reading, UpdateSource::Store)));
            space.publisher.space().copy().statement()
        };
        self.note_audited(&audited, versions.len(), found, sent_at);
        self.compare(&audited, &statement, sent_at);
        self.announce(space.name, &statement, sent_at);
    }

    fn note_failed(&self, audited: &Audited, rows: usize, sent_at: Instant, cause: String) {
        let last_audit = {
            let mut state = audited.lock();
            if std::mem::replace(&mut state.is_failing, true) {
                return;
            }
            state.last_audit
        };
        self.log.record(&Record::SpaceAudited {
            space: audited.space.name,
            outcome: "failed",
            rows,
            changes: 0,
            last_ms: milliseconds(harrierward_clock::age(last_audit)),
            after_ms: milliseconds(harrierward_clock::age(sent_at)),
            cause: Some(cause),
        });
    }

    fn note_audited(&self, audited: &Audited, rows: usize, changes: usize, sent_at: Instant) {
        let (last_audit, is_new) = {
            let mut state = audited.lock();
            let had_turn = std::mem::replace(&mut state.is_own_turn, true);
            let was_failing = std::mem::take(&mut state.is_failing);
            let last_audit = std::mem::replace(&mut state.last_audit, sent_at);
            (last_audit, !had_turn || was_failing)
        };
        if !is_new && changes == 0 {
            return;
        }
        self.log.record(&Record::SpaceAudited {
            space: audited.space.name,
            outcome: if changes == 0 { "unchanged" } else { "changed" },
            rows,
            changes,
            last_ms: milliseconds(sent_at.saturating_duration_since(last_audit)),
            after_ms: milliseconds(harrierward_clock::age(sent_at)),
            cause: None,
        });
    }

    fn announce(&self, space: &str, statement: &AuditStatement, sent_at: Instant) {
        let bytes = self.encode(space, statement, sent_at, false);
        let members = self.members.load();
        for address in members.iter().filter_map(|member| member.address) {
            self.send(&bytes, address);
        }
    }

    fn encode(
        &self,
        space: &str,
        statement: &AuditStatement,
        audited_at: Instant,
        is_unaudited: bool,
    ) -> Vec<u8> {
        let age = milliseconds(harrierward_clock::age(audited_at)).saturating_add(1);
        let audit = SpaceAudit {
            from: self.instance_id.clone(),
            space: space.to_owned(),
            revision: statement.revision,
            changed_at: statement.changed_at,
            digest: statement.digest,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            is_unaudited,
        };
        encode(&NodeDatagram {
            kind: Some(node_datagram::Kind::SpaceAudit(audit)),
        })
    }

    fn send(&self, bytes: &[u8], address: SocketAddr) {
        if let Some(socket) = self.socket.get() {
            // Loss is tolerated: the next audit follows soon.
            let _ = socket.try_send_to(bytes, address);
        }
    }

    /// Handles the announcement of an audit; returns datagrams of other kinds.
    pub fn receive(self: &Arc<Self>, kind: node_datagram::Kind) -> Option<node_datagram::Kind> {
        let node_datagram::Kind::SpaceAudit(audit) = kind else {
            return Some(kind);
        };
        let mut spaces = self.spaces.iter();
        let audited = spaces.find(|audited| audited.space.name == audit.space);
        let age = Duration::from_millis(u64::from(audit.age_ms));
        let audited_at = harrierward_clock::now().checked_sub(age);
        let (Some(audited), Some(audited_at)) = (audited, audited_at) else {
            return None;
        };
        let statement = AuditStatement {
            revision: audit.revision,
            changed_at: audit.changed_at,
            digest: audit.digest,
        };
        let Some(source) = self.member(&audit.from) else {
            // It can't be asked for what this copy lacks, so its audit doesn't take the place of one by this daemon.
            self.compare(audited, &statement, audited_at);
            return None;
        };
        if !audit.is_unaudited {
            let mut state = audited.lock();
            state.last_audit = state.last_audit.max(audited_at);
            state.is_own_turn = false;
            drop(state);
            self.tell_auditor_if_due(audited, &statement, &source);
            self.compare(audited, &statement, audited_at);
        }
        self.repair_if_due(audited, &statement, source);
        None
    }

    /// Records the audit if the copy equals the audited one.
    fn compare(&self, audited: &Audited, statement: &AuditStatement, audited_at: Instant) {
        if audited.comparison(statement) != Some(AuditComparison::Equal) {
            return;
        }
        let confirmed_at = {
            let mut state = audited.lock();
            state.audits.note_equal(statement.revision, audited_at);
            state.audits.confirmed_at()
        };
        if let Some(confirmed_at) = confirmed_at {
            (audited.space.on_confirmed)(confirmed_at);
        }
    }

    /// Sends the auditor the statement of this copy if the auditor may lack a row.
    fn tell_auditor_if_due(
        &self,
        audited: &Audited,
        statement: &AuditStatement,
        auditor: &AuditMember,
    ) {
        let (is_ahead, own) = {
            let copy = audited.space.publisher.space().copy();
            (copy.is_ahead_of(statement), copy.statement())
        };
        let now = harrierward_clock::now();
        if !audited.lock().audits.must_tell_auditor(is_ahead, now) {
            return;
        }
        if let Some(address) = auditor.address {
            let bytes = self.encode(audited.space.name, &own, now, true);
            self.send(&bytes, address);
        }
    }

    /// Starts a repair from the copy of a member, if this copy differs from what the member states.
    fn repair_if_due(
        self: &Arc<Self>,
        audited: &Arc<Audited>,
        statement: &AuditStatement,
        source: AuditMember,
    ) {
        let Some(comparison) = audited.comparison(statement) else {
            return;
        };
        let now = harrierward_clock::now();
        let Some(repair) = audited.lock().audits.repair(comparison, now) else {
            return;
        };
        if std::mem::replace(&mut audited.lock().is_repairing, true) {
            return;
        }
        let order = RepairOrder {
            repair,
            source: source.peer,
            statement: *statement,
            comparison,
        };
        tokio::spawn(self.clone().repair(audited.clone(), order));
    }

    fn member(&self, id: &str) -> Option<AuditMember> {
        let members = self.members.load();
        let member = members.iter().find(|member| member.peer.id == id);
        member.cloned()
    }
}
