//! Recently departed members, which a fallback coordinator must take into account.

use std::time::Duration;

use tokio::time::Instant;

/// Recently departed members, in addition to the present ones.
#[derive(Debug)]
pub struct Succession {
    /// How long a departed member counts, and how long this one must have run to act as fallback coordinator.
    accounting_period: Duration,
    started_at: Instant,
    departed: Vec<(String, Instant)>,
}

impl Succession {
    /// Creates the state of a member that starts at `now`. Tokens granted more than `accounting_period` ago don't
    /// count.
    pub fn new(accounting_period: Duration, now: Instant) -> Self {
        Self {
            accounting_period,
            started_at: now,
            departed: Vec::new(),
        }
    }

    /// Records a change of the members: those that departed, and a test for those that are present.
    pub fn note_change(
        &mut self,
        departed: impl IntoIterator<Item = String>,
        is_present: impl Fn(&str) -> bool,
        now: Instant,
    ) {
        let accounting_period = self.accounting_period;
        self.departed.retain(|(id, departed_at)| {
            now.saturating_duration_since(*departed_at) < accounting_period && !is_present(id)
        });
        self.departed
            .extend(departed.into_iter().map(|id| (id, now)));
    }

    /// Returns the members whose grants may still count; `None` if this member hasn't run long enough to know them.
    ///
    /// A member acts as fallback only if it and the unresponsive coordinator rank first among the present and these
    /// members. Each new or fallback coordinator grants an allowance of its own, so members that crash in succession
    /// must not add up to more allowances than takeovers alone would.
    pub fn departed(&self, now: Instant) -> Option<impl Iterator<Item = &str>> {
        if now.saturating_duration_since(self.started_at) < self.accounting_period {
            return None;
        }
        let accounting_period = self.accounting_period;
        let departed = self.departed.iter();
        let departed = departed.filter(move |(_, departed_at)| {
            now.saturating_duration_since(*departed_at) < accounting_period
        });
        Some(departed.map(|(id, _)| id.as_str()))
    }
}
