//! Stand-ins for what the platform gives: engines, table, object store, machine list and weight store.
//!
//! Why: every promise is tested against these, with faults on request, so they must be as awkward as
//! the real ones: rate-limited, lagging, losing answers after the change took effect.

mod answers;
mod engine_core;
mod engine_handle;
mod faults;
mod memory_platform;
mod prefix_cache;
pub mod server;

pub use answers::{expected_response, natural_length, prompt_tokens, token_text};
pub use engine_core::{EngineCore, EngineParameters, StepPlan, SubmitRefusal};
pub use engine_handle::{
    EngineFaults, EngineHandle, Execution, ExecutionOutcome, RefusedWhileLeaving,
};
pub use faults::{StoreFaults, StoreFaultsHandle};
pub use memory_platform::{MemoryPlatform, PlatformParameters};
pub use prefix_cache::{CacheParameters, PrefixCache};
