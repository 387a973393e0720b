//! Guards against adoption far from a job's last owner, and against daemons that adopt it all at once.

use std::collections::HashSet;
use std::time::Duration;

use harrierward_inline_jobs::adoption_order::{
    adopted, adoption_delay, first_adopters, last_owner, released,
};
use harrierward_wire::JobHeadRow;

fn owners() -> Vec<String> {
    (0..12).map(|number| format!("daemon-{number}")).collect()
}

fn header() -> JobHeadRow {
    JobHeadRow {
        job_id: "job-1".to_owned(),
        owner: "gone".to_owned(),
        epoch: 4,
        ..JobHeadRow::default()
    }
}

#[test]
fn a_released_job_is_adopted_near_its_last_owner_without_delay() {
    let released_header = released(&header());
    assert_eq!(released_header.owner, "");
    assert_eq!(last_owner(&released_header), "gone");
    let owners = owners();
    let near = &owners[3..6];
    let delay = |owner: &String| adoption_delay(&released_header, owner, &owners, near);
    let first = owners.iter().min_by_key(|owner| delay(owner)).unwrap();
    assert!(near.contains(first), "{first}");
    assert_eq!(delay(first), Duration::ZERO);
    let far = owners.iter().filter(|owner| !near.contains(owner));
    assert!(far.into_iter().all(|owner| delay(owner) > Duration::ZERO));
}

#[test]
fn adoption_from_a_dead_owner_is_delayed_and_staggered() {
    let owners = owners();
    let delays = owners.iter();
    let delays = delays.map(|owner| adoption_delay(&header(), owner, &owners, &[]));
    let delays: HashSet<Duration> = delays.collect();
    assert_eq!(delays.len(), owners.len());
    assert_eq!(delays.into_iter().min(), Some(Duration::from_millis(100)));
}

#[test]
fn an_adopted_job_has_one_owner_and_a_new_epoch() {
    let adopted_header = adopted(&released(&header()), "daemon-1");
    assert_eq!(
        (last_owner(&adopted_header), adopted_header.epoch),
        ("daemon-1", 5)
    );
    assert_eq!(adopted_header.last_owner, "");
}

/// Reports for a job's next owner must go to the daemons that adopt it first.
#[test]
fn the_first_adopters_are_those_with_the_shortest_delays() {
    let owners = owners();
    let released_header = released(&header());
    for near in [&owners[3..6], &owners[..1], &[]] {
        let first = first_adopters("job-1", &owners, near, 4);
        let delay = |owner: &String| adoption_delay(&released_header, owner, &owners, near);
        let mut delays: Vec<Duration> = owners.iter().map(delay).collect();
        delays.sort();
        let first_delays: Vec<Duration> = first.iter().map(delay).collect();
        assert_eq!(first_delays, delays[..4], "near {near:?}");
    }
}
