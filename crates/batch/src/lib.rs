//! Batch jobs: files, acceptance, shards of jobs under fenced ownership, grants, commits and results.
//!
//! Why chunks: a job may hold 190,000 items, and the table is rate-limited. A chunk of up to 200 items costs one
//! row, its results one object, and a commit moves both in one transaction.

pub mod core;
mod errors;
mod files;
mod item_set;
mod jobs;
mod keys;
mod owner;
mod patience;
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
