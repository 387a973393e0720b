//! Quarantine of requests that crash replicas. Pure: callers do the I/O.
//!
//! A request that crashes replicas recurs under other ids and at other daemons, so it is identified by a digest of its
//! content ([`ContentId`]). Requests that are alike in nothing but a part of their prompts may crash replicas too, so that
//! each shared part ([`PartId`]) is a possible cause of its own. Daemons exchange the crashes that they observe; their
//! ledgers converge in any order of the reports.

mod content;
mod fingerprint;
mod ledger;
mod part_proofs;
mod status;
mod subject;

pub use content::ContentId;
pub use fingerprint::{Fingerprint, PartId};
pub use ledger::{CrashLedger, ReplicaInstance, Reported, ReportedClearing, ReportedCrash};
pub use part_proofs::PartProofs;
pub use status::{QuarantinePeriod, Quarantined, Status, Statuses};
pub use subject::Subject;
