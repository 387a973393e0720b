//! Cold replicas of the groups that this daemon coordinates: who may be sent there, counted so that all daemons together
//! stay within what the replicas bear.

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

/// How long a coordinator's word that a group is cold holds at who asked, for replicas that it chooses itself: rows that
/// tell of it come to all daemons within about a second, and each question brings a new word.
const TOLD_LASTS: Duration = Duration::from_secs(1);

/// Ticks of the membership between two looks at the warmth of all replicas.
const WARMTH_TICKS: u64 = 10;

/// Names a group of all services.
pub(super) type GroupKey = (u32, GroupId);

/// What a slot service needs to pace.
#[derive(Debug)]
pub struct Pacing {
    /// What cold replicas may be sent beyond the rate that they bear.
    pub bounds: RateBounds,
    /// How large the fleet was lately.
    pub fleet: Arc<SharedFleet>,
}

/// What is kept under the slot service's lock.
#[derive(Debug)]
pub(super) struct PacingState {
    pacer: ColdPacer<GroupKey>,
    /// Requests turned away since the last tick.
    turned_away: u32,
    /// Cold replicas by zone, as last logged.
    logged: BTreeMap<String, usize>,
    /// Groups that their coordinators called cold, and when.
    told_cold: HashMap<GroupKey, Instant>,
}

impl PacingState {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            pacer: ColdPacer::new(now),
            turned_away: 0,
            logged: BTreeMap::new(),
            told_cold: HashMap::new(),
        }
    }
}

impl SlotService {
    /// What paces requests to cold replicas; without it they get nothing.
    pub fn set_pacing(&self, pacing: Pacing) {
        // Set once, at the start.
        let _ = self.pacing.set(pacing);
    }

    /// Part of the fleet that this daemon sees.
    fn share(&self, pacing: &Pacing, now: Instant) -> f64 {
        pacing.fleet.share(self.members.load().len(), now)
    }

    /// The part of the fleet that counts: one that has grown does so after a wait only.
    fn lowest_share(&self, pacing: &Pacing, now: Instant) -> f64 {
        let share = self.share(pacing, now);
        self.lock().pacing.pacer.share(share)
    }

    /// Of a group's replicas, those that may get a request now: warm ones, and cold ones that bear one more.
    pub(super) fn bearing(
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
        let share = self.lowest_share(pacing, now);
        let mut state = self.lock();
        let pacer = &mut state.pacing.pacer;
        let mut has_room = |replica: &Arc<Replica>| {
            let Some(pace) = pace_of(pacing, replica, share) else {
                return false;
            };
            pacer.has_capacity(&group, replica.hash, pace, usage, &pacing.bounds, now)
        };
        let all = replicas.into_iter();
        all.filter(|replica| !replica.is_cold(now) || has_room(replica))
            .collect()
    }

    /// Counts a request for its replica: until when it may be sent there if that is cold. An error if the replica bears
    /// none now.
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
        let share = self.lowest_share(pacing, now);
        let pace = pace_of(pacing, replica, share).ok_or(AllCold)?;
        let key = (short_hash(service), group);
        let mut state = self.lock();
        let pacer = &mut state.pacing.pacer;
        let is_taken = pacer.take(&key, replica.hash, pace, &pacing.bounds, now);
        if !is_taken {
            state.pacing.turned_away += 1;
            return Err(AllCold);
        }
        drop(state);
        self.log_counted(replica, share, now);
        Ok(Some(now + COLD_GRANT_LIFETIME))
    }

    /// True if nothing was chosen in a group because its replicas are cold and got all that they bear now.
    pub(super) fn is_all_cold(&self, replicas: &[Arc<Replica>]) -> bool {
        let now = harrierward_clock::now();
        let mut all = replicas.iter();
        let is_all = !replicas.is_empty() && all.all(|replica| replica.is_cold(now));
        if is_all {
            self.lock().pacing.turned_away += 1;
        }
        is_all
    }

    /// Takes a coordinator's word on whether its whole group is cold.
    pub(super) fn note_told_cold(&self, group: GroupKey, is_cold: bool) {
        let now = harrierward_clock::now();
        let mut state = self.lock();
        let told = &mut state.pacing.told_cold;
        told.retain(|known, at| *known != group && is_fresh(*at, now));
        if is_cold {
            told.insert(group, now);
        }
    }

    /// True if the replica's coordinator called its group cold a moment ago.
    pub(super) fn was_told_cold(&self, replica: &Replica) -> bool {
        if self.lock().pacing.told_cold.is_empty() {
            return false;
        }
        let group = (short_hash(&replica.record.service), self.group(replica));
        let told = self.lock().pacing.told_cold.get(&group).copied();
        told.is_some_and(|at| is_fresh(at, harrierward_clock::now()))
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

    /// One line a tick for all requests that were turned away: there may be very many.
    fn log_turned_away(&self, pacing: &Pacing, now: Instant) {
        let requests = std::mem::take(&mut self.lock().pacing.turned_away);
        if requests > 0 {
            self.log.record(&Record::ColdTurnedAway {
                requests,
                share_permille: permille(self.lowest_share(pacing, now)),
            });
        }
    }

    /// Driven by the membership's tick: which groups this daemon coordinates, and how many replicas are cold.
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
        self.log_turned_away(pacing, now);
        if self.lock().ticks.is_multiple_of(WARMTH_TICKS) {
            self.log_warmth(now);
        }
    }

    /// A line for each zone in which the number of cold replicas has changed.
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
            let logged = {
                let mut state = self.lock();
                let logged = &mut state.pacing.logged;
                logged.insert(zone.to_owned(), count).unwrap_or(0)
            };
            if logged != count {
                self.log.record(&Record::ZoneWarmth {
                    zone,
                    cold: count,
                    before: logged,
                    longest_ms: u64::try_from(longest).unwrap_or(u64::MAX),
                });
            }
        }
    }

    /// Tells a coordinator how large the fleet was: one that has just started knows nothing of members that were cut
    /// off before.
    pub(super) fn tell_fleet(&self, ask: &mut SlotAsk) {
        if let Some(pacing) = self.pacing.get() {
            let (members, seen_ms_ago) = pacing.fleet.describe(harrierward_clock::now());
            let present = u32::try_from(self.members.load().len()).unwrap_or(u32::MAX);
            if members > present {
                ask.fleet_members = members;
                ask.fleet_seen_ms_ago = seen_ms_ago;
            }
        }
    }

    /// Takes what an asker tells of the fleet.
    pub(super) fn take_fleet(&self, ask: &SlotAsk) {
        if let Some(pacing) = self.pacing.get().filter(|_| ask.fleet_members > 0) {
            pacing.fleet.take(ask.fleet_members, ask.fleet_seen_ms_ago);
        }
    }
}

fn is_fresh(told: Instant, now: Instant) -> bool {
    now.saturating_duration_since(told) < TOLD_LASTS
}

/// The pace for a replica. One of a service that says nothing of a rate gets none while it is cold.
fn pace_of(pacing: &Pacing, replica: &Replica, share: f64) -> Option<ColdPace> {
    let warmup = replica.service_warmup()?;
    let limit = RateLimit::new(warmup.per_second, 0.0).ok()?;
    Some(ColdPace::of(&pacing.bounds, limit, share))
}

/// The replica, or all of a group, is cold and has got what it bears now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("cold replicas got all that they bear now")]
pub(super) struct AllCold;

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn permille(share: f64) -> u32 {
    (share * 1_000.0).round() as u32
}
