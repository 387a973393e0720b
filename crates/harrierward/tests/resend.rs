//! A booking sent twice in a row to the program, as a new user would: the second answer is the first one, and says so.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use bytes::Bytes;
use harrierward_external::http::HttpCaller;
use http::Method;
use http_body_util::BodyExt;
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_harrierward");
const BOOKINGS: usize = 30;
const STORED_HEADER: &str = "idempotent-replayed";

struct Standalone {
    process: Child,
    address: String,
}

impl Drop for Standalone {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Standalone {
    fn start() -> Self {
        let mut process = Command::new(PROGRAM)
            .args(["standalone", "--listen", "127.0.0.1:0"])
            .args(["--log-level", "error"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let output = process.stdout.take().expect("its output is piped");
        let line = BufReader::new(output).lines().next();
        let line = line.expect("it prints a line").expect("the line is text");
        let address = line
            .split("http://")
            .nth(1)
            .and_then(|rest| rest.split(';').next())
            .expect("the line names the address")
            .to_owned();
        Self { process, address }
    }

    /// Sends a booking; its answer, and whether it is marked as stored.
    async fn book(&self, caller: &HttpCaller, key: &str) -> (Value, bool) {
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
        let answer = caller
            .open(Method::POST, &self.address, path, &headers, body)
            .await
            .expect("an answer");
        let status = answer.status().as_u16();
        let is_stored = answer.headers().contains_key(STORED_HEADER);
        let body = answer.into_body().collect().await.expect("a whole body");
        let body = serde_json::from_slice(&body.to_bytes()).expect("JSON");
        assert_eq!(status, 200, "{key}: {body}");
        (body, is_stored)
    }
}

#[tokio::test]
async fn the_same_booking_twice_in_a_row_has_one_answer() {
    let standalone = Standalone::start();
    let caller = HttpCaller::new();
    for number in 0..BOOKINGS {
        let key = format!("desk-{number}");
        let (first, first_is_stored) = standalone.book(&caller, &key).await;
        let (again, again_is_stored) = standalone.book(&caller, &key).await;
        assert_eq!(first, again, "{key}");
        assert_eq!((first_is_stored, again_is_stored), (false, true), "{key}");
    }
}
