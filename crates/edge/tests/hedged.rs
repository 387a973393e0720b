//! Peers that are silent cost a starting daemon little.

use std::sync::Mutex;
use std::time::Duration;

use harrierward_edge::first_answer;
use proptest::prelude::*;
use tokio::time::{Instant, sleep};

/// After how long the next peer is asked.
const SILENT_FOR: Duration = Duration::from_millis(100);

/// After how long a question to a silent peer is given up.
const GIVEN_UP: Duration = Duration::from_millis(500);

/// What a peer does.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Peer {
    /// Answers after so many milliseconds.
    Knows(u64),
    /// Says after so many milliseconds that it does not know.
    KnowsNothing(u64),
    /// Says nothing.
    Silent,
}

/// The peer that answered, how long it took, and how many were asked.
async fn ask(peers: &[Peer]) -> (Option<usize>, Duration, usize) {
    let began = Instant::now();
    let asked = Mutex::new(0);
    let names = (0..peers.len()).map(|number| number.to_string()).collect();
    let answer = first_answer(names, SILENT_FOR, |name: String| {
        *asked.lock().unwrap() += 1;
        async move {
            let number: usize = name.parse().unwrap();
            match peers[number] {
                Peer::Knows(after) => {
                    sleep(Duration::from_millis(after)).await;
                    Some(number)
                }
                Peer::KnowsNothing(after) => {
                    sleep(Duration::from_millis(after)).await;
                    None
                }
                Peer::Silent => {
                    sleep(GIVEN_UP).await;
                    None
                }
            }
        }
    });
    let answer = answer.await;
    let count = *asked.lock().unwrap();
    (answer, began.elapsed(), count)
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_answers_is_the_only_one_asked() {
    let (answer, took, asked) = ask(&[Peer::Knows(30), Peer::Knows(1), Peer::Knows(1)]).await;
    assert_eq!((answer, asked), (Some(0), 1));
    assert!(took < SILENT_FOR, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn silent_peers_cost_a_moment_each_and_not_their_time_out() {
    let (answer, took, _) = ask(&[Peer::Silent, Peer::Silent, Peer::Silent, Peer::Knows(10)]).await;
    assert_eq!(answer, Some(3));
    assert!(
        took <= SILENT_FOR * 3 + Duration::from_millis(20),
        "{took:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_knows_nothing_costs_no_wait() {
    let (answer, took, _) = ask(&[
        Peer::KnowsNothing(5),
        Peer::KnowsNothing(5),
        Peer::Knows(10),
    ])
    .await;
    assert_eq!(answer, Some(2));
    assert!(took < SILENT_FOR, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn nobody_who_knows_is_told_as_soon_as_all_are_done() {
    assert_eq!(ask(&[]).await.0, None);
    let (answer, took, asked) = ask(&[Peer::KnowsNothing(5), Peer::Silent]).await;
    assert_eq!((answer, asked), (None, 2));
    assert!(took < GIVEN_UP + SILENT_FOR, "{took:?}");
}

fn any_peer() -> impl Strategy<Value = Peer> {
    prop_oneof![
        (1u64..400).prop_map(Peer::Knows),
        (1u64..400).prop_map(Peer::KnowsNothing),
        Just(Peer::Silent),
    ]
}

proptest! {
    #[test]
    fn an_answer_comes_whenever_a_peer_knows_and_in_time(peers in prop::collection::vec(any_peer(), 0..6)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let (answer, took, _) = runtime.block_on(ask(&peers));
        let first = peers.iter().position(|peer| matches!(peer, Peer::Knows(_)));
        prop_assert_eq!(answer.is_some(), first.is_some());
        if let Some(number) = first {
            let Peer::Knows(after) = peers[number] else { unreachable!() };
            let before = u32::try_from(number).unwrap();
            let latest = SILENT_FOR * before + Duration::from_millis(after + 10);
            prop_assert!(took <= latest, "{:?} for {:?}", took, peers);
        }
    }
}
