//! Load measurements over loopback: latency that the gateway adds to an engine, and throughput of short requests.
//!
//! Clients, daemon and emulated engines share one process, so throughput is a lower bound.

mod setup;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, WrapErr, ensure, eyre};
use futures::StreamExt;
use harrierward_emulator::server::engine_router;
use harrierward_emulator::{EngineHandle, EngineParameters};
use harrierward_external::http::{HttpCaller, HttpEngine, with_nodelay};
use harrierward_external::{Engine, EngineEvent, EventStream, GenerateRequest, Priority};
use hdrhistogram::Histogram;
use http::Method;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use serde::Serialize;
use tokio::net::TcpListener;

/// Last event of a whole streamed response.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Latency and throughput of a load run.
#[derive(Debug, Clone, Serialize)]
pub struct SpeedReport {
    /// Concurrent background streams through the gateway during the latency measurements.
    pub streams: usize,
    /// Time to the first event of a short stream from the engine directly, microseconds: p50 and p99.
    pub direct_micros: [u64; 2],
    /// Time to the first event of a short stream through the gateway, microseconds: p50 and p99.
    pub gateway_micros: [u64; 2],
    /// Difference of the two quantiles above, microseconds: p50 and p99.
    pub added_micros: [i64; 2],
    /// Short requests per second through the gateway, without background streams.
    pub short_requests_per_second: f64,
    /// Short requests per second to the engine directly, without background streams.
    pub short_direct_per_second: f64,
}

/// Serves an emulated engine with the given step time over HTTP; returns its address.
pub async fn serve_engine(model: &str, step: Duration) -> Result<String> {
    let time_scale = if step.is_zero() { 0.0 } else { 1.0 };
    let parameters = EngineParameters {
        step_base_micros: u64::try_from(step.as_micros())?,
        step_sequence_micros: 0,
        prefill_token_nanos: 0,
        max_running: 100_000,
        prefill_budget: u32::MAX,
        ..EngineParameters::default()
    };
    let engine = EngineHandle::start(model, parameters, vec![model.to_owned()], time_scale, false);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    tokio::spawn(async move { axum::serve(with_nodelay(listener), engine_router(engine)).await });
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

/// Server that requests are sent to.
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
        /// Client that keeps the connections.
        caller: HttpCaller,
    },
}

impl Target {
    /// Runs one request; returns the time to its first event, or to the first bytes of the response.
    async fn run(&self, model: &str, number: u64, tokens: u32, stream: bool) -> Result<Duration> {
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
                let first =
                    first.ok_or_else(|| eyre!("request {number} to the engine: no first event"))?;
                read_generation(first?, events)
                    .await
                    .wrap_err_with(|| format!("request {number} to the engine"))?;
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
                    "request {number} to the gateway: status {}",
                    response.status()
                );
                let mut body = response.into_body();
                let first = body.frame().await;
                let elapsed = started.elapsed();
                let first = first
                    .ok_or_else(|| eyre!("request {number} to the gateway: no first frame"))?;
                let end = read_response(first?, body)
                    .await
                    .wrap_err_with(|| format!("request {number} to the gateway"))?;
                ensure!(
                    !stream || end == DONE,
                    "request {number} to the gateway: the stream ended without its last event"
                );
                Ok(elapsed)
            }
        }
    }
}

/// Reads the events of a generation, which must end with its final event.
async fn read_generation(first: EngineEvent, mut events: EventStream) -> Result<()> {
    let mut last = first;
    while let Some(event) = events.next().await {
        last = event?;
    }
    ensure!(
        last.finish.is_some(),
        "the generation ended without its final event"
    );
    Ok(())
}

/// Reads a response to its end; returns its last bytes, as many as [`DONE`] has.
async fn read_response(first: Frame<Bytes>, mut body: Incoming) -> Result<Vec<u8>> {
    let mut end = Vec::new();
    keep_end(&mut end, first);
    while let Some(frame) = body.frame().await {
        keep_end(&mut end, frame?);
    }
    Ok(end)
}

fn keep_end(end: &mut Vec<u8>, frame: Frame<Bytes>) {
    let Ok(data) = frame.into_data() else {
        return;
    };
    let from = data.len().saturating_sub(DONE.len());
    end.extend_from_slice(&data[from..]);
    let surplus = end.len().saturating_sub(DONE.len());
    end.drain(..surplus);
}

/// Runs `total` requests with `clients` in flight; returns requests per second and the times to the first event in
/// microseconds.
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

/// Measures throughput and latency of both targets; fails if a request fails.
pub async fn measure(engine: Target, gateway: Target) -> Result<SpeedReport> {
    const STREAMS: usize = 2000;
    const PROBES: u64 = 8000;
    const PROBE_CLIENTS: usize = 4;
    const SHORT: u64 = 40_000;
    const SHORT_CLIENTS: usize = 128;
    let fast = setup::FAST_MODEL;
    load(&gateway, fast, 64, 2000, 1, false).await?;
    load(&engine, fast, 64, 2000, 1, false).await?;
    let (short_direct, _) = load(&engine, fast, SHORT_CLIENTS, SHORT, 1, false).await?;
    let (short, _) = load(&gateway, fast, SHORT_CLIENTS, SHORT, 1, false).await?;
    let background = {
        let gateway = gateway.clone();
        // Never completes: the task is aborted after the measurements.
        tokio::spawn(async move {
            load(&gateway, setup::SLOW_MODEL, STREAMS, u64::MAX, 120, true).await
        })
    };
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (_, direct) = load(&engine, fast, PROBE_CLIENTS, PROBES, 2, true).await?;
    let (_, via_gateway) = load(&gateway, fast, PROBE_CLIENTS, PROBES, 2, true).await?;
    ensure!(
        !background.is_finished(),
        "the streams in the background ended"
    );
    background.abort();
    let (direct, via_gateway) = (quantiles(&direct), quantiles(&via_gateway));
    let added = |index: usize| via_gateway[index] as i64 - direct[index] as i64;
    Ok(SpeedReport {
        streams: STREAMS,
        direct_micros: direct,
        gateway_micros: via_gateway,
        added_micros: [added(0), added(1)],
        short_requests_per_second: short,
        short_direct_per_second: short_direct,
    })
}

/// Starts engines and daemon in this process and measures them.
pub async fn run() -> Result<SpeedReport> {
    let (engine, gateway) = setup::start().await?;
    measure(engine, gateway).await
}
