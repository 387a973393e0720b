//! The daemon's figures, on the settings' metrics address.

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::DecisionLog;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::server::{HttpService, ResponseBody};

/// Answers every request with all figures as text.
pub struct Figures {
    log: DecisionLog,
}

impl Figures {
    /// The figures behind this log.
    pub fn new(log: DecisionLog) -> Self {
        Self { log }
    }
}

#[async_trait]
impl HttpService for Figures {
    async fn call(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        let body = Full::new(Bytes::from(self.log.metrics_text()));
        Response::new(body.map_err(|never| match never {}).boxed_unsync())
    }
}
