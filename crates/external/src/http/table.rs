//! HTTP client of the table service.

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::HttpCaller;
use super::messages::{GetMessage, OutcomeMessage, RowMessage, ScanMessage, TransactionMessage};
use crate::{
    PlatformError, PlatformErrorKind, RequestClass, Row, Table, Transaction, TransactionOutcome,
};

/// Table client with JSON over HTTP; ignores the request class.
#[derive(Debug, Clone)]
pub struct HttpTable {
    caller: HttpCaller,
    address: String,
}

impl HttpTable {
    /// Builds a client of the service at `address` (`ip:port`).
    pub fn new(caller: HttpCaller, address: impl Into<String>) -> Self {
        Self {
            caller,
            address: address.into(),
        }
    }

    fn malformed(&self, step: &'static str) -> PlatformError {
        let kind = PlatformErrorKind::Malformed;
        PlatformError::new(step, &self.address, kind, "unreadable answer")
    }

    async fn send_request<M: Serialize, R: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
        message: &M,
    ) -> Result<R, PlatformError> {
        let body = serde_json::to_vec(message).map_err(|_| self.malformed(step))?;
        let response = self
            .caller
            .call_platform(step, Method::POST, &self.address, path, Bytes::from(body))
            .await?;
        serde_json::from_slice(&response).map_err(|_| self.malformed(step))
    }
}

#[async_trait]
impl Table for HttpTable {
    async fn transact(
        &self,
        _class: RequestClass,
        transaction: Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        const STEP: &str = "table.transact";
        let message = TransactionMessage::from(&transaction);
        let response: OutcomeMessage = self.send_request(STEP, "/table/transact", &message).await?;
        response.into_outcome().ok_or_else(|| self.malformed(STEP))
    }

    async fn get(
        &self,
        _class: RequestClass,
        keys: &[String],
    ) -> Result<Vec<Option<Row>>, PlatformError> {
        const STEP: &str = "table.get";
        let message = GetMessage {
            keys: keys.to_vec(),
        };
        let rows: Vec<Option<RowMessage>> = self.send_request(STEP, "/table/get", &message).await?;
        rows.into_iter()
            .map(|row| match row {
                None => Ok(None),
                Some(row) => row.into_row().map(Some).ok_or_else(|| self.malformed(STEP)),
            })
            .collect()
    }

    async fn scan(
        &self,
        _class: RequestClass,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        const STEP: &str = "table.scan";
        let message = ScanMessage {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        let rows: Vec<RowMessage> = self.send_request(STEP, "/table/scan", &message).await?;
        rows.into_iter()
            .map(|row| row.into_row().ok_or_else(|| self.malformed(STEP)))
            .collect()
    }
}
