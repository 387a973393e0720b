//! Where streams may have begun, as the store holds it: the software versions of a service, the services of a host.

use std::collections::BTreeSet;

/// Maximum number of members that are kept. A set with more counts as having any member.
const MAX_MEMBERS: usize = 256;

/// Hashes of the software versions at which a stream of one service may have begun, or of the services at which a stream
/// of one host may have. A member is added before the first event of such a stream is passed on, and none is ever
/// removed, so that neither the age of a stream nor that of a daemon matters.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginSet {
    members: BTreeSet<u64>,
    /// True if every hash is a member; none is kept then, so that equal sets are equal.
    is_any: bool,
}

impl OriginSet {
    /// Returns the set of these members.
    pub fn of(members: impl IntoIterator<Item = u64>) -> Self {
        let mut set = Self::default();
        for member in members {
            set.add(member);
        }
        set
    }

    /// Returns the set of all hashes, for what can't be read.
    pub fn any() -> Self {
        Self {
            members: BTreeSet::new(),
            is_any: true,
        }
    }

    /// Adds all members of another set.
    pub fn merge(&mut self, other: &Self) {
        if other.is_any {
            *self = Self::any();
        }
        for member in other.iter() {
            self.add(member);
        }
    }

    /// Adds a member; returns false if it is one already.
    pub fn add(&mut self, member: u64) -> bool {
        if self.contains(member) {
            return false;
        }
        self.members.insert(member);
        if self.members.len() > MAX_MEMBERS {
            *self = Self::any();
        }
        true
    }

    /// True if a stream may have begun there.
    pub fn contains(&self, member: u64) -> bool {
        self.is_any || self.members.contains(&member)
    }

    /// Returns the only member, where each stream began; `None` if there are several, or none is known.
    pub fn sole(&self) -> Option<u64> {
        let mut members = self.members.iter();
        let first = members.next().filter(|_| !self.is_any)?;
        members.next().is_none().then_some(*first)
    }

    /// True if every hash is a member.
    pub fn is_any(&self) -> bool {
        self.is_any
    }

    /// Returns the members, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u64> + '_ {
        self.members.iter().copied()
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// True without members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty() && !self.is_any
    }
}
