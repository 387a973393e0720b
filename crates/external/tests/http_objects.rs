//! Guards against taking a cut object for a whole one.

use bytes::Bytes;
use harrierward_external::http::{HttpCaller, HttpObjectStore};
use harrierward_external::{ObjectStore, PlatformError, PlatformErrorKind, RequestClass};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const OBJECT: &[u8] = b"first part, second part";

/// Part of the object that arrives before its store closes the connection.
const CUT_OBJECT: &[u8] = b"first part";

async fn respond(mut stream: TcpStream, response: Vec<u8>) {
    let mut buffer = [0; 4_096];
    if stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
        // The client may have closed the connection by itself.
        let _ = stream.write_all(&response).await;
    }
}

/// Reads an object from a store that sends this response and closes the connection.
async fn read_object(head: &str, body: &[u8]) -> Result<Bytes, PlatformError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let response = [head.as_bytes(), body].concat();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, response.clone()));
        }
    });
    let store = HttpObjectStore::new(HttpCaller::new(), address);
    store.get(RequestClass::Commit, "object").await
}

/// Guards against a batch job that loses the requests or results which a cut object lacks.
#[tokio::test]
async fn a_cut_object_without_a_length_or_chunks_is_refused() {
    let error = read_object("HTTP/1.1 200 OK\r\n\r\n", CUT_OBJECT).await;
    let error = error.expect_err("a cut object was read");
    assert_eq!(error.kind, PlatformErrorKind::Unknown);
}

/// Guards against refusing objects whose framing proves them whole.
#[tokio::test]
async fn a_whole_object_with_a_length_or_chunks_is_read() {
    let length = OBJECT.len();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    assert_eq!(read_object(&head, OBJECT).await.expect("read"), OBJECT);
    let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n");
    let body = [OBJECT, b"\r\n0\r\n\r\n"].concat();
    assert_eq!(read_object(&head, &body).await.expect("read"), OBJECT);
}
