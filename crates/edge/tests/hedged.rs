//! Guards against a starting daemon waiting for the full timeout of each unresponsive peer.

use std::sync::Mutex;
use std::time::Duration;

use harrierward_edge::first_response;
use proptest::prelude::*;
use tokio::time::{Instant, sleep};

/// Delay after which the next peer is queried.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Timeout of a request to an unresponsive peer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// How a peer reacts to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Peer {
    /// Responds after this many milliseconds.
    Responds(u64),
    /// Reports after this many milliseconds that it has no rows.
    HasNoRows(u64),
    /// Never responds.
    Unresponsive,
}

/// Returns the peer that responded, the elapsed time, and the number of peers queried.
async fn send_hedged(peers: &[Peer]) -> (Option<usize>, Duration, usize) {
    let began = Instant::now();
    let queried = Mutex::new(0);
    let names = (0..peers.len()).map(|number| number.to_string()).collect();
    let response = first_response(names, HEDGE_DELAY, |name: String| {
        *queried.lock().unwrap() += 1;
        async move {
            let number: usize = name.parse().unwrap();
            match peers[number] {
                Peer::Responds(after) => {
                    sleep(Duration::from_millis(after)).await;
                    Some(number)
                }
                Peer::HasNoRows(after) => {
                    sleep(Duration::from_millis(after)).await;
                    None
                }
                Peer::Unresponsive => {
                    sleep(REQUEST_TIMEOUT).await;
                    None
                }
            }
        }
    });
    let response = response.await;
    let count = *queried.lock().unwrap();
    (response, began.elapsed(), count)
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_responds_in_time_is_the_only_one_queried() {
    let (response, elapsed, queried) =
        send_hedged(&[Peer::Responds(30), Peer::Responds(1), Peer::Responds(1)]).await;
    assert_eq!((response, queried), (Some(0), 1));
    assert!(elapsed < HEDGE_DELAY, "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn unresponsive_peers_cost_the_hedge_delay_and_not_their_timeout() {
    let (response, elapsed, _) = send_hedged(&[
        Peer::Unresponsive,
        Peer::Unresponsive,
        Peer::Unresponsive,
        Peer::Responds(10),
    ])
    .await;
    assert_eq!(response, Some(3));
    assert!(
        elapsed <= HEDGE_DELAY * 3 + Duration::from_millis(20),
        "{elapsed:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_peer_without_rows_costs_no_delay() {
    let (response, elapsed, _) =
        send_hedged(&[Peer::HasNoRows(5), Peer::HasNoRows(5), Peer::Responds(10)]).await;
    assert_eq!(response, Some(2));
    assert!(elapsed < HEDGE_DELAY, "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn the_call_fails_once_all_peers_have_failed() {
    assert_eq!(send_hedged(&[]).await.0, None);
    let (response, elapsed, queried) = send_hedged(&[Peer::HasNoRows(5), Peer::Unresponsive]).await;
    assert_eq!((response, queried), (None, 2));
    assert!(elapsed < REQUEST_TIMEOUT + HEDGE_DELAY, "{elapsed:?}");
}

fn any_peer() -> impl Strategy<Value = Peer> {
    prop_oneof![
        (1u64..400).prop_map(Peer::Responds),
        (1u64..400).prop_map(Peer::HasNoRows),
        Just(Peer::Unresponsive),
    ]
}

proptest! {
    #[test]
    fn any_peer_with_rows_yields_a_response_in_time(peers in prop::collection::vec(any_peer(), 0..6)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let (response, elapsed, _) = runtime.block_on(send_hedged(&peers));
        let first = peers.iter().position(|peer| matches!(peer, Peer::Responds(_)));
        prop_assert_eq!(response.is_some(), first.is_some());
        if let Some(number) = first {
            let Peer::Responds(after) = peers[number] else { unreachable!() };
            let before = u32::try_from(number).unwrap();
            let latest = HEDGE_DELAY * before + Duration::from_millis(after + 10);
            prop_assert!(elapsed <= latest, "{:?} for {:?}", elapsed, peers);
        }
    }
}
