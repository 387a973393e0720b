//! Callers of the product's own interface that make a process hold as much as they can.

mod support;

use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use support::Standalone;

/// Memory of a machine, in bytes: the smallest of those on which the users run one process.
const MACHINE_BYTES: u64 = 280_000_000;

/// Largest body of a request that isn't an upload.
const BODY_BYTES: usize = 4 << 20;

/// Callers whose bodies together exceed the machine's memory.
const CROWD: usize = 100;

/// Bytes of a form's field that names a purpose, more than the machine's memory.
const FIELD_BYTES: usize = 300 << 20;

/// Time without progress after which a caller counts as held up.
const HELD_UP_AFTER: Duration = Duration::from_secs(5);

/// Time within which an ordinary request must be answered.
const SERVED_WITHIN: Duration = Duration::from_secs(30);

/// Size of the pieces in which bodies are sent.
static PIECE: [u8; 64 << 10] = [b'x'; 64 << 10];

/// Returns the most memory that a process has had, in bytes.
fn peak_bytes(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    kilobytes
        .expect("its peak")
        .parse::<u64>()
        .expect("a number")
        * 1_024
}

/// Sends a head and `bytes` of a body, as far as the process takes them; returns the open connection.
fn send(address: &str, head: &str, bytes: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(HELD_UP_AFTER)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    let mut left = bytes;
    while left > 0 {
        let count = left.min(PIECE.len());
        if stream.write_all(&PIECE[..count]).is_err() {
            break;
        }
        left -= count;
    }
    Some(stream)
}

fn chat(body: &str, length: usize) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: example\r\n\
         Authorization: Bearer desks-caller-key\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
}

/// Sends an ordinary request until it is served.
fn assert_serves(address: &str) {
    let body =
        r#"{"model":"banco-lm","messages":[{"role":"user","content":"Which desks are free?"}]}"#;
    let request = chat(body, body.len());
    let started_at = Instant::now();
    while started_at.elapsed() < SERVED_WITHIN {
        if call(address, &request).is_some_and(|text| text.starts_with("HTTP/1.1 200")) {
            return;
        }
    }
    panic!("no ordinary request is served");
}

fn call(address: &str, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(HELD_UP_AFTER)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

fn assert_within_machine(standalone: &Standalone) {
    let bytes = peak_bytes(standalone.id());
    println!("peak: {bytes} bytes");
    assert!(bytes <= MACHINE_BYTES, "{bytes} bytes of memory");
}

/// Only one of these tests may load the machine at a time.
static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Guards against collecting a field of a form up to the size of an upload.
#[test]
fn a_field_of_a_form_that_is_far_too_large() {
    let _alone = alone();
    let standalone = Standalone::start();
    let address = &standalone.address;
    let head = format!(
        "POST /v1/files HTTP/1.1\r\nHost: example\r\nAuthorization: Bearer desks-caller-key\r\n\
         Content-Type: multipart/form-data; boundary=edge\r\nContent-Length: {}\r\n\r\n\
         --edge\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\n",
        FIELD_BYTES + 200
    );
    let open = send(address, &head, FIELD_BYTES);
    assert_serves(address);
    drop(open);
    assert_within_machine(&standalone);
}

/// Guards against holding many bodies that stop short of their end.
#[test]
fn chat_bodies_that_stop_short_of_their_end() {
    let _alone = alone();
    let standalone = Standalone::start();
    let address = &standalone.address;
    let head = chat("", BODY_BYTES);
    let open: Vec<Option<TcpStream>> = std::thread::scope(|scope| {
        let crowd: Vec<_> = (0..CROWD)
            .map(|_| scope.spawn(|| send(address, &head, BODY_BYTES - 1)))
            .collect();
        crowd
            .into_iter()
            .map(|caller| caller.join().expect("caller"))
            .collect()
    });
    assert_serves(address);
    drop(open);
    assert_serves(address);
    assert_within_machine(&standalone);
}
