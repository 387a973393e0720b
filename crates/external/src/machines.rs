//! The platform's lagging list of live and leaving machines.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::{PlatformError, ReplicaId};

/// What the platform last knew of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In service.
    Live,
    /// Announced to leave; gets no new work.
    Leaving,
}

/// One back end of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The replica that the machine carries.
    pub replica: ReplicaId,
    /// Service the replica belongs to.
    pub service: String,
    /// Zone of the machine.
    pub zone: String,
    /// Engine address, `ip:port`.
    pub address: String,
    /// Last known state.
    pub state: MachineState,
}

/// Client of the machine list. The list lags: it is a hint and never decides safety.
#[async_trait]
pub trait MachineList: Send + Sync {
    /// All machines the platform lists now.
    async fn list(&self) -> Result<Vec<Machine>, PlatformError>;
}
