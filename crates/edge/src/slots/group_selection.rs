//! Selection of the group from which a lease is requested: own zone, then own region, then other regions.

use std::sync::Arc;
use std::time::Duration;

use harrierward_serving::{
    AttemptOutcome, CrossRegionReason, MIN_FREE_PERMILLE, PromptLength, ReleaseReport, Replica,
    SlotLeases, SlotQuery, SlotReply, admits_version, preference_weight, short_hash,
};
use harrierward_slots::{GroupId, GroupLayout, SpillCost, should_spill};

use super::capacity::UNREPORTED_PERMILLE;
use super::index::GroupIndex;
use super::requests::MAX_WAIT_DIVISOR;
use super::{Coordinator, SlotService, group_of, layout};

/// How long a group without a free slot for an item is skipped for other items.
const FULL_TTL: Duration = Duration::from_millis(300);

/// Round trips of a request to another region: one for the lease, one for the request itself.
const ROUND_TRIPS: u32 = 2;

/// Releases the lease of a queued request when dropped, unless it was kept by clearing `lease`.
struct QueuedLease<'a> {
    service: &'a SlotService,
    lease: Option<u32>,
}

impl Drop for QueuedLease<'_> {
    fn drop(&mut self) {
        if let Some(lease) = self.lease {
            let not_needed = ReleaseReport {
                outcome: AttemptOutcome::NotSent,
                first_event: None,
            };
            self.service.release(lease, not_needed);
        }
    }
}

/// A group to request a lease from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Target {
    pub group: GroupId,
    /// Why the group lies in another region; `None` if it doesn't.
    pub left_region: Option<CrossRegionReason>,
}

impl Target {
    fn own_region(group: GroupId) -> Self {
        Self {
            group,
            left_region: None,
        }
    }
}

/// The groups of a service, filtered by what one request may use.
struct Groups<'a> {
    service: u32,
    index: &'a GroupIndex,
    layout: &'a GroupLayout<'a>,
    query: &'a SlotQuery<'a>,
}

impl Groups<'_> {
    /// Returns the replicas of a group that the request may be sent to.
    fn usable(&self, group: GroupId) -> impl Iterator<Item = &Arc<Replica>> {
        let listed = self.index.listed(self.service, group).iter();
        listed.filter(|replica| {
            replica.accepts_work()
                && self.query.regions.allows(&replica.record.region)
                && admits_version(self.query.version, replica)
                && !self.query.excluded.contains(&replica.record.id)
        })
    }

    fn has_usable(&self, group: GroupId) -> bool {
        self.usable(group).next().is_some()
    }

    /// True if the group has a usable replica that this daemon doesn't suspect.
    fn has_responsive(&self, group: GroupId) -> bool {
        self.usable(group).any(|replica| !replica.is_suspected())
    }

    /// Returns the groups that lie in one region or span all regions, and have usable replicas.
    fn in_region(&self, region: u32) -> Vec<GroupId> {
        let is_there = |group: &GroupId| {
            let group_region = self.index.region_of(self.service, *group);
            group_region.is_none_or(|group_region| group_region == region)
        };
        let there = self.layout.all().filter(is_there);
        there.filter(|group| self.has_usable(*group)).collect()
    }

    /// Returns the groups of other regions that have responsive replicas.
    fn in_other_regions(&self, region: u32) -> Vec<GroupId> {
        let is_other_region = |group: &GroupId| {
            let group_region = self.index.region_of(self.service, *group);
            group_region.is_some_and(|group_region| group_region != region)
        };
        let candidates = self.layout.all().filter(is_other_region);
        candidates
            .filter(|group| self.has_responsive(*group))
            .collect()
    }

    /// Returns the group of the replica that all daemons prefer for the prompt's prefix; of a random one without a
    /// shared prefix.
    fn preferred(&self, groups: impl Iterator<Item = GroupId>) -> Option<GroupId> {
        let part = self.query.prompt.shared().last().map(|part| part.id);
        let replicas = groups.flat_map(|group| self.usable(group));
        let preferred = replicas.max_by_key(|replica| {
            part.map_or_else(rand::random, |part| {
                preference_weight(part, &replica.record.id)
            })
        });
        preferred.map(|replica| group_of(self.layout, replica))
    }
}

