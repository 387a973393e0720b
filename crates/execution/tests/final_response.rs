//! A final response must not imply that a request has not run when one of its attempts may have run it.

use std::time::Duration;

use harrierward_execution::{Execution, FinalResponse, implies_not_run};
use proptest::prelude::*;

fn any_execution() -> impl Strategy<Value = Execution> {
    prop_oneof![
        Just(Execution::NotRun),
        Just(Execution::Unknown),
        Just(Execution::Ran)
    ]
}

proptest! {
    #[test]
    fn not_run_is_implied_only_if_no_attempt_may_have_run(
        attempts in prop::collection::vec(any_execution(), 0..6),
        status in prop_oneof![Just(503_u16), Just(429), Just(408), Just(421), Just(404), Just(409), 400_u16..600],
        keyed in any::<bool>(),
    ) {
        let mut execution = Execution::default();
        let mut before = execution;
        for attempt in &attempts {
            execution.merge(*attempt);
            prop_assert!(execution >= before);
            before = execution;
        }
        let retry_after = Some(Duration::from_secs(1));
        let response = if keyed {
            FinalResponse::for_idempotent_retry(execution, status, retry_after)
        } else {
            FinalResponse::of(execution, status, retry_after)
        };
        let has_not_run = attempts.iter().all(|attempt| attempt.is_not_run());
        if has_not_run {
            prop_assert_eq!((response.status(), response.retry_after()), (status, retry_after));
        } else {
            prop_assert!(!implies_not_run(response.status()));
            prop_assert_eq!(response.retry_after().is_some(), keyed);
        }
    }
}
