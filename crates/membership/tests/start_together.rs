//! A whole fleet starts within a second, as after a loss of power everywhere: all views must agree soon, and what
//! that costs must stay within the daemons' share of the network.

mod support;

use std::time::Duration;

use support::Fleet;

/// Time in which the daemons start.
const SPREAD: Duration = Duration::from_secs(1);

/// Two seconds after the last start, views are within one in a hundred of the fleet.
#[test]
fn views_agree_two_seconds_after_three_hundred_start_together() {
    let mut fleet = Fleet::new(300, SPREAD);
    fleet.run_until(SPREAD + Duration::from_secs(2));
    let after_two = fleet.smallest_view();
    assert!(after_two >= 297, "{after_two} of 300 known after 2 s");
    fleet.run_until(SPREAD + Duration::from_secs(5));
    assert_eq!(fleet.smallest_view(), 300);
}

/// The whole start costs each daemon no more than ten seconds of its share (9 KB/s), and after it there is silence
/// but for probes.
#[test]
fn a_start_together_costs_little() {
    let mut fleet = Fleet::new(300, SPREAD);
    fleet.run_until(Duration::from_secs(10));
    let start = fleet.bytes_a_daemon();
    assert!(start <= 90_000, "{start} bytes a daemon in the first 10 s");
    fleet.bytes = 0;
    fleet.run_until(Duration::from_secs(20));
    let steady = fleet.bytes_a_daemon() / 10;
    assert!(
        steady <= 1_500,
        "{steady} bytes a second and daemon afterwards"
    );
}

/// The same with as many daemons as the target has.
#[test]
fn views_agree_two_seconds_after_the_target_fleet_starts_together() {
    let mut fleet = Fleet::new(520, SPREAD);
    fleet.run_until(SPREAD + Duration::from_secs(2));
    let after_two = fleet.smallest_view();
    assert!(after_two >= 514, "{after_two} of 520 known after 2 s");
}
