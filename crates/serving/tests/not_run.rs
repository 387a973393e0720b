//! A refusal may say that the request has not run only if no replica has begun it.

mod support;

use harrierward_serving::{Refusal, Reply, RouteKind};
use proptest::prelude::*;
use support::{Answers, End, Fixture, request};
use tokio::time::Instant;

/// Statuses by which a caller learns that its request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

async fn play(kind: RouteKind, replicas: usize, ends: &[End]) -> (Fixture, Option<Refusal>) {
    let fixture = Fixture::new(kind, replicas);
    fixture.client.play(ends);
    let reply = fixture.forwarder.forward(request("r"), Instant::now());
    let refusal = match reply.await {
        Reply::Refusal(refusal) => Some(refusal),
        Reply::Response(_) => None,
    };
    (fixture, refusal)
}

fn promises(refusal: &Refusal) -> bool {
    PROMISES.contains(&refusal.status()) || refusal.retry_after().is_some()
}

/// An answer that is left over from an earlier request of the connection came in the place of this one's, and the replica
/// ran this one meanwhile. It was a refusal, and was believed before its id was looked at: the caller was told "not run".
#[tokio::test(start_paused = true)]
async fn a_refusal_of_another_request_is_not_taken_for_this_ones() {
    let late = End::Refusal {
        status: 503,
        answers: Answers::Another,
    };
    let (fixture, refusal) = play(RouteKind::Unsafe, 1, &[late]).await;
    assert_eq!(fixture.client.played().len(), 1, "it may have run");
    let refusal = refusal.expect("a refusal");
    assert_eq!(refusal.status(), 502);
    assert_eq!(refusal.retry_after(), None);
}

#[tokio::test(start_paused = true)]
async fn a_word_of_another_replica_to_another_request_is_not_taken_for_this_ones() {
    let late = End::OtherReplica {
        answers: Answers::Another,
    };
    let (fixture, refusal) = play(RouteKind::Unsafe, 1, &[late]).await;
    assert_eq!(fixture.client.played().len(), 1, "it may have run");
    assert_eq!(refusal.expect("a refusal").status(), 502);
}

/// Only requests that may be repeated go out on connections that carried others; without an id nobody can tell whose refusal
/// comes there.
#[tokio::test(start_paused = true)]
async fn a_late_refusal_without_an_id_is_no_proof() {
    let late = End::Refusal {
        status: 503,
        answers: Answers::NobodyLate,
    };
    let (fixture, refusal) = play(RouteKind::Safe, 2, &[late, End::NotSent]).await;
    assert!(fixture.client.has_begun());
    assert_eq!(refusal.expect("a refusal").status(), 502);
}

/// True refusals keep their status and say when to come back.
#[tokio::test(start_paused = true)]
async fn a_request_that_all_replicas_refuse_has_not_run() {
    for answers in [Answers::Own, Answers::Nobody] {
        let full = End::Refusal {
            status: 503,
            answers,
        };
        let (fixture, refusal) = play(RouteKind::Unsafe, 2, &[full, full]).await;
        assert_eq!(fixture.client.played().len(), 2);
        let refusal = refusal.expect("a refusal");
        assert_eq!(refusal.status(), 503);
        assert!(refusal.retry_after().is_some());
    }
}

fn any_answers() -> impl Strategy<Value = Answers> {
    prop_oneof![
        Just(Answers::Own),
        Just(Answers::Another),
        Just(Answers::Nobody),
        Just(Answers::NobodyLate)
    ]
}

fn any_end() -> impl Strategy<Value = End> {
    let refusals = (prop_oneof![Just(503), Just(429), Just(400)], any_answers());
    prop_oneof![
        Just(End::Whole),
        Just(End::NotSent),
        Just(End::Lost),
        Just(End::CutAfterHead),
        refusals.prop_map(|(status, answers)| End::Refusal { status, answers }),
        any_answers().prop_map(|answers| End::OtherReplica { answers }),
        prop_oneof![Just(500), Just(503), Just(429), Just(504), Just(408)].prop_map(End::Failure),
    ]
}

fn any_kind() -> impl Strategy<Value = RouteKind> {
    prop_oneof![
        Just(RouteKind::Safe),
        Just(RouteKind::Unsafe),
        Just(RouteKind::Stream { resumable: true }),
        Just(RouteKind::Stream { resumable: false }),
    ]
}

proptest! {
    /// Whatever comes of the attempts: no refusal of a request that a replica has begun promises anything, and what may
    /// run at most once is begun once.
    #[test]
    fn no_request_that_a_replica_has_begun_is_refused_as_not_run(
        kind in any_kind(),
        replicas in 1_usize..5,
        ends in prop::collection::vec(any_end(), 0..7),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let (fixture, refusal) = runtime.block_on(play(kind, replicas, &ends));
        let played = fixture.client.played();
        if let Some(refusal) = refusal
            && fixture.client.has_begun()
        {
            prop_assert!(!promises(&refusal), "{refusal:?} after {played:?}");
        }
        let may_repeat = matches!(kind, RouteKind::Safe | RouteKind::Stream { resumable: true });
        if !may_repeat {
            let runs = played.iter().filter(|(_, end)| end.began()).count();
            prop_assert!(runs <= 1, "{played:?}");
        }
    }
}
