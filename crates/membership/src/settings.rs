//! Time bounds of the membership protocol.

use std::time::Duration;

/// Bounds and sizes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipSettings {
    /// Time between probes.
    pub probe_every: Duration,
    /// Wait for a direct answer before others are asked to probe.
    pub direct_timeout: Duration,
    /// Wait for any answer before the member is suspected.
    pub probe_timeout: Duration,
    /// Time that a suspected member has to refute.
    pub suspicion: Duration,
    /// Members asked to probe indirectly.
    pub indirect_probes: usize,
    /// Records in one datagram.
    pub records_per_datagram: usize,
    /// Each record is passed on this many times, times the logarithm of the fleet's size.
    pub spread_factor: usize,
    /// Members of other regions, and dead ones, are in one round of probes out of so many.
    pub rare_probe_one_in: u64,
    /// Dead members probed in a tick after another one turned out to live.
    pub revivals_a_tick: usize,
    /// How long a dead member is remembered.
    pub forget_dead: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_every: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(250),
            probe_timeout: Duration::from_millis(800),
            suspicion: Duration::from_secs(3),
            indirect_probes: 3,
            records_per_datagram: 6,
            spread_factor: 3,
            rare_probe_one_in: 8,
            revivals_a_tick: 1,
            forget_dead: Duration::from_secs(600),
        }
    }
}
