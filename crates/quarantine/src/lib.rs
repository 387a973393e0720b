//! Quarantine of request contents that crash replicas. Pure: callers do the I/O.
//!
//! A request that crashes replicas recurs under other ids and at other daemons, so it is identified by a digest of its
//! content ([`ContentId`]). Daemons exchange the crashes that they observe; their ledgers converge in any order of the
//! reports.

mod content;
mod fingerprint;
mod ledger;
mod status;

pub use content::ContentId;
pub use fingerprint::{Fingerprint, PartId};
pub use ledger::{CrashLedger, ReplicaInstance, ReportedClearing, ReportedContent, ReportedCrash};
pub use status::{ContentStatus, ContentStatuses, QuarantinePeriod};
