//! A copy that a watch keeps and peers are answered from.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::peer_copies::SpaceAsk;
use crate::relay::HOLD;
use crate::space_copy::{SpaceAnswer, SpaceCopy};

/// By how much the proof of the copy must be newer than the asker's to be worth an answer without changes.
const LEAST_GAIN: Duration = Duration::from_millis(100);

/// An answer to a peer, and what the peer needs to tell the age of its proof.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldAnswer {
    /// The rows.
    pub answer: SpaceAnswer,
    /// Age of the copy's proof at the moment of the answer.
    pub proof_age: Duration,
    /// How long the question was held before.
    pub held: Duration,
}

/// The copy of one space, and word of each update.
#[derive(Debug)]
pub struct SharedSpace {
    copy: Mutex<SpaceCopy>,
    updates: watch::Sender<u64>,
}

impl Default for SharedSpace {
    fn default() -> Self {
        Self {
            copy: Mutex::default(),
            updates: watch::Sender::new(0),
        }
    }
}

impl SharedSpace {
    /// The copy. No request of a caller waits for it.
    pub fn copy(&self) -> MutexGuard<'_, SpaceCopy> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An update was taken, or the copy was proven anew.
    pub fn notify(&self) {
        self.updates.send_modify(|updates| *updates += 1);
    }

    /// Answers a peer, as soon as there is something new for it or the question was held for long enough; `None` if the space was
    /// never read.
    pub async fn answer(&self, ask: &SpaceAsk) -> Option<HeldAnswer> {
        let asked_at = harrierward_clock::now();
        self.wait_for_news(ask, asked_at).await;
        let copy = self.copy();
        Some(HeldAnswer {
            proof_age: harrierward_clock::age(copy.as_of()?),
            held: harrierward_clock::age(asked_at),
            answer: copy.answer(ask.after),
        })
    }

    async fn wait_for_news(&self, ask: &SpaceAsk, asked_at: Instant) {
        let until = Instant::now() + ask.hold.min(HOLD);
        let mut updates = self.updates.subscribe();
        while !self.has_news(ask, asked_at) {
            if !matches!(timeout_at(until, updates.changed()).await, Ok(Ok(()))) {
                return;
            }
        }
    }

    fn has_news(&self, ask: &SpaceAsk, asked_at: Instant) -> bool {
        let copy = self.copy();
        let Some(as_of) = copy.as_of() else {
            return false;
        };
        let known_age = ask.known_age.unwrap_or(Duration::MAX);
        let known_age = known_age.saturating_add(harrierward_clock::age(asked_at));
        copy.has_news(ask.after) || harrierward_clock::age(as_of) + LEAST_GAIN < known_age
    }
}
