//! Owners that turned out to live are left alone, longer each time, and forgotten in the end.

use std::time::Duration;

use harrierward_ownership::Rests;

const FIRST: Duration = seconds(4);
const LONGEST: Duration = seconds(64);
const OWNER: &str = "daemon-2";

const fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

#[test]
fn an_owner_that_never_showed_that_it_lives_is_not_left_alone() {
    let mut rests = Rests::default();
    rests.extend("daemon-3", FIRST, LONGEST, seconds(1));
    assert_eq!(rests.until(OWNER), Duration::ZERO);
}

#[test]
fn each_rest_is_twice_as_long_as_the_last_up_to_the_longest() {
    let mut rests = Rests::default();
    let mut now = seconds(1);
    for expected in [4, 8, 16, 32, 64, 64, 64] {
        rests.extend(OWNER, FIRST, LONGEST, now);
        assert_eq!(rests.until(OWNER), now + seconds(expected));
        now = rests.until(OWNER);
    }
}

/// An owner that takes a hundred things at once has shown once that it lives.
#[test]
fn what_is_shown_within_a_rest_does_not_make_it_longer() {
    let mut rests = Rests::default();
    for millis in 0..100 {
        rests.extend(OWNER, FIRST, LONGEST, Duration::from_millis(millis));
    }
    assert_eq!(rests.until(OWNER), FIRST);
}

/// Members come and go for as long as a daemon runs.
#[test]
fn owners_are_forgotten_long_after_their_rest() {
    let mut rests = Rests::default();
    rests.extend(OWNER, FIRST, LONGEST, seconds(0));
    rests.forget(LONGEST, seconds(131));
    assert_eq!(rests.until(OWNER), FIRST);
    rests.forget(LONGEST, seconds(132));
    assert_eq!(rests.until(OWNER), Duration::ZERO);
    rests.extend(OWNER, FIRST, LONGEST, seconds(200));
    assert_eq!(rests.until(OWNER), seconds(204));
}
