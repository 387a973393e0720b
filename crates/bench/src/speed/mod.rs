//! Load over real loopback: what a gateway adds to an engine called directly, and short requests a second.
//!
//! Everything runs in this one process, stand-ins included, so the figures are ratios and lower bounds.

mod setup;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, ensure};
use harrierward_emulator::server::engine_router;
use harrierward_emulator::{EngineHandle, EngineParameters};
use harrierward_platform::http::{HttpCaller, HttpEngine, without_delay};
use harrierward_platform::{Engine, GenerateRequest, Priority};
use hdrhistogram::Histogram;
use http::Method;
use http_body_util::BodyExt;
use serde::Serialize;
use tokio::net::TcpListener;

/// Figures of a load run.
#[derive(Debug, Clone, Serialize)]
pub struct SpeedReport {
    /// Streams in flight.
    pub streams: usize,
    /// First event of a stream called directly, microseconds: p50 and p99.
    pub direct_micros: [u64; 2],
    /// First event through the gateway, microseconds: p50 and p99.
    pub gateway_micros: [u64; 2],
    /// Short requests a second through the gateway.
    pub short_requests_per_second: f64,
    /// Short requests a second to the engine directly.
    pub short_direct_per_second: f64,
}

/// An engine stand-in whose steps take almost no time, served over HTTP.
pub async fn serve_engine(model: &str) -> Result<String> {
    let parameters = EngineParameters {
        maximum_running: 100_000,
        prefill_budget: u32::MAX,
        ..EngineParameters::default()
    };
    let engine = EngineHandle::start("speed", parameters, vec![model.to_owned()], 0.0, false);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    tokio::spawn(async move { axum::serve(without_delay(listener), engine_router(engine)).await });
    Ok(address)
}

fn histogram() -> Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(1, 60_000_000, 3)?)
}

fn quantiles(histogram: &Histogram<u64>) -> [u64; 2] {
    [
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    ]
}

/// A target of requests.
#[derive(Clone)]
pub enum Target {
    /// An engine, called directly.
    Engine(Arc<HttpEngine>),
    /// A daemon's HTTP API.
    Gateway {
        /// `ip:port`.
        address: String,
        /// Value of the authorization header.
        authorization: String,
        /// HTTP client.
        caller: HttpCaller,
    },
}

impl Target {
    /// Runs one request; the time until its first event, or its answer's first bytes.
    async fn run(&self, model: &str, number: u64, tokens: u32, stream: bool) -> Result<Duration> {
        use futures::StreamExt;
        let prompt = format!("speed {number}");
        let started = Instant::now();
        match self {
            Self::Engine(engine) => {
                let request = GenerateRequest {
                    request_id: format!("speed-{number}"),
                    model: model.to_owned(),
                    prompt,
                    maximum_tokens: tokens,
                    priority: Priority::Online,
                    resume_from: 0,
                    epoch: None,
                };
                let mut events = engine.generate(request).await?;
                let first = events.next().await;
                let elapsed = started.elapsed();
                ensure!(first.is_some_and(|event| event.is_ok()), "no first event");
                while events.next().await.is_some() {}
                Ok(elapsed)
            }
            Self::Gateway {
                address,
                authorization,
                caller,
            } => {
                let body = serde_json::json!({
                    "model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream,
                });
                let headers = [("authorization", authorization.as_str())];
                let body = Bytes::from(body.to_string());
                let path = "/v1/completions";
                let response = caller
                    .open(Method::POST, address, path, &headers, body)
                    .await?;
                ensure!(
                    response.status().is_success(),
                    "status {}",
                    response.status()
                );
                let mut body = response.into_body();
                let first = body.frame().await;
                let elapsed = started.elapsed();
                ensure!(first.is_some_and(|frame| frame.is_ok()), "no first frame");
                while body.frame().await.is_some() {}
                Ok(elapsed)
            }
        }
    }
}

/// Keeps `clients` requests in flight until `total` were run; the rate, and the times to the first event.
pub async fn load(
    target: &Target,
    model: &str,
    clients: usize,
    total: u64,
    tokens: u32,
    stream: bool,
) -> Result<(f64, Histogram<u64>)> {
    let next = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let workers: Vec<_> = (0..clients)
        .map(|_| {
            let (target, model, next) = (target.clone(), model.to_owned(), next.clone());
            tokio::spawn(async move {
                let mut times = Vec::new();
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= total {
                        return Ok::<_, eyre::Report>(times);
                    }
                    times.push(target.run(&model, number, tokens, stream).await?);
                }
            })
        })
        .collect();
    let mut histogram = histogram()?;
    for worker in workers {
        for time in worker.await?? {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros);
        }
    }
    let rate = total as f64 / started.elapsed().as_secs_f64();
    Ok((rate, histogram))
}

/// Measures both targets in turn.
pub async fn measure(engine: Target, gateway: Target, model: &str) -> Result<SpeedReport> {
    const STREAMS: usize = 2000;
    const STREAMED: u64 = 12_000;
    const STREAM_TOKENS: u32 = 20;
    const SHORT: u64 = 40_000;
    const SHORT_CLIENTS: usize = 128;
    load(&gateway, model, 64, 2000, 1, false).await?;
    load(&engine, model, 64, 2000, 1, false).await?;
    let (_, direct) = load(&engine, model, STREAMS, STREAMED, STREAM_TOKENS, true).await?;
    let (_, through) = load(&gateway, model, STREAMS, STREAMED, STREAM_TOKENS, true).await?;
    let (short_direct, _) = load(&engine, model, SHORT_CLIENTS, SHORT, 1, false).await?;
    let (short, _) = load(&gateway, model, SHORT_CLIENTS, SHORT, 1, false).await?;
    Ok(SpeedReport {
        streams: STREAMS,
        direct_micros: quantiles(&direct),
        gateway_micros: quantiles(&through),
        short_requests_per_second: short,
        short_direct_per_second: short_direct,
    })
}

/// Starts everything in this process and measures.
pub async fn run() -> Result<SpeedReport> {
    let (engine, gateway) = setup::start().await?;
    measure(engine, gateway, setup::MODEL).await
}
