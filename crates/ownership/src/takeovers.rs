//! What one daemon does about things whose owners it holds for gone.

use std::collections::HashMap;
use std::time::Duration;

use crate::rests::Rests;

/// How long a challenge must stand, and how long an owner that refuted one is left alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeoverBounds {
    /// Time from the answer to the challenge's write to the takeover.
    pub challenge_stands: Duration,
    /// Part of the challenge's write, of its own length, for which it stands in addition: a store that is slow for the
    /// challenger is as slow for the owner, which must hear of the challenge and write once.
    pub write_lengths: u32,
    /// How long an owner is left alone after its first refutation.
    pub first_rest: Duration,
    /// How long at most; each refutation doubles it.
    pub longest_rest: Duration,
    /// Doublings at most of the time for which a challenge stands; each takeover under a challenge doubles it.
    pub most_doublings: u32,
}

impl Default for TakeoverBounds {
    fn default() -> Self {
        Self {
            // A watch of the largest fleets gathers changes for 0.8 s, and two writes take some milliseconds.
            challenge_stands: Duration::from_millis(1_100),
            write_lengths: 2,
            first_rest: Duration::from_secs(2),
            // 260 owners beyond a cut: a challenge, a refutation and a take that comes too late in each rest, 39 writes a second
            // of the 800 that a store takes.
            longest_rest: Duration::from_secs(20),
            // 4.4 s: an owner whose watch lags by more than that hears of no end of a job in time either.
            most_doublings: 2,
        }
    }
}

/// How a daemon sees the owner of a thing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerStanding {
    /// It is there and may own things.
    Present,
    /// Nobody owns the thing: its owner gave it up.
    GivenUp,
    /// The owner's machine runs a later start of the daemon.
    Succeeded,
    /// It is not in the view.
    Gone,
    /// It is in the view and says that it cannot reach the store, or that it leaves.
    Detached,
}

impl OwnerStanding {
    /// For lines and figures.
    pub fn name(self) -> &'static str {
        match self {
            Self::Present => "present",
            Self::GivenUp => "given up",
            Self::Succeeded => "succeeded by a later start",
            Self::Gone => "gone from the view",
            Self::Detached => "detached from the store, or leaving",
        }
    }
}

/// The record of a thing, as far as its ownership goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim<'a> {
    /// The thing.
    pub asset: &'a str,
    /// Its owner; empty if nobody owns it.
    pub owner: &'a str,
    /// Who challenged the owner; empty if nobody did since the owner last wrote the record.
    pub challenger: &'a str,
    /// Raised with each change of the owner.
    pub epoch: u64,
    /// Takeovers under a challenge so far: of owners that had died, or whose watch lagged too much.
    pub takeovers: u32,
    /// Revision of the record.
    pub revision: u64,
}

/// What to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Write the own name into the record, under its revision.
    Challenge,
    /// Become the owner, under the record's revision.
    Take,
}

/// A thing whose owner is held for gone.
#[derive(Debug)]
struct Missing {
    owner: String,
    since: Duration,
    /// The challenge that stands, and when it has stood for long enough.
    challenge: Option<(u64, Duration)>,
    /// How long this daemon lets others go first, and when that was found out.
    delay: Option<(Duration, Duration)>,
}

/// How long a daemon's place in the order of a thing is believed: it costs a look at all members.
const DELAY_HOLDS: Duration = Duration::from_secs(1);

impl Missing {
    fn new(owner: &str, now: Duration) -> Self {
        Self {
            owner: owner.to_owned(),
            since: now,
            challenge: None,
            delay: None,
        }
    }

    fn delay(&mut self, find: impl FnOnce() -> Duration, now: Duration) -> Duration {
        let known = self
            .delay
            .filter(|(_, found_at)| now < *found_at + DELAY_HOLDS);
        let (delay, found_at) = known.unwrap_or_else(|| (find(), now));
        self.delay = Some((delay, found_at));
        delay
    }
}

/// The state of one daemon. All times are those of its own clock, which counts suspensions.
#[derive(Debug, Default)]
pub struct Takeovers {
    bounds: TakeoverBounds,
    missing: HashMap<String, Missing>,
    rests: Rests,
    /// By how much this daemon's rests are longer, so that not all daemons challenge at the same moment.
    rests_longer: f64,
}

impl Takeovers {
    /// Knows nothing yet. `draw`, from 0 to 1, is each daemon's own.
    pub fn new(bounds: TakeoverBounds, draw: f64) -> Self {
        Self {
            bounds,
            rests_longer: 1.0 + draw.clamp(0.0, 1.0) / 2.0,
            ..Self::default()
        }
    }

