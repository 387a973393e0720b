//! Rate limiting of requests to cold replicas by the coordinators of their groups, over all daemons together.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_serving::{Replica, short_hash};
use harrierward_slots::{COLD_GRANT_LIFETIME, ColdPace, ColdPacer, ColdUse, GroupId};
use harrierward_tenants::{RateBounds, RateLimit};
use harrierward_wire::SlotAsk;
use tokio::time::Instant;

use super::{Coordinator, SlotService};
use crate::fleet::SharedFleet;

/// How long a coordinator's reply that a group is cold applies to replicas that this daemon chooses itself; the
/// replicas' own rows arrive within about this time.
const REPORTED_COLD_TTL: Duration = Duration::from_secs(1);

/// Ticks of the membership between two scans for cold replicas.
const WARMTH_TICKS: u64 = 10;

/// Hash of a service, and a group of it.
pub(super) type GroupKey = (u32, GroupId);

/// Settings and state from which a slot service derives the rates of cold replicas.
#[derive(Debug)]
pub struct Pacing {
    /// Bounds on what may be granted in addition to a replica's warm-up rate.
    pub bounds: RateBounds,
    /// Recent fleet size, which determines this daemon's share of each rate.
    pub fleet: Arc<SharedFleet>,
}

/// The part of the pacing state that is guarded by the slot service's lock.
#[derive(Debug)]
pub(super) struct PacingState {
    pacer: ColdPacer<GroupKey>,
    /// Requests refused since the last tick.
    refused: u32,
    /// Number of cold replicas by zone, as last logged.
    logged_cold: BTreeMap<String, usize>,
    /// Groups that their coordinators reported cold, and when.
    reported_cold: HashMap<GroupKey, Instant>,
}

impl PacingState {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            pacer: ColdPacer::new(now),
            refused: 0,
            logged_cold: BTreeMap::new(),
            reported_cold: HashMap::new(),
        }
    }
}

impl SlotService {
    /// Sets the pacing of requests to cold replicas; until then they get no requests.
    pub fn set_pacing(&self, pacing: Pacing) {
        // Set once, during startup.
        let _ = self.pacing.set(pacing);
    }

    /// Returns the share of each rate for the members that this daemon sees now.
    fn share(&self, pacing: &Pacing, now: Instant) -> f64 {
        pacing.fleet.share(self.members.load().len(), now)
    }

    /// Returns the share in force; an increase takes effect only after a delay.
    fn effective_share(&self, pacing: &Pacing, now: Instant) -> f64 {
        let share = self.share(pacing, now);
        self.lock().pacing.pacer.share(share)
    }

    /// Returns the replicas that may get a request now: warm ones, and cold ones below their rate.
    pub(super) fn within_cold_rate(
        &self,
        group: GroupKey,
        replicas: Vec<Arc<Replica>>,
        is_item: bool,
    ) -> Vec<Arc<Replica>> {
        let now = harrierward_clock::now();
        if !replicas.iter().any(|replica| replica.is_cold(now)) {
            return replicas;
        }
        let usage = if is_item {
            ColdUse::Item
        } else {
            ColdUse::Online
        };
        let Some(pacing) = self.pacing.get() else {
            let warm = replicas.into_iter();
            return warm.filter(|replica| !replica.is_cold(now)).collect();
        };
        let share = self.effective_share(pacing, now);
        let mut state = self.lock();
        let pacer = &mut state.pacing.pacer;
        let mut has_capacity = |replica: &Arc<Replica>| {
            let Some(pace) = pace_of(pacing, replica, share) else {
                return false;
            };
            pacer.has_capacity(&group, replica.hash, pace, usage, &pacing.bounds, now)
        };
        let all = replicas.into_iter();
        all.filter(|replica| !replica.is_cold(now) || has_capacity(replica))
            .collect()
    }

    /// Counts a request against a cold replica's rate. Returns until when it may be sent (`None` if the replica is
    /// warm), or an error if the rate is used up.
    pub(super) fn count_cold(
        &self,
        service: &str,
        group: GroupId,
        replica: &Replica,
    ) -> Result<Option<Instant>, AllCold> {
        let now = harrierward_clock::now();
        if !replica.is_cold(now) {
            return Ok(None);
        }
        let pacing = self.pacing.get().ok_or(AllCold)?;
        let share = self.effective_share(pacing, now);
        let pace = pace_of(pacing, replica, share).ok_or(AllCold)?;
        let key = (short_hash(service), group);
        let mut state = self.lock();
        let pacer = &mut state.pacing.pacer;
        let is_taken = pacer.take(&key, replica.hash, pace, &pacing.bounds, now);
        if !is_taken {
            state.pacing.refused += 1;
            return Err(AllCold);
        }
        drop(state);
        self.log_counted(replica, share, now);
        Ok(Some(now + COLD_GRANT_LIFETIME))
    }

    /// True if all of the replicas are cold; counts the refused request then.
    pub(super) fn is_all_cold(&self, replicas: &[Arc<Replica>]) -> bool {
        let now = harrierward_clock::now();
        let mut all = replicas.iter();
        let is_all = !replicas.is_empty() && all.all(|replica| replica.is_cold(now));
        if is_all {
            self.lock().pacing.refused += 1;
        }
        is_all
    }

