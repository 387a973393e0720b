//! Faults of the store stand-ins, set from outside while they run.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What goes wrong with store calls now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreFaults {
    /// Every call fails without effect.
    pub down: bool,
    /// Additional time before an answer, milliseconds.
    pub slow_millis: u64,
    /// Share of changing calls whose answer is lost after the change took effect.
    pub lose_answers: f64,
}

/// Shared switch for [`StoreFaults`].
#[derive(Debug, Clone, Default)]
pub struct StoreFaultsHandle {
    current: Arc<Mutex<StoreFaults>>,
}

impl StoreFaultsHandle {
    /// Replaces the faults.
    pub fn set(&self, faults: StoreFaults) {
        *self
            .current
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner()) = faults;
    }

    /// The faults in force.
    pub fn get(&self) -> StoreFaults {
        *self
            .current
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl StoreFaults {
    /// The additional wait as a duration.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.slow_millis)
    }
}
