//! Requests and jobs accepted by one daemon must be visible at the others, with real sockets and an emulated platform.

mod support;

use bytes::Bytes;
use harrierward_emulator::expected_response;
use http::Method;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use support::{MODEL, POLL_INTERVAL, start_daemon, start_platform};
use tokio::time::sleep;

async fn send(
    address: &str,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> (u16, Bytes) {
    let response = support::open(address, method, path, headers, body).await;
    let status = response.status().as_u16();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a complete body");
    (status, body.to_bytes())
}

async fn send_json(
    address: &str,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> (u16, Value) {
    let (status, body) = send(address, method, path, headers, body.to_string()).await;
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

async fn submit(address: &str, lines: &str) -> String {
    let form = format!(
        "--b\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --b\r\ncontent-disposition: form-data; name=\"file\"; filename=\"f.jsonl\"\r\n\r\n{lines}\r\n--b--\r\n"
    );
    let headers = [
        ("content-type", "multipart/form-data; boundary=b"),
        ("idempotency-key", "the-job"),
    ];
    let (status, body) = send(address, Method::POST, "/v1/files", &headers, form).await;
    assert_eq!(status, 200, "{body:?}");
    let file: Value = serde_json::from_slice(&body).expect("JSON");
    let create = json!({
        "input_file_id": file["id"], "endpoint": "/v1/completions", "completion_window": "24h",
    });
    let headers = [("idempotency-key", "the-job")];
    let (status, job) = send_json(address, Method::POST, "/v1/batches", &headers, &create).await;
    assert_eq!(status, 200, "{job}");
    job["id"].as_str().expect("an id").to_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_accepted_by_one_daemon_are_visible_at_the_others() {
    let (_, engine, platform) = start_platform().await;
    let (one, first, seed) = start_daemon(&platform, Vec::new()).await;
    let (_, second, _) = start_daemon(&platform, vec![seed.clone()]).await;
    let (_, third, _) = start_daemon(&platform, vec![seed]).await;
    let replicas_are_known = || one.status().members == 3 && one.status().replicas == 1;
    while !replicas_are_known() {
        sleep(POLL_INTERVAL).await;
    }

    let body = json!({"model": MODEL, "prompt": "book desk 17", "max_tokens": 6});
    let idempotent = [
        ("idempotency-key", "booking"),
        ("harrierward-execution", "at-most-once"),
    ];
    let path = "/v1/completions";
    let mut texts = Vec::new();
    for address in [&first, &second, &third] {
        // A new daemon may not have discovered the replica yet and refuses the request as not run.
        let response = loop {
            let (status, response) =
                send_json(address, Method::POST, path, &idempotent, &body).await;
            if status == 200 {
                break response;
            }
            sleep(POLL_INTERVAL).await;
        };
        texts.push(response["choices"][0]["text"].clone());
    }
    let expected = expected_response(MODEL, "book desk 17", 6);
    assert!(texts.iter().all(|text| *text == expected), "{texts:?}");
    let bookings = engine.executions();
    let bookings = bookings.iter().filter(|run| run.prompt == "book desk 17");
    assert_eq!(bookings.count(), 1, "the idempotent request ran once");

    let other = json!({"model": MODEL, "prompt": "book desk 18", "max_tokens": 6});
    let (status, refusal) = send_json(&second, Method::POST, path, &idempotent, &other).await;
    assert_eq!((status, &refusal["execution"]), (422, &json!("not_run")));

    let lines: String = (0..30)
        .map(|item| {
            let body = json!({"model": MODEL, "prompt": format!("lot {item}"), "max_tokens": 3});
            let line = json!({
                "custom_id": format!("i{item}"), "method": "POST", "url": path, "body": body,
            });
            format!("{line}\n")
        })
        .collect();
    let job = submit(&first, &lines).await;
    assert_eq!(
        submit(&second, &lines).await,
        job,
        "a resent job gives the same id"
    );
    let status_path = format!("/v1/batches/{job}");
    loop {
        let (_, state) = send_json(&third, Method::GET, &status_path, &[], &Value::Null).await;
        if state["status"] == "completed" {
            assert_eq!(state["request_counts"]["completed"], 30);
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    let results_path = format!("/v1/files/file-output-{job}/content");
    let (_, results) = send(&third, Method::GET, &results_path, &[], Bytes::new()).await;
    let lines = String::from_utf8_lossy(&results).lines().count();
    assert_eq!(lines, 30, "every item has one result");
    assert!(one.drain().await, "a planned stop cuts nothing off");
}
