//! TCP listener options for streamed responses.

use axum::serve::{Listener, ListenerExt};
use tokio::net::TcpListener;

/// Sets `TCP_NODELAY` on accepted connections. Without it each streamed token waits for the peer's delayed ACK.
pub fn with_nodelay(listener: TcpListener) -> impl Listener<Addr = std::net::SocketAddr> {
    listener.tap_io(|stream| {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("http: cannot set TCP_NODELAY on an accepted connection: {error}");
        }
    })
}
