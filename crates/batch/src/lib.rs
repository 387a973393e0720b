//! Batch jobs: input files, job acceptance, shards of jobs under fenced ownership, grants, commits and results.
//!
//! The table is rate-limited, so a job is divided into chunks of up to [`CHUNK_ITEMS`] items: one transaction commits
//! many results, which are stored as one object.

pub mod core;
mod errors;
mod files;
mod item_set;
mod jobs;
mod keys;
mod lines;
mod owner;
mod rate_limit;
mod results;

pub use errors::{BatchError, LineError};
pub use files::{FileService, FileUpload, LineCheck, UploadRequest};
pub use item_set::ItemSet;
pub use jobs::{CreateJob, JobService, JobView, new_batch_id, shard_of};
pub use keys::{
    CHUNK_ITEMS, MAX_ITEMS, job_key as job_row_key, ownership_key, replica_key, shard_key,
};
pub use owner::{OwnerDriver, OwnerDriverSettings, OwnerEvents};
pub use results::ResultReader;