    /// What to do about a thing, whose owner has this standing. Daemons act one after the other: this one after `delay`, which is
    /// asked for only where it counts.
    pub fn step(
        &mut self,
        claim: Claim<'_>,
        standing: OwnerStanding,
        delay: impl FnOnce() -> Duration,
        now: Duration,
    ) -> Step {
        if standing == OwnerStanding::Present {
            self.missing.remove(claim.asset);
            self.rests.end(claim.owner);
            return Step::Wait;
        }
        if matches!(standing, OwnerStanding::GivenUp | OwnerStanding::Succeeded) {
            return self.consider_certain(claim, delay, now);
        }
        if !claim.challenger.is_empty() {
            return self.consider_taking(claim, delay, now);
        }
        self.consider_challenge(claim, delay, now)
    }

    /// Nobody can refute that the owner is gone: a rest of it counts no more.
    fn consider_certain(
        &mut self,
        claim: Claim<'_>,
        delay: impl FnOnce() -> Duration,
        now: Duration,
    ) -> Step {
        let missing = self.missing(claim, now);
        let due = missing.since + missing.delay(delay, now);
        if now >= due { Step::Take } else { Step::Wait }
    }

    fn consider_challenge(
        &mut self,
        claim: Claim<'_>,
        delay: impl FnOnce() -> Duration,
        now: Duration,
    ) -> Step {
        let rested = self.rests.until(claim.owner);
        let missing = self.missing(claim, now);
        if now < rested {
            return Step::Wait;
        }
        // After a rest daemons act in their order again, or all would write at its end.
        let due = missing.since.max(rested) + missing.delay(delay, now);
        if now >= due {
            Step::Challenge
        } else {
            Step::Wait
        }
    }

    fn missing(&mut self, claim: Claim<'_>, now: Duration) -> &mut Missing {
        let missing = self.missing.entry(claim.asset.to_owned());
        let missing = missing.or_insert_with(|| Missing::new(claim.owner, now));
        if missing.owner != claim.owner {
            *missing = Missing::new(claim.owner, now);
        }
        missing
    }

    /// How long a challenge of a thing must stand.
    fn stands(&self, takeovers: u32) -> Duration {
        let doublings = takeovers.min(self.bounds.most_doublings);
        self.bounds.challenge_stands * 2_u32.pow(doublings)
    }

    /// Somebody has challenged the owner. Who did takes the thing first; the others, in their order, if it does not.
    fn consider_taking(
        &mut self,
        claim: Claim<'_>,
        delay: impl FnOnce() -> Duration,
        now: Duration,
    ) -> Step {
        let stands = self.stands(claim.takeovers);
        let missing = self.missing(claim, now);
        let stands = stands + missing.delay(delay, now);
        let until = match missing.challenge {
            Some((revision, until)) if revision == claim.revision => until,
            _ => now + stands,
        };
        missing.challenge = Some((claim.revision, until));
        if now >= until { Step::Take } else { Step::Wait }
    }

    /// This daemon's challenge is in the record, as this claim says; its write took so long.
    pub fn challenged(&mut self, claim: Claim<'_>, took: Duration, now: Duration) {
        let stands = self.stands(claim.takeovers) + took * self.bounds.write_lengths;
        if let Some(missing) = self.missing.get_mut(claim.asset) {
            missing.challenge = Some((claim.revision, now + stands));
        }
    }

    /// Takes what a change of a record shows of its owners. `is_present` tells whether the earlier owner is in the own
    /// view, or is this daemon.
    pub fn note_change(
        &mut self,
        before: Claim<'_>,
        after: Claim<'_>,
        is_present: bool,
        now: Duration,
    ) {
        // Who hears the owner had no doubt of it, and follows it at once if it is missing later.
        let has_refuted = !is_present
            && !before.challenger.is_empty()
            && after.challenger.is_empty()
            && before.owner == after.owner
            && before.epoch == after.epoch;
        // Whoever takes from an owner that this daemon hears is one that does not hear what this daemon hears.
        let took_from_present = is_present
            && !before.owner.is_empty()
            && !after.owner.is_empty()
            && before.owner != after.owner;
        if has_refuted || took_from_present {
            let first = self.bounds.first_rest.mul_f64(self.rests_longer);
            let longest = self.bounds.longest_rest.mul_f64(self.rests_longer);
            self.rests.renew(after.owner, first, longest, now);
        }
    }

    /// Forgets things that `is_open` does not name, and owners that were left alone long ago.
    pub fn retain(&mut self, is_open: impl Fn(&str) -> bool, now: Duration) {
        self.missing.retain(|asset, _| is_open(asset));
        let longest = self.bounds.longest_rest.mul_f64(self.rests_longer);
        self.rests.forget(longest, now);
    }
}
