//! The platform's list of machines, which lags their true state.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::{PlatformError, ReplicaId};

/// State of a machine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In service; may get new work.
    Live,
    /// Announced for removal; gets no new work.
    Leaving,
}

/// Machine that runs one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Replica that runs on the machine.
    pub replica: ReplicaId,
    /// Name of the service that the replica serves.
    pub service: String,
    /// Name of the availability zone.
    pub zone: String,
    /// Engine address, `ip:port`.
    pub address: String,
    /// State as of the last listing.
    pub state: MachineState,
}

/// Client of the machine list. The list is a hint: safety must not depend on it.
#[async_trait]
pub trait MachineList: Send + Sync {
    /// Fetches the current list of machines.
    async fn list(&self) -> Result<Vec<Machine>, PlatformError>;
}
