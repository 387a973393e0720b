//! Listeners that send small parts at once.

use axum::serve::{Listener, ListenerExt};
use tokio::net::TcpListener;

/// Turns Nagle's algorithm off for accepted connections. Tokens are small writes: with it on, each waits for the
/// peer's delayed acknowledgement, 40 ms.
pub fn with_nodelay(listener: TcpListener) -> impl Listener<Addr = std::net::SocketAddr> {
    listener.tap_io(|stream| {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("http: cannot turn off delayed sending: {error}");
        }
    })
}
