//! Socket transport between peers: HTTP with protobuf bodies, and UDP datagrams.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::StatusCode;
use axum::routing::post;
use harrierward_external::http::{CallError, HttpCaller};
use harrierward_wire::{PeerReply, PeerRequest, decode, encode};
use http::Method;
use tokio::net::UdpSocket;

use crate::network::{PeerError, PeerNetwork};
use crate::node::Node;

const STEP: &str = "peer.call";
const PEER_PATH: &str = "/internal/peer";

/// Maximum body of a peer request, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

const MAX_DATAGRAM_BYTES: usize = 65_536;

/// [`PeerNetwork`] over an HTTP client and a UDP socket.
pub struct SocketNetwork {
    caller: HttpCaller,
    socket: Arc<UdpSocket>,
}

impl SocketNetwork {
    /// Creates a network that sends datagrams from `socket`.
    pub fn new(caller: HttpCaller, socket: Arc<UdpSocket>) -> Self {
        Self { caller, socket }
    }
}

#[async_trait]
impl PeerNetwork for SocketNetwork {
    async fn call(&self, address: &str, request: PeerRequest) -> Result<PeerReply, PeerError> {
        let peer = address.to_owned();
        let body = Bytes::from(encode(&request));
        let reply = self
            .caller
            .call(Method::POST, address, PEER_PATH, &[], body)
            .await
            .map_err(|error| match error {
                CallError::NotSent(detail) => PeerError::NotSent {
                    step: STEP,
                    peer: peer.clone(),
                    detail,
                },
                CallError::Lost(detail) => PeerError::Lost {
                    step: STEP,
                    peer: peer.clone(),
                    detail,
                },
            })?;
        decode(&reply.body)
            .filter(|_| reply.status.is_success())
            .ok_or_else(|| PeerError::Lost {
                step: STEP,
                peer,
                detail: format!("reply cannot be decoded, status {}", reply.status),
            })
    }

    async fn send(&self, address: &str, datagram: Vec<u8>) {
        let Ok(address) = address.parse::<SocketAddr>() else {
            return;
        };
        let _ = self.socket.send_to(&datagram, address).await;
    }
}

/// Returns the routes that peers call.
pub fn peer_router(node: Node) -> Router {
    Router::new()
        .route(PEER_PATH, post(serve_peer))
        .layer(DefaultBodyLimit::max(MAX_MESSAGE_BYTES))
        .with_state(node)
}

async fn serve_peer(State(node): State<Node>, body: Bytes) -> Result<Vec<u8>, StatusCode> {
    let request: PeerRequest = decode(&body).ok_or(StatusCode::BAD_REQUEST)?;
    Ok(encode(&node.serve_peer(request).await))
}

/// Passes received datagrams to the daemon until the socket fails; returns the error.
pub async fn serve_datagrams(node: Node, socket: Arc<UdpSocket>) -> std::io::Error {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => node.receive_datagram(&buffer[..length]).await,
            // Some systems report an earlier datagram to a closed port this way.
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {}
            Err(error) => return error,
        }
    }
}
