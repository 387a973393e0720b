//! Guards against views that stay incomplete after processes were stopped or machines suspended.

mod support;

use std::time::Duration;

use support::{Fleet, Pause};

const MEMBERS: usize = 71;
const SPREAD: Duration = Duration::from_secs(1);
const SETTLED: Duration = Duration::from_secs(8);

/// Maximum time from the end of a pause until all views are complete.
const COMPLETE_WITHIN: Duration = Duration::from_secs(10);

/// Lengths of the pause in seconds: shorter and longer than the time until a member is declared dead, and than the
/// retention of dead members.
const LENGTHS: [u64; 5] = [1, 3, 20, 70, 600];

/// Number of paused daemons: one, those of one machine, and half of the fleet.
const PAUSED: [usize; 3] = [1, 8, MEMBERS / 2];

fn seconds_until_complete(paused: usize, pause: Pause) -> Option<f64> {
    let mut fleet = Fleet::new(MEMBERS, SPREAD);
    for index in MEMBERS - paused..MEMBERS {
        fleet.pause(index, pause);
    }
    fleet.run_until(pause.starts_at + pause.duration);
    let seconds = fleet.seconds_until_complete(COMPLETE_WITHIN);
    println!("{paused} daemons, {pause:?}: complete after {seconds:?} s");
    seconds
}

fn assert_complete_after_pauses(clock_runs: bool) {
    for duration in LENGTHS.map(Duration::from_secs) {
        for paused in PAUSED {
            let pause = Pause {
                starts_at: SETTLED,
                duration,
                clock_runs,
            };
            let seconds = seconds_until_complete(paused, pause);
            assert!(seconds.is_some(), "{paused} daemons, {pause:?}");
        }
    }
}

#[test]
fn views_are_complete_after_processes_were_stopped() {
    assert_complete_after_pauses(true);
}

#[test]
fn views_are_complete_after_machines_were_suspended() {
    assert_complete_after_pauses(false);
}