impl SlotService {
    /// Chooses the group to request a lease from.
    pub(super) fn choose_group(&self, query: &SlotQuery<'_>, service: u32) -> Target {
        self.with_groups(query, service, |groups| {
            if groups.layout.is_single() {
                return self.single_group(groups.index, service, groups.layout.at(0));
            }
            let target = self.nearest(groups);
            let may_spill = query.item.is_none() && !query.overdue && target.left_region.is_none();
            let spilled = may_spill.then(|| self.spill(groups, target.group));
            spilled.flatten().unwrap_or(target)
        })
    }

    /// Calls `select` with the current groups of the query's service.
    fn with_groups<T>(
        &self,
        query: &SlotQuery<'_>,
        service: u32,
        select: impl FnOnce(&Groups<'_>) -> T,
    ) -> T {
        let index = self.index();
        let layout = layout(&index.view, query.service, self.costs.policy);
        select(&Groups {
            service,
            index: &index,
            layout: &layout,
            query,
        })
    }

    fn single_group(&self, index: &GroupIndex, service: u32, group: GroupId) -> Target {
        let region = index.region_of(service, group);
        let is_other_region = region.is_some_and(|region| region != self.location.region);
        Target {
            group,
            left_region: is_other_region.then_some(CrossRegionReason::NoReplica),
        }
    }

    /// Chooses a group of the own region even if it is full; of another region only if the own one has no usable
    /// replica or, for an online request, no responsive one.
    pub(super) fn own_region_target(&self, query: &SlotQuery<'_>, service: u32) -> Target {
        self.with_groups(query, service, |groups| self.nearest(groups))
    }

    fn nearest(&self, groups: &Groups<'_>) -> Target {
        let in_own_region = groups.in_region(self.location.region);
        let Some(own_region_group) = self.own_region_group(groups, &in_own_region) else {
            return self.other_region_target(groups);
        };
        let may_spill = groups.query.item.is_none();
        if may_spill
            && !in_own_region
                .iter()
                .any(|group| groups.has_responsive(*group))
        {
            let target = self.other_region_target(groups);
            if target.left_region.is_some() {
                return target;
            }
        }
        Target::own_region(own_region_group)
    }

    /// Chooses a group of the own region by prefix affinity, or a random one that has more free capacity. Long
    /// prompts have affinity to a group anywhere in the region, others to one in the own zone if it has any.
    fn own_region_group(&self, groups: &Groups<'_>, in_own_region: &[GroupId]) -> Option<GroupId> {
        let query = groups.query;
        let location = self.location;
        let area = groups.layout.area_at(location.zone, location.region);
        let own_area = in_own_region
            .iter()
            .copied()
            .filter(|group| group.area == area);
        let preferred = match query.length {
            PromptLength::Long => None,
            PromptLength::Uniform | PromptLength::Short => groups.preferred(own_area),
        };
        let preferred = preferred.or_else(|| groups.preferred(in_own_region.iter().copied()))?;
        let other = in_own_region[rand::random_range(0..in_own_region.len())];
        if query.item.is_some() {
            let state = self.lock();
            let full = state.full_for_items_at.get(&(groups.service, preferred));
            let is_full = full.is_some_and(|at| harrierward_clock::age(*at) < FULL_TTL);
            return Some(if is_full { other } else { preferred });
        }
        let free = |group| self.capacity(groups.service, group).free_permille;
        if free(preferred) >= MIN_FREE_PERMILLE || free(preferred) >= free(other) {
            Some(preferred)
        } else {
            Some(other)
        }
    }

    /// Chooses a group of another region for a request without a responsive replica in its own.
    fn other_region_target(&self, groups: &Groups<'_>) -> Target {
        let candidates = groups.in_other_regions(self.location.region);
        let chosen = candidates.into_iter().max_by_key(|group| {
            let free = self.capacity(groups.service, *group).free_permille;
            // Ties are broken at random, so that daemons spread over equal groups.
            (free.min(UNREPORTED_PERMILLE), rand::random::<u32>())
        });
        chosen.map_or_else(
            || Target::own_region(groups.layout.at(0)),
            |group| Target {
                group,
                left_region: Some(CrossRegionReason::NoReplica),
            },
        )
    }

    /// Chooses a group of another region if the own group is full and the round trip costs less than the queue.
    fn spill(&self, groups: &Groups<'_>, own_region_group: GroupId) -> Option<Target> {
        let service = groups.service;
        let own = self.capacity(service, own_region_group);
        if own.free_permille > 0 {
            return None;
        }
        let candidates = groups.in_other_regions(self.location.region);
        let cheaper = candidates.into_iter().filter_map(|group| {
            let other = self.capacity(service, group);
            let crossing = self.crossing(service, group, groups.query.objective)?;
            let is_cheaper = should_spill(&own, &other, &crossing);
            is_cheaper.then_some((
                other.wait + crossing.network_delay,
                rand::random::<u32>(),
                group,
            ))
        });
        let (_, _, group) = cheaper.min()?;
        Some(Target {
            group,
            left_region: Some(CrossRegionReason::Full),
        })
    }

    /// Moves a request that was just queued in its own region to another region, if the round trip costs less than the
    /// queue. The queue position is kept until a slot is granted there.
    ///
    /// Called after the coordinator's reply to this request: with many daemons in a region, each queries a group too
    /// rarely to know from its previous reply that the region is full.
    pub(super) async fn spill_from_queue(
        &self,
        query: &SlotQuery<'_>,
        service: u32,
        own_region: Target,
        lease: u32,
    ) -> Option<SlotReply> {
        if query.item.is_some() || query.overdue {
            return None;
        }
        let target = self.with_groups(query, service, |groups| {
            self.spill(groups, own_region.group)
        })?;
        let mut queued = QueuedLease {
            service: self,
            lease: Some(lease),
        };
        let reply = self.request_from_group(query, service, target).await;
        if matches!(reply, SlotReply::Granted { .. }) {
            return Some(reply);
        }
        queued.lease = None;
        None
    }

    /// Returns the cost of using a group of another region; `None` if its coordinator is unknown or unresponsive.
    fn crossing(&self, service: u32, group: GroupId, objective: Duration) -> Option<SpillCost> {
        let Coordinator::Peer(peer) = self.coordinator(service, group) else {
            return None;
        };
        if self.is_unresponsive(&peer.id) {
            return None;
        }
        let round_trip = self.calls.round_trips().mean(peer.location);
        Some(SpillCost {
            // Until a round trip is measured, the longest wait for a reply is assumed.
            network_delay: round_trip.map_or(objective / MAX_WAIT_DIVISOR, |round_trip| {
                round_trip * ROUND_TRIPS
            }),
            penalty: Duration::from_secs_f64(self.costs.other_region_ms.max(0.0) / 1_000.0),
            min_free_permille: MIN_FREE_PERMILLE,
        })
    }

    /// Chooses another group for a caller that would have to retry: one of the own region with reported free capacity,
    /// else one of another region that is worth the round trip.
    pub(super) fn less_loaded_group(&self, query: &SlotQuery<'_>, full: GroupId) -> Option<Target> {
        let service = short_hash(query.service);
        self.with_groups(query, service, |groups| {
            let in_own_region = groups.in_region(self.location.region).into_iter();
            let reported = in_own_region
                .filter(|group| *group != full)
                .filter_map(|group| {
                    let reported = self.reported_capacity(service, group)?;
                    (reported.free_permille > 0).then_some((reported.free_permille, group))
                });
            let chosen = reported.max().map(|(_, group)| Target::own_region(group));
            chosen.or_else(|| self.spill(groups, full))
        })
    }

    /// Chooses the group of the own region with the most free capacity that has warm replicas, other than `cold`.
    pub(super) fn warm_group(&self, query: &SlotQuery<'_>, cold: GroupId) -> Option<Target> {
        let service = short_hash(query.service);
        let now = harrierward_clock::now();
        self.with_groups(query, service, |groups| {
            let in_own_region = groups.in_region(self.location.region).into_iter();
            let candidates = in_own_region.filter(|group| *group != cold);
            let warm =
                candidates.filter(|group| groups.usable(*group).any(|one| !one.is_cold(now)));
            let chosen = warm.max_by_key(|group| {
                let free = self.capacity(service, *group).free_permille;
                // Ties are broken at random, so that daemons spread over equal groups.
                (free, rand::random::<u32>())
            });
            chosen.map(Target::own_region)
        })
    }
}
