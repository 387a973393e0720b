//! Serves the daemon's metrics on the metrics address.

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::DecisionLog;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::server::{HttpService, ResponseBody};

/// Responds to every request with all metrics in text format.
pub struct MetricsService {
    log: DecisionLog,
}

impl MetricsService {
    /// Serves the metrics of this log.
    pub fn new(log: DecisionLog) -> Self {
        Self { log }
    }
}

#[async_trait]
impl HttpService for MetricsService {
    async fn call(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        let body = Full::new(Bytes::from(self.log.metrics_text()));
        Response::new(body.map_err(|never| match never {}).boxed_unsync())
    }
}
