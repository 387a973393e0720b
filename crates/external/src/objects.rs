//! The object store: named immutable bodies.

use async_trait::async_trait;
use bytes::Bytes;

use crate::{PlatformError, RequestClass};

/// Client of the object store.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Stores `body` under `name`. Names carry an attempt id, so a repeated put is harmless.
    async fn put(&self, class: RequestClass, name: &str, body: Bytes) -> Result<(), PlatformError>;

    /// Reads a whole object.
    async fn get(&self, class: RequestClass, name: &str) -> Result<Bytes, PlatformError>;

    /// Removes an object; removing an absent one is no error.
    async fn delete(&self, class: RequestClass, name: &str) -> Result<(), PlatformError>;
}
