//! Guards against slow convergence of views, or excessive traffic, when a whole fleet starts at once.

mod support;

use std::time::Duration;

use support::Fleet;

/// Window of the random start times.
const SPREAD: Duration = Duration::from_secs(1);

/// Views lack at most 1 % of the members two seconds after the last start.
#[test]
fn views_agree_two_seconds_after_three_hundred_start_together() {
    let mut fleet = Fleet::new(300, SPREAD);
    fleet.run_until(SPREAD + Duration::from_secs(2));
    let view_size = fleet.smallest_view();
    assert!(view_size >= 297, "{view_size} of 300 known after 2 s");
    fleet.run_until(SPREAD + Duration::from_secs(5));
    assert_eq!(fleet.smallest_view(), 300);
}

/// Traffic per daemon is bounded during the start, and falls to that of probes afterwards.
#[test]
fn traffic_of_a_joint_start_is_bounded() {
    let mut fleet = Fleet::new(300, SPREAD);
    fleet.run_until(Duration::from_secs(10));
    let start = fleet.bytes_per_daemon();
    assert!(start <= 90_000, "{start} bytes a daemon in the first 10 s");
    fleet.bytes = 0;
    fleet.run_until(Duration::from_secs(20));
    let steady = fleet.bytes_per_daemon() / 10;
    assert!(
        steady <= 1_500,
        "{steady} bytes a second and daemon afterwards"
    );
}

/// Views lack about 1 % of the members at most in a fleet of the maximum size, too.
#[test]
fn views_agree_two_seconds_after_the_target_fleet_starts_together() {
    let mut fleet = Fleet::new(520, SPREAD);
    fleet.run_until(SPREAD + Duration::from_secs(2));
    let view_size = fleet.smallest_view();
    assert!(view_size >= 514, "{view_size} of 520 known after 2 s");
}
