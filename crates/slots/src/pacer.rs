//! How many requests a coordinator gives out for cold replicas, so that all daemons together stay within what these bear.
//!
//! Why half for each coordinator: while members' views differ, the coordinator before and the one after may both give
//! out. No third one does, since each waits for a window before its first request, and one that stood still begins anew.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::Hash;
use std::time::Duration;

use harrierward_tenants::{RateBounds, RateLimit, TokenBucket};
use tokio::time::Instant;

/// How long a request that was counted may still be sent to a cold replica, from the moment of the question. Above the
/// longest patience with a coordinator and what placing takes; short, as what may rest at daemons is missing in
/// the rate.
pub const COLD_GRANT_LIFETIME: Duration = Duration::from_millis(250);

/// Time between two ticks after which the daemon counts as one that stood still. Ticks come every 100 ms.
const STALL_THRESHOLD: Duration = Duration::from_millis(1_000);

/// Time after a daemon's start in which it gives out nothing: it may see few of its members yet, and take itself for
/// the coordinator of others' groups.
const STARTUP_DELAY: Duration = Duration::from_millis(3_000);

/// Coordinators that may give out at the same time: the one before and the one after.
const CONCURRENT_COORDINATORS: f64 = 2.0;

/// What one coordinator may give out for one cold replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPace {
    /// Requests a second.
    pub per_second: f64,
    /// Requests that may be burst up; below 1 nothing is given out.
    pub burst: f64,
}

impl ColdPace {
    /// The pace of a coordinator that sees `share` of the fleet, 0 to 1. Requests that arrive in a window were counted in
    /// it or in the lifetime of grants before it, and in that time a coordinator gives out what it has burst and what
    /// accrues. Coordinators on the sides of a cut have shares that add up to 1 at the most.
    pub fn of(bounds: &RateBounds, limit: RateLimit, share: f64) -> Self {
        let budget = bounds.max_in_window(limit) * share / CONCURRENT_COORDINATORS;
        let counted_over = (bounds.window + COLD_GRANT_LIFETIME).as_secs_f64();
        let max_rate = ((budget - 1.0) / counted_over).max(0.0);
        let per_second = (limit.per_second() * share).min(max_rate);
        Self {
            per_second,
            burst: budget - per_second * counted_over,
        }
    }
}

/// Who is to be sent to a cold replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdUse {
    /// A caller waits: any request that has accrued.
    Online,
    /// A batch item: only what would be lost, as online has left it until no more can be burst.
    Item,
}

/// The counts of one coordinator, by group and replica. `G` names a group.
#[derive(Debug)]
pub struct ColdPacer<G> {
    started: Instant,
    ticked_at: Instant,
    /// Since when this daemon coordinates its groups.
    groups: HashMap<G, Instant>,
    buckets: HashMap<u32, TokenBucket>,
    /// Parts of the fleet that this daemon saw within the last wait.
    shares: VecDeque<(Instant, f64)>,
}

impl<G: Eq + Hash> ColdPacer<G> {
    /// A daemon that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            ticked_at: now,
            groups: HashMap::new(),
            buckets: HashMap::new(),
            shares: VecDeque::new(),
        }
    }

    /// To be called regularly, with the groups that this daemon coordinates and the part of the fleet that it sees. One
    /// that it did not coordinate before, or
    /// before it stood still, begins with a delay: others may have given out all that its replicas bear.
    pub fn tick(&mut self, own: HashSet<G>, share: f64, bounds: &RateBounds, now: Instant) {
        if self.is_stalled(now) {
            self.groups.clear();
        }
        self.ticked_at = now;
        self.groups.retain(|group, _| own.contains(group));
        for group in own {
            self.groups.entry(group).or_insert(now);
        }
        let delay = handover_delay(bounds);
        self.shares.push_back((now, share));
        while self.is_first_share_expired(delay, now) {
            self.shares.pop_front();
        }
        self.buckets
            .retain(|_, bucket| now.saturating_duration_since(bucket.filled_at()) <= delay);
    }

    /// True if the second of the shares kept was seen before the delay, so that the first says nothing more.
    fn is_first_share_expired(&self, delay: Duration, now: Instant) -> bool {
        let second = self.shares.get(1);
        second.is_some_and(|(at, _)| now.saturating_duration_since(*at) > delay)
    }

    /// The part of the fleet that counts for a daemon which sees `share` now. One that has grown counts after a delay:
    /// those that are back may not know yet that another one gives out.
    pub fn share(&self, share: f64) -> f64 {
        let seen = self.shares.iter().map(|(_, seen)| *seen);
        seen.fold(share, f64::min)
    }

    /// True if a request for a cold replica of the group would be counted now.
    pub fn has_capacity(
        &mut self,
        group: &G,
        replica: u32,
        pace: ColdPace,
        usage: ColdUse,
        bounds: &RateBounds,
        now: Instant,
    ) -> bool {
        if !self.may_grant(group, bounds, now) {
            return false;
        }
        let Some(tokens) = self.fill(replica, pace, now) else {
            return false;
        };
        match usage {
            ColdUse::Online => tokens >= 1.0,
            ColdUse::Item => tokens >= 1.0 && tokens >= pace.burst,
        }
    }

    /// Counts a request for a cold replica; false if none may be sent there now.
    pub fn take(
        &mut self,
        group: &G,
        replica: u32,
        pace: ColdPace,
        bounds: &RateBounds,
        now: Instant,
    ) -> bool {
        if !self.may_grant(group, bounds, now) {
            return false;
        }
        self.fill(replica, pace, now);
        let bucket = self.buckets.get_mut(&replica);
        bucket.is_some_and(|bucket| bucket.take(1) == 1)
    }

    fn may_grant(&self, group: &G, bounds: &RateBounds, now: Instant) -> bool {
        let since = self.groups.get(group);
        let waited = since
            .is_some_and(|since| now.saturating_duration_since(*since) >= handover_delay(bounds));
        let started = now.saturating_duration_since(self.started) >= STARTUP_DELAY;
        waited && started && !self.is_stalled(now)
    }

    fn is_stalled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.ticked_at) >= STALL_THRESHOLD
    }

    /// Brings a replica's bucket up to date. A new one is full: its coordinator has given out nothing for a window.
    fn fill(&mut self, replica: u32, pace: ColdPace, now: Instant) -> Option<f64> {
        if pace.burst < 1.0 {
            return None;
        }
        let bucket = self
            .buckets
            .entry(replica)
            .or_insert_with(|| TokenBucket::new(pace.burst, now));
        bucket.fill(pace.per_second, pace.burst, now);
        Some(bucket.tokens())
    }
}

/// How long a new coordinator waits: what the one before gave out has been used or has lapsed, and is out of the window.
fn handover_delay(bounds: &RateBounds) -> Duration {
    bounds.window + COLD_GRANT_LIFETIME
}
