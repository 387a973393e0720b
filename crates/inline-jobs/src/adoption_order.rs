//! Order in which daemons adopt a job without an owner, and the header changes of adoption, challenge and release.
//! Pure functions.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use harrierward_serving::preference_weight;
use harrierward_wire::JobHeadRow;
use xxhash_rust::xxh3::xxh3_64;

/// How long an owner must be absent before it is challenged; a live member refutes a false death report within about
/// that time. An absent owner's job is taken over after this delay and the duration of the challenge.
const CHALLENGE_DELAY: Duration = Duration::from_millis(100);

/// Additional delay of the daemon that released the job: it could not make progress with it.
const LAST_OWNER_DELAY: Duration = Duration::from_secs(2);

/// Additional delay per rank in the job's adoption order.
const RANK_DELAY: Duration = Duration::from_millis(400);

/// Returns the header of a job that its owner releases.
pub fn released(header: &JobHeadRow) -> JobHeadRow {
    JobHeadRow {
        owner: String::new(),
        last_owner: header.owner.clone(),
        challenger: String::new(),
        ..header.clone()
    }
}

/// Returns the header of a job that the daemon `instance_id` adopts, under a new epoch.
pub fn adopted(header: &JobHeadRow, instance_id: &str) -> JobHeadRow {
    JobHeadRow {
        owner: instance_id.to_owned(),
        last_owner: String::new(),
        challenger: String::new(),
        takeovers: header
            .takeovers
            .saturating_add(u32::from(!header.challenger.is_empty())),
        // An owner that did not release the job may have stopped before it stored its last failures.
        failures_are_complete: header.failures_are_complete && header.owner.is_empty(),
        epoch: header.epoch + 1,
        ..header.clone()
    }
}

/// Returns the header of a job whose owner the daemon `instance_id` considers absent.
pub fn challenged(header: &JobHeadRow, instance_id: &str) -> JobHeadRow {
    JobHeadRow {
        challenger: instance_id.to_owned(),
        ..header.clone()
    }
}

/// Returns the header without a challenge, as its owner writes it.
pub fn refuted(header: &JobHeadRow) -> JobHeadRow {
    JobHeadRow {
        challenger: String::new(),
        ..header.clone()
    }
}

/// Returns the instance id of the daemon that owns a job or owned it last.
pub fn last_owner(header: &JobHeadRow) -> &str {
    if header.owner.is_empty() {
        &header.last_owner
    } else {
        &header.owner
    }
}

/// Returns how long the daemon `instance_id` waits before it adopts a released job, or challenges an absent owner.
/// Each job has its own order of daemons, so that they do not all try at once. Daemons `near` its last owner come
/// first: its clients and the replicas that cache its prompts are there. `owners` are all daemons that may adopt it.
pub fn adoption_delay(
    header: &JobHeadRow,
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
    // A released job has no owner that could still refute.
    let base_delay = if !header.owner.is_empty() {
        CHALLENGE_DELAY
    } else if header.last_owner == instance_id {
        LAST_OWNER_DELAY
    } else {
        Duration::ZERO
    };
    base_delay + RANK_DELAY * rank
}

/// Returns the first `count` of the daemons `owners` in a job's adoption order, by their delays.
pub fn first_adopters(job: &str, owners: &[String], near: &[String], count: usize) -> Vec<String> {
    let hash = xxh3_64(job.as_bytes());
    let near: HashSet<&String> = near.iter().collect();
    let (mut near, mut far): (Vec<&String>, Vec<&String>) =
        owners.iter().partition(|owner| near.contains(owner));
    let by_weight = |owner: &&String| Reverse(preference_weight(hash, owner));
    near.sort_by_cached_key(by_weight);
    far.sort_by_cached_key(by_weight);
    let first_far_rank = usize::from(!near.is_empty());
    let near = (0..).zip(near);
    let far = (first_far_rank..).zip(far);
    let mut ranked: Vec<(usize, &String)> = near.chain(far).collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    let first = ranked.into_iter().take(count);
    first.map(|(_, owner)| owner.clone()).collect()
}

/// Returns how many daemons precede the daemon `instance_id` in a job's order.
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
