//! What one daemon does about things whose owners it holds for gone.

use std::collections::HashMap;
use std::time::Duration;

use crate::cooldowns::Cooldowns;

/// How long a challenge must stand, and how long an owner that refuted one is left alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeoverBounds {
    /// Time from the answer to the challenge's write to the takeover.
    pub challenge_duration: Duration,
    /// Part of the challenge's write, of its own duration, for which it duration in addition: a store that is slow for the
    /// challenger is as slow for the owner, which must hear of the challenge and write once.
    pub write_time_factor: u32,
    /// How long an owner is left alone after its initial refutation.
    pub initial_cooldown: Duration,
    /// How long at most; each refutation doubles it.
    pub max_cooldown: Duration,
    /// Doublings at most of the time for which a challenge duration; each takeover under a challenge doubles it.
    pub max_doublings: u32,
}

impl Default for TakeoverBounds {
    fn default() -> Self {
        Self {
            // A watch of the largest fleets gathers changes for 0.8 s, and two writes take some milliseconds.
            challenge_duration: Duration::from_millis(1_100),
            write_time_factor: 2,
            initial_cooldown: Duration::from_secs(2),
            // 260 owners beyond a cut: a challenge, a refutation and a take that comes too late in each cooldown, 39 writes a second
            // of the 800 that a store takes.
            max_cooldown: Duration::from_secs(20),
            // 4.4 s: an owner whose watch lags by more than that hears of no end of a job in time either.
            max_doublings: 2,
        }
    }
}

/// How a daemon sees the owner of a thing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerStatus {
    /// It is there and may own things.
    Present,
    /// Nobody owns the thing: its owner gave it up.
    Unowned,
    /// The owner's machine runs a later start of the daemon.
    Superseded,
    /// It is not in the view.
    Absent,
    /// It is in the view and says that it cannot reach the store, or that it leaves.
    Detached,
}

impl OwnerStatus {
    /// For lines and figures.
    pub fn name(self) -> &'static str {
        match self {
            Self::Present => "present",
            Self::Unowned => "given up",
            Self::Superseded => "succeeded by a later start",
            Self::Absent => "gone from the view",
            Self::Detached => "detached from the store, or leaving",
        }
    }
}

/// The record of a thing, as far as its ownership goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnershipRecord<'a> {
    /// The thing.
    pub resource: &'a str,
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
    TakeOver,
}

/// A thing whose owner is held for gone.
#[derive(Debug)]
struct Missing {
    owner: String,
    since: Duration,
    /// The challenge that duration, and when it has stood for long enough.
    challenge: Option<(u64, Duration)>,
    /// How long this daemon lets others go initial, and when that was found out.
    delay: Option<(Duration, Duration)>,
}

/// How long a daemon's place in the order of a thing is believed: it costs a look at all members.
const DELAY_TTL: Duration = Duration::from_secs(1);

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
            .filter(|(_, found_at)| now < *found_at + DELAY_TTL);
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
    cooldowns: Cooldowns,
    /// By how much this daemon's cooldowns are longer, so that not all daemons challenge at the same moment.
    jitter_factor: f64,
}

impl Takeovers {
    /// Knows nothing yet. `draw`, from 0 to 1, is each daemon's own.
    pub fn new(bounds: TakeoverBounds, draw: f64) -> Self {
        Self {
            bounds,
            jitter_factor: 1.0 + draw.clamp(0.0, 1.0) / 2.0,
            ..Self::default()
        }
    }

    /// What to do about a thing, whose owner has this status. Daemons act one after the other: this one after `delay`, which is
    /// asked for only where it counts.
    pub fn step(
        &mut self,
        claim: OwnershipRecord<'_>,
        status: OwnerStatus,
        delay: impl FnOnce() -> Duration,
        now: Duration,
    ) -> Step {
        if status == OwnerStatus::Present {
            self.missing.remove(claim.resource);
            self.cooldowns.clear(claim.owner);
            return Step::Wait;
        }
        if matches!(status, OwnerStatus::Unowned | OwnerStatus::Superseded) {
            return self.consider_takeover(claim, delay, now);
        }
        if !claim.challenger.is_empty() {
            return self.consider_challenged(claim, delay, now);
        }
        self.consider_challenge(claim, delay, now)
    }

