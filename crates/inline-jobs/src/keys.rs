//! Keys of a job's rows. All rows of a job lie in one partition, so that one transaction can change them.

use xxhash_rust::xxh3::xxh3_64;

/// Space of the jobs' heads, which every daemon watches.
pub const JOB_HEADERS: &str = "jobheads";

/// Space of the items as accepted.
const ITEMS: &str = "jobitems";

/// Space of the results.
const RESULTS: &str = "jobresults";

/// Space of unfinished items' progress.
const PROGRESS: &str = "jobprogress";

/// Partitions over which jobs are spread.
const PARTITIONS: u64 = 8;

/// Longest job id, bytes; keys hold at most 200.
const MAX_ID_BYTES: usize = 120;

/// True if the id can be part of a key.
pub fn is_usable_id(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(is_allowed)
}

fn partition(job_id: &str) -> u64 {
    xxh3_64(job_id.as_bytes()) % PARTITIONS
}

fn partition_name(number: u64) -> String {
    format!("p{number}")
}

/// Names of all partitions.
pub fn partitions() -> Vec<String> {
    (0..PARTITIONS).map(partition_name).collect()
}

fn key(space: &str, job_id: &str) -> String {
    let partition = partition_name(partition(job_id));
    format!("{space}/{partition}/{job_id}")
}

/// Key of a job's head.
pub fn header(job_id: &str) -> String {
    key(JOB_HEADERS, job_id)
}

/// Beginning of the names of the quotas' fences among the heads; no job's id can begin so.
const FENCE_PREFIX: &str = "~quota.";

/// Name of a route's fence.
fn fence_name(route: &str) -> String {
    format!("{FENCE_PREFIX}{:016x}", xxh3_64(route.as_bytes()))
}

/// Key of a route's fence in the partition of a job.
pub fn fence(route: &str, job_id: &str) -> String {
    let partition = partition_name(partition(job_id));
    format!("{JOB_HEADERS}/{partition}/{}", fence_name(route))
}

/// Keys of a route's fence in all partitions.
pub fn fences(route: &str) -> Vec<String> {
    let name = fence_name(route);
    let key = |partition| format!("{JOB_HEADERS}/{partition}/{name}");
    partitions().into_iter().map(key).collect()
}

/// Beginning of the names of the rows in which daemons keep what they know of ends of replicas; no job's id can begin so.
const CRASH_PREFIX: &str = "~crash.";

/// What separates a daemon's name, which stays over restarts, from the rest of its life's.
const INSTANCE_SEPARATOR: char = '@';

/// Key of the row of a daemon's news of ends of replicas. One a daemon, whatever its life: a restart replaces it.
pub fn crash_updates_key(instance_id: &str) -> String {
    let member = instance_id
        .rsplit_once(INSTANCE_SEPARATOR)
        .map_or(instance_id, |(member, _)| member);
    let hash = xxh3_64(member.as_bytes());
    let partition = partition_name(hash % PARTITIONS);
    format!("{JOB_HEADERS}/{partition}/{CRASH_PREFIX}{hash:016x}")
}

/// What a row of the space of heads is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowKind {
    /// A job's head.
    Header,
    /// Who keeps a route's quota.
    Fence,
    /// What a daemon knows of ends of replicas.
    CrashUpdates,
}

/// Tells what a row of the space of heads is, by its key.
pub fn row_kind(key: &str) -> RowKind {
    let name = key.rsplit('/').next().unwrap_or_default();
    if name.starts_with(FENCE_PREFIX) {
        RowKind::Fence
    } else if name.starts_with(CRASH_PREFIX) {
        RowKind::CrashUpdates
    } else {
        RowKind::Header
    }
}

/// Key of a row of items.
pub fn items(job_id: &str, number: u32) -> String {
    format!("{}.{number:04}", key(ITEMS, job_id))
}

/// Beginning of the keys of all rows of items.
pub fn items_prefix(job_id: &str) -> String {
    format!("{}.", key(ITEMS, job_id))
}

/// Key of a piece of a result.
pub fn result(job_id: &str, position: u32, piece: u32) -> String {
    format!("{}.{position:05}.{piece:03}", key(RESULTS, job_id))
}

/// Beginning of the keys of all results.
pub fn results_prefix(job_id: &str) -> String {
    format!("{}.", key(RESULTS, job_id))
}

/// Position of a result's piece, from its key.
pub fn position_of_result(key: &str) -> Option<u32> {
    key.rsplit('.').nth(1)?.parse().ok()
}

/// Key of an item's progress.
pub fn progress(job_id: &str, item: u32) -> String {
    format!("{}.{item:05}", key(PROGRESS, job_id))
}

/// Beginning of the keys of all progress rows.
pub fn progress_prefix(job_id: &str) -> String {
    format!("{}.", key(PROGRESS, job_id))
}

/// Item of a progress row, from its key.
pub fn item_of_progress(key: &str) -> Option<u32> {
    key.rsplit('.').next()?.parse().ok()
}
