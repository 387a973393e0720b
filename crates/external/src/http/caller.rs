//! HTTP client with a connection pool, whose errors distinguish "not sent" from "may have been received".

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::framing::is_framed;
use crate::{PlatformError, PlatformErrorKind};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Cause of refusing a body that may have been cut.
const CLOSE_DELIMITED: &str = "only the close of the connection delimits the body";

/// Failure of an HTTP call without a complete response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection was established: the request was not received.
    #[error("cannot connect: {0}")]
    NotSent(String),
    /// The request may have been received.
    #[error("answer lost: {0}")]
    Lost(String),
}

/// HTTP response with its body, received up to its delimiter.
#[derive(Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// What was received of the body.
    pub body: Bytes,
    /// True if a length or chunks delimit the body. The close of the connection doesn't prove a body whole.
    pub is_framed: bool,
    /// Value of the `retry-after` header in seconds; `None` if it is absent or invalid.
    pub retry_after: Option<Duration>,
}

/// HTTP/1.1 client; clones share its connection pool.
#[derive(Debug, Clone)]
pub struct HttpCaller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpCaller {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpCaller {
    /// Builds a client with a new connection pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns its response, with the body as a stream.
    pub async fn open(
        &self,
        method: Method,
        peer: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<http::Response<Incoming>, CallError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{peer}{path}"));
        let has_content_type = headers
            .iter()
            .any(|(name, _)| *name == CONTENT_TYPE.as_str());
        if !has_content_type {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::NotSent(error.to_string())
            } else {
                CallError::Lost(error.to_string())
            }
        })
    }

    /// Sends a request and reads the full response.
    pub async fn call(
        &self,
        method: Method,
        peer: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<HttpResponse, CallError> {
        let response = self.open(method, peer, path, headers, body).await?;
        let status = response.status();
        let is_framed = is_framed(status, response.headers());
        let retry_after = response
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse::<f64>().ok())
            .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| CallError::Lost(error.to_string()))?
            .to_bytes();
        Ok(HttpResponse {
            status,
            body,
            is_framed,
            retry_after,
        })
    }

    /// Calls the platform and maps failures to [`PlatformError`]. Returns the body of a successful response, whose
    /// format must show its own end, as JSON does: nothing else may prove it whole.
    pub async fn call_platform(
        &self,
        step: &'static str,
        method: Method,
        peer: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, PlatformError> {
        let response = self.call_successfully(step, method, peer, path, body);
        Ok(response.await?.body)
    }

    /// As [`Self::call_platform`], for a body whose format has no end mark: it must be framed.
    pub async fn call_platform_framed(
        &self,
        step: &'static str,
        method: Method,
        peer: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, PlatformError> {
        let response = self.call_successfully(step, method, peer, path, body);
        let response = response.await?;
        if response.is_framed {
            return Ok(response.body);
        }
        let kind = PlatformErrorKind::Unknown;
        Err(PlatformError::new(step, peer, kind, CLOSE_DELIMITED))
    }

    async fn call_successfully(
        &self,
        step: &'static str,
        method: Method,
        peer: &str,
        path: &str,
        body: Bytes,
    ) -> Result<HttpResponse, PlatformError> {
        let response = self
            .call(method, peer, path, &[], body)
            .await
            .map_err(|error| {
                let kind = match error {
                    CallError::NotSent(_) => PlatformErrorKind::NotDone,
                    CallError::Lost(_) => PlatformErrorKind::Unknown,
                };
                PlatformError::new(step, peer, kind, error.to_string())
            })?;
        let kind = match response.status {
            status if status.is_success() => return Ok(response),
            StatusCode::TOO_MANY_REQUESTS => PlatformErrorKind::RateLimited {
                retry_after: response.retry_after.unwrap_or(Duration::from_millis(100)),
            },
            StatusCode::NOT_FOUND => PlatformErrorKind::NotFound,
            StatusCode::SERVICE_UNAVAILABLE => PlatformErrorKind::NotDone,
            _ => PlatformErrorKind::Unknown,
        };
        let detail = String::from_utf8_lossy(&response.body).into_owned();
        Err(PlatformError::new(step, peer, kind, detail))
    }
}