    /// Nobody can refute that the owner is gone: a cooldown of it counts no more.
    fn consider_takeover(
        &mut self,
        claim: OwnershipRecord<'_>,
        delay: impl FnOnce() -> Duration,
        now: Duration,
    ) -> Step {
        let missing = self.missing(claim, now);
        let due = missing.since + missing.delay(delay, now);
        if now >= due {
            Step::TakeOver
        } else {
            Step::Wait
        }
    }

    fn consider_challenge(
        &mut self,
        claim: OwnershipRecord<'_>,
        delay: impl FnOnce() -> Duration,
        now: Duration,
    ) -> Step {
        let cooldown_until = self.cooldowns.until(claim.owner);
        let missing = self.missing(claim, now);
        if now < cooldown_until {
            return Step::Wait;
        }
        // After a cooldown daemons act in their order again, or all would write at its end.
        let due = missing.since.max(cooldown_until) + missing.delay(delay, now);
        if now >= due {
            Step::Challenge
        } else {
            Step::Wait
        }
    }

    fn missing(&mut self, claim: OwnershipRecord<'_>, now: Duration) -> &mut Missing {
        let missing = self.missing.entry(claim.resource.to_owned());
        let missing = missing.or_insert_with(|| Missing::new(claim.owner, now));
        if missing.owner != claim.owner {
            *missing = Missing::new(claim.owner, now);
        }
        missing
    }

    /// How long a challenge of a thing must stand.
    fn challenge_duration(&self, takeovers: u32) -> Duration {
        let doublings = takeovers.min(self.bounds.max_doublings);
        self.bounds.challenge_duration * 2_u32.pow(doublings)
    }

    /// Somebody has challenged the owner. Who did takes the thing initial; the others, in their order, if it does not.
    fn consider_challenged(
        &mut self,
        claim: OwnershipRecord<'_>,
        delay: impl FnOnce() -> Duration,
        now: Duration,
    ) -> Step {
        let duration = self.challenge_duration(claim.takeovers);
        let missing = self.missing(claim, now);
        let duration = duration + missing.delay(delay, now);
        let until = match missing.challenge {
            Some((revision, until)) if revision == claim.revision => until,
            _ => now + duration,
        };
        missing.challenge = Some((claim.revision, until));
        if now >= until {
            Step::TakeOver
        } else {
            Step::Wait
        }
    }

    /// This daemon's challenge is in the record, as this claim says; its write took so long.
    pub fn note_challenge(&mut self, claim: OwnershipRecord<'_>, took: Duration, now: Duration) {
        let duration =
            self.challenge_duration(claim.takeovers) + took * self.bounds.write_time_factor;
        if let Some(missing) = self.missing.get_mut(claim.resource) {
            missing.challenge = Some((claim.revision, now + duration));
        }
    }

    /// Takes what a change of a record shows of its owners. `is_present` tells whether the earlier owner is in the own
    /// view, or is this daemon.
    pub fn note_change(
        &mut self,
        before: OwnershipRecord<'_>,
        after: OwnershipRecord<'_>,
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
            let initial = self.bounds.initial_cooldown.mul_f64(self.jitter_factor);
            let max = self.bounds.max_cooldown.mul_f64(self.jitter_factor);
            self.cooldowns.restart(after.owner, initial, max, now);
        }
    }

    /// Forgets things that `is_open` does not name, and owners that were left alone long ago.
    pub fn retain(&mut self, is_open: impl Fn(&str) -> bool, now: Duration) {
        self.missing.retain(|resource, _| is_open(resource));
        let max = self.bounds.max_cooldown.mul_f64(self.jitter_factor);
        self.cooldowns.expire(max, now);
    }
}
