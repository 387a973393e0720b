//! Selection of the items to start: by age and urgency, without those that no replica can take now, and those that none
//! ever will.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_serving::{
    ItemSlack, Mechanism, RefusedSizeBounds, Replica, ReplicaView, Route, RouteTable,
    ServingRequest, WorkClass, admits_version, short_hash,
};
use harrierward_tenants::AllowedRegions;
use tokio::time::Instant;

use crate::item::{ItemPhase, lock};
use crate::item_run::RunOutcome;
use crate::no_capacity::ItemReplicas;
use crate::pacing::{RunLength, Urgency, slack, urgency};
use crate::ready::{ReadyItem, restrict};
use crate::registry::StartableItem;
use crate::service::InlineJobs;

/// How long an item waits for a free slot at the version that began it before it may begin again at another one.
const MAX_VERSION_WAIT: Duration = Duration::from_millis(1_000);

/// How long a route must be missing before its items fail: it may be absent briefly between two configurations.
const ROUTE_GRACE_PERIOD: Duration = Duration::from_millis(3_000);

/// A waiting item and how soon it must start.
struct Candidate {
    item: StartableItem,
    urgency: Urgency,
    /// Time for which it may wait and still be in time.
    slack: Duration,
}

/// One pass over the startable items.
struct StartRound<'a> {
    jobs: &'a InlineJobs,
    routes: &'a RouteTable,
    view: Arc<ReplicaView>,
    /// Starts that aren't due, by the name under which they are paced.
    blocked: Vec<(String, Urgency)>,
    /// Sizes that each service refuses, once looked up.
    refused_sizes: HashMap<String, RefusedSizeBounds>,
    /// Items of which a like one recently found no free slot.
    deferred: Vec<(ReadyItem, Urgency)>,
    /// Items that replicas refuse although they admit others.
    refused: Vec<(ReadyItem, Urgency)>,
}

impl InlineJobs {
    pub(crate) fn start_items(&self) {
        let Some(routes) = self.inner.forwarder.routes() else {
            return;
        };
        self.registry().fail_items_without_route(
            |route| routes.configuration.route(route).is_some(),
            Instant::now(),
            ROUTE_GRACE_PERIOD,
        );
        let mut round = StartRound::new(self, &routes);
        for candidate in self.candidates(&routes) {
            round.consider(candidate);
        }
        round.start_deferred();
        round.start_trials();
    }

    /// Returns the startable items, the oldest first and those that can no longer be in time last. An item of which
    /// attempts were fruitless counts as younger, so that it takes no start from the others.
    fn candidates(&self, routes: &RouteTable) -> Vec<Candidate> {
        let (items, run_length) = {
            let registry = self.registry();
            (registry.startable(), registry.run_length)
        };
        let mut candidates: Vec<Candidate> = items
            .into_iter()
            .filter_map(|item| {
                let route = routes.configuration.route(&item.route)?;
                Some(self.candidate(item, route, run_length))
            })
            .collect();
        candidates.sort_by_key(|candidate| {
            let is_missed = candidate.urgency == Urgency::Missed;
            (is_missed, candidate.item.start_order_ms())
        });
        candidates
    }

    fn candidate(&self, item: StartableItem, route: &Route, run_length: RunLength) -> Candidate {
        let age = self.age_of(&item);
        let target = route.batch().map_or(Duration::MAX, |bounds| bounds.target);
        let events = lock(&item.progress).texts.len();
        let remaining = run_length.remaining(events);
        Candidate {
            urgency: urgency(age, remaining, target),
            slack: slack(age, remaining, target),
            item,
        }
    }

    /// Returns the time since an item's job was accepted.
    fn age_of(&self, item: &StartableItem) -> Duration {
        let now = self.inner.view.store_now_ms();
        Duration::from_millis(now.saturating_sub(item.accepted_ms))
    }

    /// True if the item's job is older than its route's limit, from which on an item may be given up.
    fn is_past_limit(&self, routes: &RouteTable, item: &StartableItem) -> bool {
        let route = routes.configuration.route(&item.route);
        let bounds = route.and_then(Route::batch);
        let limit = bounds.map(|bounds| bounds.give_up_after);
        limit.is_some_and(|limit| !limit.is_zero() && self.age_of(item) >= limit)
    }

    /// Gives an item up without another run.
    fn fail_item(&self, item: &StartableItem) {
        if let Some(entry) = self.registry().item(&item.job, item.number) {
            entry.phase = ItemPhase::Done { failed: true };
        }
    }

    fn give_up(&self, item: &StartableItem, smallest_refused: Option<u64>) {
        self.fail_item(item);
        let age = self.age_of(item).as_millis();
        self.inner.log.record(&Record::ItemGivenUp {
            job: &item.job,
            item: &item.request.id,
            tokens: item.tokens(),
            smallest_refused,
            attempts: item.fruitless.count(),
            broken_runs: item.fruitless.broken_runs(),
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        });
    }