    /// Records a coordinator's reply on whether its whole group is cold.
    pub(super) fn note_reported_cold(&self, group: GroupKey, is_cold: bool) {
        let now = harrierward_clock::now();
        let mut state = self.lock();
        let reported = &mut state.pacing.reported_cold;
        reported.retain(|known, at| *known != group && is_fresh(*at, now));
        if is_cold {
            reported.insert(group, now);
        }
    }

    /// True if the coordinator of the replica's group recently reported it cold.
    pub(super) fn was_reported_cold(&self, replica: &Replica) -> bool {
        if self.lock().pacing.reported_cold.is_empty() {
            return false;
        }
        let group = (short_hash(&replica.record.service), self.group(replica));
        let reported = self.lock().pacing.reported_cold.get(&group).copied();
        reported.is_some_and(|at| is_fresh(at, harrierward_clock::now()))
    }

    fn log_counted(&self, replica: &Replica, share: f64, now: Instant) {
        let cold_for = replica.remaining_warmup(now).as_millis();
        self.log.record(&Record::ColdCounted {
            replica: &replica.record.id,
            zone: &replica.record.zone,
            cold_ms: u64::try_from(cold_for).unwrap_or(u64::MAX),
            share_permille: permille(share),
        });
    }

    /// Logs the refused requests of a tick as one record.
    fn log_refused(&self, pacing: &Pacing, now: Instant) {
        let requests = std::mem::take(&mut self.lock().pacing.refused);
        if requests > 0 {
            self.log.record(&Record::ColdTurnedAway {
                requests,
                share_permille: permille(self.effective_share(pacing, now)),
            });
        }
    }

    /// Updates the coordinated groups and the share, and logs refusals and warmth; called on the membership's tick.
    pub(super) fn tick_pacing(&self, now: Instant) {
        let Some(pacing) = self.pacing.get() else {
            return;
        };
        let index = self.index();
        let own: HashSet<GroupKey> = index
            .keys()
            .filter(|(service, group)| self.coordinator(*service, *group) == Coordinator::Own)
            .collect();
        let share = self.share(pacing, now);
        let mut state = self.lock();
        state.pacing.pacer.tick(own, share, &pacing.bounds, now);
        drop(state);
        self.log_refused(pacing, now);
        if self.lock().ticks.is_multiple_of(WARMTH_TICKS) {
            self.log_warmth(now);
        }
    }

    /// Logs each zone in which the number of cold replicas has changed.
    fn log_warmth(&self, now: Instant) {
        let view = self.replicas.view();
        let mut cold: BTreeMap<&str, (usize, u128)> = BTreeMap::new();
        for replica in view.all() {
            let zone = cold.entry(replica.record.zone.as_str()).or_default();
            if replica.is_cold(now) {
                zone.0 += 1;
                zone.1 = zone.1.max(replica.remaining_warmup(now).as_millis());
            }
        }
        for (zone, (count, longest)) in cold {
            let logged_cold = {
                let mut state = self.lock();
                let logged_cold = &mut state.pacing.logged_cold;
                logged_cold.insert(zone.to_owned(), count).unwrap_or(0)
            };
            if logged_cold != count {
                self.log.record(&Record::ZoneWarmth {
                    zone,
                    cold: count,
                    before: logged_cold,
                    longest_ms: u64::try_from(longest).unwrap_or(u64::MAX),
                });
            }
        }
    }

    /// Adds the largest recent fleet size to a lease request, for a coordinator that started after a partition.
    pub(super) fn add_fleet_size(&self, request: &mut SlotAsk) {
        if let Some(pacing) = self.pacing.get() {
            let (members, seen_ms_ago) = pacing.fleet.describe(harrierward_clock::now());
            let present = u32::try_from(self.members.load().len()).unwrap_or(u32::MAX);
            if members > present {
                request.fleet_members = members;
                request.fleet_seen_ms_ago = seen_ms_ago;
            }
        }
    }

    /// Merges the fleet size in a peer's lease request.
    pub(super) fn merge_fleet_size(&self, request: &SlotAsk) {
        if let Some(pacing) = self.pacing.get().filter(|_| request.fleet_members > 0) {
            pacing
                .fleet
                .merge_report(request.fleet_members, request.fleet_seen_ms_ago);
        }
    }
}

fn is_fresh(reported_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(reported_at) < REPORTED_COLD_TTL
}

/// Returns the pace of a cold replica; `None`, so no requests, if its service states no warm-up rate.
fn pace_of(pacing: &Pacing, replica: &Replica, share: f64) -> Option<ColdPace> {
    let warmup = replica.service_warmup()?;
    let limit = RateLimit::new(warmup.per_second, 0.0).ok()?;
    Some(ColdPace::of(&pacing.bounds, limit, share))
}

/// The replica, or each one of a group, is cold and its rate is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the request rate of the cold replicas is used up")]
pub(super) struct AllCold;

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn permille(share: f64) -> u32 {
    (share * 1_000.0).round() as u32
}
