//! State machine of one daemon for the takeover of resources whose owners are absent.

use std::collections::HashMap;
use std::time::Duration;

use crate::cooldowns::Cooldowns;

/// Durations of challenges and cooldowns. [`Takeovers`] multiplies the cooldowns by a factor from 1 to 1.5 that each
/// daemon draws.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeoverBounds {
    /// Time from the response to the challenge's write to the takeover; must exceed the lag of watches.
    pub challenge_duration: Duration,
    /// Multiple of the challenge's write time that is added: a store that is slow for the challenger is as slow for
    /// the owner, which must read the challenge and write once.
    pub write_time_factor: u32,
    /// Cooldown of an owner after its first refutation.
    pub initial_cooldown: Duration,
    /// Maximum cooldown. A refutation after the end of a cooldown starts one of twice the duration, up to this; one
    /// during a cooldown starts it again.
    pub max_cooldown: Duration,
    /// Maximum number of doublings of a challenge's duration, one for each takeover under a challenge.
    pub max_doublings: u32,
}

impl Default for TakeoverBounds {
    fn default() -> Self {
        Self {
            // Watches in large fleets coalesce changes for 0.8 s; the rest covers two writes.
            challenge_duration: Duration::from_millis(1_100),
            write_time_factor: 2,
            initial_cooldown: Duration::from_secs(2),
            // Bounds the writes during a partition: each absent owner costs up to three per cooldown.
            max_cooldown: Duration::from_secs(20),
            // Owners whose watches lag by more than 4.4 s miss other changes of their jobs as well.
            max_doublings: 2,
        }
    }
}

/// Status of a resource's owner in this daemon's view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerStatus {
    /// In the view and able to own resources.
    Present,
    /// The resource has no owner: it was released.
    Unowned,
    /// A later instance of the daemon runs on the owner's machine.
    Superseded,
    /// Not in the view.
    Absent,
    /// In the view, but without access to the store, or leaving.
    Detached,
}

impl OwnerStatus {
    /// Returns the text for decision records.
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

/// The part of a resource's record that concerns its ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnershipRecord<'a> {
    /// Key of the resource.
    pub resource: &'a str,
    /// Owner's instance id; empty if nobody owns the resource.
    pub owner: &'a str,
    /// Daemon that challenged the owner; empty if none did since the owner's last write.
    pub challenger: &'a str,
    /// Incremented with each change of the owner.
    pub epoch: u64,
    /// Number of takeovers under a challenge: the owner had crashed, or its watch lagged.
    pub takeovers: u32,
    /// Revision of the record, the condition of the next write.
    pub revision: u64,
}

/// What the daemon must do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing is due.
    Wait,
    /// Write the own id into the record as the challenger, under its revision.
    Challenge,
    /// Become the owner, under the record's revision.
    TakeOver,
}

#[derive(Debug)]
struct AbsentOwner {
    owner: String,
    since: Duration,
    /// Revision of the current challenge, and when its duration has elapsed.
    challenge: Option<(u64, Duration)>,
    /// Delay by this daemon's rank among all, and when it was computed.
    delay: Option<(Duration, Duration)>,
}

/// How long a computed delay is cached; it depends on all members.
const DELAY_TTL: Duration = Duration::from_secs(1);

impl AbsentOwner {
    fn new(owner: &str, now: Duration) -> Self {
        Self {
            owner: owner.to_owned(),
            since: now,
            challenge: None,
            delay: None,
        }
    }

    fn delay(&mut self, compute: impl FnOnce() -> Duration, now: Duration) -> Duration {
        let known = self
            .delay
            .filter(|(_, computed_at)| now < *computed_at + DELAY_TTL);
        let (delay, computed_at) = known.unwrap_or_else(|| (compute(), now));
        self.delay = Some((delay, computed_at));
        delay
    }
}

/// The takeover state of one daemon. All times are those of its own clock, which includes suspensions.
#[derive(Debug, Default)]
pub struct Takeovers {
    bounds: TakeoverBounds,
    absent: HashMap<String, AbsentOwner>,
    cooldowns: Cooldowns,
    /// Factor on this daemon's cooldowns, 1 to 1.5, so that daemons don't challenge at the same time.
    jitter_factor: f64,
}

impl Takeovers {
    /// Creates an empty state. `draw`, a random number from 0 to 1, spreads the cooldowns of the daemons.
    pub fn new(bounds: TakeoverBounds, draw: f64) -> Self {
        Self {
            bounds,
            jitter_factor: 1.0 + draw.clamp(0.0, 1.0) / 2.0,
            ..Self::default()
        }
    }

