//! The clock counts suspensions and monotonic time; preemption of a reading thread must not count as a suspension.

use std::time::Duration;

use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn suspensions_count_and_busy_threads_do_not() {
    let first = harrierward_clock::now();
    // More threads than cores, so that some are preempted between the two readings.
    std::thread::scope(|scope| {
        for _ in 0..16 {
            scope.spawn(|| {
                for _ in 0..20_000 {
                    harrierward_clock::suspended();
                }
            });
        }
    });
    assert!(harrierward_clock::age(first) < Duration::from_millis(5));
    tokio::time::advance(Duration::from_secs(1)).await;
    let steady = Instant::now();
    harrierward_clock::simulate_suspension(Duration::from_secs(3));
    assert_eq!(steady, Instant::now(), "the steady clock stands still");
    let age = harrierward_clock::age(first);
    assert!((4_000..4_005).contains(&age.as_millis()), "{age:?}");
}
