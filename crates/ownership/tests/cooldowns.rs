//! Cooldowns of owners that refuted a challenge: duration, doubling and expiry.

use std::time::Duration;

use harrierward_ownership::Cooldowns;

const INITIAL: Duration = seconds(4);
const MAX: Duration = seconds(64);
const OWNER: &str = "daemon-2";

const fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

#[test]
fn an_owner_without_a_refutation_has_no_cooldown() {
    let mut cooldowns = Cooldowns::default();
    cooldowns.start("daemon-3", INITIAL, MAX, seconds(1));
    assert_eq!(cooldowns.until(OWNER), Duration::ZERO);
}

#[test]
fn each_cooldown_doubles_up_to_the_maximum() {
    let mut cooldowns = Cooldowns::default();
    let mut now = seconds(1);
    for expected in [4, 8, 16, 32, 64, 64, 64] {
        cooldowns.start(OWNER, INITIAL, MAX, now);
        assert_eq!(cooldowns.until(OWNER), now + seconds(expected));
        now = cooldowns.until(OWNER);
    }
}

/// An owner that writes many resources at once must not extend its cooldown with each of them.
#[test]
fn a_refutation_within_a_cooldown_does_not_extend_it() {
    let mut cooldowns = Cooldowns::default();
    for millis in 0..100 {
        cooldowns.start(OWNER, INITIAL, MAX, Duration::from_millis(millis));
    }
    assert_eq!(cooldowns.until(OWNER), INITIAL);
}

/// Guards against unbounded memory, as members come and go.
#[test]
fn owners_expire_long_after_their_cooldown() {
    let mut cooldowns = Cooldowns::default();
    cooldowns.start(OWNER, INITIAL, MAX, seconds(0));
    cooldowns.expire(MAX, seconds(131));
    assert_eq!(cooldowns.until(OWNER), INITIAL);
    cooldowns.expire(MAX, seconds(132));
    assert_eq!(cooldowns.until(OWNER), Duration::ZERO);
    cooldowns.start(OWNER, INITIAL, MAX, seconds(200));
    assert_eq!(cooldowns.until(OWNER), seconds(204));
}
