//! Sockets: peers over HTTP with prost bodies, datagrams over UDP.

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

/// Largest message between peers, bytes.
const MESSAGE_LIMIT: usize = 64 << 20;

/// Largest datagram received, bytes.
const DATAGRAM_LIMIT: usize = 65_536;

/// Network towards peers over real sockets.
pub struct SocketNetwork {
    caller: HttpCaller,
    socket: Arc<UdpSocket>,
}

impl SocketNetwork {
    /// A network that sends datagrams from `socket`.
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
                detail: format!("unreadable answer, status {}", reply.status),
            })
    }

    async fn send(&self, address: &str, datagram: Vec<u8>) {
        let Ok(address) = address.parse::<SocketAddr>() else {
            return;
        };
        let _ = self.socket.send_to(&datagram, address).await;
    }
}

/// Routes for peers.
pub fn peer_router(node: Node) -> Router {
    Router::new()
        .route(PEER_PATH, post(serve_peer))
        .layer(DefaultBodyLimit::max(MESSAGE_LIMIT))
        .with_state(node)
}

async fn serve_peer(State(node): State<Node>, body: Bytes) -> Result<Vec<u8>, StatusCode> {
    let request: PeerRequest = decode(&body).ok_or(StatusCode::BAD_REQUEST)?;
    Ok(encode(&node.serve_peer(request).await))
}

/// Feeds datagrams from the socket to the daemon, until the socket fails.
pub async fn serve_datagrams(node: Node, socket: Arc<UdpSocket>) -> std::io::Error {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => node.receive_datagram(&buffer[..length]).await,
            // A peer that has gone shows up as a refused connection on some systems.
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {}
            Err(error) => return error,
        }
    }
}
