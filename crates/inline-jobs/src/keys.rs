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

/// Number of the partition of the rows with versions and services, which are checked together.
const ORIGINS_PARTITION: u64 = 0;

/// Prefix of the names of rows with the software versions of services in the space of the headers; no job id may contain
/// `~`.
const VERSIONS_PREFIX: &str = "~versions.";

/// Returns the key of the row with the software versions of a service, given the hash of its name.
pub fn served_versions_key(service: u32) -> String {
    let partition = partition_name(ORIGINS_PARTITION);
    format!("{JOB_HEADERS}/{partition}/{VERSIONS_PREFIX}{service:08x}")
}

/// Prefix of the names of rows with the services of hosts in the space of the headers; no job id may contain `~`.
const SERVICES_PREFIX: &str = "~services.";

/// Returns the key of the row with the services of a host, given the hash of its name.
pub fn host_services_key(host: u32) -> String {
    let partition = partition_name(ORIGINS_PARTITION);
    format!("{JOB_HEADERS}/{partition}/{SERVICES_PREFIX}{host:08x}")
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
    /// Software versions of a service, or services of a host, at which streams may have begun.
    OriginSet,
}

/// Returns the kind of a row in the space of the headers, by its key.
pub fn row_kind(key: &str) -> RowKind {
    let name = key.rsplit('/').next().unwrap_or_default();
    if name.starts_with(FENCE_PREFIX) {
        RowKind::Fence
    } else if name.starts_with(CRASH_PREFIX) {
        RowKind::CrashReports
    } else if name.starts_with(VERSIONS_PREFIX) || name.starts_with(SERVICES_PREFIX) {
        RowKind::OriginSet
    } else {
        RowKind::Header
    }
}

/// Rows of one job in a space, in key order. Ids may contain dots, so the keys of a job whose id continues this one's
/// begin with the same prefix; what follows it distinguishes them, as numbers never contain a dot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRows {
    /// Prefix of the keys, which rows of other jobs may share.
    pub prefix: String,
    /// Number of dots in what follows the prefix in the keys of own rows.
    inner_dots: usize,
}

impl JobRows {
    fn new(space: &str, job_id: &str, inner_dots: usize) -> Self {
        Self {
            prefix: format!("{}.", key(space, job_id)),
            inner_dots,
        }
    }

    /// The rows of items.
    pub fn items(job_id: &str) -> Self {
        Self::new(ITEMS, job_id, 0)
    }

    /// The pieces of results.
    pub fn results(job_id: &str) -> Self {
        Self::new(RESULTS, job_id, 1)
    }

    /// The progress rows.
    pub fn progress(job_id: &str) -> Self {
        Self::new(PROGRESS, job_id, 0)
    }

    /// Returns a key that is less than all own keys.
    pub fn before(&self) -> String {
        format!("{}{BEFORE_NUMBERS}", self.prefix)
    }

    /// True if this key and all greater ones belong to other jobs.
    pub fn is_past(&self, key: &str) -> bool {
        let rest = key.strip_prefix(&self.prefix).unwrap_or_default();
        rest.bytes().next().is_some_and(|first| first > b'9')
    }

    /// True if the row belongs to this job.
    pub fn contains(&self, key: &str) -> bool {
        self.numbers(key).is_some()
    }

    /// Returns the numbers in a key; `None` if it belongs to another job.
    fn numbers(&self, key: &str) -> Option<Vec<u32>> {
        let rest = key.strip_prefix(&self.prefix)?;
        let numbers: Option<Vec<u32>> = rest.split('.').map(parse_number).collect();
        numbers.filter(|numbers| numbers.len() == self.inner_dots + 1)
    }

    /// Returns the first number in a key: of a row, of a result's position, or of an item with progress. `None` if it
    /// belongs to another job.
    pub fn first_number(&self, key: &str) -> Option<u32> {
        self.numbers(key)?.first().copied()
    }
}

/// Less than all numbers, and greater than what follows the prefix in most keys of other jobs.
const BEFORE_NUMBERS: &str = ".~";

fn parse_number(text: &str) -> Option<u32> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}

/// Returns the key of a row of items.
pub fn items(job_id: &str, number: u32) -> String {
    format!("{}.{number:04}", key(ITEMS, job_id))
}

/// Returns the key of a piece of a result.
pub fn result(job_id: &str, position: u32, piece: u32) -> String {
    format!("{}.{position:05}.{piece:03}", key(RESULTS, job_id))
}

/// Returns a key that is less than those of the result at a position and of all later ones.
pub fn before_result(job_id: &str, position: u32) -> String {
    format!("{}.{position:05}", key(RESULTS, job_id))
}

/// Returns the name of the object that holds a job's items. No id may contain `@`, so that no other job has this name,
/// whatever its owner.
pub fn item_object(job_id: &str, owner: &str) -> String {
    format!("jobitems-{job_id}@{owner}")
}

/// Returns the key of an item's progress.
pub fn progress(job_id: &str, item: u32) -> String {
    format!("{}.{item:05}", key(PROGRESS, job_id))
}
