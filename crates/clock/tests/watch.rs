//! Each watch reports each suspension exactly once.

use std::time::Duration;

use harrierward_clock::{SuspensionWatch, simulate_suspension};

#[test]
fn suspensions_are_reported_once_with_their_total_length() {
    let watch = SuspensionWatch::start();
    assert_eq!(watch.take(), None);
    simulate_suspension(Duration::from_millis(400));
    simulate_suspension(Duration::from_millis(800));
    let reported = watch.take().expect("a suspension");
    assert!(
        (1_200..1_250).contains(&reported.as_millis()),
        "{reported:?}"
    );
    assert_eq!(watch.take(), None, "it is reported once");
    assert_eq!(
        SuspensionWatch::start().take(),
        None,
        "suspensions before its start"
    );
    // Suspensions below the minimum add up until they are reported.
    let reported = (0..20).filter_map(|_| {
        simulate_suspension(Duration::from_millis(10));
        watch.take()
    });
    let reported: Duration = reported.sum();
    assert!((150..250).contains(&reported.as_millis()), "{reported:?}");
}
