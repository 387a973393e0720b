//! Requests under which replicas crash: which content was there at each crash, and what is held back for it.
//!
//! Why by content: such a request comes again under another id, at another daemon, and as an item of a batch job it has no
//! caller that gives up. What stays the same is its path, its caller and its body.
//!
//! Everything here is pure. Daemons tell each other what they saw; the ledgers of all come to the same, in whatever order and
//! however often the news arrives.

mod content;
mod ledger;
mod status;

pub use content::ContentId;
pub use ledger::{CrashLedger, ReplicaInstance, ReportedClearing, ReportedContent, ReportedCrash};
pub use status::{ContentStatus, ContentStatuses, QuarantinePeriod};
