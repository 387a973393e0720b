//! A store whose requests all fail, for the interfaces that a test does not need.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_external::{
    ChangePage, ObjectStore, PageStart, PlatformError, PlatformErrorKind, RequestClass, Row,
    RowRead, SpacePage, Table, Transaction, TransactionOutcome, WatchedTable,
};

/// Returns the error of an unavailable store.
pub fn unavailable(step: &'static str) -> PlatformError {
    PlatformError::new(step, "store", PlatformErrorKind::NotDone, "away")
}

/// Fails every request without any effect.
pub struct UnavailableStore;

#[async_trait]
impl Table for UnavailableStore {
    async fn transact(
        &self,
        _: RequestClass,
        _: Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        Err(unavailable("transact"))
    }

    async fn get(&self, _: RequestClass, _: &[String]) -> Result<Vec<Option<Row>>, PlatformError> {
        Err(unavailable("get"))
    }

    async fn scan(
        &self,
        _: RequestClass,
        _: &str,
        _: &str,
        _: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        Err(unavailable("scan"))
    }
}

#[async_trait]
impl ObjectStore for UnavailableStore {
    async fn put(&self, _: RequestClass, _: &str, _: Bytes) -> Result<(), PlatformError> {
        Err(unavailable("put"))
    }

    async fn get(&self, _: RequestClass, _: &str) -> Result<Bytes, PlatformError> {
        Err(unavailable("get object"))
    }

    async fn delete(&self, _: RequestClass, _: &str) -> Result<(), PlatformError> {
        Err(unavailable("delete"))
    }
}

#[async_trait]
impl WatchedTable for UnavailableStore {
    async fn read_page(&self, _: &str, _: PageStart<'_>) -> Result<SpacePage, PlatformError> {
        Err(unavailable("read page"))
    }

    async fn read_row(&self, _: &str) -> Result<RowRead, PlatformError> {
        Err(unavailable("read row"))
    }

    async fn wait_changes(
        &self,
        _: &str,
        _: u64,
        _: Duration,
    ) -> Result<ChangePage, PlatformError> {
        Err(unavailable("wait changes"))
    }
}
