//! HTTP client of the object store.

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;

use super::HttpCaller;
use crate::{ObjectStore, PlatformError, RequestClass};

/// Object store client: `PUT`, `GET` and `DELETE` on `/objects/{name}`; ignores the request class.
#[derive(Debug, Clone)]
pub struct HttpObjectStore {
    caller: HttpCaller,
    address: String,
}

fn object_path(name: &str) -> String {
    format!("/objects/{name}")
}

impl HttpObjectStore {
    /// Builds a client of the store at `address` (`ip:port`).
    pub fn new(caller: HttpCaller, address: impl Into<String>) -> Self {
        Self {
            caller,
            address: address.into(),
        }
    }

    async fn send_request(
        &self,
        step: &'static str,
        method: Method,
        name: &str,
        body: Bytes,
    ) -> Result<Bytes, PlatformError> {
        let path = object_path(name);
        self.caller
            .call_platform(step, method, &self.address, &path, body)
            .await
    }
}

#[async_trait]
impl ObjectStore for HttpObjectStore {
    async fn put(&self, _: RequestClass, name: &str, body: Bytes) -> Result<(), PlatformError> {
        self.send_request("objects.put", Method::PUT, name, body)
            .await?;
        Ok(())
    }

    async fn get(&self, _: RequestClass, name: &str) -> Result<Bytes, PlatformError> {
        let path = object_path(name);
        self.caller
            .call_platform_framed(
                "objects.get",
                Method::GET,
                &self.address,
                &path,
                Bytes::new(),
            )
            .await
    }

    async fn delete(&self, _: RequestClass, name: &str) -> Result<(), PlatformError> {
        self.send_request("objects.delete", Method::DELETE, name, Bytes::new())
            .await?;
        Ok(())
    }
}
