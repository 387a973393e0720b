//! Response bodies that are read to their end before they are used.

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use harrierward_serving::BodyDelimiter;

use crate::pool::{PoolError, PooledResponse};

/// Cause of refusing a body that may have been cut.
const CLOSE_DELIMITED: &str = "only the close of the connection delimits the body";

/// Body of a response, received up to its delimiter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CollectedBody {
    /// What was received.
    pub bytes: Bytes,
    /// How the end of the body was marked.
    pub delimiter: BodyDelimiter,
}

impl CollectedBody {
    /// Returns the bytes of a body whose format has no end mark, such as a protobuf message: cut, it would pass for a
    /// smaller one.
    ///
    /// # Errors
    /// Only the close of the connection delimits the body, so that nothing proves it whole.
    pub fn into_framed(self) -> Result<Bytes, PoolError> {
        match self.delimiter {
            BodyDelimiter::Length | BodyDelimiter::Chunks => Ok(self.bytes),
            BodyDelimiter::Close => Err(PoolError::Lost(CLOSE_DELIMITED.to_owned())),
        }
    }
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
