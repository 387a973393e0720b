//! Memory that is taken in the order in which it is asked for, for holders that finish by themselves.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Granularity of the count, bytes.
const UNIT_BYTES: usize = 1 << 10;

/// A bounded number of bytes; cheap to clone.
#[derive(Debug, Clone)]
pub struct FairMemory {
    free: Arc<Semaphore>,
    units: u32,
}

/// Bytes taken, returned on drop.
#[derive(Debug)]
pub struct FairPermit {
    units: OwnedSemaphorePermit,
}

fn units_of(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX)
}

impl FairMemory {
    /// Creates the memory, of which nothing is taken.
    pub fn new(bytes: usize) -> Self {
        let units = units_of(bytes).max(1);
        Self {
            free: Arc::new(Semaphore::new(units as usize)),
            units,
        }
    }

    /// Returns the bytes that are taken.
    pub fn taken(&self) -> usize {
        (self.units as usize).saturating_sub(self.free.available_permits()) * UNIT_BYTES
    }

    /// Takes `bytes` if there is room and nobody waits.
    pub fn try_take(&self, bytes: usize) -> Option<FairPermit> {
        let units = units_of(bytes).min(self.units);
        let units = self.free.clone().try_acquire_many_owned(units).ok()?;
        Some(FairPermit { units })
    }

    /// Waits until `bytes` can be taken. Who asks for more than there is gets all of it. `None` only if the memory is
    /// closed, which doesn't happen.
    pub async fn take(&self, bytes: usize) -> Option<FairPermit> {
        let units = units_of(bytes).min(self.units);
        let units = self.free.clone().acquire_many_owned(units).await.ok()?;
        Some(FairPermit { units })
    }
}

impl FairPermit {
    /// Returns what exceeds `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let kept = units_of(bytes) as usize;
        let surplus = self.units.num_permits().saturating_sub(kept);
        drop(self.units.split(surplus));
    }
}
