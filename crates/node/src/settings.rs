//! Bounds of a daemon's roles.

use std::time::Duration;

use harrierward_batch::OwnerDriverSettings;
use harrierward_capacity::SlotSettings;
use harrierward_claims::ClaimSettings;
use harrierward_config::FreshnessBounds;
use harrierward_external::StoreLimits;
use harrierward_gateway::GatewaySettings;
use harrierward_membership::MembershipSettings;

/// Settings of one daemon, all with defaults that work.
#[derive(Debug, Clone, Copy)]
pub struct NodeSettings {
    /// Number of job shards; the same on all daemons of a fleet.
    pub shards: u32,
    /// Replicas of a service that a gateway works with.
    pub subset: usize,
    /// Store calls a second of this daemon, and the burst allowed.
    pub store_rate: f64,
    /// Time bounds of store calls.
    pub store_limits: StoreLimits,
    /// Request path.
    pub gateway: GatewaySettings,
    /// Claims.
    pub claims: ClaimSettings,
    /// Shard owner.
    pub owner: OwnerDriverSettings,
    /// Membership.
    pub membership: MembershipSettings,
    /// Configuration freshness.
    pub freshness: FreshnessBounds,
    /// Batch slots.
    pub slots: SlotSettings,
    /// How often the machine list is read.
    pub machines_every: Duration,
    /// How often an owned replica's load is read.
    pub load_every: Duration,
    /// How often ownership is compared with the view.
    pub ownership_every: Duration,
    /// How long the view must name this member before it takes over from a live owner. Who took something from this member
    /// is left alone for twice as long, in view or not, and longer each time.
    pub ownership_patience: Duration,
    /// How often batch slots are decided.
    pub batch_tick: Duration,
    /// How long a daemon that leaves waits for its streams.
    pub drain_timeout: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            shards: 64,
            subset: 32,
            store_rate: 200.0,
            store_limits: StoreLimits::default(),
            gateway: GatewaySettings::default(),
            claims: ClaimSettings::default(),
            owner: OwnerDriverSettings::default(),
            membership: MembershipSettings::default(),
            freshness: FreshnessBounds::default(),
            slots: SlotSettings::default(),
            machines_every: Duration::from_secs(1),
            load_every: Duration::from_millis(500),
            ownership_every: Duration::from_millis(500),
            ownership_patience: Duration::from_secs(2),
            batch_tick: Duration::from_millis(20),
            drain_timeout: Duration::from_secs(60),
            seed: 0,
        }
    }
}
