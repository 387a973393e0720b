//! Client interface of the rate-limited store from which engines load model weights.

use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Permission to load the weights of a model, granted by the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightTransfer {
    /// Name of the model.
    pub model: String,
    /// Size of the weights in bytes.
    pub bytes: u64,
    /// Expected duration of the load at the store's current rate.
    pub expected: Duration,
}

/// Client of the weight store.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Requests permission to load `model`; fails as rate-limited while too many loads are in progress.
    async fn reserve(&self, model: &str) -> Result<WeightTransfer, PlatformError>;
}
