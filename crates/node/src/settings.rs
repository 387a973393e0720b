//! Settings of a daemon and of its components.

use std::time::Duration;

use harrierward_batch::OwnerDriverSettings;
use harrierward_capacity::SlotSettings;
use harrierward_claims::ClaimSettings;
use harrierward_config::FreshnessBounds;
use harrierward_external::StoreLimits;
use harrierward_gateway::GatewaySettings;
use harrierward_membership::MembershipSettings;

/// Intervals and limits of one daemon, and the settings of its components.
#[derive(Debug, Clone, Copy)]
pub struct NodeSettings {
    /// Number of job shards; the same on all daemons of a fleet.
    pub shards: u32,
    /// Maximum number of replicas of a service to which a gateway sends requests.
    pub subset: usize,
    /// Maximum store calls per second of this daemon; also the maximum burst.
    pub store_rate: f64,
    /// Timeouts of store calls.
    pub store_limits: StoreLimits,
    /// Settings of the gateway for online requests.
    pub gateway: GatewaySettings,
    /// Settings of claims on at-most-once requests.
    pub claims: ClaimSettings,
    /// Settings of the owner of job shards.
    pub owner: OwnerDriverSettings,
    /// Settings of the membership protocol.
    pub membership: MembershipSettings,
    /// Ages at which the proof of the configuration goes stale or is renewed.
    pub freshness: FreshnessBounds,
    /// Settings of the batch slot budget of each replica.
    pub slots: SlotSettings,
    /// Poll interval of the machine list.
    pub machine_list_interval: Duration,
    /// Poll interval of the load of replicas.
    pub load_interval: Duration,
    /// Interval at which ownership is reconciled with the view.
    pub ownership_interval: Duration,
    /// How long the view must name this member before it takes over from an owner in view; also the base of the
    /// exponential cooldown during which nothing is taken over from a member that has taken over from this one.
    pub takeover_grace_period: Duration,
    /// Maximum interval between runs of the batch slot scheduler.
    pub batch_tick: Duration,
    /// Maximum time for which a drain waits for running responses.
    pub drain_timeout: Duration,
    /// Memory for the bodies of requests that are not uploads, bytes.
    pub request_memory_bytes: usize,
    /// Seed of the generator for ids and random choices.
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
            machine_list_interval: Duration::from_secs(1),
            load_interval: Duration::from_millis(500),
            ownership_interval: Duration::from_millis(500),
            takeover_grace_period: Duration::from_secs(2),
            batch_tick: Duration::from_millis(20),
            drain_timeout: Duration::from_secs(60),
            request_memory_bytes: 64 << 20,
            seed: 0,
        }
    }
}
