//! Response bodies that are read to their end before they are used.

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use harrierward_serving::BodyDelimiter;

use crate::pool::{PoolError, PooledResponse};

/// Body of a response, received up to its delimiter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CollectedBody {
    /// What was received.
    pub bytes: Bytes,
    /// How the end of the body was marked.
    pub delimiter: BodyDelimiter,
}

impl PooledResponse {
    /// Reads the body to its delimiter.
    ///
    /// # Errors
    /// The connection fails before.
    pub async fn collect(mut self) -> Result<CollectedBody, PoolError> {
        let mut received = BytesMut::new();
        while let Some(part) = self.body.next().await {
            received.extend_from_slice(&part?);
        }
        Ok(CollectedBody {
            bytes: received.freeze(),
            delimiter: self.delimiter,
        })
    }
}
