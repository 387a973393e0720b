//! HTTP client of a daemon's API, for commands of callers and operators.

use bytes::Bytes;
use eyre::{Result, WrapErr, bail};
use harrierward_external::http::HttpCaller;
use http::header::TRANSFER_ENCODING;
use http::{Method, Response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use serde_json::Value;

/// Client of one daemon.
pub struct Client {
    caller: HttpCaller,
    server: String,
    authorization: String,
}

impl Client {
    /// Creates a client of the daemon at `server` (`IP:PORT`) that authenticates with an API key.
    pub fn new(server: &str, key: &str) -> Self {
        Self {
            caller: HttpCaller::new(),
            server: server.to_owned(),
            authorization: format!("Bearer {key}"),
        }
    }

    /// Sends a request and returns the JSON of the response; an error status becomes an error.
    pub async fn json(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Value> {
        let response = self.open(method, path, headers, body).await?;
        let body = response.into_body().collect().await;
        let body = body.wrap_err("the response broke off")?.to_bytes();
        serde_json::from_slice(&body).wrap_err("the response is not JSON")
    }

    /// Sends a request and returns the response with a streaming body; an error status becomes an error.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<Incoming>> {
        let mut all = vec![("authorization", self.authorization.as_str())];
        all.extend_from_slice(headers);
        let response = self
            .caller
            .open(method, &self.server, path, &all, body)
            .await
            .wrap_err_with(|| format!("{}{path}", self.server))?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let body = response.into_body().collect().await?.to_bytes();
        let message = serde_json::from_slice::<Value>(&body)
            .ok()
            .and_then(|value| Some(value.get("error")?.get("message")?.as_str()?.to_owned()))
            .unwrap_or_else(|| String::from_utf8_lossy(&body).into_owned());
        bail!("{status}: {message}")
    }
}

/// True if a length or chunks mark the end of the body. The close of the connection alone does not: a server or proxy
/// that fails closes it too.
pub fn is_end_marked(response: &Response<Incoming>) -> bool {
    let states_length = response.body().size_hint().exact().is_some();
    states_length || is_chunked(response)
}

fn is_chunked(response: &Response<Incoming>) -> bool {
    let encodings = response.headers().get_all(TRANSFER_ENCODING);
    encodings
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"))
}
