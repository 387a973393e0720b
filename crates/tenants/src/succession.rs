//! Members that went lately: what a member must know of before it stands in for a silent coordinator.

use std::time::Duration;

use tokio::time::Instant;

/// The ids of members that went lately, beside those that are there.
#[derive(Debug)]
pub struct Succession {
    /// How long a member that went counts, and how long this one must have run to stand in.
    accounting_period: Duration,
    started_at: Instant,
    departed: Vec<(String, Instant)>,
}

impl Succession {
    /// Of a member that starts at `now`. Tokens that were given out `accounting_period` ago do not count any more.
    pub fn new(accounting_period: Duration, now: Instant) -> Self {
        Self {
            accounting_period,
            started_at: now,
            departed: Vec::new(),
        }
    }

    /// Members went or came at `now`: those that went, and a test for those that are there.
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

    /// The members that went while tokens which they gave out may still be in use; `None` if this one has not run long
    /// enough to know them.
    ///
    /// A member stands in for a silent coordinator only if these two come first also among the members and those. Why:
    /// each that begins anew, or stands in, does so with a stock of its own; members that die one after another must
    /// not add up faster by standing in than they did by following each other.
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
