//! Timeouts and limits of the membership protocol.

use std::time::Duration;

/// Timeouts, intervals and limits of one member; the defaults suit a stable fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipSettings {
    /// Minimum time between two joins to all seeds while no other member is known; zero: at each tick.
    pub join_interval: Duration,
    /// Time between probes.
    pub probe_interval: Duration,
    /// Wait for a direct acknowledgement before indirect probes are requested.
    pub direct_timeout: Duration,
    /// Wait for any acknowledgement before the member is suspected.
    pub probe_timeout: Duration,
    /// Time that a suspected member has to refute, in a fleet of ten or fewer; multiplied by the decimal logarithm
    /// of the fleet's size, as gossip takes that much longer.
    pub suspicion_timeout: Duration,
    /// Number of members requested to probe an unresponsive one.
    pub indirect_probes: usize,
    /// Maximum number of gossiped records per probe, acknowledgement or join.
    pub records_per_datagram: usize,
    /// Maximum number of records per sync datagram or join reply; about 100 bytes each, to stay below a usual MTU.
    pub records_per_sync_datagram: usize,
    /// Transmissions of each record, multiplied by the binary logarithm of the fleet's size.
    pub spread_factor: usize,
    /// Members of other regions, and dead ones, are probed in one of this many rounds on average.
    pub rare_probe_one_in: u64,
    /// Dead members probed per tick after another dead one has returned.
    pub dead_probes_per_tick: usize,
    /// How long the record of a dead member is kept.
    pub dead_retention: Duration,
    /// Minimum time between two sync requests of a member that lacks many members.
    pub sync_catch_up_interval: Duration,
    /// How long the view must differ from all peers' before a member that lacks few requests a sync; gossip normally
    /// resolves the difference earlier.
    pub disagreement_timeout: Duration,
    /// Maximum number of sync requests replied to per tick; a requester without a reply tries another member.
    pub sync_replies_per_tick: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            join_interval: Duration::from_secs(1),
            probe_interval: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(250),
            probe_timeout: Duration::from_millis(800),
            suspicion_timeout: Duration::from_secs(3),
            indirect_probes: 3,
            records_per_datagram: 6,
            records_per_sync_datagram: 12,
            spread_factor: 3,
            rare_probe_one_in: 8,
            dead_probes_per_tick: 1,
            dead_retention: Duration::from_secs(600),
            sync_catch_up_interval: Duration::from_millis(500),
            disagreement_timeout: Duration::from_secs(8),
            sync_replies_per_tick: 4,
        }
    }
}

impl MembershipSettings {
    /// Returns settings for a fleet whose members are replaced within seconds.
    ///
    /// Seeds get a join at each tick: a daemon without peers refuses requests of rate-limited tenants, and after a loss
    /// of all daemons the seeds may start at any time. The first reply ends these joins.
    pub fn quick() -> Self {
        Self {
            join_interval: Duration::ZERO,
            probe_interval: Duration::from_millis(300),
            direct_timeout: Duration::from_millis(150),
            probe_timeout: Duration::from_millis(400),
            suspicion_timeout: Duration::from_millis(700),
            dead_retention: Duration::from_secs(60),
            sync_catch_up_interval: Duration::from_millis(200),
            disagreement_timeout: Duration::from_secs(2),
            ..Self::default()
        }
    }
}
