//! Owners that turned out to live are left alone, longer each time, and forgotten in the end.

use std::time::Duration;

use harrierward_ownership::Cooldowns;

const INITIAL: Duration = seconds(4);
const MAX: Duration = seconds(64);
const OWNER: &str = "daemon-2";

const fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

#[test]
fn an_owner_that_never_showed_that_it_lives_is_not_left_alone() {
    let mut cooldowns = Cooldowns::default();
    cooldowns.start("daemon-3", INITIAL, MAX, seconds(1));
    assert_eq!(cooldowns.until(OWNER), Duration::ZERO);
}

#[test]
fn each_rest_is_twice_as_long_as_the_last_up_to_the_longest() {
    let mut cooldowns = Cooldowns::default();
    let mut now = seconds(1);
    for expected in [4, 8, 16, 32, 64, 64, 64] {
        cooldowns.start(OWNER, INITIAL, MAX, now);
        assert_eq!(cooldowns.until(OWNER), now + seconds(expected));
        now = cooldowns.until(OWNER);
    }
}

/// An owner that takes a hundred things at once has shown once that it lives.
#[test]
fn what_is_shown_within_a_rest_does_not_make_it_longer() {
    let mut cooldowns = Cooldowns::default();
    for millis in 0..100 {
        cooldowns.start(OWNER, INITIAL, MAX, Duration::from_millis(millis));
    }
    assert_eq!(cooldowns.until(OWNER), INITIAL);
}

/// Members come and go for as long as a daemon runs.
#[test]
fn owners_are_forgotten_long_after_their_rest() {
    let mut cooldowns = Cooldowns::default();
    cooldowns.start(OWNER, INITIAL, MAX, seconds(0));
    cooldowns.expire(MAX, seconds(131));
    assert_eq!(cooldowns.until(OWNER), INITIAL);
    cooldowns.expire(MAX, seconds(132));
    assert_eq!(cooldowns.until(OWNER), Duration::ZERO);
    cooldowns.start(OWNER, INITIAL, MAX, seconds(200));
    assert_eq!(cooldowns.until(OWNER), seconds(204));
}
