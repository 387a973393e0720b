//! Rejoining: daemons that never met, or that were cut off from each other for so long that they forgot each other,
//! become one fleet again once they can hear each other.
//!
//! Why beside probes: probes reach only members that are known. Two parts of a fleet, each whole in itself, know nobody
//! beyond the cut. So each daemon now and then asks one address at which it knows nobody: a seed, or a member that it
//! forgot without its having left. The first answer is enough, since views are then exchanged by syncs.
//!
//! A fleet whose seeds are all present, and that lost nobody lately, has no such address and sends nothing for this.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use harrierward_wire::DatagramKind;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::{Action, Known, MembershipCore};

/// Least mean time between two addresses that a daemon asks: a few daemons that were cut off ask several times in the
/// ten seconds after which a fleet should be whole, also if a datagram is lost.
const ASK_AT_MOST_EVERY: Duration = Duration::from_secs(2);

/// Mean time between two asks of the whole part that a daemon knows: 50 a second, however many daemons there are. That
/// is some 10 KB a second in all.
const ASK_SPACING: Duration = Duration::from_millis(20);

/// Bounds of a daemon's time to its next ask, as parts of the mean: daemons that were started together, or that
/// find at the same moment that a cut has ended, must not ask in step.
const JITTER: std::ops::Range<f64> = 0.5..1.5;

/// How long the address of a forgotten member is asked. Longer cuts are rare; what is lost for an hour has most likely
/// been replaced.
const REMEMBER_FORGOTTEN: Duration = Duration::from_secs(3_600);

/// Most addresses of forgotten members that are kept: twice as many as the largest fleet has members, some 60 KB.
const MOST_FORGOTTEN: usize = 1_024;

/// Whom to ask besides the members.
#[derive(Debug, Clone, Default)]
pub(super) struct RejoinState {
    seeds: Vec<String>,
    seeds_asked_at: Option<Duration>,
    /// Addresses of members that were forgotten and had not left, and when that was.
    forgotten: BTreeMap<String, Duration>,
    /// `None` before the first tick.
    next_ask_at: Option<Duration>,
}

impl RejoinState {
    pub(super) fn new(seeds: Vec<String>) -> Self {
        Self {
            seeds,
            ..Self::default()
        }
    }

    /// Remembers the address of a member that is forgotten; the address longest forgotten makes room.
    pub(super) fn remember(&mut self, address: String, now: Duration) {
        self.forgotten.insert(address, now);
        if self.forgotten.len() > MOST_FORGOTTEN {
            let oldest = self.forgotten.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(address, _)| address.clone()) {
                self.forgotten.remove(&oldest);
            }
        }
    }

    /// Drops forgotten addresses at which a member is present, and those remembered for long enough.
    fn drop_needless(&mut self, present: &HashSet<&str>, now: Duration) {
        self.forgotten.retain(|address, at| {
            !present.contains(address.as_str()) && now.saturating_sub(*at) < REMEMBER_FORGOTTEN
        });
    }

    /// An address at which no member is present. Seeds and forgotten members have the same chance, so that many
    /// stale ones of one sort don't hide the other.
    fn choose(&self, present: &HashSet<&str>, random: &mut impl Rng) -> Option<String> {
        let absent = self.seeds.iter();
        let absent = absent.filter(|seed| !present.contains(seed.as_str()));
        let seed = absent.choose(random);
        let forgotten = self.forgotten.keys().choose(random);
        let first = if random.random() {
            seed.or(forgotten)
        } else {
            forgotten.or(seed)
        };
        first.cloned()
    }
}

impl MembershipCore {
    /// Asks seeds while nobody else is known, and now and then an address at which no member is known.
    pub(super) fn rejoin(&mut self, now: Duration, random: &mut impl Rng) -> Vec<Action> {
        let mut actions = self.ask_seeds_if_alone(now);
        if self.is_ask_due(now, random) {
            actions.extend(self.ask_absent(now, random));
        }
        actions
    }

    fn ask_seeds_if_alone(&mut self, now: Duration) -> Vec<Action> {
        let every = self.settings.join_every;
        let asked_at = self.rejoin.seeds_asked_at;
        let is_due = asked_at.is_none_or(|at| now.saturating_sub(at) >= every);
        if !is_due || self.view_size() > 1 {
            return Vec::new();
        }
        self.rejoin.seeds_asked_at = Some(now);
        let seeds = self.rejoin.seeds.clone();
        self.join(&seeds)
    }

    /// The turns go on when there is nobody to ask, so that they are spread when there is.
    fn is_ask_due(&mut self, now: Duration, random: &mut impl Rng) -> bool {
        let next = self.rejoin.next_ask_at;
        if next.is_some_and(|at| now < at) {
            return false;
        }
        let mean = ASK_AT_MOST_EVERY.max(ASK_SPACING * self.view_size());
        self.rejoin.next_ask_at = Some(now + mean.mul_f64(random.random_range(JITTER)));
        next.is_some()
    }

    fn ask_absent(&mut self, now: Duration, random: &mut impl Rng) -> Option<Action> {
        let present = self.known.values().filter(|known| known.is_present());
        let present: HashSet<&str> = present.map(Known::address).collect();
        self.rejoin.drop_needless(&present, now);
        let address = self.rejoin.choose(&present, random)?;
        // No news: most likely nobody hears it, and each piece of news is passed on only so many times.
        let mut datagram = self.bare_datagram(DatagramKind::Join, 0, String::new());
        datagram.records.push(self.own.clone());
        Some(Action { address, datagram })
    }
}
