//! Starting items where online leaves room, taking their ends, and giving slots back when online needs them.

use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_serving::{ItemSlack, Mechanism, Placement, Route, RouteTable, WorkClass};
use tokio::time::{Instant, sleep};

use crate::book::{StartableItem, YieldedItem};
use crate::item::{ItemPhase, RunPlace};
use crate::item_run::{self, RunOutcome};
use crate::pacing::{RunLength, Urgency, slack, urgency};
use crate::ready::{ReadyItem, within};
use crate::service::InlineJobs;

/// How often the runner looks for room when nothing wakes it.
const TICK: Duration = Duration::from_millis(25);

/// Pause before an item that was not taken, or whose stream broke, is started again.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// How long a route must be missing before its items fail: it may be a moment between two configurations.
const ROUTE_PATIENCE: Duration = Duration::from_millis(3_000);

/// Pause before an item that a replica failed is started again.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Pause before an item that yielded is started again.
const YIELD_PAUSE: Duration = Duration::from_millis(800);

/// Items for which a daemon asks for places at the same time.
const MOST_PLACING: usize = 3;

/// Objective of an item's question for a place: no caller waits for it.
const PLACE_PATIENCE: Duration = Duration::from_secs(1);

/// Least time between two yields at one replica: the other daemons' counts must have come.
const YIELD_EVERY: Duration = Duration::from_millis(250);

impl InlineJobs {
    pub(crate) async fn run_items(self) {
        loop {
            self.yield_to_online();
            if self.may_start_runs() {
                self.start_items();
            }
            self.start_listings();
            self.start_checkpoints();
            tokio::select! {
                () = self.inner.wake.notified() => {}
                () = sleep(TICK) => {}
            }
        }
    }

    fn start_items(&self) {
        let Some(routes) = self.inner.forwarder.routes() else {
            return;
        };
        self.book().fail_items_without_route(
            |route| routes.configuration.route(route).is_some(),
            Instant::now(),
            ROUTE_PATIENCE,
        );
        let mut behind = Vec::new();
        for (item, urgency, slack) in self.startable(&routes) {
            if !self.is_due(urgency) {
                return;
            }
            if self.inner.forwarder.is_item_quarantined(&item.request) {
                self.give_up_held(&routes, &item);
                continue;
            }
            let room = ItemSlack { slack };
            let Some(ready) = self.ready(&routes, item, room) else {
                // It waits, and must not hold up those that can run.
                continue;
            };
            if ready.is_behind {
                behind.push((ready, urgency));
            } else if !self.start_item(&ready) {
                return;
            }
        }
        for (ready, urgency) in behind {
            if !self.is_due(urgency) || !self.start_item(&ready) {
                return;
            }
        }
    }

    /// An item that must not run since replicas have ended under its content waits, and is given up when its route allows
    /// that: its job's caller learns of it then, and not earlier.
    fn give_up_held(&self, routes: &RouteTable, item: &StartableItem) {
        let route = routes.configuration.route(&item.route);
        let bounds = route.and_then(|route| route.batch());
        let Some(longest) = bounds.map(|bounds| bounds.give_up_after) else {
            return;
        };
        let age_ms = self
            .inner
            .view
            .store_now_ms()
            .saturating_sub(item.accepted_ms);
        if longest.is_zero() || Duration::from_millis(age_ms) < longest {
            return;
        }
        if let Some(entry) = self.book().item(&item.job, item.number) {
            entry.phase = ItemPhase::Done { failed: true };
        }
        self.log_run(item, "", &RunOutcome::NotRun("held back".to_owned()));
    }

    /// The item as it may run by the configuration in force; `None` if nothing takes it now.
    fn ready(
        &self,
        routes: &RouteTable,
        item: StartableItem,
        room: ItemSlack,
    ) -> Option<ReadyItem> {
        let route = routes.configuration.route(&item.route)?;
        let entry = routes.find(&route.host, &route.prefix);
        let service = entry.and_then(|entry| entry.next_service())?;
        let tenant = item.request.tenant.as_deref().unwrap_or_default();
        let regions = routes.configuration.allowed_regions(&item.route, tenant);
        let view = self.inner.forwarder.replicas().view();
        let now = Instant::now();
        let book = self.book();
        let is_held = book.no_room.holds(service, &regions, now);
        let is_behind = book.no_room.is_behind(service, &regions, now);
        drop(book);
        if is_held || !view.has_usable(service, &regions) {
            return None;
        }

        Some(ReadyItem {
            item: within(item, regions),
            service: service.to_owned(),
            room,
            is_behind,
        })
    }

