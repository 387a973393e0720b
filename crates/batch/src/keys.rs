//! Store keys of batch rows and objects, and the size limits of jobs.

/// Number of items in a chunk; part `n` of an input file contains the items of chunk `n`.
pub const CHUNK_ITEMS: u32 = 200;

/// Maximum number of items in a job, and of lines in a file.
pub const MAX_ITEMS: u32 = 190_000;

pub(crate) fn job_prefix(tenant: &str) -> String {
    format!("job/{tenant}/")
}

/// Returns the key of a job's row.
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

/// Returns the number of items in a chunk of a job, or of lines in a part of a file.
pub(crate) fn chunk_size(items: u32, chunk: u32) -> u32 {
    items
        .saturating_sub(chunk.saturating_mul(CHUNK_ITEMS))
        .min(CHUNK_ITEMS)
}

/// Returns the key of a shard's ownership row.
pub fn shard_key(shard: u32) -> String {
    ownership_key("shard", &format!("{shard:05}"))
}

/// Returns the key of a replica's ownership row.
pub fn replica_key(replica: &str) -> String {
    ownership_key("replica", replica)
}

/// Returns the key of the ownership row of the resource `name`, whose `kind` is `shard` or `replica`.
pub fn ownership_key(kind: &str, name: &str) -> String {
    format!("owner/{kind}/{name}")
}