    /// Returns the item as the current configuration allows it to run; `None` if no replica can take it now.
    fn ready(
        &self,
        routes: &RouteTable,
        view: &ReplicaView,
        item: StartableItem,
        item_slack: ItemSlack,
    ) -> Option<ReadyItem> {
        let route = routes.configuration.route(&item.route)?;
        let tenant = item.request.tenant.as_deref().unwrap_or_default();
        let regions = routes.configuration.allowed_regions(&item.route, tenant);
        let replicas = match replicas_of_version(view, route, &regions, &item) {
            Some(replicas) => replicas,
            None => {
                let entry = routes.find(&route.host, &route.prefix);
                let service = entry.and_then(|entry| entry.next_service())?;
                ItemReplicas {
                    service: service.to_owned(),
                    regions,
                    version: None,
                }
            }
        };
        let now = Instant::now();
        let registry = self.registry();
        let tokens = item.tokens();
        let is_paused = registry.no_capacity.is_paused(&replicas, tokens, now);
        let is_deferred = registry.no_capacity.is_deferred(&replicas, tokens, now);
        drop(registry);
        if is_paused || !view.has_usable(&replicas.service, &replicas.regions, replicas.version) {
            return None;
        }
        Some(ReadyItem {
            pace: pace_of(routes, &item).to_owned(),
            service: replicas.service.clone(),
            item: restrict(item, replicas),
            item_slack,
            is_deferred,
        })
    }
}