    /// Items that may be started now, those that can no longer be in time last, else the oldest first.
    fn startable(&self, routes: &RouteTable) -> Vec<(StartableItem, Urgency, Duration)> {
        let (items, run_length) = {
            let book = self.book();
            (book.startable(), book.run_length)
        };
        let mut startable: Vec<(StartableItem, Urgency, Duration)> = items
            .into_iter()
            .filter_map(|item| {
                let route = routes.configuration.route(&item.route)?;
                let (urgency, slack) = self.urgency_of(&item, route, run_length);
                Some((item, urgency, slack))
            })
            .collect();
        startable.sort_by_key(|(_, urgency, _)| *urgency == Urgency::Missed);
        startable
    }

    /// How urgent an item is, and how long it could rest.
    fn urgency_of(
        &self,
        item: &StartableItem,
        route: &Route,
        run_length: RunLength,
    ) -> (Urgency, Duration) {
        let now = self.inner.view.store_now_ms();
        let age = Duration::from_millis(now.saturating_sub(item.accepted_ms));
        let target = route.batch().map_or(Duration::MAX, |bounds| bounds.target);
        let events = crate::item::lock(&item.progress).texts.len();
        let remaining = run_length.remaining(events);
        (
            urgency(age, remaining, target),
            slack(age, remaining, target),
        )
    }

    /// True if the time between two starts of items this urgent is over.
    fn is_due(&self, urgency: Urgency) -> bool {
        if !self.inner.forwarder.policy().has(Mechanism::Pacing) {
            return true;
        }
        let last = self.book().last_start;
        last.is_none_or(|last| last.elapsed() >= urgency.start_interval())
    }

    /// Asks for a place for an item and runs it there; false if no place is to be asked for now.
    fn start_item(&self, ready: &ReadyItem) -> bool {
        let item = &ready.item;
        let mut book = self.book();
        if book.placing >= MOST_PLACING {
            return false;
        }
        if book.item(&item.job, item.number).is_none() {
            return true;
        }
        book.placing += 1;
        book.last_start = Some(Instant::now());
        let placing = PlacingGuard { jobs: self.clone() };
        let jobs = self.clone();
        let started = ready.clone();
        // The task cannot end before its phase is set: it takes the lock that is held here.
        let task = tokio::spawn(async move { jobs.place_item(started, placing).await });
        if let Some(entry) = book.item(&item.job, item.number) {
            entry.phase = ItemPhase::Running {
                at: None,
                task: task.abort_handle(),
                since: Instant::now(),
            };
        }
        true
    }

    async fn place_item(&self, ready: ReadyItem, placing: PlacingGuard) {
        let ReadyItem {
            item,
            service,
            room,
            ..
        } = ready;
        let forwarder = &self.inner.forwarder;
        let placement = forwarder
            .place(&item.request, &service, &[], PLACE_PATIENCE, Some(room))
            .await;
        drop(placing);
        let Some(mut placement) = placement else {
            self.note_no_room(&item, &service);
            return;
        };
        if let Some(earlier) = item.ran_at {
            let view = forwarder.replicas().view();
            let policy = self.inner.forwarder.policy();
            placement.choice.copy_from_previous(&view, earlier, policy);
        }
        let at = RunPlace {
            replica: placement.choice.replica.record.id.clone(),
            place: placement.in_progress.lease().unwrap_or_default(),
        };
        if let Some(entry) = self.book().item(&item.job, item.number) {
            entry.ran_at = Some(placement.choice.replica.hash);
            if let ItemPhase::Running {
                at: known, since, ..
            } = &mut entry.phase
            {
                *known = Some(at);
                *since = Instant::now();
            }
        }
        self.run_item(item, placement).await;
    }

    /// No replica has room for an item: it waits, and none that may run nowhere else is tried for a moment.
    fn note_no_room(&self, item: &StartableItem, service: &str) {
        let now = Instant::now();
        let mut book = self.book();
        book.no_room.note(service, &item.request.regions, now);
        if let Some(entry) = book.item(&item.job, item.number) {
            entry.phase = ItemPhase::Waiting { not_before: now };
        }
    }

    async fn run_item(&self, item: StartableItem, placement: Placement) {
        let replica = placement.choice.replica.record.id.clone();
        let started = Instant::now();
        let outcome = item_run::run(
            &self.inner.forwarder,
            &item.request,
            &item.progress,
            placement,
            item.failures > 0,
        )
        .await;
        self.finish(&item, &replica, &outcome, started);
        self.inner.wake.notify_one();
    }

