//! Batch jobs whose items are kept in the store's table: accepted in one transaction, run by the daemon that
//! accepted them or adopted them, listed under the revision of the job's head, readable at any daemon.
//!
//! Why beside `batch`: jobs of a few items need no chunk objects, shard owners or pulls. The head of each job is
//! the only row that changes; every change of it is conditional, so an owner that was frozen or cut off can list
//! nothing after another took over.

mod adoption;
pub mod adoption_order;
mod checkpoint;
pub mod item;
mod item_run;
mod keys;
mod listing;
mod lookup;
mod model;
mod no_capacity;
pub mod owned_job;
mod pacing;
mod quota;
mod quota_ledger;
mod ready;
mod registry;
mod runner;
mod service;
mod store;
mod submit;
mod takeover;
mod view;

pub use keys::{JOB_HEADERS, RowKind, crash_updates_key, partitions, row_kind};
pub use model::{
    CancelOutcome, JobCaller, JobResult, Lookup, ResultPage, SubmitOutcome, SubmittedItem,
    SubmittedJob,
};
pub use pacing::{RunLength, Urgency, slack, urgency};
pub use quota_ledger::{QuotaDecision, QuotaLedger, QuotaRequest, RouteCount};
pub use service::{InlineJobs, JobParts, JobSettings, Peers};
pub use store::{FenceOutcome, JobStore, KnownFence, ListedResult, ReadResult, WriteOutcome};
pub use view::{HeaderChange, JobView, KnownHeader};
