//! Read-only view of the membership for the rest of the daemon.

use harrierward_wire::ServiceBacklog;
use rand::Rng;
use rand::seq::SliceRandom;
use xxhash_rust::xxh3::xxh3_64;

/// A present member, with what it last announced of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Id, different for each daemon instance.
    pub id: String,
    /// Control address, for HTTP requests of peers, `host:port`.
    pub peer_address: String,
    /// Zone, as configured at the member.
    pub zone: String,
    /// Region, as configured at the member.
    pub region: String,
    /// True if the member announced that it leaves.
    pub leaving: bool,
    /// True if the member announced that it can't reach the store while others can.
    pub detached: bool,
    /// Batch work left at the member's shards, by service.
    pub backlog: Vec<ServiceBacklog>,
}

/// Members that are alive, suspected or leaving, including the daemon itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// Members, sorted by id.
    pub members: Vec<Member>,
}

impl MembershipView {
    /// Returns the member with this id; `None` if it isn't present.
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members
            .binary_search_by(|member| member.id.as_str().cmp(id))
            .ok()
            .map(|index| &self.members[index])
    }

    /// Returns how many members were added and how many were removed since `before`.
    pub fn changes_since(&self, before: &Self) -> (usize, usize) {
        let missing_in = |one: &Self, other: &Self| {
            let missing = one.members.iter();
            missing
                .filter(|member| other.member(&member.id).is_none())
                .count()
        };
        (missing_in(self, before), missing_in(before, self))
    }

    /// Returns a digest of the member ids, independent of order, incarnations and states.
    pub fn digest(&self) -> u64 {
        let hashes = self.members.iter();
        let hashes = hashes.map(|member| xxh3_64(member.id.as_bytes()));
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    /// Returns all members except `own`: those of the zone first, then those of the region. The order is random within
    /// each class, so that daemons don't all send the same request to one member.
    pub fn others_nearest_first(
        &self,
        own: &str,
        zone: &str,
        region: &str,
        random: &mut impl Rng,
    ) -> Vec<&Member> {
        let others = self.members.iter().filter(|member| member.id != own);
        let mut others: Vec<&Member> = others.collect();
        others.shuffle(random);
        others.sort_by_key(|member| (member.zone != zone, member.region != region));
        others
    }

    /// Returns the members that may own resources: all that aren't leaving.
    pub fn staying(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| !member.leaving)
    }
}
