//! Whether other daemons may consider this one absent and challenge what it owns.
//!
//! A watch may omit the challenge. An owner at risk therefore reads the records of its resources from the store.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// For how long an observation counts as evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RiskBounds {
    /// Time from the start within which other daemons may not know this instance.
    pub after_start: Duration,
    /// Time after a member's arrival within which it may not know this daemon.
    pub after_join: Duration,
    /// Time after a member's loss within which it may be on the other side of a partition. Later its resources, or
    /// its challenges, are evidence.
    pub after_loss: Duration,
    /// Time after a resource with an absent owner was last seen.
    pub after_absent_owner: Duration,
    /// Time after a challenge of this daemon; must exceed the longest cooldown of its challenger.
    pub after_challenge: Duration,
}

impl Default for RiskBounds {
    fn default() -> Self {
        Self {
            after_start: Duration::from_secs(10),
            after_join: Duration::from_secs(5),
            after_loss: Duration::from_secs(60),
            after_absent_owner: Duration::from_secs(5),
            after_challenge: Duration::from_secs(40),
        }
    }
}

/// Why other daemons may consider this one absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RiskCause {
    /// It was challenged.
    Challenged,
    /// It knows no other daemon.
    Alone,
    /// It has started a short time ago.
    Started,
    /// A member was lost that did not leave.
    MemberLost,
    /// A member has joined.
    MemberJoined,
    /// A resource has an owner that is absent here.
    AbsentOwner,
}

impl RiskCause {
    /// Returns the text for decision records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Challenged => "was challenged",
            Self::Alone => "knows no other daemon",
            Self::Started => "started a short time ago",
            Self::MemberLost => "lost a member",
            Self::MemberJoined => "a member joined",
            Self::AbsentOwner => "an owner is absent",
        }
    }
}

/// Lost members that are looked up at a time. One that is still absent suffices as evidence; a lookup may scan the view.
const MAX_CHECKS: usize = 8;

/// Evidence of one daemon. All times are those of its own clock, which includes suspensions.
#[derive(Debug)]
pub struct TakeoverRisk {
    bounds: RiskBounds,
    started_at: Duration,
    present: HashSet<String>,
    /// Members that disappeared without leaving, with the time of their loss.
    lost: HashMap<String, Duration>,
    joined_at: Option<Duration>,
    absent_owner_at: Option<Duration>,
    challenged_at: Option<Duration>,
}

impl TakeoverRisk {
    /// Creates the state of a daemon that starts now.
    pub fn new(bounds: RiskBounds, now: Duration) -> Self {
        Self {
            bounds,
            started_at: now,
            present: HashSet::new(),
            lost: HashMap::new(),
            joined_at: None,
            absent_owner_at: None,
            challenged_at: None,
        }
    }

    /// Records the members of the view, this daemon included; empty until the view has settled. `is_absent` is called
    /// for members that have disappeared: false if they left, restarted or are still connected.
    pub fn note_view(
        &mut self,
        present: &[String],
        is_absent: impl Fn(&str) -> bool,
        now: Duration,
    ) {
        let is_unchanged = present.len() == self.present.len()
            && present.iter().all(|member| self.present.contains(member));
        if !is_unchanged {
            self.note_changed_view(present, &is_absent, now);
        }
        let mut checks = 0;
        self.lost.retain(|member, lost_at| {
            let is_recent = now < *lost_at + self.bounds.after_loss;
            checks += 1;
            is_recent
                && !self.present.contains(member)
                && (checks > MAX_CHECKS || is_absent(member))
        });
    }

    fn note_changed_view(
        &mut self,
        present: &[String],
        is_absent: impl Fn(&str) -> bool,
        now: Duration,
    ) {
        let current: HashSet<String> = present.iter().cloned().collect();
        if !self.present.is_empty() && current.difference(&self.present).next().is_some() {
            self.joined_at = Some(now);
        }
        for member in self.present.difference(&current) {
            if is_absent(member) {
                self.lost.insert(member.clone(), now);
            }
        }
        self.present = current;
    }

    /// Records that a resource has an owner that is absent in this daemon's view.
    pub fn note_absent_owner(&mut self, now: Duration) {
        self.absent_owner_at = Some(now);
    }

    /// Records that a resource of this daemon was challenged or taken over.
    pub fn note_challenge(&mut self, now: Duration) {
        self.challenged_at = Some(now);
    }

    /// Returns why other daemons may consider this one absent; `None` if nothing indicates it.
    pub fn cause(&self, now: Duration) -> Option<RiskCause> {
        let is_within = |at: Option<Duration>, bound| at.is_some_and(|at| now < at + bound);
        let bounds = &self.bounds;
        if is_within(self.challenged_at, bounds.after_challenge) {
            Some(RiskCause::Challenged)
        } else if self.present.len() <= 1 {
            Some(RiskCause::Alone)
        } else if is_within(Some(self.started_at), bounds.after_start) {
            Some(RiskCause::Started)
        } else if !self.lost.is_empty() {
            Some(RiskCause::MemberLost)
        } else if is_within(self.joined_at, bounds.after_join) {
            Some(RiskCause::MemberJoined)
        } else if is_within(self.absent_owner_at, bounds.after_absent_owner) {
            Some(RiskCause::AbsentOwner)
        } else {
            None
        }
    }
}
