//! The rate-limited weight store, from which engines load models.

use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Leave to load weights, given by the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightTransfer {
    /// Model granted.
    pub model: String,
    /// Size of the weights in bytes.
    pub bytes: u64,
    /// Time the load is expected to take at the store's present rate.
    pub expected: Duration,
}

/// Client of the weight store.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Asks leave to load `model`; refused as rate-limited while too many loads run.
    async fn reserve(&self, model: &str) -> Result<WeightTransfer, PlatformError>;
}
