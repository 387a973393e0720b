//! Quarantine of contents under which replicas crash. Pure: callers do the I/O.
//!
//! Such a request recurs under other ids and at other daemons, so it is identified by its path, caller and body.
//! Daemons exchange the crashes that they observe; their ledgers converge in any order of the reports.

mod content;
mod ledger;
mod status;

pub use content::ContentId;
pub use ledger::{CrashLedger, ReplicaInstance, ReportedClearing, ReportedContent, ReportedCrash};
pub use status::{ContentStatus, ContentStatuses, QuarantinePeriod};
