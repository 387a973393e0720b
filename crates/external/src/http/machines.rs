//! HTTP client of the machine list.

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;

use super::HttpCaller;
use crate::{Machine, MachineList, PlatformError, PlatformErrorKind};

/// Machine list client: `GET /machines`.
#[derive(Debug, Clone)]
pub struct HttpMachineList {
    caller: HttpCaller,
    address: String,
}

impl HttpMachineList {
    /// Builds a client of the list at `address` (`ip:port`).
    pub fn new(caller: HttpCaller, address: impl Into<String>) -> Self {
        Self {
            caller,
            address: address.into(),
        }
    }
}

#[async_trait]
impl MachineList for HttpMachineList {
    async fn list(&self) -> Result<Vec<Machine>, PlatformError> {
        const STEP: &str = "machines.list";
        let response = self
            .caller
            .call_platform(STEP, Method::GET, &self.address, "/machines", Bytes::new())
            .await?;
        serde_json::from_slice(&response).map_err(|error| {
            let kind = PlatformErrorKind::Malformed;
            PlatformError::new(STEP, &self.address, kind, error.to_string())
        })
    }
}
