//! Index of the replicas by group, so that a lease request scans one group only.

use std::collections::HashMap;
use std::sync::Arc;

use harrierward_serving::{Policy, Replica, ReplicaView, short_hash};
use harrierward_slots::GroupId;
use xxhash_rust::xxh3::xxh3_64;

use super::{group_of, layout};

/// The groups of one replica view.
#[derive(Debug)]
pub(super) struct GroupIndex {
    pub view: Arc<ReplicaView>,
    /// Digest of the group layouts of all services.
    pub layouts_digest: u64,
    groups: HashMap<(u32, GroupId), Vec<Arc<Replica>>>,
}

impl GroupIndex {
    /// Indexes the listed replicas of all services.
    pub fn new(view: Arc<ReplicaView>, policy: Policy) -> Self {
        let mut groups: HashMap<(u32, GroupId), Vec<Arc<Replica>>> = HashMap::new();
        let mut layouts_digest = 0;
        for service in view.services() {
            let hash = short_hash(service);
            let layout = layout(&view, service, policy);
            // XOR makes the digest independent of the order of the services.
            layouts_digest ^= xxh3_64(format!("{hash} {layout:?}").as_bytes());
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
            layouts_digest,
            groups,
        }
    }

    /// Returns the region of a group; `None` if it has no replicas or spans all regions.
    pub fn region_of(&self, service: u32, group: GroupId) -> Option<u32> {
        let first = self.listed(service, group).first()?;
        (group.area != 0).then_some(first.location.region)
    }

    /// Returns service and group of all groups that have replicas.
    pub fn keys(&self) -> impl Iterator<Item = (u32, GroupId)> {
        self.groups.keys().copied()
    }

    /// Returns the listed replicas of a group, including draining ones.
    pub fn listed(&self, service: u32, group: GroupId) -> &[Arc<Replica>] {
        self.groups
            .get(&(service, group))
            .map_or(&[][..], Vec::as_slice)
    }
}
