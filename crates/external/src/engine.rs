//! Model engines: generation streams, cancels, load reports, cache events and fenced orders.

use std::pin::Pin;

use async_trait::async_trait;
use futures::Stream;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Characters of prompt that one prefix block covers (about 16 tokens).
const BLOCK_CHARACTERS: usize = 64;

/// Most blocks of a prompt that are hashed; longer prefixes add nothing to the choice.
const MAXIMUM_BLOCKS: usize = 64;

/// Names a replica within the fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(pub String);

impl std::fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Scheduling class at the engine: online sequences are always admitted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A caller waits.
    Online,
    /// Nobody waits; yields to online.
    Batch,
}

/// One generation to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Unique per attempt; every event carries it.
    pub request_id: String,
    /// Model or adapter to run.
    pub model: String,
    /// The rendered prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub maximum_tokens: u32,
    /// Scheduling class.
    pub priority: Priority,
    /// First sequence number wanted; more than 0 resumes a cut stream.
    pub resume_from: u32,
    /// Epoch of the replica owner, sent with batch work; an engine refuses an older one.
    pub epoch: Option<u64>,
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model finished.
    Stop,
    /// The token limit was met.
    Length,
    /// Somebody cancelled it.
    Cancelled,
}

impl FinishReason {
    /// Name in the callers' API.
    pub fn name(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
            Self::Cancelled => "cancelled",
        }
    }
}

/// One event of a generation stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEvent {
    /// Request the event belongs to.
    pub request_id: String,
    /// Position in the stream, from 0, without gaps.
    pub sequence: u32,
    /// Token text; empty in the last event.
    pub text: String,
    /// Set in the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<FinishReason>,
    /// Prompt tokens, set in the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_tokens: Option<u32>,
}

/// Load of one engine, as it reports it (with a lag).
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Online sequences running.
    pub running_online: u32,
    /// Batch sequences running.
    pub running_batch: u32,
    /// Online sequences waiting.
    pub waiting_online: u32,
    /// Batch sequences waiting.
    pub waiting_batch: u32,
    /// Prompt tokens not yet prefilled, of online sequences.
    pub waiting_prompt_tokens: u32,
    /// Length of the last step, microseconds.
    pub step_micros: u32,
    /// The engine is leaving and takes no new work.
    pub leaving: bool,
}

/// A fenced order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommand {
    /// Epoch of the replica owner; an engine refuses one older than it has seen.
    pub epoch: u64,
    /// What to do.
    pub kind: CommandKind,
}

/// The orders an engine takes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandKind {
    /// Only raises the engine's epoch, so that an earlier owner is shut out.
    Fence,
    /// Load a model or adapter beside those loaded.
    LoadModel {
        /// Model name.
        model: String,
    },
    /// Drop a loaded model.
    UnloadModel {
        /// Model name.
        model: String,
    },
    /// Take no new work and finish what runs.
    Leave,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event at its engine; a jump means lost events.
    pub number: u64,
    /// Hash of the prefix up to and including the block.
    pub block: u64,
    /// True if stored, false if evicted.
    pub stored: bool,
}

/// Some cache events of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// Events in order of number, perhaps with gaps.
    pub events: Vec<CacheEvent>,
}

/// Why an engine call failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// Certainly not run: never reached the engine, or the engine said so.
    #[error("{step} at {peer}: not run: {detail}")]
    NotRun {
        /// What was being done.
        step: &'static str,
        /// Engine called.
        peer: String,
        /// Cause in words.
        detail: String,
    },
    /// May have run, wholly or in part.
    #[error("{step} at {peer}: perhaps run: {detail}")]
    Unknown {
        /// What was being done.
        step: &'static str,
        /// Engine called.
        peer: String,
        /// Cause in words.
        detail: String,
    },
    /// The engine has seen a newer epoch: the sender no longer owns the replica. Not run.
    #[error("{step} at {peer}: epoch {sent} is older than {seen}")]
    Fenced {
        /// What was being done.
        step: &'static str,
        /// Engine called.
        peer: String,
        /// Epoch sent.
        sent: u64,
        /// Newest epoch the engine has seen.
        seen: u64,
    },
}

/// Events of one generation. Ends after the event with `finish`, or by an error; an end without either is a cut.
pub type EventStream = Pin<Box<dyn Stream<Item = Result<EngineEvent, EngineError>> + Send>>;

/// Client of one engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a generation, or resumes one at `resume_from`. Dropping the stream cancels it.
    async fn generate(&self, request: GenerateRequest) -> Result<EventStream, EngineError>;

    /// Cancels a generation; cancelling an unknown one is no error.
    async fn cancel(&self, request_id: &str) -> Result<(), EngineError>;

    /// The engine's last load report.
    async fn load(&self) -> Result<EngineLoad, EngineError>;

    /// Cache events numbered above `after`.
    async fn cache_events(&self, after: u64) -> Result<CacheEventPage, EngineError>;

    /// Carries out a fenced order.
    async fn execute(&self, command: EngineCommand) -> Result<(), EngineError>;

    /// Exports the cached state of a prefix for another engine; `None` if it is not cached.
    async fn export_prefix(&self, block: u64) -> Result<Option<Vec<u64>>, EngineError>;

    /// Imports a prefix exported elsewhere.
    async fn import_prefix(&self, blocks: Vec<u64>) -> Result<(), EngineError>;
}

/// Hashes of a prompt's growing prefixes, one for each full block, shared by engines and routers.
pub fn prefix_blocks(model: &str, prompt: &str) -> Vec<u64> {
    let mut seed = xxh3_64_with_seed(model.as_bytes(), 0);
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_CHARACTERS)
        .take(MAXIMUM_BLOCKS)
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}
