//! Daemons that stood still, by a stop of their process or a suspension of their machine, soon have whole views again, and are in those
//! of all others.

mod support;

use std::time::Duration;

use support::{Fleet, Pause};

const MEMBERS: usize = 71;
const SPREAD: Duration = Duration::from_secs(1);
const SETTLED: Duration = Duration::from_secs(8);

/// Time after the end of a pause in which all views must be whole.
const WHOLE_WITHIN: Duration = Duration::from_secs(10);

/// Shorter and longer than it takes to be held for dead, and than the dead are remembered.
const LENGTHS: [u64; 5] = [1, 3, 20, 70, 600];

/// How many daemons pause, the last ones: one, those of a machine, and half of the fleet.
const PAUSED: [usize; 3] = [1, 8, MEMBERS / 2];

fn seconds_until_whole(paused: usize, pause: Pause) -> Option<f64> {
    let mut fleet = Fleet::new(MEMBERS, SPREAD);
    for index in MEMBERS - paused..MEMBERS {
        fleet.pause(index, pause);
    }
    fleet.run_until(pause.begins + pause.lasts);
    let seconds = fleet.seconds_until_whole(WHOLE_WITHIN);
    println!("{paused} daemons, {pause:?}: whole after {seconds:?} s");
    seconds
}

fn assert_whole_after_pauses(clock_goes_on: bool) {
    for lasts in LENGTHS.map(Duration::from_secs) {
        for paused in PAUSED {
            let pause = Pause {
                begins: SETTLED,
                lasts,
                clock_goes_on,
            };
            let seconds = seconds_until_whole(paused, pause);
            assert!(seconds.is_some(), "{paused} daemons, {pause:?}");
        }
    }
}

#[test]
fn views_are_whole_after_processes_were_stopped() {
    assert_whole_after_pauses(true);
}

#[test]
fn views_are_whole_after_machines_were_suspended() {
    assert_whole_after_pauses(false);
}
