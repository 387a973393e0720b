//! Keys of a job's rows. All rows of a job lie in one partition, so that one transaction can change them.

use xxhash_rust::xxh3::xxh3_64;

/// Space of the job headers and the quota fences, which every daemon watches.
pub const JOB_HEADERS: &str = "jobheads";

/// Space of the items as submitted.
const ITEMS: &str = "jobitems";

const RESULTS: &str = "jobresults";

const PROGRESS: &str = "jobprogress";

/// Number of partitions; part of the stored format.
const PARTITIONS: u64 = 8;

/// Bound of a job id; a key may have 200 bytes.
const MAX_ID_BYTES: usize = 120;

/// True if the id may be part of a key.
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

/// Returns the names of all partitions.
pub fn partitions() -> Vec<String> {
    (0..PARTITIONS).map(partition_name).collect()
}

fn key(space: &str, job_id: &str) -> String {
    let partition = partition_name(partition(job_id));
    format!("{space}/{partition}/{job_id}")
}

/// Returns the key of a job's header.
pub fn header(job_id: &str) -> String {
    key(JOB_HEADERS, job_id)
}

/// Prefix of the names of quota fences in the space of the headers; no job id may contain `~`.
const FENCE_PREFIX: &str = "~quota.";

fn fence_name(route: &str) -> String {
    format!("{FENCE_PREFIX}{:016x}", xxh3_64(route.as_bytes()))
}

/// Returns the key of a route's fence in the partition of a job.
pub fn fence(route: &str, job_id: &str) -> String {
    let partition = partition_name(partition(job_id));
    format!("{JOB_HEADERS}/{partition}/{}", fence_name(route))
}

/// Returns the keys of a route's fence in all partitions.
pub fn fences(route: &str) -> Vec<String> {
    let name = fence_name(route);
    let key = |partition| format!("{JOB_HEADERS}/{partition}/{name}");
    partitions().into_iter().map(key).collect()
}

/// Prefix of the names of rows with daemons' crash reports in the space of the headers; no job id may contain `~`.
const CRASH_PREFIX: &str = "~crash.";

/// Separates the daemon's name, which is stable over restarts, from the rest of an instance id.
const INSTANCE_SEPARATOR: char = '@';

/// Returns the key of the row of a daemon's crash reports. All instances of the daemon share it, so that a restart
/// replaces the row.
pub fn crash_reports_key(instance_id: &str) -> String {
    let daemon = instance_id
        .rsplit_once(INSTANCE_SEPARATOR)
        .map_or(instance_id, |(daemon, _)| daemon);
    let hash = xxh3_64(daemon.as_bytes());
    let partition = partition_name(hash % PARTITIONS);
    format!("{JOB_HEADERS}/{partition}/{CRASH_PREFIX}{hash:016x}")
}

/// Kinds of rows in the space of the headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowKind {
    /// Header of a job.
    Header,
    /// Fence of a route's quota.
    Fence,
    /// Crashes of replicas that a daemon has observed.
    CrashReports,
}

/// Returns the kind of a row in the space of the headers, by its key.
pub fn row_kind(key: &str) -> RowKind {
    let name = key.rsplit('/').next().unwrap_or_default();
    if name.starts_with(FENCE_PREFIX) {
        RowKind::Fence
    } else if name.starts_with(CRASH_PREFIX) {
        RowKind::CrashReports
    } else {
        RowKind::Header
    }
}

/// Returns the key of a row of items.
pub fn items(job_id: &str, number: u32) -> String {
    format!("{}.{number:04}", key(ITEMS, job_id))
}

/// Returns the prefix of the keys of all rows of items.
pub fn items_prefix(job_id: &str) -> String {
    format!("{}.", key(ITEMS, job_id))
}

/// Returns the key of a piece of a result.
pub fn result(job_id: &str, position: u32, piece: u32) -> String {
    format!("{}.{position:05}.{piece:03}", key(RESULTS, job_id))
}

/// Returns the prefix of the keys of all results.
pub fn results_prefix(job_id: &str) -> String {
    format!("{}.", key(RESULTS, job_id))
}

/// Extracts the position of a result from the key of one of its pieces.
pub fn position_of_result(key: &str) -> Option<u32> {
    key.rsplit('.').nth(1)?.parse().ok()
}

/// Returns the key of an item's progress.
pub fn progress(job_id: &str, item: u32) -> String {
    format!("{}.{item:05}", key(PROGRESS, job_id))
}

/// Returns the prefix of the keys of all progress rows.
pub fn progress_prefix(job_id: &str) -> String {
    format!("{}.", key(PROGRESS, job_id))
}

/// Extracts the item number from the key of a progress row.
pub fn item_of_progress(key: &str) -> Option<u32> {
    key.rsplit('.').next()?.parse().ok()
}