    /// Returns what to do about a resource whose owner has this status. `delay` returns for how long this daemon lets
    /// others act first; it is only called if needed.
    pub fn step(
        &mut self,
        record: OwnershipRecord<'_>,
        status: OwnerStatus,
        delay: impl FnOnce() -> Duration,
        now: Duration,
    ) -> Step {
        if status == OwnerStatus::Present {
            self.absent.remove(record.resource);
            self.cooldowns.clear(record.owner);
            return Step::Wait;
        }
        if matches!(status, OwnerStatus::Unowned | OwnerStatus::Superseded) {
            return self.consider_takeover(record, delay, now);
        }
        if !record.challenger.is_empty() {
            return self.consider_challenged(record, delay, now);
        }
        self.consider_challenge(record, delay, now)
    }

    /// The owner can't refute the takeover, so its cooldown doesn't apply.
    fn consider_takeover(
        &mut self,
        record: OwnershipRecord<'_>,
        delay: impl FnOnce() -> Duration,
        now: Duration,
    ) -> Step {
        let absent = self.absent(record, now);
        let due = absent.since + absent.delay(delay, now);
        if now >= due {
            Step::TakeOver
        } else {
            Step::Wait
        }
    }

    fn consider_challenge(
        &mut self,
        record: OwnershipRecord<'_>,
        delay: impl FnOnce() -> Duration,
        now: Duration,
    ) -> Step {
        let cooldown_until = self.cooldowns.until(record.owner);
        let absent = self.absent(record, now);
        if now < cooldown_until {
            return Step::Wait;
        }
        // The delay also applies after a cooldown; otherwise all daemons would write at its end.
        let due = absent.since.max(cooldown_until) + absent.delay(delay, now);
        if now >= due {
            Step::Challenge
        } else {
            Step::Wait
        }
    }

    fn absent(&mut self, record: OwnershipRecord<'_>, now: Duration) -> &mut AbsentOwner {
        let absent = self.absent.entry(record.resource.to_owned());
        let absent = absent.or_insert_with(|| AbsentOwner::new(record.owner, now));
        if absent.owner != record.owner {
            *absent = AbsentOwner::new(record.owner, now);
        }
        absent
    }

    /// Returns for how long a challenge must stay unrefuted.
    fn challenge_duration(&self, takeovers: u32) -> Duration {
        let doublings = takeovers.min(self.bounds.max_doublings);
        self.bounds.challenge_duration * 2_u32.pow(doublings)
    }

    /// The challenger takes over first; other daemons follow by their delays if it doesn't.
    fn consider_challenged(
        &mut self,
        record: OwnershipRecord<'_>,
        delay: impl FnOnce() -> Duration,
        now: Duration,
    ) -> Step {
        let duration = self.challenge_duration(record.takeovers);
        let absent = self.absent(record, now);
        let duration = duration + absent.delay(delay, now);
        let until = match absent.challenge {
            Some((revision, until)) if revision == record.revision => until,
            _ => now + duration,
        };
        absent.challenge = Some((record.revision, until));
        if now >= until {
            Step::TakeOver
        } else {
            Step::Wait
        }
    }

    /// Records that this daemon's challenge was written: `record` holds its revision, `took` the duration of the
    /// write.
    pub fn note_challenge(&mut self, record: OwnershipRecord<'_>, took: Duration, now: Duration) {
        let duration =
            self.challenge_duration(record.takeovers) + took * self.bounds.write_time_factor;
        if let Some(absent) = self.absent.get_mut(record.resource) {
            absent.challenge = Some((record.revision, now + duration));
        }
    }

    /// Records a change of a record and starts a cooldown if it shows that an absent owner is alive. `is_present` is
    /// whether the former owner is in the view or is this daemon.
    pub fn note_change(
        &mut self,
        before: OwnershipRecord<'_>,
        after: OwnershipRecord<'_>,
        is_present: bool,
        now: Duration,
    ) {
        // Only for absent owners: one that is in the view and disappears later is challenged without a cooldown.
        let has_refuted = !is_present
            && !before.challenger.is_empty()
            && after.challenger.is_empty()
            && before.owner == after.owner
            && before.epoch == after.epoch;
        // A daemon that takes over from an owner which is present here has a different view.
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

    /// Removes resources for which `is_open` is false, and cooldowns that have expired.
    pub fn retain(&mut self, is_open: impl Fn(&str) -> bool, now: Duration) {
        self.absent.retain(|resource, _| is_open(resource));
        let max = self.bounds.max_cooldown.mul_f64(self.jitter_factor);
        self.cooldowns.expire(max, now);
    }
}
