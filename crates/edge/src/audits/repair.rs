//! Repair of a copy that lacks what a peer holds.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_external::{ChangePage, RowVersion};
use harrierward_relay::{
    AuditComparison, AuditStatement, Reading, RelayPeer, RelayReply, Repair, RepairScope,
    SpaceRequest, UpdateSource,
};
use tokio::time::sleep;

use super::{AuditService, Audited, milliseconds};

/// Maximum delay of a repair per member, and at all: when all feeds omitted a change, all members ask the auditor.
const DELAY_PER_MEMBER: Duration = Duration::from_millis(1);
const MAX_DELAY: Duration = Duration::from_millis(400);

/// Time that the feed takes to deliver a change, in addition to coalescing.
const FEED_MARGIN: Duration = Duration::from_millis(250);

/// A repair that is due.
pub(super) struct RepairOrder {
    pub repair: Repair,
    /// The peer whose copy holds what is missing.
    pub source: RelayPeer,
    /// What it stated.
    pub statement: AuditStatement,
    /// How the own copy compared.
    pub comparison: AuditComparison,
}

impl AuditService {
    /// Requests what the copy lacks, and applies it.
    pub(super) async fn repair(self: Arc<Self>, audited: Arc<Audited>, order: RepairOrder) {
        if order.repair.awaits_feed {
            sleep((audited.space.coalescing)() + FEED_MARGIN).await;
        }
        let members = u32::try_from(self.members.load().len()).unwrap_or(u32::MAX);
        let max_delay = DELAY_PER_MEMBER.saturating_mul(members).min(MAX_DELAY);
        sleep(max_delay.mul_f64(rand::random())).await;
        let is_equal = || audited.comparison(&order.statement) == Some(AuditComparison::Equal);
        if is_equal() {
            // The feed has delivered the changes.
            audited.lock().is_repairing = false;
            return;
        }
        let changes = self.request_missing(&audited, &order).await;
        let is_equal = is_equal();
        let confirmed_at = {
            let mut state = audited.lock();
            state.is_repairing = false;
            let now = harrierward_clock::now();
            state.audits.note_repaired(!is_equal, now);
            state.audits.confirmed_at()
        };
        let revision = audited.space.publisher.space().copy().revision();
        self.log.record(&Record::SpaceRepaired {
            space: audited.space.name,
            peer: &order.source.id,
            outcome: match (is_equal, changes) {
                (true, _) => "equal",
                (false, Some(_)) => "differs",
                (false, None) => "no reply",
            },
            omitted: order.comparison == AuditComparison::Incomplete,
            revision,
            changes: changes.unwrap_or(0),
            confirmed_ms: confirmed_at.map(|at| milliseconds(harrierward_clock::age(at))),
        });
    }

    /// Returns the number of changes received; `None` without a usable reply. The rows are then checked in the store.
    async fn request_missing(&self, audited: &Audited, order: &RepairOrder) -> Option<usize> {
        let after = match order.repair.scope {
            RepairScope::ChangesAfter(revision) => revision,
            RepairScope::AllRows => 0,
        };
        let request = SpaceRequest {
            space: audited.space.name.to_owned(),
            after,
            hold: Duration::ZERO,
            known_age: None,
        };
        let RelayReply::Page(page) = self.peers.request(&order.source, request).await else {
            let rows = audited.own_versions();
            self.check_in_store(audited, &rows).await;
            return None;
        };
        let unlisted = match order.repair.scope {
            RepairScope::ChangesAfter(_) => Vec::new(),
            RepairScope::AllRows => unlisted_rows(audited, &page),
        };
        let changes = page.changes.len();
        let source = UpdateSource::Peer(order.source.id.as_str().into());
        audited
            .space
            .publisher
            .publish(|copy| Some(copy.apply_missing(page.changes, Reading::Repair, source)));
        // The peer, too, may lack what its feed omitted.
        self.check_in_store(audited, &unlisted).await;
        Some(changes)
    }

    /// Checks rows of the copy against the store's current state.
    async fn check_in_store(&self, audited: &Audited, rows: &[RowVersion]) {
        if rows.is_empty() {
            return;
        }
        match self.store.check_rows(rows).await {
            Ok(check) => {
                let reading = Reading::Audit;
                audited.space.publisher.publish(|copy| {
                    Some(copy.apply_missing(check.changes, reading, UpdateSource::Store))
                });
            }
            Err(error) => self.log.record(&Record::SpaceAudited {
                space: audited.space.name,
                outcome: "failed",
                rows: rows.len(),
                changes: 0,
                last_ms: 0,
                after_ms: 0,
                cause: Some(error.to_string()),
            }),
        }
    }
}

/// Returns the rows of the copy that a peer's full page lacks, but for those that are newer than it.
fn unlisted_rows(audited: &Audited, page: &ChangePage) -> Vec<RowVersion> {
    let listed = page.changes.iter().map(|change| change.key.as_str());
    let listed: HashSet<&str> = listed.collect();
    let held = audited.space.publisher.space().copy().versions(&[]);
    let unlisted = held.into_iter().filter(|row| {
        let is_newer = row.revision > page.revision;
        !is_newer && !listed.contains(row.key.as_str())
    });
    unlisted.collect()
}
