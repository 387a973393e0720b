//! Check of a space's first full read.
//!
//! A read may reflect an earlier state of the store. Later reads are held against the revision of the copy; the first one
//! has nothing to be held against, and a daemon that has just started would use it until the next audit.

use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{RowChange, SpaceSnapshot, WatchedTable};

use crate::space_copy::SpaceCopy;
use crate::watch::milliseconds;

/// Maximum number of rows that are checked: each starting daemon that reads the store itself makes one transaction for
/// every hundred of them. Larger spaces wait for the next audit.
const MAX_ROWS: usize = 500;

/// Compares the first full read of a space with the store's current state.
#[derive(Debug, Clone, Default)]
pub struct FirstReadCheck {
    /// Keys of rows that may be written at any time, checked also if the read lacks them.
    pub expected_keys: Vec<String>,
}

impl FirstReadCheck {
    /// Returns the rows that have changed since the state which the read reflects, in their current state; none if a
    /// peer sent the rows, since audits cover its copy, or if the check fails.
    pub(crate) async fn outdated_rows(
        &self,
        table: &dyn WatchedTable,
        space: &str,
        snapshot: &SpaceSnapshot,
        log: &DecisionLog,
    ) -> Vec<RowChange> {
        if snapshot.proof.is_some() || snapshot.rows.len() > MAX_ROWS {
            return Vec::new();
        }
        let mut copy = SpaceCopy::default();
        copy.apply_snapshot(snapshot.clone());
        let versions = copy.versions(&self.expected_keys);
        if versions.is_empty() {
            return Vec::new();
        }
        let sent_at = harrierward_clock::now();
        let (outcome, changes, cause) = match table.check_rows(&versions).await {
            Ok(check) if check.changes.is_empty() => ("unchanged", Vec::new(), None),
            Ok(check) => ("changed", check.changes, None),
            Err(error) => ("failed", Vec::new(), Some(error.to_string())),
        };
        log.record(&Record::SpaceAudited {
            space,
            outcome,
            rows: versions.len(),
            changes: changes.len(),
            last_ms: 0,
            after_ms: milliseconds(harrierward_clock::age(sent_at)),
            cause,
        });
        changes
    }
}
