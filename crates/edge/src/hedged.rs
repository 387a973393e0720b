//! Hedged requests: the next peer is queried when one fails or does not respond within a delay.
//!
//! A crashed peer stays in the membership for a second or two; querying one after the other would cost its
//! full timeout.

use std::future::Future;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep_until};

/// Returns the first response; `None` once all peers have failed. `request` must have a timeout of its own.
/// Outstanding requests are dropped.
pub async fn first_response<R, F, Fut>(peers: Vec<String>, delay: Duration, request: F) -> Option<R>
where
    F: Fn(String) -> Fut,
    Fut: Future<Output = Option<R>>,
{
    let mut remaining = peers.into_iter();
    let mut pending = FuturesUnordered::new();
    while let Some(peer) = remaining.next() {
        pending.push(request(peer));
        let hedge_at = Instant::now() + delay;
        tokio::select! {
            response = pending.next() => {
                if let Some(Some(response)) = response {
                    return Some(response);
                }
            }
            () = sleep_until(hedge_at), if remaining.len() > 0 => {}
        }
    }
    while let Some(response) = pending.next().await {
        if response.is_some() {
            return response;
        }
    }
    None
}
