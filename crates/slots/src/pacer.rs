//! Rate limit of the requests that coordinators grant at cold replicas, over all daemons together.
//!
//! Each coordinator gets half of the rate: while members' views differ, the former and the new coordinator may both
//! grant. A third one can't, since each waits for a window before its first grant, and again after a stall.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::Hash;
use std::time::Duration;

use harrierward_tenants::{RateBounds, RateLimit, TokenBucket};
use tokio::time::Instant;

/// How long a granted request may still be sent to a cold replica, counted from the query. Exceeds the timeout of
/// queries to coordinators; kept short, since grants that are unused lower the rate.
pub const COLD_GRANT_LIFETIME: Duration = Duration::from_millis(250);

/// Time between two ticks after which this daemon is considered stalled. Ticks come every 100 ms.
const STALL_THRESHOLD: Duration = Duration::from_millis(1_000);

/// Time after the start of a daemon in which it grants nothing: its view may be incomplete, so that it wrongly
/// considers itself the coordinator of a group.
const STARTUP_DELAY: Duration = Duration::from_millis(3_000);

/// Number of coordinators of a group that may grant at a time: the former and the new one.
const CONCURRENT_COORDINATORS: f64 = 2.0;

/// Token bucket parameters of one coordinator for one cold replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPace {
    /// Rate, requests per second.
    pub per_second: f64,
    /// Bucket capacity, requests; nothing is granted if it is below 1.
    pub burst: f64,
}

impl ColdPace {
    /// Computes the pace of a coordinator that sees `share` of the fleet, 0 to 1. Any window contains the requests
    /// granted in it or in [`COLD_GRANT_LIFETIME`] before it: at most the burst and what accrues in that time. The
    /// shares of the sides of a partition add up to at most 1.
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

/// Kind of request to be sent to a cold replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdUse {
    /// An online request: takes any available token.
    Online,
    /// A batch item: takes only tokens that would overflow the bucket, since online requests may still use the others.
    Item,
}

/// Token buckets of one coordinator by replica. `G` identifies a group.
#[derive(Debug)]
pub struct ColdPacer<G> {
    started: Instant,
    ticked_at: Instant,
    /// Since when this daemon has coordinated each of its groups.
    groups: HashMap<G, Instant>,
    buckets: HashMap<u32, TokenBucket>,
    /// Shares of the fleet that this daemon saw within the handover delay.
    shares: VecDeque<(Instant, f64)>,
}

impl<G: Eq + Hash> ColdPacer<G> {
    /// Creates the state of a daemon that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            ticked_at: now,
            groups: HashMap::new(),
            buckets: HashMap::new(),
            shares: VecDeque::new(),
        }
    }

    /// Updates the groups that this daemon coordinates and the share of the fleet that it sees; to be called
    /// regularly. Grants for a new group, or after a stall, begin after a delay, as another coordinator may have
    /// granted the full rate.
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

    /// True if the second share is older than the delay, so that the first one is obsolete.
    fn is_first_share_expired(&self, delay: Duration, now: Instant) -> bool {
        let second = self.shares.get(1);
        second.is_some_and(|(at, _)| now.saturating_duration_since(*at) > delay)
    }

    /// Returns the lowest share seen within the handover delay: after the share has grown, members that returned may
    /// still follow another coordinator.
    pub fn share(&self, share: f64) -> f64 {
        let seen = self.shares.iter().map(|(_, seen)| *seen);
        seen.fold(share, f64::min)
    }

    /// True if a request for a cold replica of the group would be granted now.
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

    /// Takes a token for a request to a cold replica; false if there is none or the coordinator may not grant yet.
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

    /// Refills a replica's bucket and returns its tokens; `None` if the capacity is below 1. A new bucket is full, as
    /// nothing was granted within a window.
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

/// Returns the delay after which all grants of the former coordinator are outside the window.
fn handover_delay(bounds: &RateBounds) -> Duration {
    bounds.window + COLD_GRANT_LIFETIME
}
