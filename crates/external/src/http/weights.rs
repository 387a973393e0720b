//! HTTP client of the weight store.

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;

use super::HttpCaller;
use crate::{PlatformError, PlatformErrorKind, WeightStore, WeightTransfer};

/// Weight store client: `POST /weights/{model}`.
#[derive(Debug, Clone)]
pub struct HttpWeightStore {
    caller: HttpCaller,
    address: String,
}

impl HttpWeightStore {
    /// Builds a client of the store at `address` (`ip:port`).
    pub fn new(caller: HttpCaller, address: impl Into<String>) -> Self {
        Self {
            caller,
            address: address.into(),
        }
    }
}

#[async_trait]
impl WeightStore for HttpWeightStore {
    async fn reserve(&self, model: &str) -> Result<WeightTransfer, PlatformError> {
        const STEP: &str = "weights.reserve";
        let path = format!("/weights/{model}");
        let response = self
            .caller
            .call_platform(STEP, Method::POST, &self.address, &path, Bytes::new())
            .await?;
        serde_json::from_slice(&response).map_err(|error| {
            let kind = PlatformErrorKind::Malformed;
            PlatformError::new(STEP, &self.address, kind, error.to_string())
        })
    }
}
