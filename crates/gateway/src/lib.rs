//! Path of an online request: tenant limits, admission, claim, routing, retries and the response stream.
//! All steps share one error type, which states whether the request may have run.

mod admission;
mod call;
mod directory;
mod errors;
mod gateway;
mod limits;
mod metrics;
mod openai;
mod response;
mod retry;

pub use admission::{Admission, AdmissionPermit, AdmissionSettings, FairQueue};
pub use call::{Call, IdempotentCall, ResponseIdentity};
pub use directory::{
    Directory, DirectoryEntry, EngineConnector, OnlineCounts, Replica, ReplicaDirectory, ZoneRank,
};
pub use errors::GatewayError;
pub use gateway::{Gateway, GatewayParts, GatewaySettings};
pub use harrierward_execution::Execution;
pub use limits::{LimitDecision, TenantLimits};
pub use metrics::GatewayMetrics;
pub use openai::{
    ChatMessage, EndpointKind, GenerationSpec, SpecError, content_bytes, parse_request,
};
pub use response::{ResponseEvent, ResponseStream, StoredResponse, Usage};
pub use retry::RetryBudget;