    fn finish(&self, item: &StartableItem, replica: &str, outcome: &RunOutcome, started: Instant) {
        self.log_run(item, replica, outcome);
        let attempts = self.attempts_of(&item.route);
        let mut book = self.book();
        if *outcome == RunOutcome::Finished && item.began_anew {
            let events = crate::item::lock(&item.progress).texts.len();
            book.run_length.observe(started.elapsed(), events);
        }
        let Some(job) = book.jobs.get_mut(&item.job) else {
            return;
        };
        if matches!(outcome, RunOutcome::NotRun(_) | RunOutcome::Broken(_)) {
            job.broken_run_at = Some(Instant::now());
        }
        let Some(entry) = job.items.get_mut(item.number as usize) else {
            return;
        };
        // An earlier owner's listing may have come in since the run ended.
        if matches!(entry.phase, ItemPhase::Listed) {
            return;
        }
        let wait = |pause| ItemPhase::Waiting {
            not_before: Instant::now() + pause,
        };
        entry.phase = match outcome {
            RunOutcome::Finished => ItemPhase::Done { failed: false },
            RunOutcome::Impossible => ItemPhase::Done { failed: true },
            RunOutcome::Failed => {
                entry.failures += 1;
                if entry.failures >= attempts {
                    ItemPhase::Done { failed: true }
                } else {
                    wait(FAILURE_PAUSE)
                }
            }
            RunOutcome::NotRun(_) | RunOutcome::Broken(_) => wait(RETRY_PAUSE),
        };
    }

    pub(crate) fn attempts_of(&self, route: &str) -> u32 {
        let routes = self.inner.forwarder.routes();
        routes
            .as_ref()
            .and_then(|routes| routes.configuration.route(route))
            .map_or(u32::MAX, |route| route.attempts)
    }

    fn log_run(&self, item: &StartableItem, replica: &str, outcome: &RunOutcome) {
        let outcome = match outcome {
            RunOutcome::Finished => "finished",
            RunOutcome::Failed => "failed",
            RunOutcome::Impossible => "impossible",
            RunOutcome::NotRun(cause) | RunOutcome::Broken(cause) => cause.as_str(),
        };
        let events = crate::item::lock(&item.progress).last_event;
        self.inner.log.record(&Record::ItemRun {
            job: &item.job,
            item: &item.request.id,
            replica,
            outcome,
            events: events.unwrap_or_default(),
        });
    }

    /// Ends runs at replicas where requests wait for slots that batch work holds, as far as no coordinator does.
    fn yield_to_online(&self) {
        let view = self.inner.forwarder.replicas().view();
        let places = self.inner.forwarder.leases();
        for replica in view.all() {
            let own = replica.own_in_progress(WorkClass::Batch);
            if own == 0 {
                continue;
            }
            let counted = replica.online() + replica.batch();
            let slots = replica.slots();
            if counted <= slots + slots / 2 || places.is_coordinated(replica) {
                continue;
            }
            if !self.may_yield_at(&replica.record.id) {
                continue;
            }
            // Each daemon gives back its share; the rest follows if it is still needed.
            let excess = counted - slots;
            let share = f64::from(excess * own) / f64::from(replica.batch().max(1));
            self.end_runs(&replica.record.id, round_by_chance(share));
        }
    }

    /// Online requests need slots at a replica: as many of this daemon's runs there end at once.
    pub fn yield_slots(&self, replica: &str, slots: u32) {
        self.end_runs(replica, slots as usize);
    }

    /// The item that holds a place shall end at once.
    pub fn yield_lease(&self, place: u32) {
        let ended = self.book().yield_lease(place, YIELD_PAUSE);
        self.log_yielded(ended);
    }

    fn end_runs(&self, replica: &str, count: usize) {
        let ended = self.book().yield_runs(replica, count, YIELD_PAUSE);
        self.log_yielded(ended);
    }

    fn log_yielded(&self, ended: impl IntoIterator<Item = YieldedItem>) {
        for yielded in ended {
            self.inner.log.record(&Record::ItemRun {
                job: &yielded.job,
                item: &yielded.item,
                replica: &yielded.replica,
                outcome: "yielded to online",
                events: yielded.events,
            });
        }
    }

    /// True if the last yield at the replica has shown its effect; then this one counts.
    fn may_yield_at(&self, replica: &str) -> bool {
        let mut book = self.book();
        let last = book.yielded_at.get(replica);
        let due = last.is_none_or(|last| last.elapsed() >= YIELD_EVERY);
        if due {
            book.yielded_at.insert(replica.to_owned(), Instant::now());
        }
        due
    }
}

/// Rounds so that the daemons' shares add up on the mean.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round_by_chance(share: f64) -> usize {
    let up = rand::random::<f64>() < share.fract();
    share.floor() as usize + usize::from(up)
}

/// Counts an item for which a place is asked.
struct PlacingGuard {
    jobs: InlineJobs,
}

impl Drop for PlacingGuard {
    fn drop(&mut self) {
        self.jobs.book().placing -= 1;
    }
}