impl<'a> StartRound<'a> {
    fn new(jobs: &'a InlineJobs, routes: &'a RouteTable) -> Self {
        Self {
            jobs,
            routes,
            view: jobs.inner.forwarder.replicas().view(),
            blocked: Vec::new(),
            refused_sizes: HashMap::new(),
            deferred: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Starts the item, gives it up, or leaves it for the end of the round or a later one.
    fn consider(&mut self, candidate: Candidate) {
        let Candidate {
            item,
            urgency,
            slack,
        } = candidate;
        if is_exhausted(self.routes, &item) {
            self.jobs.fail_item(&item);
            return;
        }
        let is_past_limit = self.jobs.is_past_limit(self.routes, &item);
        if is_past_limit && self.seems_impossible(&item) {
            let smallest_refused = self.smallest_refused(&item.route);
            self.jobs.give_up(&item, smallest_refused);
            return;
        }
        if self.is_blocked(pace_of(self.routes, &item), urgency) {
            return;
        }
        if let Some(quarantine) = self.jobs.inner.forwarder.item_quarantine(&item.request) {
            if quarantine.has_failed_trial() && is_past_limit {
                self.jobs.fail_item(&item);
                let held_back = RunOutcome::NotRun("held back".to_owned());
                self.jobs.log_run(&item, "", &held_back);
            }
            return;
        }
        let Some(ready) = self
            .jobs
            .ready(self.routes, &self.view, item, ItemSlack { slack })
        else {
            // An item that cannot be placed must not block the others.
            return;
        };
        if self.is_refused(&ready) {
            self.refused.push((ready, urgency));
        } else if ready.is_deferred {
            self.deferred.push((ready, urgency));
        } else {
            self.start(&ready, urgency);
        }
    }

    /// Starts items of which a like one recently found no free slot, after all others.
    fn start_deferred(&mut self) {
        for (ready, urgency) in std::mem::take(&mut self.deferred) {
            self.start(&ready, urgency);
        }
    }

    /// Tries one of the items that each service refuses: the smallest, which is admitted first if any is.
    fn start_trials(&mut self) {
        let mut refused = std::mem::take(&mut self.refused);
        refused.sort_by_key(|(ready, _)| ready.item.tokens());
        let forwarder = &self.jobs.inner.forwarder;
        for (ready, _) in refused {
            let may_place = self.jobs.registry().starts.may_place(&ready.pace);
            if may_place && forwarder.take_size_trial(&ready.service, WorkClass::Batch) {
                self.jobs.start_item(&ready, true);
            }
        }
    }

    /// Starts an item, unless the last start was too recent or too many placements are in flight.
    fn start(&mut self, ready: &ReadyItem, urgency: Urgency) {
        if self.is_blocked(&ready.pace, urgency) {
            return;
        }
        let is_paced = self.jobs.inner.forwarder.policy().has(Mechanism::Pacing);
        let may_start = {
            let registry = self.jobs.registry();
            let starts = &registry.starts;
            let is_due = !is_paced || starts.is_due(&ready.pace, urgency, Instant::now());
            is_due && starts.may_place(&ready.pace)
        };
        if may_start {
            self.jobs.start_item(ready, false);
        } else {
            self.blocked.push((ready.pace.clone(), urgency));
        }
    }

    fn is_blocked(&self, pace: &str, urgency: Urgency) -> bool {
        let mut blocked = self.blocked.iter();
        blocked.any(|(known, known_urgency)| known == pace && *known_urgency == urgency)
    }

    /// True if the service's replicas refuse the item although they admit others, or refuse its size for now.
    fn is_refused(&mut self, ready: &ReadyItem) -> bool {
        let item = &ready.item;
        let bounds = self.refused_size_bounds(&ready.service);
        if includes(bounds.suspected, item.tokens()) || includes(bounds.confirmed, item.tokens()) {
            return true;
        }
        if item.fruitless.is_unrefused() {
            return false;
        }
        let usable = usable_replicas(&self.view, &ready.service, &item.request);
        item.fruitless.is_refused_alone(&usable)
    }

    /// True if no service of the item's route can be expected ever to complete it.
    fn seems_impossible(&mut self, item: &StartableItem) -> bool {
        let Some(route) = self.routes.configuration.route(&item.route) else {
            return false;
        };
        let services = route.services.iter();
        let mut services = services.map(|one| one.service.as_str());
        services.all(|service| self.seems_impossible_at(service, item))
    }

    fn seems_impossible_at(&mut self, service: &str, item: &StartableItem) -> bool {
        let tokens = item.tokens();
        let bounds = self.refused_size_bounds(service);
        if includes(bounds.confirmed, tokens) {
            return true;
        }
        let fruitless = &item.fruitless;
        let usable = usable_replicas(&self.view, service, &item.request);
        let now = harrierward_clock::now();
        if fruitless.breaks_each_time() || fruitless.is_refused_alone_for_long(&usable, now) {
            return true;
        }
        match self.routes.configuration.memory_tokens(service) {
            // Replicas that refuse a size for which they have memory are full, however long that lasts.
            Some(memory) if tokens <= memory => false,
            Some(_) if !fruitless.is_unrefused() => true,
            Some(_) => includes(bounds.suspected, tokens) || includes(bounds.lasting, tokens),
            None => includes(bounds.lasting, tokens) || fruitless.is_refused_for_long(&usable, now),
        }
    }

    fn refused_size_bounds(&mut self, service: &str) -> RefusedSizeBounds {
        if let Some(known) = self.refused_sizes.get(service) {
            return *known;
        }
        let bounds = self.jobs.inner.forwarder.refused_size_bounds(service);
        self.refused_sizes.insert(service.to_owned(), bounds);
        bounds
    }

    /// Returns the smallest size that a service of the route refuses.
    fn smallest_refused(&mut self, route: &str) -> Option<u64> {
        let route = self.routes.configuration.route(route)?;
        let services = route.services.iter();
        let bounds = services.map(|one| self.refused_size_bounds(&one.service));
        let sizes = bounds.flat_map(|one| [one.confirmed, one.lasting, one.suspected]);
        sizes.flatten().min()
    }
}

/// True if a size is at least the smallest refused one.
fn includes(smallest_refused: Option<u64>, tokens: u64) -> bool {
    smallest_refused.is_some_and(|smallest| tokens >= smallest)
}

/// Returns the replicas of a service that accept work and may run the request.
pub(crate) fn usable_replicas(
    view: &ReplicaView,
    service: &str,
    request: &ServingRequest,
) -> Vec<Arc<Replica>> {
    let mut usable = view.usable(service);
    usable.retain(|replica| {
        request.regions.allows(&replica.record.region) && admits_version(request.version, replica)
    });
    usable
}

/// Returns the replicas that may continue an item's events; `None` without events, if none of these replicas accepts
/// work, or if all have been full for [`MAX_VERSION_WAIT`].
fn replicas_of_version(
    view: &ReplicaView,
    route: &Route,
    regions: &AllowedRegions,
    item: &StartableItem,
) -> Option<ItemReplicas> {
    let origin = lock(&item.progress).origin.as_ref()?.origin;
    let mut services = route.services.iter();
    let service = services.find(|one| short_hash(&one.service) == origin.service)?;
    let version = Some(origin.version);
    let full_since = item.version_full_since;
    let is_full = full_since.is_some_and(|since| since.elapsed() >= MAX_VERSION_WAIT);
    if is_full || !view.has_usable(&service.service, regions, version) {
        return None;
    }
    Some(ItemReplicas {
        service: service.service.clone(),
        regions: regions.clone(),
        version,
    })
}

/// True if an item has used up its route's attempts. The route may have been missing when the job was loaded or the
/// failures were reported.
fn is_exhausted(routes: &RouteTable, item: &StartableItem) -> bool {
    let route = routes.configuration.route(&item.route);
    route.is_some_and(|route| item.failures >= route.attempts)
}

/// Returns the name under which an item's start is paced: that of its route's first service. The services of a split
/// route share their starts, so that each gets its share.
fn pace_of<'a>(routes: &'a RouteTable, item: &StartableItem) -> &'a str {
    let route = routes.configuration.route(&item.route);
    let first = route.and_then(|route| route.services.first());
    first.map_or("", |first| first.service.as_str())
}
