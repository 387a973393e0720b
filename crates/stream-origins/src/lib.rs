//! Where streams began: the service and the software version that wrote the first event, the only ones that may continue
//! a stream.
//!
//! Pure state machines: they open no socket, and time is passed in.

mod buckets;
mod ledger;
mod origin;
mod origin_set;

pub use buckets::{BucketNumber, StoredBuckets, StoredOrigin};
pub use ledger::{OriginLedger, OriginRecord, RecordSource};
pub use origin::{SoftwareVersion, StreamKey, StreamOrigin};
pub use origin_set::OriginSet;
