//! Faults of the emulated stores, which can be changed at run time.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Faults injected into store calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreFaults {
    /// Every call fails without effect.
    pub down: bool,
    /// Additional delay of each call, milliseconds.
    pub slow_millis: u64,
    /// Probability from 0 to 1 that the response to a write is lost after the write took effect.
    pub lose_answers: f64,
}

/// Shared, mutable [`StoreFaults`]; clones refer to the same faults.
#[derive(Debug, Clone, Default)]
pub struct StoreFaultsHandle {
    current: Arc<Mutex<StoreFaults>>,
}

impl StoreFaultsHandle {
    /// Sets the faults for all calls from now on.
    pub fn set(&self, faults: StoreFaults) {
        *self
            .current
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner()) = faults;
    }

    /// Returns the faults in force.
    pub fn get(&self) -> StoreFaults {
        *self
            .current
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl StoreFaults {
    /// Returns the additional delay of each call.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.slow_millis)
    }
}
