//! A download of results that broke off fails, whatever marks the end of its body.

mod support;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::{Command, Output};
use std::thread;

use support::PROGRAM;

const LINES: &str = "{\"custom_id\":\"a\"}\n{\"custom_id\":\"b\"}\n";

/// End of a request's header section; the commands of this file send no body.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Runs `batch results` against a server that sends this response and closes the connection.
fn results_from(response: String) -> Output {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let server = thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        let mut request = Vec::new();
        let mut byte = [0];
        while !request.ends_with(HEAD_END) {
            connection.read_exact(&mut byte).expect("a request");
            request.push(byte[0]);
        }
        connection
            .write_all(response.as_bytes())
            .expect("the response is sent");
    });
    let output = Command::new(PROGRAM)
        .args(["batch", "results", "a-job", "--key", "key"])
        .args(["--server", &address])
        .output()
        .expect("the command runs");
    server.join().expect("the server ends");
    output
}

fn with_length(length: usize, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn with_chunk(body: &str, end: &str) -> String {
    let size = body.len();
    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{size:x}\r\n{body}\r\n{end}")
}

fn with_close(version: &str, body: &str) -> String {
    format!("{version} 200 OK\r\nconnection: close\r\n\r\n{body}")
}

fn assert_failed(output: &Output) {
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(!output.stderr.is_empty(), "{output:?}");
}

/// Guards against whole results that are reported as broken off.
#[test]
fn framed_results_are_whole() {
    for response in [
        with_length(LINES.len(), LINES),
        with_chunk(LINES, "0\r\n\r\n"),
        with_length(0, ""),
    ] {
        let output = results_from(response);
        assert!(output.status.success(), "{output:?}");
        assert!(output.stderr.is_empty(), "{output:?}");
    }
}

/// Guards against results whose framing shows that they broke off, and that pass for whole.
#[test]
fn results_that_lack_the_end_of_their_framing_fail() {
    assert_failed(&results_from(with_length(LINES.len() + 1, LINES)));
    assert_failed(&results_from(with_chunk(LINES, "")));
}

/// Guards against results that end with the connection, at the end of a line or not, and pass for whole.
#[test]
fn results_whose_end_nothing_marks_fail() {
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        for received in [LINES, &LINES[..LINES.len() - 5], ""] {
            let output = results_from(with_close(version, received));
            assert_failed(&output);
            assert_eq!(output.stdout, received.as_bytes(), "what came is printed");
        }
    }
}

/// Guards against an incomplete last line that passes for a result.
#[test]
fn results_that_end_within_a_line_fail() {
    let received = &LINES[..LINES.len() - 5];
    for response in [
        with_length(received.len(), received),
        with_chunk(received, "0\r\n\r\n"),
    ] {
        assert_failed(&results_from(response));
    }
}
