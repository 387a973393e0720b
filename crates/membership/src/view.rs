//! The view that the rest of a daemon reads.

use harrierward_wire::ServiceBacklog;

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

    /// Ids of members that may own something: not those that leave.
    pub fn staying(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| !member.leaving)
    }
}
