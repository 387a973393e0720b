//! A discovery source whose rows are plain text, and servers of raw responses.

// Each test binary uses a part of this module.
#![allow(dead_code)]

use std::time::Duration;

use harrierward_edge::DiscoverySource;
use harrierward_external::Row;
use harrierward_serving::{ReplicaRecord, Service, ServingConfiguration, Warmup};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Warmup parameters of the configured service.
pub const WARMUP: Warmup = Warmup {
    duration: Duration::from_secs(6),
    per_second: 2.0,
};

/// Rows hold the configuration's version, or the address of the replica named by the key, optionally followed by a
/// space and the milliseconds for which it stays cold.
pub struct PlainSource;

impl DiscoverySource for PlainSource {
    fn configuration_space(&self) -> &'static str {
        "configuration"
    }

    fn replica_space(&self) -> &'static str {
        "replicas"
    }

    fn parse_configuration(&self, row: &Row) -> Result<Option<ServingConfiguration>, String> {
        if self.evacuated_zone_of(&row.key).is_some() {
            return Ok(None);
        }
        let text = String::from_utf8_lossy(&row.value);
        let version = text.parse().map_err(|_| format!("version: {text:?}"))?;
        Ok(Some(ServingConfiguration {
            version,
            services: vec![Service {
                name: "service".to_owned(),
                slots: 4,
                memory_tokens: 0,
                connections: 0,
                warmup: Some(WARMUP),
            }],
            ..ServingConfiguration::default()
        }))
    }

    fn evacuated_zone_of(&self, key: &str) -> Option<String> {
        key.strip_prefix("evacuate/").map(str::to_owned)
    }

    fn is_configured_zone(&self, zone: &str) -> bool {
        zone == "zone"
    }

    fn parse_replica(&self, row: &Row) -> Result<ReplicaRecord, String> {
        let text = String::from_utf8(row.value.to_vec()).map_err(|error| error.to_string())?;
        let (address, warmup_ms) = text.split_once(' ').unwrap_or((&text, "0"));
        let warmup_ms = warmup_ms.parse().map_err(|_| "warmup".to_owned())?;
        Ok(ReplicaRecord {
            born_ms: None,
            region: String::new(),
            warmup: Duration::from_millis(warmup_ms),
            id: row.key.clone(),
            service: "service".to_owned(),
            version: String::new(),
            address: address.to_owned(),
            zone: "zone".to_owned(),
            slots: 4,
            draining: false,
        })
    }
}

/// Starts a server that responds to each connection's first request with these bytes and closes the connection.
/// Returns its address.
pub async fn start_raw_server(response: Vec<u8>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let response = response.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                if stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
                    // The client may have closed the connection by itself.
                    let _ = stream.write_all(&response).await;
                }
            });
        }
    });
    address
}

/// Builds a response whose body only the close of the connection delimits.
pub fn close_delimited(body: &[u8]) -> Vec<u8> {
    [b"HTTP/1.1 200 OK\r\n\r\n", body].concat()
}

/// Builds a response that states the length of its body.
pub fn with_length(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Builds a response whose body is one chunk and the last chunk.
pub fn chunked(body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n",
        body.len()
    );
    [head.as_bytes(), body, b"\r\n0\r\n\r\n"].concat()
}
