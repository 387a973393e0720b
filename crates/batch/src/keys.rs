//! Keys of the batch rows, and the sizes they depend on.

/// Items in a chunk. Part objects of files and chunk rows of jobs use the same number.
pub const CHUNK_ITEMS: u32 = 200;

/// Most items in a job.
pub const MAX_ITEMS: u32 = 190_000;

pub(crate) fn job_prefix(tenant: &str) -> String {
    format!("job/{tenant}/")
}

/// Key of a job's row.
pub fn job_key(tenant: &str, job_id: &str) -> String {
    format!("job/{tenant}/{job_id}")
}

pub(crate) fn client_key(kind: &str, tenant: &str, key: &str) -> String {
    let hash = xxhash_rust::xxh3::xxh3_128(key.as_bytes());
    format!("clientkey/{kind}/{tenant}/{hash:032x}")
}

pub(crate) fn open_prefix(shard: u32) -> String {
    format!("open/{shard:05}/")
}

pub(crate) fn open_key(shard: u32, job_id: &str) -> String {
    format!("open/{shard:05}/{job_id}")
}

pub(crate) fn chunk_prefix(job_id: &str) -> String {
    format!("chunk/{job_id}/")
}

pub(crate) fn chunk_key(job_id: &str, chunk: u32) -> String {
    format!("chunk/{job_id}/{chunk:06}")
}

pub(crate) fn progress_key(job_id: &str) -> String {
    format!("progress/{job_id}")
}

pub(crate) fn file_prefix(tenant: &str) -> String {
    format!("file/{tenant}/")
}

pub(crate) fn file_key(tenant: &str, file_id: &str) -> String {
    format!("file/{tenant}/{file_id}")
}

pub(crate) fn part_name(object_prefix: &str, part: u32) -> String {
    format!("{object_prefix}/{part:06}")
}

/// Key of the row that says who owns a shard.
pub fn shard_key(shard: u32) -> String {
    ownership_key("shard", &format!("{shard:05}"))
}

/// Key of the row that says who owns a replica.
pub fn replica_key(replica: &str) -> String {
    ownership_key("replica", replica)
}

/// Key of an ownership row.
pub fn ownership_key(kind: &str, name: &str) -> String {
    format!("owner/{kind}/{name}")
}
