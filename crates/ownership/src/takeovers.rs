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
}

impl Default for TakeoverBounds {
    fn default() -> Self {
        Self {
            // A watch of the largest fleets gathers changes for 0.8 s, and two writes take some milliseconds.
            challenge_stands: Duration::from_millis(1_100),
            write_lengths: 2,
            first_rest: Duration::from_secs(2),
            // 260 owners beyond a cut, challenged and refuted as often: 33 writes a second of the 800 that a store takes.
            longest_rest: Duration::from_secs(16),
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
}

impl Missing {
    fn new(owner: &str, now: Duration) -> Self {
        Self {
            owner: owner.to_owned(),
            since: now,
            challenge: None,
        }
    }
}

/// The state of one daemon. All times are those of its own clock, which counts suspensions.
#[derive(Debug, Default)]
pub struct Takeovers {
    bounds: TakeoverBounds,
    missing: HashMap<String, Missing>,
    rests: Rests,
}

impl Takeovers {
    /// Knows nothing yet.
    pub fn new(bounds: TakeoverBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// What to do about a thing, whose owner has this standing. Daemons act one after the other: this one after `delay`.
    pub fn step(
        &mut self,
        claim: Claim<'_>,
        standing: OwnerStanding,
        delay: Duration,
        now: Duration,
    ) -> Step {
        if standing == OwnerStanding::Present {
            self.missing.remove(claim.asset);
            return Step::Wait;
        }
        let since = self.missing_since(claim, now);
        match standing {
            OwnerStanding::GivenUp | OwnerStanding::Succeeded if now >= since + delay => Step::Take,
            OwnerStanding::GivenUp | OwnerStanding::Succeeded => Step::Wait,
            _ if claim.challenger.is_empty() => {
                // After a rest daemons act in their order again, or all would write at its end.
                let due = since.max(self.rests.until(claim.owner)) + delay;
                if now >= due {
                    Step::Challenge
                } else {
                    Step::Wait
                }
            }
            _ => self.consider_taking(claim, delay, now),
        }
    }

    /// Since when the owner of a thing has been missing.
    fn missing_since(&mut self, claim: Claim<'_>, now: Duration) -> Duration {
        let missing = self.missing.entry(claim.asset.to_owned());
        let missing = missing.or_insert_with(|| Missing::new(claim.owner, now));
        if missing.owner != claim.owner {
            *missing = Missing::new(claim.owner, now);
        }
        missing.since
    }

    /// Somebody has challenged the owner. Who did takes the thing first; the others, in their order, if it does not.
    fn consider_taking(&mut self, claim: Claim<'_>, delay: Duration, now: Duration) -> Step {
        let stands = self.bounds.challenge_stands + delay;
        let Some(missing) = self.missing.get_mut(claim.asset) else {
            return Step::Wait;
        };
        let until = match missing.challenge {
            Some((revision, until)) if revision == claim.revision => until,
            _ => now + stands,
        };
        missing.challenge = Some((claim.revision, until));
        if now >= until { Step::Take } else { Step::Wait }
    }

    /// This daemon's challenge is in the record at `revision`; its write took so long.
    pub fn challenged(&mut self, asset: &str, revision: u64, took: Duration, now: Duration) {
        let stands = self.bounds.challenge_stands + took * self.bounds.write_lengths;
        if let Some(missing) = self.missing.get_mut(asset) {
            missing.challenge = Some((revision, now + stands));
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
        let has_refuted = !before.challenger.is_empty()
            && after.challenger.is_empty()
            && before.owner == after.owner
            && before.epoch == after.epoch;
        // Whoever takes from an owner that this daemon hears is one that does not hear what this daemon hears.
        let took_from_present = !before.owner.is_empty()
            && !after.owner.is_empty()
            && before.owner != after.owner
            && is_present;
        if has_refuted || took_from_present {
            let TakeoverBounds {
                first_rest,
                longest_rest,
                ..
            } = self.bounds;
            self.rests
                .extend(after.owner, first_rest, longest_rest, now);
        }
    }

    /// Forgets things that `is_open` does not name, and owners that were left alone long ago.
    pub fn retain(&mut self, is_open: impl Fn(&str) -> bool, now: Duration) {
        self.missing.retain(|asset, _| is_open(asset));
        self.rests.forget(self.bounds.longest_rest, now);
    }
}
