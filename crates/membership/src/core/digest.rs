//! Digests of a view, by which two members find out that their views differ, and where.
//!
//! A view is the set of members that are not dead, each with its incarnation. Suspicions are left out: they differ
//! from member to member all the time and are spread as news.

use harrierward_wire::MemberRecord;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Known, MembershipCore};

/// Members that a bucket holds on the mean: fewer make requests larger, more make replies larger.
const MEMBERS_PER_BUCKET: usize = 2;

/// Bounds of the number of buckets. The most fits, with two bytes each, into one datagram.
const LEAST_BUCKETS: usize = 8;
const MOST_BUCKETS: usize = 512;

/// Hash that changes with the member's incarnation.
pub(super) fn version_hash(record: &MemberRecord) -> u64 {
    xxh3_64_with_seed(record.id.as_bytes(), record.incarnation)
}

/// Number of buckets for views of at most `members`.
pub(super) fn bucket_count(members: usize) -> usize {
    let needed = members.div_ceil(MEMBERS_PER_BUCKET).max(1);
    needed
        .next_power_of_two()
        .clamp(LEAST_BUCKETS, MOST_BUCKETS)
}

/// The bucket of a member: it does not depend on the incarnation.
pub(super) fn bucket_of(id: &str, buckets: usize) -> usize {
    let hash = xxh3_64_with_seed(id.as_bytes(), 0);
    usize::try_from(hash % buckets as u64).unwrap_or(0)
}

impl MembershipCore {
    fn present(&self) -> impl Iterator<Item = &Known> {
        self.known.values().filter(|known| known.is_present())
    }

    pub(super) fn view_digest(&self) -> u64 {
        self.present()
            .fold(0, |digest, known| digest ^ known.version_hash)
    }

    pub(super) fn view_size(&self) -> u32 {
        u32::try_from(self.present().count()).unwrap_or(u32::MAX)
    }

    pub(super) fn bucket_digests(&self, buckets: usize) -> Vec<u16> {
        let mut digests = vec![0; buckets];
        for known in self.present() {
            let [low, high, ..] = known.version_hash.to_le_bytes();
            digests[bucket_of(&known.record.id, buckets)] ^= u16::from_le_bytes([low, high]);
        }
        digests
    }
}
