//! A load measurement counts a response only if it is whole.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::routing::post;
use harrierward_bench::speed::{Target, load, serve_engine};
use harrierward_external::http::{HttpCaller, HttpEngine, with_nodelay};
use tokio::net::TcpListener;

const MODEL: &str = "fast";
const TOKENS: u32 = 3;
const EVENT: &str = "data: {\"choices\":[{\"index\":0,\"text\":\"one\"}]}\n\n";
const DONE: &str = "data: [DONE]\n\n";

/// Serves this body at a path; returns the address.
async fn serve_body(path: &str, body: String) -> String {
    let routes = Router::new().route(path, post(async || body));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move { axum::serve(with_nodelay(listener), routes).await });
    address
}

async fn measures(target: &Target) -> bool {
    load(target, MODEL, 1, 1, TOKENS, true).await.is_ok()
}

fn engine(address: String) -> Target {
    Target::Engine(Arc::new(HttpEngine::new(HttpCaller::new(), address)))
}

fn engine_event(sequence: u32, finish: &str) -> String {
    format!(
        "{{\"request_id\":\"speed-0\",\"sequence\":{sequence},\"text\":\"\",\"finish\":{finish}}}\n"
    )
}

/// Guards against a figure of a gateway's streams that broke off after their first event.
#[tokio::test]
async fn a_stream_of_the_gateway_without_its_last_event_is_not_measured() {
    for (body, is_whole) in [
        (EVENT.to_owned(), false),
        (format!("{EVENT}{}", &DONE[..DONE.len() - 3]), false),
        (format!("{EVENT}{DONE}"), true),
    ] {
        let target = Target::Gateway {
            address: serve_body("/v1/completions", body.clone()).await,
            authorization: "Bearer key".to_owned(),
            caller: HttpCaller::new(),
        };
        assert_eq!(measures(&target).await, is_whole, "{body}");
    }
}

/// Guards against a figure of an engine's generations that broke off after their first event.
#[tokio::test]
async fn a_generation_without_its_final_event_is_not_measured() {
    let first = engine_event(0, "null");
    for (body, is_whole) in [
        (first.clone(), false),
        (format!("{first}{{"), false),
        (format!("{first}{}", engine_event(1, "\"stop\"")), true),
    ] {
        let address = serve_body("/engine/generate", body.clone()).await;
        assert_eq!(measures(&engine(address)).await, is_whole, "{body}");
    }
    let address = serve_engine(MODEL, Duration::ZERO)
        .await
        .expect("an engine");
    assert!(measures(&engine(address)).await);
}
