//! Reads of a job's results.
//!
//! Guards against results that lack a chunk whose row cannot be read, and are taken for complete.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_batch::ResultReader;
use harrierward_external::{
    ObjectStore, PlatformError, RequestClass, Row, Table, Transaction, TransactionOutcome,
};

/// A store with one chunk row that is no message.
struct CorruptStore;

#[async_trait]
impl Table for CorruptStore {
    async fn transact(
        &self,
        _: RequestClass,
        _: Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        unreachable!("results are only read")
    }

    async fn get(
        &self,
        _: RequestClass,
        keys: &[String],
    ) -> Result<Vec<Option<Row>>, PlatformError> {
        Ok(vec![None; keys.len()])
    }

    async fn scan(
        &self,
        _: RequestClass,
        prefix: &str,
        after: &str,
        _: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        let row = Row {
            key: format!("{prefix}0000"),
            value: Bytes::from_static(&[0xff]),
            revision: 1,
        };
        Ok(if after.is_empty() {
            vec![row]
        } else {
            Vec::new()
        })
    }
}

#[async_trait]
impl ObjectStore for CorruptStore {
    async fn put(&self, _: RequestClass, _: &str, _: Bytes) -> Result<(), PlatformError> {
        Ok(())
    }

    async fn get(&self, _: RequestClass, _: &str) -> Result<Bytes, PlatformError> {
        Ok(Bytes::new())
    }

    async fn delete(&self, _: RequestClass, _: &str) -> Result<(), PlatformError> {
        Ok(())
    }
}

#[tokio::test]
async fn a_chunk_row_that_cannot_be_read_is_an_error() {
    let store = Arc::new(CorruptStore);
    let mut reader = ResultReader::new(store.clone(), store, "job");
    assert!(reader.next().await.is_err());
}
