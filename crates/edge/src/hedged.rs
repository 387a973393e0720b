//! One question to several peers: the next one is asked as soon as one has nothing to say, or stays silent a while.
//!
//! A machine that lost its power is still among the members for a second or two and says nothing at all. Asked one
//! after the other, each such peer would cost its whole time-out.

use std::future::Future;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep_until};

/// The first answer; `None` once all have nothing to say. `ask` bounds its own time. Questions that are not needed any
/// more are dropped.
pub async fn first_answer<A, F, Answering>(
    peers: Vec<String>,
    silent_for: Duration,
    ask: F,
) -> Option<A>
where
    F: Fn(String) -> Answering,
    Answering: Future<Output = Option<A>>,
{
    let mut waiting = peers.into_iter();
    let mut asked = FuturesUnordered::new();
    while let Some(peer) = waiting.next() {
        asked.push(ask(peer));
        let next_at = Instant::now() + silent_for;
        tokio::select! {
            answer = asked.next() => {
                if let Some(Some(answer)) = answer {
                    return Some(answer);
                }
            }
            () = sleep_until(next_at), if waiting.len() > 0 => {}
        }
    }
    while let Some(answer) = asked.next().await {
        if answer.is_some() {
            return answer;
        }
    }
    None
}
