//! The view that the rest of a daemon reads.

use harrierward_wire::ServiceBacklog;
use rand::Rng;
use rand::seq::SliceRandom;
use xxhash_rust::xxh3::xxh3_64;

/// A member as others see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Member id.
    pub id: String,
    /// HTTP address for peers.
    pub peer_address: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Said that it leaves.
    pub leaving: bool,
    /// Said that it cannot reach the store while others can.
    pub detached: bool,
    /// Batch work left at its shards.
    pub backlog: Vec<ServiceBacklog>,
}

/// Members that are alive or suspected, in order of id; the daemon itself among them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// The members.
    pub members: Vec<Member>,
}

impl MembershipView {
    /// One member.
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members
            .binary_search_by(|member| member.id.as_str().cmp(id))
            .ok()
            .map(|index| &self.members[index])
    }

    /// How many members this view has that `before` had not, and how many it has lost.
    pub fn changes_since(&self, before: &Self) -> (usize, usize) {
        let missing_in = |one: &Self, other: &Self| {
            let missing = one.members.iter();
            missing
                .filter(|member| other.member(&member.id).is_none())
                .count()
        };
        (missing_in(self, before), missing_in(before, self))
    }

    /// The same for all views that hold the same members.
    pub fn digest(&self) -> u64 {
        let hashes = self.members.iter();
        let hashes = hashes.map(|member| xxh3_64(member.id.as_bytes()));
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    /// The members but `own`, those of a zone first, then those of its region, else in random order: daemons that need the same of some member
    /// must not all ask the same one.
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

    /// Ids of members that may own something: not those that leave.
    pub fn staying(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| !member.leaving)
    }
}
