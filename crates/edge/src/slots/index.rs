//! The replicas by group, so that a question looks at its own group only, however many replicas there are.

use std::collections::HashMap;
use std::sync::Arc;

use harrierward_serving::{Policy, Replica, ReplicaView, short_hash};
use harrierward_slots::GroupId;
use xxhash_rust::xxh3::xxh3_64;

use super::{group_of, layout};

/// The groups of one view of the replicas.
#[derive(Debug)]
pub(super) struct GroupIndex {
    /// The view that was indexed.
    pub view: Arc<ReplicaView>,
    /// A digest of the layouts of all services.
    pub layouts: u64,
    groups: HashMap<(u32, GroupId), Vec<Arc<Replica>>>,
}

impl GroupIndex {
    /// Divides the listed replicas of all services.
    pub fn new(view: Arc<ReplicaView>, policy: Policy) -> Self {
        let mut groups: HashMap<(u32, GroupId), Vec<Arc<Replica>>> = HashMap::new();
        let mut layouts = 0;
        for service in view.services() {
            let hash = short_hash(service);
            let layout = layout(&view, service, policy);
            // The same whatever the order of the services.
            layouts ^= xxh3_64(format!("{hash} {layout:?}").as_bytes());
            for replica in view.listed(service) {
                let group = group_of(&layout, replica);
                groups
                    .entry((hash, group))
                    .or_default()
                    .push(replica.clone());
            }
        }
        Self {
            view,
            layouts,
            groups,
        }
    }

    /// Region of a group; `None` if it has no replicas, or reaches over all places.
    pub fn region_of(&self, service: u32, group: GroupId) -> Option<u32> {
        let first = self.listed(service, group).first()?;
        (group.area != 0).then_some(first.location.region)
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
