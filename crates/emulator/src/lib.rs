//! Emulators of engines, table, object store, machine list and weight store, with fault injection.
//!
//! They model rate limits, stale reads, and responses lost after a change took effect.

mod engine_core;
mod engine_handle;
mod faults;
mod memory_platform;
mod prefix_cache;
pub mod server;
mod synthetic_model;

pub use engine_core::{EngineCore, EngineParameters, StepPlan, SubmitRefusal};
pub use engine_handle::{
    EngineFaults, EngineHandle, Execution, ExecutionOutcome, RefusedWhileLeaving,
};
pub use faults::{StoreFaults, StoreFaultsHandle};
pub use memory_platform::{MemoryPlatform, PlatformParameters};
pub use prefix_cache::{CacheParameters, PrefixCache};
pub use synthetic_model::{expected_response, natural_length, prompt_tokens, token_text};
