//! Interfaces of the external systems: a transactional table, an object store, a machine list, a weight store and
//! model engines. Each is a narrow trait with an HTTP client, which another implementation can replace; only
//! [`WatchedTable`] has no client in this crate.

mod backoff;
mod budget;
mod engine;
mod errors;
mod full_read;
mod guarded;
pub mod http;
mod machines;
mod objects;
mod table;
mod watch;
mod weights;

pub use backoff::{Backoff, full_jitter};
pub use budget::{RateBudget, RequestClass};
pub use engine::{
    CacheEvent, CacheEventPage, CommandKind, Engine, EngineCommand, EngineError, EngineEvent,
    EngineLoad, EventStream, FinishReason, GenerateRequest, Priority, ReplicaId, prefix_blocks,
};
pub use errors::{PlatformError, PlatformErrorKind};
pub use full_read::{FullRead, PageStart};
pub use guarded::{GuardedObjects, GuardedTable, StoreLimits};
pub use machines::{Machine, MachineList, MachineState};
pub use objects::ObjectStore;
pub use table::{Condition, Row, Table, Transaction, TransactionOutcome, Write};
pub use watch::{
    ChangePage, FreshnessProof, RowChange, RowCheck, RowRead, RowVersion, SpacePage, SpaceSnapshot,
    WatchedTable,
};
pub use weights::{WeightStore, WeightTransfer};
