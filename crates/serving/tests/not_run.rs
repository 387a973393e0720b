//! Guards against refusals that claim a request has not run although a replica may have started it.

mod support;

use harrierward_serving::{Refusal, Reply, RouteKind};
use proptest::prelude::*;
use support::{Fixture, ResponseId, ScriptedResult, request};
use tokio::time::Instant;

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

async fn run(
    kind: RouteKind,
    replicas: usize,
    results: &[ScriptedResult],
) -> (Fixture, Option<Refusal>) {
    let fixture = Fixture::new(kind, replicas);
    fixture.client.set_script(results);
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

/// A late refusal of an earlier request on the same connection must not be attributed to this one, which the replica
/// runs meanwhile.
#[tokio::test(start_paused = true)]
async fn a_refusal_of_another_request_is_not_attributed_to_this_one() {
    let late = ScriptedResult::Refusal {
        status: 503,
        response_id: ResponseId::Another,
    };
    let (fixture, refusal) = run(RouteKind::Unsafe, 1, &[late]).await;
    assert_eq!(fixture.client.history().len(), 1, "it may have run");
    let refusal = refusal.expect("a refusal");
    assert_eq!(refusal.status(), 502);
    assert_eq!(refusal.retry_after(), None);
}

#[tokio::test(start_paused = true)]
async fn another_replicas_response_to_another_request_is_not_attributed_to_this_one() {
    let late = ScriptedResult::OtherReplica {
        response_id: ResponseId::Another,
    };
    let (fixture, refusal) = run(RouteKind::Unsafe, 1, &[late]).await;
    assert_eq!(fixture.client.history().len(), 1, "it may have run");
    assert_eq!(refusal.expect("a refusal").status(), 502);
}

/// On a reused connection a refusal without an id may belong to an earlier request.
#[tokio::test(start_paused = true)]
async fn a_late_refusal_without_an_id_is_no_proof() {
    let late = ScriptedResult::Refusal {
        status: 503,
        response_id: ResponseId::MissingLate,
    };
    let (fixture, refusal) = run(RouteKind::Safe, 2, &[late, ScriptedResult::NotSent]).await;
    assert!(fixture.client.has_begun());
    assert_eq!(refusal.expect("a refusal").status(), 502);
}

/// Genuine refusals must keep their status and retry delay.
#[tokio::test(start_paused = true)]
async fn a_request_that_all_replicas_refuse_has_not_run() {
    for response_id in [ResponseId::Own, ResponseId::Missing] {
        let full = ScriptedResult::Refusal {
            status: 503,
            response_id,
        };
        let (fixture, refusal) = run(RouteKind::Unsafe, 2, &[full, full]).await;
        assert_eq!(fixture.client.history().len(), 2);
        let refusal = refusal.expect("a refusal");
        assert_eq!(refusal.status(), 503);
        assert!(refusal.retry_after().is_some());
    }
}

fn any_response_id() -> impl Strategy<Value = ResponseId> {
    prop_oneof![
        Just(ResponseId::Own),
        Just(ResponseId::Another),
        Just(ResponseId::Missing),
        Just(ResponseId::MissingLate)
    ]
}

fn any_result() -> impl Strategy<Value = ScriptedResult> {
    let refusals = (
        prop_oneof![Just(503), Just(429), Just(400)],
        any_response_id(),
    );
    prop_oneof![
        Just(ScriptedResult::Complete),
        Just(ScriptedResult::NotSent),
        Just(ScriptedResult::Lost),
        Just(ScriptedResult::DisconnectAfterHeader),
        refusals.prop_map(|(status, response_id)| ScriptedResult::Refusal {
            status,
            response_id
        }),
        any_response_id().prop_map(|response_id| ScriptedResult::OtherReplica { response_id }),
        prop_oneof![Just(500), Just(503), Just(429), Just(504), Just(408)]
            .prop_map(ScriptedResult::Failure),
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
    /// Whatever the attempts result in, no refusal of a started request may promise that it has not run, and a
    /// request that must run at most once starts once.
    #[test]
    fn no_request_that_a_replica_has_begun_is_refused_as_not_run(
        kind in any_kind(),
        replicas in 1_usize..5,
        results in prop::collection::vec(any_result(), 0..7),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let (fixture, refusal) = runtime.block_on(run(kind, replicas, &results));
        let history = fixture.client.history();
        if let Some(refusal) = refusal
            && fixture.client.has_begun()
        {
            prop_assert!(!promises(&refusal), "{refusal:?} after {history:?}");
        }
        let may_repeat = matches!(kind, RouteKind::Safe | RouteKind::Stream { resumable: true });
        if !may_repeat {
            let runs = history.iter().filter(|(_, result)| result.began()).count();
            prop_assert!(runs <= 1, "{history:?}");
        }
    }
}
