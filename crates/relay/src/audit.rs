//! Audits of a copy: whose turn it is, and what other copies learn from one. Does no I/O.
//!
//! A feed proves that the store responds, not that it delivered all changes, and all feeds of a fleet may omit the same
//! one. So one daemon at a time compares its copy with the store's current state, by a transaction, and announces the
//! digest of what it holds; the others compare their copies with it. A daemon whose turn comes later audits once it
//! has received no announcement for longer.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum time between two audits of a space. A few of these, the time that a feed takes, and a request to a peer must
/// pass within the shortest bound on the use of a replica that leaves.
const MIN_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum time between two audits per row, so that the audits of a large space leave the store's write rate to others.
const INTERVAL_PER_ROW: Duration = Duration::from_micros(200);

/// Minimum time between two audits per member, each of which receives an announcement.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(2);

/// Number of members that audit in turn; the others only compare. Bounds the calls while the store fails.
const AUDITORS: usize = 12;

/// What a daemon states of its copy once an audit has found its rows to be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AuditStatement {
    /// Revision of the store up to which the copy's changes are included.
    pub revision: u64,
    /// Highest revision at which a row of the copy changed.
    pub changed_at: u64,
    /// Digest of the copy.
    pub digest: u64,
}

/// Result of a comparison with an audited copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuditComparison {
    /// The copy holds all that the audited one did.
    Equal,
    /// The copies differ, and the feed may still deliver what is missing.
    Behind,
    /// The copies differ although the feed has passed the last change.
    Incomplete,
}

/// A member that may audit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Auditor<'a> {
    /// Member id.
    pub id: &'a str,
    /// True if it leaves the membership, so that its turn comes after that of all others.
    pub is_leaving: bool,
}

/// Returns the position of the member `own` among those that audit a space, from 0; `None` if it only compares.
pub fn audit_rank<'a>(
    space: &str,
    own: Auditor<'_>,
    members: impl Iterator<Item = Auditor<'a>>,
) -> Option<usize> {
    let seed = xxh3_64_with_seed(space.as_bytes(), 0);
    let weight = |id: &str| xxh3_64_with_seed(id.as_bytes(), seed);
    let own_rank = (!own.is_leaving, weight(own.id), own.id);
    let is_before =
        |other: &Auditor<'_>| (!other.is_leaving, weight(other.id), other.id) > own_rank;
    let before = members.filter(is_before).count();
    (before < AUDITORS).then_some(before)
}

/// Returns the time between two audits of a space with this many rows in a fleet of this size.
pub fn audit_interval(rows: usize, members: usize) -> Duration {
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    let of_rows = INTERVAL_PER_ROW.saturating_mul(count(rows));
    let of_members = INTERVAL_PER_MEMBER.saturating_mul(count(members));
    MIN_INTERVAL.max(of_rows).max(of_members)
}

/// Part of the interval after which the member next in rank audits: more than an announcement takes, also in a process
/// that is late, and little enough for several members that are silent within the bound on the use of a replica that
/// leaves.
const TURN_DIVISOR: u32 = 2;

/// True if a member audits now. `last` is the time of the latest audit that it knows of, or of its start.
pub fn is_audit_due(rank: usize, interval: Duration, last: Instant, now: Instant) -> bool {
    let turns = u32::try_from(rank).unwrap_or(u32::MAX);
    let wait = interval + (interval / TURN_DIVISOR).saturating_mul(turns);
    now.saturating_duration_since(last) >= wait
}

/// Pauses between repairs that brought nothing, doubled each time.
const MIN_PAUSE: Duration = Duration::from_millis(400);
const MAX_PAUSE: Duration = Duration::from_secs(6);

/// Which rows a repair requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepairScope {
    /// Those that changed after this revision.
    ChangesAfter(u64),
    /// All, since nothing was confirmed yet or the changes weren't enough.
    AllRows,
}

/// What to do about a difference from an audited copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Repair {
    /// Which rows to request.
    pub scope: RepairScope,
    /// True if the feed may still deliver what is missing, so that it is given time to.
    pub awaits_feed: bool,
}

/// How long this copy may hold changes that audits don't include before the auditor is notified: more than changes are
/// coalesced.
const AHEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// What a daemon concludes from the audits of a space.
#[derive(Debug, Default)]
pub struct AuditState {
    /// Revision and time of the latest audit to which the copy was equal.
    confirmed: Option<(u64, Instant)>,
    /// Since when the copy has held changes that audits don't include.
    ahead_since: Option<Instant>,
    vain_repairs: u32,
    next_repair_at: Option<Instant>,
}

impl AuditState {
    /// Returns the time of the latest audit to which the copy was equal; `None` if there was none.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed.map(|(_, at)| at)
    }

    /// Records that the copy was equal to one that was audited at `audited_at` and stated `revision`.
    pub fn note_equal(&mut self, revision: u64, audited_at: Instant) {
        let before = self.confirmed_at();
        let at = before.map_or(audited_at, |before| before.max(audited_at));
        self.confirmed = Some((revision, at));
        self.vain_repairs = 0;
        self.next_repair_at = None;
    }

    /// Records whether the copy holds changes after the state that an audit announced. Returns true if the auditor must be
    /// notified of what this copy holds, since it may lack a row, which it then can't audit: if the copy has been ahead
    /// for long, or still differed after a repair.
    pub fn must_tell_auditor(&mut self, is_ahead: bool, now: Instant) -> bool {
        if !is_ahead {
            self.ahead_since = None;
            return self.vain_repairs > 0;
        }
        let since = *self.ahead_since.get_or_insert(now);
        now.saturating_duration_since(since) >= AHEAD_TIMEOUT || self.vain_repairs > 0
    }

    /// Returns the repair that a difference makes due.
    pub fn repair(&self, comparison: AuditComparison, now: Instant) -> Option<Repair> {
        let is_pausing = self.next_repair_at.is_some_and(|at| now < at);
        if comparison == AuditComparison::Equal || is_pausing {
            return None;
        }
        let confirmed = self.confirmed.filter(|_| self.vain_repairs == 0);
        Some(Repair {
            scope: confirmed.map_or(RepairScope::AllRows, |(revision, _)| {
                RepairScope::ChangesAfter(revision)
            }),
            awaits_feed: comparison == AuditComparison::Behind && self.confirmed.is_some(),
        })
    }

    /// Records the end of a repair; `is_vain` if the copy still differs.
    pub fn note_repaired(&mut self, is_vain: bool, now: Instant) {
        if !is_vain {
            self.vain_repairs = 0;
            self.next_repair_at = None;
            return;
        }
        let pause = MIN_PAUSE.saturating_mul(1 << self.vain_repairs.min(4));
        self.vain_repairs += 1;
        self.next_repair_at = Some(now + pause.min(MAX_PAUSE));
    }
}
