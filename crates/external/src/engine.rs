//! Client interface of model engines: generation streams, cancellation, load reports, cache events, fenced commands.

use std::pin::Pin;

use async_trait::async_trait;
use futures::Stream;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt that one prefix block covers (about 16 tokens).
const BLOCK_BYTES: usize = 64;

/// Upper bound on the hashed blocks of a prompt; longer prefixes do not affect routing.
const MAX_BLOCKS: usize = 64;

/// Id of a replica, unique within the fleet.
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
    /// A caller is waiting for the response.
    Online,
    /// Item of a batch job; preempted by online sequences.
    Batch,
}

/// Parameters of one generation attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Id of the attempt, repeated in each of its events.
    pub request_id: String,
    /// Name of the model or adapter.
    pub model: String,
    /// Prompt text, with chat messages already rendered.
    pub prompt: String,
    /// Upper bound on generated tokens.
    pub maximum_tokens: u32,
    /// Scheduling class at the engine.
    pub priority: Priority,
    /// First sequence number to send; above 0 for an interrupted stream that is resumed.
    pub resume_from: u32,
    /// Epoch of the replica's owner, set for batch work only; an engine rejects one older than the newest it has seen.
    pub epoch: Option<u64>,
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its output.
    Stop,
    /// `maximum_tokens` was reached.
    Length,
    /// The request was cancelled at the engine.
    Cancelled,
}

impl FinishReason {
    /// Returns the name used in the callers' API.
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
    /// Id of the attempt that the event belongs to.
    pub request_id: String,
    /// Position in the stream, consecutive from 0.
    pub sequence: u32,
    /// Text of the token; empty in the last event.
    pub text: String,
    /// Why the generation ended; set in the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<FinishReason>,
    /// Number of prompt tokens; set in the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_tokens: Option<u32>,
}

/// Load report of one engine; it lags the true load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of online sequences running.
    pub running_online: u32,
    /// Number of batch sequences running.
    pub running_batch: u32,
    /// Number of online sequences queued at the engine.
    pub waiting_online: u32,
    /// Number of batch sequences queued at the engine.
    pub waiting_batch: u32,
    /// Prompt tokens of online sequences that are not yet prefilled.
    pub waiting_prompt_tokens: u32,
    /// Duration of the last engine step, in microseconds.
    pub step_micros: u32,
    /// True if the engine is shutting down and accepts no new work.
    pub leaving: bool,
}

/// Command to an engine, fenced by the epoch of its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommand {
    /// Epoch of the replica's owner; an engine rejects a command older than the newest epoch it has seen.
    pub epoch: u64,
    /// The action and its arguments.
    pub kind: CommandKind,
}

/// Actions that an engine supports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandKind {
    /// Only raises the engine's epoch, which fences off earlier owners.
    Fence,
    /// Loads a model or adapter in addition to those already loaded.
    LoadModel {
        /// Name of the model or adapter.
        model: String,
    },
    /// Unloads a model or adapter.
    UnloadModel {
        /// Name of the model or adapter.
        model: String,
    },
    /// Drains the engine: no new work is accepted, running sequences complete.
    Leave,
}

/// Insertion into, or eviction from, an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number at the engine; a gap means lost events.
    pub number: u64,
    /// Hash of the prefix up to and including the block, as in [`prefix_blocks`].
    pub block: u64,
    /// True if the block was stored, false if it was evicted.
    pub stored: bool,
}

/// Page of cache events of one engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// Events in ascending order of their number, possibly with gaps.
    pub events: Vec<CacheEvent>,
}

/// Why an engine call failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The request did not run: it never reached the engine, or the engine rejected it.
    #[error("{step} at {peer}: not run: {detail}")]
    NotRun {
        /// Operation that failed, e.g. `engine.generate`.
        step: &'static str,
        /// Address of the engine.
        peer: String,
        /// Cause, for an operator.
        detail: String,
    },
    /// The request may have run, fully or in part.
    #[error("{step} at {peer}: perhaps run: {detail}")]
    Unknown {
        /// Operation that failed, e.g. `engine.generate`.
        step: &'static str,
        /// Address of the engine.
        peer: String,
        /// Cause, for an operator.
        detail: String,
    },
    /// The engine has seen a newer epoch: the sender no longer owns the replica. The request did not run.
    #[error("{step} at {peer}: epoch {sent} is older than {seen}")]
    Fenced {
        /// Operation that failed, e.g. `engine.generate`.
        step: &'static str,
        /// Address of the engine.
        peer: String,
        /// Epoch sent.
        sent: u64,
        /// Newest epoch the engine has seen.
        seen: u64,
    },
}

/// Events of one generation. The last item is an event with `finish` or an error; without either, the stream broke.
pub type EventStream = Pin<Box<dyn Stream<Item = Result<EngineEvent, EngineError>> + Send>>;

/// Client of one engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a generation, or resumes one at `resume_from`. Dropping the stream cancels the generation.
    async fn generate(&self, request: GenerateRequest) -> Result<EventStream, EngineError>;

    /// Cancels a generation; succeeds for an unknown id.
    async fn cancel(&self, request_id: &str) -> Result<(), EngineError>;

    /// Fetches the engine's latest load report.
    async fn load(&self) -> Result<EngineLoad, EngineError>;

    /// Fetches cache events numbered above `after`.
    async fn cache_events(&self, after: u64) -> Result<CacheEventPage, EngineError>;

    /// Runs a command; fails with [`EngineError::Fenced`] if its epoch is out of date.
    async fn execute(&self, command: EngineCommand) -> Result<(), EngineError>;

    /// Exports the cached blocks of a prefix for another engine; `None` if the prefix is not cached.
    async fn export_prefix(&self, block: u64) -> Result<Option<Vec<u64>>, EngineError>;

    /// Imports the blocks of a prefix exported by another engine.
    async fn import_prefix(&self, blocks: Vec<u64>) -> Result<(), EngineError>;
}

/// Returns one hash per full block of the prompt, each over the prefix that ends with the block.
/// Engines and routers must use the same hashes.
pub fn prefix_blocks(model: &str, prompt: &str) -> Vec<u64> {
    let mut seed = xxh3_64_with_seed(model.as_bytes(), 0);
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            seed = xxh3_64_with_seed(block, seed);
            seed
        })
        .collect()
}
