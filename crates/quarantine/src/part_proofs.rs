//! When complete responses last proved parts of prompts harmless, kept on calm days too.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use crate::fingerprint::PartId;

/// Number of parts of which the latest response can be known; 32 kB.
const SLOTS: usize = 4_096;

/// Resolution of the times.
const TICK_MS: u64 = 100;

/// Multiplier that spreads ids over the slots.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Times of the latest complete responses, by part. A colliding part replaces an earlier one, which is then unknown.
/// Takes no lock.
#[derive(Debug)]
pub struct PartProofs {
    epoch: Instant,
    /// Tag of a part in the upper half, time since `epoch` in ticks plus one in the lower; 0 if empty.
    slots: Box<[AtomicU64]>,
}

impl PartProofs {
    /// Starts without proofs; `now` must precede all times noted.
    pub fn new(now: Instant) -> Self {
        Self {
            epoch: now,
            slots: (0..SLOTS).map(|_| AtomicU64::new(0)).collect(),
        }
    }

    /// Records a complete response to a request with this part.
    pub fn note(&self, part: PartId, at: Instant) {
        let elapsed = at.saturating_duration_since(self.epoch).as_millis();
        let ticks = u64::try_from(elapsed).unwrap_or(u64::MAX) / TICK_MS;
        let ticks = u64::from(u32::try_from(ticks + 1).unwrap_or(u32::MAX));
        let (slot, tag) = locate(part);
        self.slots[slot].store(tag | ticks, Ordering::Relaxed);
    }

    /// Returns the time of the latest response, rounded down; `None` if it isn't known.
    pub fn latest(&self, part: PartId) -> Option<Instant> {
        let (slot, tag) = locate(part);
        let value = self.slots[slot].load(Ordering::Relaxed);
        let ticks = value & u64::from(u32::MAX);
        let is_known = ticks > 0 && value & !u64::from(u32::MAX) == tag;
        is_known.then(|| self.epoch + Duration::from_millis((ticks - 1) * TICK_MS))
    }
}

/// Returns the slot of a part and its tag, in the upper half.
fn locate(part: PartId) -> (usize, u64) {
    let spread = part.0.wrapping_mul(SPREAD);
    let slot = usize::try_from(spread >> 40).unwrap_or_default() % SLOTS;
    (slot, (spread ^ part.0) << 32)
}
