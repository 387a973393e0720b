//! Batch jobs whose items are stored in the store's table: accepted in one transaction, run by the daemon that
//! accepted or adopted them, and readable at any daemon.
//!
//! Only a job's header changes after acceptance, and each change is conditional on its revision. An owner that was
//! suspended or partitioned can therefore list nothing after another daemon has taken over. Unlike jobs of the
//! `batch` crate, these need no chunk objects, shard owners or pulls.

mod adoption;
pub mod adoption_order;
mod checkpoint;
mod failure_reports;
mod fruitless;
mod header_lookup;
pub mod item;
mod item_run;
mod job_memory;
mod keys;
mod listing;
mod lookup;
mod model;
mod no_capacity;
mod own_headers;
pub mod owned_job;
mod pacing;
mod preemption;
mod quota;
mod quota_ledger;
mod ready;
pub mod recency;
mod registry;
mod reported_failures;
mod runner;
mod service;
mod starting;
mod store;
mod submit;
mod takeover;
mod tokens;
mod view;

pub use fruitless::FruitlessAttempts;
pub use keys::{
    JOB_HEADERS, RowKind, crash_reports_key, host_services_key, partitions, row_kind,
    served_versions_key,
};
pub use model::{
    CancelOutcome, JobCaller, JobResult, Lookup, ResultPage, SubmitOutcome, SubmittedItem,
    SubmittedJob, scoped_id,
};
pub use own_headers::HeaderReads;
pub use pacing::{RunLength, StartPacer, Urgency, slack, urgency};
pub use quota_ledger::{QuotaDecision, QuotaLedger, QuotaRequest, RouteUsage};
pub use reported_failures::ReportedFailures;
pub use service::{InlineJobs, JobParts, JobSettings, Peers};
pub use store::{FenceOutcome, JobStore, KnownFence, ListedResult, ReadResult, WriteOutcome};
pub use submit::MAX_JOB_ITEMS;
pub use view::{HeaderChange, JobView, KnownHeader};
