//! Digests of a view, by which two members detect whether and in which buckets their views differ.
//!
//! A digest covers the ids and incarnations of all members that are not dead. Suspicions are excluded: gossip spreads
//! them.

use harrierward_wire::MemberRecord;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{MemberEntry, MembershipCore};

/// Mean members per bucket: fewer make sync requests larger, more make replies larger.
const MEMBERS_PER_BUCKET: usize = 2;

/// Bounds of the number of buckets; at two bytes each the maximum fits into one datagram.
const MIN_BUCKETS: usize = 8;
const MAX_BUCKETS: usize = 512;

/// Returns a hash of the member's id and incarnation.
pub(super) fn version_hash(record: &MemberRecord) -> u64 {
    xxh3_64_with_seed(record.id.as_bytes(), record.incarnation)
}

/// Returns the number of buckets for views of at most `members` members.
pub(super) fn bucket_count(members: usize) -> usize {
    let needed = members.div_ceil(MEMBERS_PER_BUCKET).max(1);
    needed.next_power_of_two().clamp(MIN_BUCKETS, MAX_BUCKETS)
}

/// Returns the bucket of a member; it doesn't depend on the incarnation.
pub(super) fn bucket_of(id: &str, buckets: usize) -> usize {
    let hash = xxh3_64_with_seed(id.as_bytes(), 0);
    usize::try_from(hash % buckets as u64).unwrap_or(0)
}

impl MembershipCore {
    fn present(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().filter(|entry| entry.is_present())
    }

    pub(super) fn view_digest(&self) -> u64 {
        self.present()
            .fold(0, |digest, entry| digest ^ entry.version_hash)
    }

    pub(super) fn view_size(&self) -> u32 {
        u32::try_from(self.present().count()).unwrap_or(u32::MAX)
    }

    pub(super) fn bucket_digests(&self, buckets: usize) -> Vec<u16> {
        let mut digests = vec![0; buckets];
        for entry in self.present() {
            let [low, high, ..] = entry.version_hash.to_le_bytes();
            digests[bucket_of(&entry.record.id, buckets)] ^= u16::from_le_bytes([low, high]);
        }
        digests
    }
}
