//! Client interface of the object store, which keeps immutable objects by name.

use async_trait::async_trait;
use bytes::Bytes;

use crate::{PlatformError, RequestClass};

/// Client of the object store; every call names its class for the rate budget.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Stores `body` under `name`. Names contain an attempt id, so that repeated puts are idempotent.
    async fn put(&self, class: RequestClass, name: &str, body: Bytes) -> Result<(), PlatformError>;

    /// Reads a full object; fails with [`crate::PlatformErrorKind::NotFound`] if it is absent.
    async fn get(&self, class: RequestClass, name: &str) -> Result<Bytes, PlatformError>;

    /// Removes an object; succeeds if it is absent.
    async fn delete(&self, class: RequestClass, name: &str) -> Result<(), PlatformError>;
}
