//! Who adopts a job first: daemons near its last owner, whether that died or gave the job up.

use std::collections::HashSet;
use std::time::Duration;

use harrierward_inline_jobs::adoption_order::{adopted, adoption_delay, last_owner, released};
use harrierward_wire::JobHeaderRow;

fn owners() -> Vec<String> {
    (0..12).map(|number| format!("daemon-{number}")).collect()
}

fn header() -> JobHeaderRow {
    JobHeaderRow {
        job_id: "job-1".to_owned(),
        owner: "gone".to_owned(),
        epoch: 4,
        ..JobHeaderRow::default()
    }
}

#[test]
fn a_job_that_was_given_up_is_adopted_near_its_last_owner_and_at_once() {
    let handed_over = released(&header());
    assert_eq!(handed_over.owner, "");
    assert_eq!(last_owner(&handed_over), "gone");
    let owners = owners();
    let near = &owners[3..6];
    let delay = |owner: &String| adoption_delay(&handed_over, owner, &owners, near);
    let first = owners.iter().min_by_key(|owner| delay(owner)).unwrap();
    assert!(near.contains(first), "{first}");
    assert_eq!(delay(first), Duration::ZERO);
    let away = owners.iter().filter(|owner| !near.contains(owner));
    assert!(away.into_iter().all(|owner| delay(owner) > Duration::ZERO));
}

#[test]
fn a_dead_owner_is_waited_for_and_then_followed_one_by_one() {
    let owners = owners();
    let delays = owners.iter();
    let delays = delays.map(|owner| adoption_delay(&header(), owner, &owners, &[]));
    let delays: HashSet<Duration> = delays.collect();
    assert_eq!(delays.len(), owners.len());
    assert_eq!(delays.into_iter().min(), Some(Duration::from_millis(100)));
}

#[test]
fn an_adopted_job_has_one_owner_and_a_new_epoch() {
    let taken = adopted(&released(&header()), "daemon-1");
    assert_eq!((last_owner(&taken), taken.epoch), ("daemon-1", 5));
    assert_eq!(taken.last_owner, "");
}
