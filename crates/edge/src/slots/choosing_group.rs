//! Which group a request's slot is asked for: the own zone's, then the own region's, then another region's.

use std::sync::Arc;
use std::time::Duration;

use harrierward_serving::{
    AttemptOutcome, CrossRegionReason, MIN_FREE_PERMILLE, PromptLength, ReleaseReport, Replica,
    SlotLeases, SlotQuery, SlotReply, preference_weight, short_hash,
};
use harrierward_slots::{GroupId, GroupLayout, SpillCost, should_spill};

use super::asking::LONGEST_PART;
use super::index::GroupIndex;
use super::room::UNTOLD_PERMILLE;
use super::{Coordinator, SlotService, group_of, layout};

/// How long a group that had no room for an item is passed over for items.
const NO_ROOM_LASTS: Duration = Duration::from_millis(300);

/// Ways of a request that goes to another region: the question for a slot there and back, and the request itself.
const ROUND_TRIPS: u32 = 2;

/// A place in a queue that is given back, unless it is kept.
struct QueuePlace<'a> {
    service: &'a SlotService,
    lease: Option<u32>,
}

impl Drop for QueuePlace<'_> {
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

/// A group to be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Target {
    pub group: GroupId,
    /// Why it lies in another region, if it does.
    pub left: Option<CrossRegionReason>,
}

impl Target {
    fn near(group: GroupId) -> Self {
        Self { group, left: None }
    }
}

/// The groups of a service, as one request looks at them.
struct Groups<'a> {
    service: u32,
    index: &'a GroupIndex,
    layout: &'a GroupLayout<'a>,
    query: &'a SlotQuery<'a>,
}

