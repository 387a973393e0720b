//! Guards the backoff of suspicion: longer after each failure, reset by progress.

use harrierward_serving::Suspicion;

#[test]
fn suspicion_lasts_longer_after_each_failure_until_progress_resets_it() {
    let replica = Suspicion::default();
    replica.note_failure(1_000);
    assert!(replica.is_active(1_499) && !replica.is_active(1_500));
    replica.note_failure(2_000);
    assert!(replica.is_active(2_999) && !replica.is_active(3_000));
    replica.note_progress(3_100);
    replica.note_failure(4_000);
    assert!(!replica.is_active(4_500));
    assert_eq!(replica.ms_since_progress(4_500), 1_400);
}
