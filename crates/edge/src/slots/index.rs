//! The replicas by group, so that a question looks at its own group only, however many replicas there are.

use std::collections::HashMap;
use std::sync::Arc;

use harrierward_serving::{Policy, Replica, ReplicaView, short_hash};
use harrierward_slots::GroupId;

use super::layout;

/// The groups of one view of the replicas.
#[derive(Debug)]
pub(super) struct GroupIndex {
    /// The view that was indexed.
    pub view: Arc<ReplicaView>,
    groups: HashMap<(u32, GroupId), Vec<Arc<Replica>>>,
}

impl GroupIndex {
    /// Divides the listed replicas of all services.
    pub fn new(view: Arc<ReplicaView>, policy: Policy) -> Self {
        let mut groups: HashMap<(u32, GroupId), Vec<Arc<Replica>>> = HashMap::new();
        for service in view.services() {
            let hash = short_hash(service);
            let layout = layout(&view, service, policy);
            for replica in view.listed(service) {
                let group = layout.group_of(replica.hash, replica.location.zone);
                groups
                    .entry((hash, group))
                    .or_default()
                    .push(replica.clone());
            }
        }
        Self { view, groups }
    }

    /// Service and group of all that have replicas.
    pub fn keys(&self) -> impl Iterator<Item = (u32, GroupId)> {
        self.groups.keys().copied()
    }

    /// Listed replicas of a group, those that leave among them.
    pub fn listed(&self, service: u32, group: GroupId) -> &[Arc<Replica>] {
        self.groups
            .get(&(service, group))
            .map_or(&[][..], Vec::as_slice)
    }
}
