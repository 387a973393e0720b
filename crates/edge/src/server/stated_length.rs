//! A response body with the length that its header section states.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use harrierward_serving::ResponseAborted;
use http::Response;
use http::header::CONTENT_LENGTH;
use hyper::body::{Body, Frame, SizeHint};

use super::ResponseBody;

/// How a body differs from its stated length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum LengthMismatch {
    #[error("the body ended before its stated length")]
    TooShort,
    #[error("the body exceeds its stated length")]
    TooLong,
}

impl From<LengthMismatch> for ResponseAborted {
    fn from(mismatch: LengthMismatch) -> Self {
        Self {
            cause: mismatch.to_string(),
        }
    }
}

/// A body whose stated length is reached only if it ends there. Its caller takes the response for complete at the last
/// of these bytes, and the HTTP library reads the body no further, so that they are held back until the body has ended.
pub(super) struct StatedLengthBody {
    body: ResponseBody,
    /// Bytes that have not arrived yet; `None` if no length is stated.
    remaining: Option<u64>,
    last: Option<Bytes>,
    has_ended: bool,
}

impl StatedLengthBody {
    /// Wraps the body of a response.
    pub fn wrap(response: Response<ResponseBody>) -> Response<Self> {
        let length = response.headers().get(CONTENT_LENGTH);
        let remaining = length
            .and_then(|length| length.to_str().ok())
            .and_then(|length| length.parse().ok());
        response.map(|body| Self {
            body,
            remaining,
            last: None,
            has_ended: false,
        })
    }

    /// Returns bytes that can be passed on, or holds them back if they are the last.
    fn admit(&mut self, bytes: Bytes, remaining: u64) -> Result<Option<Bytes>, LengthMismatch> {
        let length = bytes.len() as u64;
        let left = remaining.checked_sub(length);
        let left = left.ok_or(LengthMismatch::TooLong)?;
        self.remaining = Some(left);
        if left > 0 || length == 0 {
            return Ok(Some(bytes));
        }
        self.last = Some(bytes);
        Ok(None)
    }

    /// Returns the last bytes after the end of the body.
    fn end(&mut self, remaining: u64) -> Result<Option<Bytes>, LengthMismatch> {
        self.has_ended = true;
        if remaining > 0 {
            return Err(LengthMismatch::TooShort);
        }
        Ok(self.last.take())
    }
}

impl Body for StatedLengthBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        while !self.has_ended {
            let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
            let Some(remaining) = self.remaining else {
                return Poll::Ready(frame);
            };
            let admitted = match frame.transpose()?.map(Frame::into_data) {
                Some(Ok(bytes)) => self.admit(bytes, remaining)?,
                Some(Err(trailers)) => return Poll::Ready(Some(Ok(trailers))),
                None => self.end(remaining)?,
            };
            if let Some(bytes) = admitted {
                return Poll::Ready(Some(Ok(Frame::data(bytes))));
            }
        }
        Poll::Ready(None)
    }

    fn is_end_stream(&self) -> bool {
        self.last.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
