//! Members that went lately: what a member must know of before it stands in for a silent coordinator.

use std::time::Duration;

use tokio::time::Instant;

/// The ids of members that went lately, beside those that are there.
#[derive(Debug)]
pub struct Succession {
    /// How long a member that went counts, and how long this one must have run to stand in.
    in_doubt_for: Duration,
    started_at: Instant,
    gone: Vec<(String, Instant)>,
}

impl Succession {
    /// Of a member that starts at `now`. Tokens that were given out `in_doubt_for` ago do not count any more.
    pub fn new(in_doubt_for: Duration, now: Instant) -> Self {
        Self {
            in_doubt_for,
            started_at: now,
            gone: Vec::new(),
        }
    }

    /// Members went or came at `now`: those that went, and a test for those that are there.
    pub fn note_change(
        &mut self,
        gone: impl IntoIterator<Item = String>,
        is_there: impl Fn(&str) -> bool,
        now: Instant,
    ) {
        let in_doubt_for = self.in_doubt_for;
        self.gone.retain(|(id, gone_at)| {
            now.saturating_duration_since(*gone_at) < in_doubt_for && !is_there(id)
        });
        self.gone.extend(gone.into_iter().map(|id| (id, now)));
    }

    /// The members that went while tokens which they gave out may still be in use; `None` if this one has not run long
    /// enough to know them.
    ///
    /// A member stands in for a silent coordinator only if these two come first also among the members and those. Why:
    /// each that begins anew, or stands in, does so with a stock of its own; members that die one after another must
    /// not add up faster by standing in than they did by following each other.
    pub fn gone(&self, now: Instant) -> Option<impl Iterator<Item = &str>> {
        if now.saturating_duration_since(self.started_at) < self.in_doubt_for {
            return None;
        }
        let in_doubt_for = self.in_doubt_for;
        let gone = self.gone.iter();
        let gone =
            gone.filter(move |(_, gone_at)| now.saturating_duration_since(*gone_at) < in_doubt_for);
        Some(gone.map(|(id, _)| id.as_str()))
    }
}
