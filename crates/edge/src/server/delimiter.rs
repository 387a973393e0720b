//! How the end of a response is marked for its caller.

use harrierward_serving::{BodyDelimiter, excludes_body};
use http::header::CONTENT_LENGTH;
use http::{Method, Response, Version};
use hyper::body::Body;

use super::ResponseBody;

/// The parts of a request that decide how its response is framed.
pub(super) struct RequestFraming {
    pub method: Method,
    pub version: Version,
}

impl RequestFraming {
    /// Returns how the HTTP library delimits a response to the request.
    pub fn delimiter_of(&self, response: &Response<ResponseBody>) -> BodyDelimiter {
        if excludes_body(&self.method, response.status().as_u16()) || states_length(response) {
            BodyDelimiter::Length
        } else if self.version < Version::HTTP_11 {
            BodyDelimiter::Close
        } else {
            BodyDelimiter::Chunks
        }
    }
}

fn states_length(response: &Response<ResponseBody>) -> bool {
    let body = response.body();
    body.is_end_stream()
        || body.size_hint().exact().is_some()
        || response.headers().contains_key(CONTENT_LENGTH)
}
