//! In which order daemons adopt a job that nobody runs: pure.

use std::collections::HashSet;
use std::time::Duration;

use harrierward_serving::preference_weight;
use harrierward_wire::JobHeaderRow;
use xxhash_rust::xxh3::xxh3_64;

/// How long an owner must be missing before it is challenged: a member that is held for dead and lives refutes that within
/// about as long. With the time for which a challenge stands, a job follows its dead owner at most 1 s later than by a view alone.
const CHALLENGE_DELAY: Duration = Duration::from_millis(100);

/// How much later than the others a daemon takes a job back that it gave up without stopping: it got nowhere with it.
const LAST_OWNER_DELAY: Duration = Duration::from_secs(2);

/// How much longer each further daemon in the job's order waits.
const RANK_DELAY: Duration = Duration::from_millis(400);

/// The head of a job that its owner gives up.
pub fn released(header: &JobHeaderRow) -> JobHeaderRow {
    JobHeaderRow {
        owner: String::new(),
        last_owner: header.owner.clone(),
        challenger: String::new(),
        ..header.clone()
    }
}

/// The head of a job that the daemon with this life adopts.
pub fn adopted(header: &JobHeaderRow, instance_id: &str) -> JobHeaderRow {
    JobHeaderRow {
        owner: instance_id.to_owned(),
        last_owner: String::new(),
        challenger: String::new(),
        takeovers: header.takeovers + u32::from(!header.challenger.is_empty()),
        epoch: header.epoch + 1,
        ..header.clone()
    }
}

/// The head of a job whose owner the daemon with this life holds for gone.
pub fn challenged(header: &JobHeaderRow, instance_id: &str) -> JobHeaderRow {
    JobHeaderRow {
        challenger: instance_id.to_owned(),
        ..header.clone()
    }
}

/// The head as its owner writes it: whoever challenged it is refuted.
pub fn refuted(header: &JobHeaderRow) -> JobHeaderRow {
    JobHeaderRow {
        challenger: String::new(),
        ..header.clone()
    }
}

/// Life of the daemon that runs a job or ran it last.
pub fn last_owner(header: &JobHeaderRow) -> &str {
    if header.owner.is_empty() {
        &header.last_owner
    } else {
        &header.owner
    }
}

/// How long the daemon with this `instance_id` waits before it adopts a job that was given up, or challenges an owner that is missing. Daemons adopt a job in an
/// order of its own, so that they do not all try at once: those `near` its last owner first, since its clients and the
/// replicas that keep its prompts are there. `owners` are all that may adopt it.
pub fn adoption_delay(
    header: &JobHeaderRow,
    instance_id: &str,
    owners: &[String],
    near: &[String],
) -> Duration {
    let near: HashSet<&String> = near.iter().collect();
    let is_near = near.iter().any(|owner| *owner == instance_id);
    let rank = if near.is_empty() {
        adoption_rank(&header.job_id, instance_id, owners)
    } else if is_near {
        adoption_rank(&header.job_id, instance_id, near)
    } else {
        let others = owners.iter().filter(|owner| !near.contains(owner));
        1 + adoption_rank(&header.job_id, instance_id, others)
    };
    // One that was given up is known to be nobody's.
    let base_delay = if !header.owner.is_empty() {
        CHALLENGE_DELAY
    } else if header.last_owner == instance_id {
        LAST_OWNER_DELAY
    } else {
        Duration::ZERO
    };
    base_delay + RANK_DELAY * rank
}

/// How many of the daemons come before the one with this `instance_id` in a job's order.
pub fn adoption_rank<'a>(
    job: &str,
    instance_id: &str,
    owners: impl IntoIterator<Item = &'a String>,
) -> u32 {
    let job = xxh3_64(job.as_bytes());
    let own = preference_weight(job, instance_id);
    let before = owners.into_iter();
    let before = before.filter(|owner| preference_weight(job, owner) > own);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}
