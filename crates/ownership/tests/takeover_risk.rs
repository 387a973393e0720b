//! When a daemon must expect that others consider it absent.
//!
//! Guards against an owner that relies on its watch while others may challenge it.

use std::time::Duration;

use harrierward_ownership::{RiskBounds, RiskCause, TakeoverRisk};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn members(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn left(_: &str) -> bool {
    false
}

fn absent(_: &str) -> bool {
    true
}

/// A daemon whose view has not changed since its start at 0 s.
fn settled() -> TakeoverRisk {
    let mut risk = TakeoverRisk::new(RiskBounds::default(), Duration::ZERO);
    risk.note_view(&members(&["self", "a", "b"]), absent, seconds(1));
    risk
}

#[test]
fn a_settled_view_is_no_risk() {
    let risk = settled();
    assert_eq!(risk.cause(seconds(9)), Some(RiskCause::Started));
    assert_eq!(risk.cause(seconds(10)), None);
    assert_eq!(risk.cause(seconds(10_000)), None);
}

#[test]
fn a_daemon_that_knows_no_other_is_at_risk() {
    let mut risk = TakeoverRisk::new(RiskBounds::default(), Duration::ZERO);
    assert_eq!(risk.cause(seconds(100)), Some(RiskCause::Alone));
    risk.note_view(&members(&["self"]), absent, seconds(100));
    assert_eq!(risk.cause(seconds(200)), Some(RiskCause::Alone));
}

#[test]
fn a_lost_member_is_a_risk_until_it_returns_or_restarts() {
    let mut risk = settled();
    risk.note_view(&members(&["self", "a"]), absent, seconds(20));
    assert_eq!(risk.cause(seconds(79)), Some(RiskCause::MemberLost));
    let mut returned = settled();
    returned.note_view(&members(&["self", "a"]), absent, seconds(20));
    returned.note_view(&members(&["self", "a", "b"]), absent, seconds(30));
    assert_eq!(returned.cause(seconds(34)), Some(RiskCause::MemberJoined));
    assert_eq!(returned.cause(seconds(35)), None);
    // A later instance runs in its place.
    risk.note_view(&members(&["self", "a"]), left, seconds(40));
    assert_eq!(risk.cause(seconds(40)), None);
}

#[test]
fn a_loss_is_forgotten_after_its_bound() {
    let mut risk = settled();
    risk.note_view(&members(&["self", "a"]), absent, seconds(20));
    risk.note_view(&members(&["self", "a"]), absent, seconds(80));
    assert_eq!(risk.cause(seconds(80)), None);
}

#[test]
fn a_planned_departure_is_no_risk() {
    let mut risk = settled();
    risk.note_view(&members(&["self", "a"]), left, seconds(20));
    assert_eq!(risk.cause(seconds(20)), None);
}

#[test]
fn an_absent_owner_or_a_challenge_is_a_risk() {
    let mut risk = settled();
    risk.note_absent_owner(seconds(100));
    assert_eq!(risk.cause(seconds(104)), Some(RiskCause::AbsentOwner));
    assert_eq!(risk.cause(seconds(105)), None);
    risk.note_challenge(seconds(100));
    assert_eq!(risk.cause(seconds(139)), Some(RiskCause::Challenged));
    assert_eq!(risk.cause(seconds(140)), None);
}