impl Groups<'_> {
    /// Replicas of a group that the request may go to.
    fn usable(&self, group: GroupId) -> impl Iterator<Item = &Arc<Replica>> {
        let listed = self.index.listed(self.service, group).iter();
        listed.filter(|replica| {
            replica.accepts_work()
                && self.query.regions.allows(&replica.record.region)
                && !self.query.excluded.contains(&replica.record.id)
        })
    }

    fn has_usable(&self, group: GroupId) -> bool {
        self.usable(group).next().is_some()
    }

    /// True if some usable replica answered lately, as far as this daemon knows.
    fn answers(&self, group: GroupId) -> bool {
        self.usable(group).any(|replica| !replica.is_suspected())
    }

    /// Groups of one region that have usable replicas.
    fn in_region(&self, region: u32) -> Vec<GroupId> {
        let is_there = |group: &GroupId| {
            let of = self.index.region_of(self.service, *group);
            of.is_none_or(|of| of == region)
        };
        let there = self.layout.all().filter(is_there);
        there.filter(|group| self.has_usable(*group)).collect()
    }

    /// Groups of the other regions that have replicas which answer.
    fn elsewhere(&self, region: u32) -> Vec<GroupId> {
        let is_elsewhere = |group: &GroupId| {
            let of = self.index.region_of(self.service, *group);
            of.is_some_and(|of| of != region)
        };
        let others = self.layout.all().filter(is_elsewhere);
        others.filter(|group| self.answers(*group)).collect()
    }

    /// The group of the replica that all daemons prefer for the prompt; of a random one for a prompt that shares
    /// nothing.
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
    /// The group to ask for a request, and why it lies in another region if it does.
    pub(super) fn group_to_ask(&self, query: &SlotQuery<'_>, service: u32) -> Target {
        self.with_groups(query, service, |groups| {
            if groups.layout.is_single() {
                return self.only(groups.index, service, groups.layout.at(0));
            }
            let target = self.nearest(groups);
            let may_spill = query.item.is_none() && !query.overdue && target.left.is_none();
            let spilled = may_spill.then(|| self.spill(groups, target.group));
            spilled.flatten().unwrap_or(target)
        })
    }

    /// Looks at the groups of the query's service as they are now.
    fn with_groups<T>(
        &self,
        query: &SlotQuery<'_>,
        service: u32,
        look: impl FnOnce(&Groups<'_>) -> T,
    ) -> T {
        let index = self.index();
        let layout = layout(&index.view, query.service, self.costs.policy);
        look(&Groups {
            service,
            index: &index,
            layout: &layout,
            query,
        })
    }

    fn only(&self, index: &GroupIndex, service: u32, group: GroupId) -> Target {
        let region = index.region_of(service, group);
        let is_away = region.is_some_and(|region| region != self.location.region);
        Target {
            group,
            left: is_away.then_some(CrossRegionReason::NoReplica),
        }
    }

    /// The group to ask in the own region, however full it is; another one only if that has no replica to ask for.
    pub(super) fn group_at_home(&self, query: &SlotQuery<'_>, service: u32) -> Target {
        self.with_groups(query, service, |groups| self.nearest(groups))
    }

    fn nearest(&self, groups: &Groups<'_>) -> Target {
        let near = groups.in_region(self.location.region);
        let Some(home) = self.home(groups, &near) else {
            return self.away(groups);
        };
        let may_leave = groups.query.item.is_none();
        if may_leave && !near.iter().any(|group| groups.answers(*group)) {
            let away = self.away(groups);
            if away.left.is_some() {
                return away;
            }
        }
        Target::near(home)
    }

    /// The group of the own region: that of the replica which all daemons prefer for the prompt, in the own zone if
    /// groups lie in zones, unless another of the region has far more room. Long prompts go to their homes, wherever
    /// in the region these are.
    fn home(&self, groups: &Groups<'_>, near: &[GroupId]) -> Option<GroupId> {
        let query = groups.query;
        let location = self.location;
        let area = groups.layout.area_at(location.zone, location.region);
        let own_area = near.iter().copied().filter(|group| group.area == area);
        let preferred = match query.length {
            PromptLength::Long => None,
            PromptLength::Uniform | PromptLength::Short => groups.preferred(own_area),
        };
        let preferred = preferred.or_else(|| groups.preferred(near.iter().copied()))?;
        let other = near[rand::random_range(0..near.len())];
        if query.item.is_some() {
            let state = self.lock();
            let full = state.no_room_at.get(&(groups.service, preferred));
            let is_full = full.is_some_and(|at| harrierward_clock::age(*at) < NO_ROOM_LASTS);
            return Some(if is_full { other } else { preferred });
        }
        let free = |group| self.room(groups.service, group).free_permille;
        if free(preferred) >= MIN_FREE_PERMILLE || free(preferred) >= free(other) {
            Some(preferred)
        } else {
            Some(other)
        }
    }

    /// A group of another region, for a request that the own one has no replica for.
    fn away(&self, groups: &Groups<'_>) -> Target {
        let others = groups.elsewhere(self.location.region);
        let roomiest = others.into_iter().max_by_key(|group| {
            let free = self.room(groups.service, *group).free_permille;
            // Of several that are alike, not all daemons ask the same.
            (free.min(UNTOLD_PERMILLE), rand::random::<u32>())
        });
        roomiest.map_or_else(
            || Target::near(groups.layout.at(0)),
            |group| Target {
                group,
                left: Some(CrossRegionReason::NoReplica),
            },
        )
    }

    /// The group of another region that is worth its way, if the own region is full.
    fn spill(&self, groups: &Groups<'_>, home: GroupId) -> Option<Target> {
        let service = groups.service;
        let own = self.room(service, home);
        if own.free_permille > 0 {
            return None;
        }
        let others = groups.elsewhere(self.location.region);
        let worthwhile = others.into_iter().filter_map(|group| {
            let other = self.room(service, group);
            let crossing = self.crossing(service, group, groups.query.objective)?;
            let is_worthwhile = should_spill(&own, &other, &crossing);
            is_worthwhile.then_some((
                other.wait + crossing.network_delay,
                rand::random::<u32>(),
                group,
            ))
        });
        let (_, _, group) = worthwhile.min()?;
        Some(Target {
            group,
            left: Some(CrossRegionReason::Full),
        })
    }

    /// A slot in another region for a request that was just given a place in a queue at home, if the way costs less
    /// than the queue. The place at home is kept until then.
    ///
    /// Why with the coordinator's word on this very request: of many daemons in a region each asks too seldom to know from
    /// its last question that the region is full.
    pub(super) async fn leave_the_queue(
        &self,
        query: &SlotQuery<'_>,
        service: u32,
        home: Target,
        lease: u32,
    ) -> Option<SlotReply> {
        if query.item.is_some() || query.overdue {
            return None;
        }
        let target = self.with_groups(query, service, |groups| self.spill(groups, home.group))?;
        let mut at_home = QueuePlace {
            service: self,
            lease: Some(lease),
        };
        let elsewhere = self.ask_group(query, service, target).await;
        if matches!(elsewhere, SlotReply::Granted { .. }) {
            return Some(elsewhere);
        }
        at_home.lease = None;
        None
    }

    /// What it costs to go to a group of another region; `None` if nobody there can be asked.
    fn crossing(&self, service: u32, group: GroupId, objective: Duration) -> Option<SpillCost> {
        let Coordinator::Peer(peer) = self.coordinator(service, group) else {
            return None;
        };
        if self.is_silent(&peer.id) {
            return None;
        }
        let trip = self.calls.round_trips().mean(peer.location);
        Some(SpillCost {
            // Before it was ever measured, no longer than an answer is waited for.
            network_delay: trip.map_or(objective / LONGEST_PART, |trip| trip * ROUND_TRIPS),
            penalty: Duration::from_secs_f64(self.costs.other_region_ms.max(0.0) / 1_000.0),
            min_free_permille: MIN_FREE_PERMILLE,
        })
    }

    /// Another group for a caller that would be sent away: of the own region one that is not full as far as its
    /// coordinator told, else one of another region that is worth the way.
    pub(super) fn roomier_group(&self, query: &SlotQuery<'_>, full: GroupId) -> Option<Target> {
        let service = short_hash(query.service);
        self.with_groups(query, service, |groups| {
            let near = groups.in_region(self.location.region).into_iter();
            let told = near.filter(|group| *group != full).filter_map(|group| {
                let told = self.told_room(service, group)?;
                (told.free_permille > 0).then_some((told.free_permille, group))
            });
            let roomiest = told.max().map(|(_, group)| Target::near(group));
            roomiest.or_else(|| self.spill(groups, full))
        })
    }

    /// Another group for a request that met cold replicas only: one of the own region with warm ones, the roomiest as
    /// far as is known.
    pub(super) fn warmer_group(&self, query: &SlotQuery<'_>, cold: GroupId) -> Option<Target> {
        let service = short_hash(query.service);
        let now = harrierward_clock::now();
        self.with_groups(query, service, |groups| {
            let near = groups.in_region(self.location.region).into_iter();
            let others = near.filter(|group| *group != cold);
            let warm = others.filter(|group| groups.usable(*group).any(|one| !one.is_cold(now)));
            let roomiest = warm.max_by_key(|group| {
                let free = self.room(service, *group).free_permille;
                // Of several that are alike, not all daemons ask the same.
                (free, rand::random::<u32>())
            });
            roomiest.map(Target::near)
        })
    }
}
