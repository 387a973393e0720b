//! No sequence of what is learnt of a request leads to a promise that is not true.

use std::time::Duration;

use harrierward_execution::{Execution, FinalAnswer, promises_not_run};
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
    fn a_promise_needs_attempts_none_of_which_may_have_run(
        learnt in prop::collection::vec(any_execution(), 0..6),
        status in prop_oneof![Just(503_u16), Just(429), Just(408), Just(421), Just(404), Just(409), 400_u16..600],
        keyed in any::<bool>(),
    ) {
        let mut execution = Execution::default();
        let mut before = execution;
        for more in &learnt {
            execution.learn(*more);
            prop_assert!(execution >= before);
            before = execution;
        }
        let pause = Some(Duration::from_secs(1));
        let answer = if keyed {
            FinalAnswer::under_key(execution, status, pause)
        } else {
            FinalAnswer::of(execution, status, pause)
        };
        let has_not_run = learnt.iter().all(|one| one.is_not_run());
        if has_not_run {
            prop_assert_eq!((answer.status(), answer.retry_after()), (status, pause));
        } else {
            prop_assert!(!promises_not_run(answer.status()));
            prop_assert_eq!(answer.retry_after().is_some(), keyed);
        }
    }
}
