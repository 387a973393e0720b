//! A request with an idempotency key sent twice: the second response must be the stored first one, and marked as
//! stored.

mod support;

use bytes::Bytes;
use harrierward_external::http::HttpCaller;
use http::Method;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use support::Standalone;

const BOOKINGS: usize = 30;
const STORED_HEADER: &str = "idempotent-replayed";

/// Sends a booking; returns its response, and whether that is marked as stored.
async fn book(standalone: &Standalone, caller: &HttpCaller, key: &str) -> (Value, bool) {
    let body = json!({
        "model": "banco-lm", "max_tokens": 4,
        "messages": [{"role": "user", "content": format!("Book {key} for Anna")}],
    });
    let headers = [
        ("authorization", "Bearer desks-caller-key"),
        ("idempotency-key", key),
        ("harrierward-execution", "at-most-once"),
    ];
    let path = "/v1/chat/completions";
    let body = Bytes::from(body.to_string());
    let response = caller
        .open(Method::POST, &standalone.address, path, &headers, body)
        .await
        .expect("a response");
    let status = response.status().as_u16();
    let is_stored = response.headers().contains_key(STORED_HEADER);
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a complete body");
    let body = serde_json::from_slice(&body.to_bytes()).expect("JSON");
    assert_eq!(status, 200, "{key}: {body}");
    (body, is_stored)
}

#[tokio::test]
async fn the_same_booking_twice_in_a_row_has_one_response() {
    let standalone = Standalone::start();
    let caller = HttpCaller::new();
    for number in 0..BOOKINGS {
        let key = format!("desk-{number}");
        let (first, first_is_stored) = book(&standalone, &caller, &key).await;
        let (again, again_is_stored) = book(&standalone, &caller, &key).await;
        assert_eq!(first, again, "{key}");
        assert_eq!((first_is_stored, again_is_stored), (false, true), "{key}");
    }
}
