//! A copy of a space that a watch updates and that serves long polls of peers.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::peer_copies::SpaceRequest;
use crate::relay::MAX_HOLD;
use crate::space_copy::{CopyReply, SpaceCopy};

/// Minimum difference by which a proof must be newer than the requester's to be sent without changes.
pub(crate) const MIN_PROOF_GAIN: Duration = Duration::from_millis(100);

/// A reply to a peer, with the times from which the peer computes the age of its proof.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldReply {
    /// Changes or all rows of the copy.
    pub reply: CopyReply,
    /// Age of the copy's proof when the reply was made.
    pub proof_age: Duration,
    /// How long the request was held before the reply.
    pub held: Duration,
}

/// The copy of one space, with notifications of its updates.
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
    /// Locks the copy. Must not be used on the path of callers' requests.
    pub fn copy(&self) -> MutexGuard<'_, SpaceCopy> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes held requests after an update or a newer proof.
    pub fn notify(&self) {
        self.updates.send_modify(|updates| *updates += 1);
    }

    /// Replies to a peer once there are updates for it or the hold time is over; `None` if the space was never read.
    pub async fn reply(&self, request: &SpaceRequest) -> Option<HeldReply> {
        let received_at = harrierward_clock::now();
        self.wait_for_updates(request, received_at).await;
        let copy = self.copy();
        Some(HeldReply {
            proof_age: harrierward_clock::age(copy.as_of()?),
            held: harrierward_clock::age(received_at),
            reply: copy.reply(request.after),
        })
    }

    async fn wait_for_updates(&self, request: &SpaceRequest, received_at: Instant) {
        let until = Instant::now() + request.hold.min(MAX_HOLD);
        let mut updates = self.updates.subscribe();
        while !self.has_updates(request, received_at) {
            if !matches!(timeout_at(until, updates.changed()).await, Ok(Ok(()))) {
                return;
            }
        }
    }

    fn has_updates(&self, request: &SpaceRequest, received_at: Instant) -> bool {
        let copy = self.copy();
        let Some(as_of) = copy.as_of() else {
            return false;
        };
        let known_age = request.known_age.unwrap_or(Duration::MAX);
        let known_age = known_age.saturating_add(harrierward_clock::age(received_at));
        copy.has_updates(request.after)
            || harrierward_clock::age(as_of) + MIN_PROOF_GAIN < known_age
    }
}
